package emulate

import (
	"bytes"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// FenceMode defines how an engine treats the fencing token of an order.
type FenceMode string

// Values of FenceMode.
const (
	// FenceEnforce rejects orders whose token is below the highest one seen.
	FenceEnforce FenceMode = "enforce"
	// FenceIgnore accepts orders with any token.
	FenceIgnore FenceMode = "ignore"
)

// EngineModel is a model version that an engine can run.
type EngineModel struct {
	// ID is model@version.
	ID string `json:"id"`
	// Quality is the nominal quality, 0 to 1. The rating emulator derives its
	// scores from it.
	Quality float64 `json:"quality"`
	// Cost multiplies the time per token; 0 means 1.
	Cost float64 `json:"cost"`
	// Loaded makes the engine load the version at each start.
	Loaded bool `json:"loaded"`
}

// EngineConfig holds the parameters of an engine's service model. The suffix of a
// time gives its unit: Us for microseconds, Ms for milliseconds.
type EngineConfig struct {
	Models []EngineModel `json:"models"`
	// UnlistedQuality is the quality of versions that are not in Models. With 0,
	// the engine rejects orders to load such versions.
	UnlistedQuality float64 `json:"unlisted_quality"`
	// BatchLimit is the largest number of requests that run at the same time.
	BatchLimit int `json:"batch_limit"`
	// MaxHeld is the largest number of running and waiting requests that a warm
	// engine handles; one more makes it crash.
	MaxHeld int `json:"max_held"`
	// ColdMaxHeld is the limit of a cold engine; it grows to MaxHeld while the
	// engine warms up.
	ColdMaxHeld int `json:"cold_max_held"`
	// RestartMs is how long an engine refuses connections after a crash from
	// overload.
	RestartMs int `json:"restart_ms"`
	// StepUs is the base duration of a batch step, in which each running request
	// generates one token.
	StepUs float64 `json:"step_us"`
	// StepPerRequestUs is added to a step for each running request.
	StepPerRequestUs float64 `json:"step_per_request_us"`
	// PrefillUs is added to a step for each prompt token processed in it.
	PrefillUs float64 `json:"prefill_us"`
	// PrefillChunk is the largest number of prompt tokens in a step.
	PrefillChunk int `json:"prefill_chunk"`
	// ColdFactor multiplies the step duration of a cold engine. The factor falls
	// linearly to 1 over the first WarmCompletions completed requests.
	ColdFactor      float64 `json:"cold_factor"`
	WarmCompletions int     `json:"warm_completions"`
	// StartWarm makes the first start warm; later starts are always cold.
	StartWarm bool `json:"start_warm"`
	// PrefixBytes is the length of a prompt prefix in the prefix cache, and
	// PrefixEntries the capacity of the cache.
	PrefixBytes   int `json:"prefix_bytes"`
	PrefixEntries int `json:"prefix_entries"`
	// AnswerMin and AnswerMax bound the number of tokens of a response, which
	// depends on the prompt and the model.
	AnswerMin int `json:"answer_min"`
	AnswerMax int `json:"answer_max"`
	// OutputBuffer is the number of unread tokens that a request buffers. A request
	// with a full buffer pauses and keeps its place in the batch.
	OutputBuffer int `json:"output_buffer"`
	// LoadReportMs is the interval at which the load report is updated.
	LoadReportMs int `json:"load_report_ms"`
	// CacheEventDelayMs is the delay before a cache event becomes readable.
	CacheEventDelayMs int `json:"cache_event_delay_ms"`
	// OrderMs is the delay between accepting an order and executing it.
	OrderMs int `json:"order_ms"`
	// MaxLoaded is the largest number of loaded versions; 0 means no limit.
	MaxLoaded int       `json:"max_loaded"`
	Fence     FenceMode `json:"fence"`
	Role      string    `json:"role"`
	// WeightsURL is the URL of the weight store from which a version is loaded. If
	// it is empty, versions load without fetching weights.
	WeightsURL string `json:"weights_url,omitempty"`
	// Seed seeds the random choice of the requests that fail at ErrorRate.
	Seed uint64 `json:"seed"`
}

// DefaultEngineConfig returns the settings of an engine with one model. At half
// load, the first token takes about 50 ms and each further token 20 ms.
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

// UnmarshalJSON decodes b over the current settings and rejects unknown fields. A
// list of models replaces the current list: encoding/json would decode its entries
// into the current entries, which would keep the fields that b does not set.
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

// validate returns an error for the first invalid setting.
func (c EngineConfig) validate() error {
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
	return c.validateModels()
}

func (c EngineConfig) validateModels() error {
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

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func microseconds(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }
