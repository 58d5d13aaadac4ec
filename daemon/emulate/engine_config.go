package emulate

import (
	"bytes"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// FenceMode tells how an engine treats the fencing number of an order.
type FenceMode string

// Values of FenceMode.
const (
	// FenceEnforce: orders with a number below the highest seen are refused.
	FenceEnforce FenceMode = "enforce"
	// FenceIgnore: the number has no effect.
	FenceIgnore FenceMode = "ignore"
)

// EngineModel is a model version that an engine can run.
type EngineModel struct {
	// ID is model@version.
	ID string `json:"id"`
	// Quality is the stated quality, 0 to 1, that the rating emulator scores.
	Quality float64 `json:"quality"`
	// Cost multiplies the time per token; 0 means 1.
	Cost float64 `json:"cost"`
	// Loaded: the engine has the version loaded at each start.
	Loaded bool `json:"loaded"`
}

// EngineConfig is the service model of an engine. Times are in microseconds (us)
// or milliseconds (ms).
type EngineConfig struct {
	Models []EngineModel `json:"models"`
	// UnlistedQuality is the quality of versions that Models doesn't list; 0
	// means that an order to load such a version is refused.
	UnlistedQuality float64 `json:"unlisted_quality"`
	// BatchLimit is the number of requests that run at the same time.
	BatchLimit int `json:"batch_limit"`
	// MaxHeld is the number of running and waiting requests that a warm engine
	// survives; one more makes it fall over.
	MaxHeld int `json:"max_held"`
	// ColdMaxHeld is MaxHeld of a cold engine; the limit grows to MaxHeld while
	// the engine warms.
	ColdMaxHeld int `json:"cold_max_held"`
	// RestartMs is how long an engine that fell over refuses connections.
	RestartMs int `json:"restart_ms"`
	// StepUs is the base time of a batch step, in which each running request
	// gets one token.
	StepUs float64 `json:"step_us"`
	// StepPerRequestUs is added to a step for each running request.
	StepPerRequestUs float64 `json:"step_per_request_us"`
	// PrefillUs is added to a step for each prompt token processed in it.
	PrefillUs float64 `json:"prefill_us"`
	// PrefillChunk is the largest number of prompt tokens in a step.
	PrefillChunk int `json:"prefill_chunk"`
	// ColdFactor multiplies the step time of a cold engine; it falls linearly to
	// 1 during WarmCompletions completed requests.
	ColdFactor      float64 `json:"cold_factor"`
	WarmCompletions int     `json:"warm_completions"`
	// StartWarm: the first start is warm; later starts are always cold.
	StartWarm bool `json:"start_warm"`
	// PrefixBytes is the length of the prompt prefix that the cache holds, and
	// PrefixEntries the number of prefixes.
	PrefixBytes   int `json:"prefix_bytes"`
	PrefixEntries int `json:"prefix_entries"`
	// AnswerMin and AnswerMax bound the tokens of an answer, which depend on the
	// prompt.
	AnswerMin int `json:"answer_min"`
	AnswerMax int `json:"answer_max"`
	// OutputBuffer is the number of tokens that a request may be ahead of its
	// reader; beyond it the request pauses and keeps its place in the batch.
	OutputBuffer int `json:"output_buffer"`
	// LoadReportMs is the interval at which the load report is renewed.
	LoadReportMs int `json:"load_report_ms"`
	// CacheEventDelayMs is the age at which a cache event can be read.
	CacheEventDelayMs int `json:"cache_event_delay_ms"`
	// OrderMs is the time between an order and its effect.
	OrderMs int `json:"order_ms"`
	// MaxLoaded is the number of versions that fit; 0 means all.
	MaxLoaded int       `json:"max_loaded"`
	Fence     FenceMode `json:"fence"`
	Role      string    `json:"role"`
	// WeightsURL is the weight store from which an order to load reads; empty loads
	// without one.
	WeightsURL string `json:"weights_url,omitempty"`
	// Seed drives the error share.
	Seed uint64 `json:"seed"`
}

// DefaultEngineConfig returns an engine with one model, a first token after some
// 50 ms and 20 ms between tokens at half load.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Models:     []EngineModel{{ID: "diary@1", Quality: 0.9, Loaded: true}},
		BatchLimit: 16, MaxHeld: 64, ColdMaxHeld: 8, RestartMs: 3000,
		StepUs: 12000, StepPerRequestUs: 1000, PrefillUs: 40, PrefillChunk: 2048,
		ColdFactor: 6, WarmCompletions: 40,
		PrefixBytes: 256, PrefixEntries: 128,
		AnswerMin: 20, AnswerMax: 120, OutputBuffer: 256,
		LoadReportMs: 200, CacheEventDelayMs: 300, OrderMs: 2000,
		Fence: FenceEnforce, Role: RoleBoth, Seed: 1,
	}
}

// UnmarshalJSON decodes strictly over the present settings. A list of models
// replaces the present one; encoding/json would decode its entries over the
// present entries and keep their fields.
func (c *EngineConfig) UnmarshalJSON(b []byte) error {
	type plain EngineConfig
	models := c.Models
	c.Models = nil
	if err := DecodeStrict(bytes.NewReader(b), (*plain)(c)); err != nil {
		return trace.Wrap(err)
	}
	if c.Models == nil {
		c.Models = models
	}
	return nil
}

// Roles of an engine.
const (
	RoleBoth    = "both"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

func validRole(role string) bool {
	return role == RoleBoth || role == RolePrefill || role == RoleDecode
}

// check returns the first rule that the configuration breaks.
func (c EngineConfig) check() error {
	if c.BatchLimit < 1 || c.MaxHeld < c.BatchLimit || c.ColdMaxHeld < 1 || c.ColdMaxHeld > c.MaxHeld {
		return trace.BadParameter("want 1 <= batch_limit <= max_held and 1 <= cold_max_held <= max_held")
	}
	if c.AnswerMin < 1 || c.AnswerMax < c.AnswerMin || c.OutputBuffer < 1 {
		return trace.BadParameter("want 1 <= answer_min <= answer_max and output_buffer >= 1")
	}
	if c.PrefillChunk < 1 || c.StepUs < 0 || c.StepPerRequestUs < 0 || c.PrefillUs < 0 {
		return trace.BadParameter("want prefill_chunk >= 1 and times of 0 or more")
	}
	if c.ColdFactor < 1 || c.WarmCompletions < 0 || c.LoadReportMs < 1 || c.RestartMs < 1 {
		return trace.BadParameter("want cold_factor >= 1, warm_completions >= 0, load_report_ms >= 1, restart_ms >= 1")
	}
	if c.Fence != FenceEnforce && c.Fence != FenceIgnore {
		return trace.BadParameter("fence is %q, want enforce or ignore", c.Fence)
	}
	if !validRole(c.Role) {
		return trace.BadParameter("role is %q, want both, prefill or decode", c.Role)
	}
	return c.checkModels()
}

func (c EngineConfig) checkModels() error {
	seen := map[string]bool{}
	for _, m := range c.Models {
		if !strings.Contains(m.ID, "@") || strings.ContainsAny(m.ID, " \t\n") {
			return trace.BadParameter("model id %q is not of the form model@version", m.ID)
		}
		if seen[m.ID] || m.Quality < 0 || m.Quality > 1 || m.Cost < 0 {
			return trace.BadParameter("model %q is listed twice or has a quality outside 0..1 or a negative cost", m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func us(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }
