package limit

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/invariant"
)

// ErrInvalidLimits is returned for an AdmissionConfig with a value out of range.
var ErrInvalidLimits = errors.New("limit: invalid admission limits")

// Names of the invariants that are checked on each admission.
const (
	// InvariantColdOverload: during a cold start, a backend server holds at most
	// ColdLimit requests plus one for each request that completed in this phase.
	InvariantColdOverload invariant.Name = "cold_overload"
	// InvariantLimitExceeded: a backend server never holds more requests or
	// tokens than its limits.
	InvariantLimitExceeded invariant.Name = "limit_exceeded"
	// InvariantLeavingAdmitted: no request is admitted to a backend server that is
	// leaving, paused or down.
	InvariantLeavingAdmitted invariant.Name = "leaving_admitted"
)

// Defaults for AdmissionConfig.
const (
	// DefaultColdLimit is the request limit at the beginning of a cold start.
	DefaultColdLimit = 2
	// DefaultRampGrowth is the increase of the ramp limit per completed request. At
	// 0.5, the limit grows by half each time that a full set of requests completes.
	DefaultRampGrowth = 0.5
	// DefaultColdFactor is the ratio of the time to first token to its baseline
	// above which a sample counts as slow.
	DefaultColdFactor = 3.0
	// DefaultColdSamples is the number of slow samples, less the healthy ones, that
	// indicates a cold start. Half as many cache misses are enough. With 4 samples,
	// queueing at 80% load was mistaken for cold starts
	// (docs/decisions/load-and-limits.md).
	DefaultColdSamples = 8
)

// AdmissionConfig holds the limits of one backend server. The last four fields
// have defaults, which a zero value selects.
type AdmissionConfig struct {
	// MaxRequests bounds the requests admitted at once, both queued and running.
	MaxRequests int
	// MaxTokens bounds the sum of the tokens of the admitted requests.
	MaxTokens int
	// ColdLimit is the request limit at the start of the ramp. A value of
	// MaxRequests or more disables the ramp.
	ColdLimit int
	// RampGrowth is the increase of the ramp limit per completed request, in (0, 1].
	RampGrowth float64
	// ColdFactor is the ratio to the baseline above which a time to first token
	// counts as slow; more than 1.
	ColdFactor float64
	// ColdSamples is the number of slow samples, less the healthy ones, that
	// indicates a cold start. Half as many cache misses are enough.
	ColdSamples int
}

func (c AdmissionConfig) withDefaults() AdmissionConfig {
	if c.ColdLimit == 0 {
		c.ColdLimit = DefaultColdLimit
	}
	if c.RampGrowth == 0 {
		c.RampGrowth = DefaultRampGrowth
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = DefaultColdFactor
	}
	if c.ColdSamples == 0 {
		c.ColdSamples = DefaultColdSamples
	}
	c.ColdLimit = min(c.ColdLimit, c.MaxRequests)
	return c
}

func (c AdmissionConfig) valid() bool {
	return c.MaxRequests > 0 && c.MaxTokens > 0 && c.ColdLimit > 0 &&
		c.RampGrowth > 0 && c.RampGrowth <= 1 && c.ColdFactor > 1 && c.ColdSamples > 0
}

// AdmissionState is a snapshot of an Admission.
type AdmissionState struct {
	Phase Phase
	// Reason is the reason of the latest cold start.
	Reason ColdReason
	// Limit is the present request limit: MaxRequests when warm, the ramp limit
	// when cold, 0 when leaving or down. In a pause it is that of the ramp after it.
	Limit int
	// Free is the estimated number of further requests that would be admitted now,
	// each of the average size of the admitted ones.
	Free int
	// Running is the number of admitted requests.
	Running int
	// Tokens is the sum of the tokens of the admitted requests.
	Tokens int
	// FirstToken is the smoothed time to first token; 0 before the first sample.
	FirstToken time.Duration
	// TokenInterval is the smoothed time between tokens; 0 before the first sample.
	TokenInterval time.Duration
	// ColdStarts counts the cold starts.
	ColdStarts uint64
}

// Admission decides which requests one backend server may receive. A new
// Admission is cold: its request limit starts at ColdLimit and rises with completed
// requests up to MaxRequests. Admission is safe for concurrent use; each call takes
// constant time.
type Admission struct {
	check *invariant.Checker

	mu         sync.Mutex
	cfg        AdmissionConfig
	leaving    bool
	paused     bool
	down       bool
	cold       bool
	reason     ColdReason
	coldStarts uint64
	// ramp is the ramp limit before rounding down to whole requests.
	ramp float64
	// rampCompletions counts the completions that raised the ramp limit since the
	// latest cold start. If a raised MaxRequests started the ramp, the count includes
	// the load that the old limit allowed.
	rampCompletions int
	running         int
	tokens          int
	detector        detector
	// refusalFunc is refusalFor, unless a test replaces it to inject a defect.
	refusalFunc func(tokens int) Refusal
}

// NewAdmission returns an Admission in the phase Cold. check may be nil.
func NewAdmission(cfg AdmissionConfig, check *invariant.Checker) (*Admission, error) {
	cfg = cfg.withDefaults()
	if !cfg.valid() {
		return nil, ErrInvalidLimits
	}
	a := &Admission{check: check, cfg: cfg}
	a.refusalFunc = a.refusalFor
	a.applyDetectorConfig()
	a.enterCold(ColdStarted)
	return a, nil
}

// Permit is one admitted request. The caller calls RecordFirstToken at most once
// and ends the permit with one of Complete, Fail and Release; only the first of
// these has an effect.
type Permit struct {
	admission *Admission
	tokens    int
	// running is the number of admitted requests at admission, including this one.
	running int
	// epoch is the number of cold starts at admission. A request that was admitted
	// before the latest cold start says nothing about the server's present state, so
	// its result is not counted.
	epoch    uint64
	slow     atomic.Bool
	finished atomic.Bool
}

// Admit admits a request of the given number of tokens (prompt plus the longest
// possible answer). If the request is refused, it returns nil and the reason.
func (a *Admission) Admit(tokens int) (*Permit, Refusal) {
	tokens = max(tokens, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.refusalFunc(tokens); refusal != NotRefused {
		return nil, refusal
	}
	a.running++
	a.tokens += tokens
	a.checkInvariants()
	return &Permit{admission: a, tokens: tokens, running: a.running, epoch: a.coldStarts}, NotRefused
}

func (a *Admission) refusalFor(tokens int) Refusal {
	switch {
	case a.down:
		return RefusedDown
	case a.leaving:
		return RefusedLeaving
	case a.paused:
		return RefusedPaused
	case a.cold && a.running >= a.rampLimit():
		return RefusedCold
	case a.running >= a.cfg.MaxRequests:
		return RefusedFull
	case a.tokens+tokens > a.cfg.MaxTokens:
		return RefusedTokens
	}
	return NotRefused
}

// checkInvariants checks the state after an admission. It computes the bound of a
// cold start from the completions instead of the ramp limit, so that it detects a
// fault in the ramp.
func (a *Admission) checkInvariants() {
	if a.running > a.cfg.MaxRequests || a.tokens > a.cfg.MaxTokens {
		a.check.Assert(false, InvariantLimitExceeded, "%d requests of %d, %d tokens of %d",
			a.running, a.cfg.MaxRequests, a.tokens, a.cfg.MaxTokens)
	}
	if a.cold && a.running > a.cfg.ColdLimit+a.rampCompletions {
		a.check.Assert(false, InvariantColdOverload, "%d requests in cold start after %d completions, initial limit %d",
			a.running, a.rampCompletions, a.cfg.ColdLimit)
	}
	if a.leaving || a.paused || a.down {
		a.check.Assert(false, InvariantLeavingAdmitted, "leaving=%t paused=%t down=%t", a.leaving, a.paused, a.down)
	}
}

func (a *Admission) rampLimit() int { return min(int(a.ramp), a.cfg.MaxRequests) }

// RecordFirstToken reports the first token of the request. It starts the cold phase
// if the sample completes the evidence for a cold start.
func (p *Permit) RecordFirstToken(s FirstTokenSample) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.epoch != a.coldStarts {
		return
	}
	if !a.detector.withinBaseline(s, p.running) {
		p.slow.Store(true)
	}
	reason, cold := a.detector.observe(s, p.running, !a.cold)
	if cold {
		a.enterCold(reason)
	}
}

// RecordDecode reports a complete answer of the given number of tokens, with the
// time elapsed from its first token to its last. It updates the smoothed time
// between tokens and ignores answers of fewer than two tokens.
func (p *Permit) RecordDecode(tokens int, elapsed time.Duration) {
	if tokens < 2 || elapsed <= 0 {
		return
	}
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.epoch != a.coldStarts {
		return
	}
	a.detector.tokenInterval = ewma(a.detector.tokenInterval, float64(elapsed)/float64(tokens-1))
}

// Complete ends the permit of a request that was answered completely. During a cold
// start it may raise the ramp limit.
func (p *Permit) Complete() {
	p.finish((*Admission).growRamp)
}

// Fail ends the permit of a request that the backend server failed. During a cold
// start it halves the ramp limit.
func (p *Permit) Fail() {
	p.finish((*Admission).shrinkRamp)
}

// Release ends the permit of a cancelled request without changing the ramp limit.
func (p *Permit) Release() {
	p.finish(nil)
}

func (p *Permit) finish(adjustRamp func(*Admission, *Permit)) {
	if !p.finished.CompareAndSwap(false, true) {
		return
	}
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.tokens -= p.tokens
	if adjustRamp != nil && a.cold && p.epoch == a.coldStarts {
		adjustRamp(a, p)
	}
}

// growRamp raises the ramp limit after a completed request. It ignores requests that
// were slow and those admitted at less than half of the ramp limit, because they do
// not show that the server can take more load.
func (a *Admission) growRamp(p *Permit) {
	if p.slow.Load() || 2*p.running < a.rampLimit() {
		return
	}
	a.rampCompletions++
	a.ramp += a.cfg.RampGrowth
	if a.rampLimit() >= a.cfg.MaxRequests {
		a.cold = false
	}
}

// shrinkRamp halves the ramp limit after a failed request.
func (a *Admission) shrinkRamp(*Permit) {
	a.ramp = max(a.ramp/2, float64(a.cfg.ColdLimit))
}

// ReportColdStart starts the cold phase at once. The agent calls it for signs that
// it sees outside of requests, such as a cleared cache or a restart.
func (a *Admission) ReportColdStart(reason ColdReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enterCold(reason)
}

// enterCold starts the cold phase with the ramp limit at ColdLimit.
func (a *Admission) enterCold(reason ColdReason) {
	a.reason = reason
	a.coldStarts++
	a.ramp = float64(a.cfg.ColdLimit)
	a.rampCompletions = 0
	// There is no ramp if ColdLimit equals MaxRequests.
	a.cold = a.rampLimit() < a.cfg.MaxRequests
	a.detector.resetEvidence()
}

// SetLeaving starts or ends the phase Leaving. A backend server that returns to
// service starts cold.
func (a *Admission) SetLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving && !leaving {
		a.enterCold(ColdReturned)
	}
	a.leaving = leaving
}

// SetPaused starts or ends a pause that the backend server has asked for. It starts the ramp
// anew at both times: the server was short of resources, and the requests that end in the pause do
// not show that it takes new ones.
func (a *Admission) SetPaused(paused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.paused != paused {
		a.enterCold(ColdPaused)
	}
	a.paused = paused
}

// SetDown records whether the backend server is down. One that comes up again starts
// cold.
func (a *Admission) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down && !down {
		a.enterCold(ColdReturned)
	}
	a.down = down
}

// SetLimits changes the limits. Admitted requests above a lowered limit run to their
// end. A raised request limit is reached by a ramp that starts at the old limit.
func (a *Admission) SetLimits(cfg AdmissionConfig) error {
	cfg = cfg.withDefaults()
	if !cfg.valid() {
		return ErrInvalidLimits
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.cfg.MaxRequests
	a.cfg = cfg
	a.applyDetectorConfig()
	if a.cold {
		a.ramp = min(a.ramp, float64(cfg.ColdLimit+a.rampCompletions))
	}
	if !a.cold && cfg.MaxRequests > before {
		a.enterCold(ColdLimits)
		a.rampCompletions = max(before-cfg.ColdLimit, 0)
		a.ramp = float64(max(before, cfg.ColdLimit))
	}
	return nil
}

func (a *Admission) applyDetectorConfig() {
	a.detector.factor = a.cfg.ColdFactor
	a.detector.slowLimit = a.cfg.ColdSamples
}

// State returns a snapshot of the state.
func (a *Admission) State() AdmissionState {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AdmissionState{
		Phase:         a.phase(),
		Reason:        a.reason,
		Running:       a.running,
		Tokens:        a.tokens,
		FirstToken:    time.Duration(a.detector.firstToken),
		TokenInterval: time.Duration(a.detector.tokenInterval),
		ColdStarts:    a.coldStarts,
	}
	switch s.Phase {
	case Warm:
		s.Limit = a.cfg.MaxRequests
	case Cold:
		s.Limit = a.rampLimit()
	}
	s.Free = a.freeSlots(s.Limit)
	return s
}

func (a *Admission) phase() Phase {
	switch {
	case a.down:
		return Down
	case a.leaving:
		return Leaving
	case a.cold:
		return Cold
	}
	return Warm
}

// freeSlots returns how many further requests fit into the request limit and the
// token limit, if they have the average size of the admitted ones.
func (a *Admission) freeSlots(limit int) int {
	slots := max(limit-a.running, 0)
	if a.running == 0 {
		return slots
	}
	average := max(a.tokens/a.running, 1)
	return min(slots, max(a.cfg.MaxTokens-a.tokens, 0)/average)
}
