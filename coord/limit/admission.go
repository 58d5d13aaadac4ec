package limit

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/invariant"
)

// ErrInvalidLimits is returned for limits that are not usable.
var ErrInvalidLimits = errors.New("limit: bad limits")

// Names of the invariants asserted at admission.
const (
	// InvariantColdOverload: a backend server in its cold start holds at most
	// ColdLimit requests plus one for each request completed since it got cold.
	InvariantColdOverload invariant.Name = "cold_overload"
	// InvariantLimitExceeded: a backend server never holds more requests or
	// tokens than its limits.
	InvariantLimitExceeded invariant.Name = "limit_exceeded"
	// InvariantLeavingAdmitted: a backend server that is leaving or down gets no
	// new work.
	InvariantLeavingAdmitted invariant.Name = "leaving_admitted"
)

// Defaults of AdmissionConfig.
const (
	// DefaultColdLimit is the number of requests a cold backend server holds at
	// first.
	DefaultColdLimit = 2
	// DefaultRampGrowth is the growth of the ramp per completed request. At 0.5 the
	// ramp grows by half for each full round of completions.
	DefaultRampGrowth = 0.5
	// DefaultColdFactor is the ratio of first-token time to its baseline above
	// which a sample counts as slow.
	DefaultColdFactor = 3.0
	// DefaultColdSamples is the net number of slow samples that shows a cold start;
	// half as many cache misses do. With 4 samples, waiting at 80% load was taken
	// for cold starts (docs/decisions/load-and-limits.md).
	DefaultColdSamples = 8
)

// AdmissionConfig are the limits of one backend server. Zero values of the last
// four fields select the defaults.
type AdmissionConfig struct {
	// MaxRequests bounds the requests held at once (waiting and running).
	MaxRequests int
	// MaxTokens bounds the sum of the tokens of the held requests.
	MaxTokens int
	// ColdLimit is the number of requests held at the start of the ramp; a value
	// of MaxRequests or more turns the ramp off.
	ColdLimit int
	// RampGrowth is the growth of the ramp per completed request, in (0, 1].
	RampGrowth float64
	// ColdFactor is the ratio to the baseline above which a first token is slow.
	ColdFactor float64
	// ColdSamples is the net number of slow samples that shows a cold start; half
	// as many cache misses do.
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

// AdmissionState is a copy of the state at one moment.
type AdmissionState struct {
	Phase Phase
	// Reason of the latest cold start.
	Reason ColdReason
	// Limit is the number of requests that may be held now: the ramp when cold,
	// 0 when leaving or down.
	Limit int
	// Free is the number of further requests of average size that would be
	// admitted now.
	Free int
	// Running is the number of requests held.
	Running int
	// Tokens is the sum of the tokens of the held requests.
	Tokens int
	// FirstToken is the smoothed first-token time; 0 before the first sample.
	FirstToken time.Duration
	// TokenInterval is the smoothed time between tokens; 0 before the first sample.
	TokenInterval time.Duration
	// ColdStarts counts the cold starts.
	ColdStarts uint64
}

// Admission decides which requests one backend server gets. It starts cold. It
// is safe for concurrent use; each call takes constant time.
type Admission struct {
	check *invariant.Checker

	mu       sync.Mutex
	cfg      AdmissionConfig
	leaving  bool
	down     bool
	cold     bool
	reason   ColdReason
	colds    uint64
	ramp     float64
	proved   int
	running  int
	tokens   int
	detector detector
	// decide is refuse; tests replace it to plant a defect.
	decide func(tokens int) Refusal
}

// NewAdmission returns an Admission in phase Cold. check may be nil.
func NewAdmission(cfg AdmissionConfig, check *invariant.Checker) (*Admission, error) {
	cfg = cfg.withDefaults()
	if !cfg.valid() {
		return nil, ErrInvalidLimits
	}
	a := &Admission{check: check, cfg: cfg}
	a.decide = a.refuse
	a.applyDetectorConfig()
	a.becomeCold(ColdStarted)
	return a, nil
}

// Permit is the right to one place on the backend server. The holder calls
// FirstToken at most once and exactly one of Complete, Fail and Release; further
// calls do nothing.
type Permit struct {
	admission *Admission
	tokens    int
	// running is the number of held requests including this one at admission.
	running int
	// epoch is the number of cold starts at admission; evidence from before a
	// cold start does not open the ramp after it.
	epoch    uint64
	slow     atomic.Bool
	finished atomic.Bool
}

// Admit takes a place for a request of the given number of tokens (prompt plus
// the largest answer). It returns nil and a reason when there is none.
func (a *Admission) Admit(tokens int) (*Permit, Refusal) {
	tokens = max(tokens, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.decide(tokens); refusal != NotRefused {
		return nil, refusal
	}
	a.running++
	a.tokens += tokens
	a.assertBounds()
	return &Permit{admission: a, tokens: tokens, running: a.running, epoch: a.colds}, NotRefused
}

func (a *Admission) refuse(tokens int) Refusal {
	switch {
	case a.down:
		return RefusedDown
	case a.leaving:
		return RefusedLeaving
	case a.cold && a.running >= a.rampLimit():
		return RefusedCold
	case a.running >= a.cfg.MaxRequests:
		return RefusedFull
	case a.tokens+tokens > a.cfg.MaxTokens:
		return RefusedTokens
	}
	return NotRefused
}

// assertBounds checks the state after an admission. The bound of the cold start
// is computed from completions, not from the ramp, so a fault in the ramp shows.
func (a *Admission) assertBounds() {
	if a.running > a.cfg.MaxRequests || a.tokens > a.cfg.MaxTokens {
		a.check.Assert(false, InvariantLimitExceeded, "%d requests of %d, %d tokens of %d",
			a.running, a.cfg.MaxRequests, a.tokens, a.cfg.MaxTokens)
	}
	if a.cold && a.running > a.cfg.ColdLimit+a.proved {
		a.check.Assert(false, InvariantColdOverload, "%d requests in cold start after %d completions, initial limit %d",
			a.running, a.proved, a.cfg.ColdLimit)
	}
	if a.leaving || a.down {
		a.check.Assert(false, InvariantLeavingAdmitted, "leaving=%t down=%t", a.leaving, a.down)
	}
}

func (a *Admission) rampLimit() int { return min(int(a.ramp), a.cfg.MaxRequests) }

// RecordFirstToken reports the first token of the request. It may close the ramp.
func (p *Permit) RecordFirstToken(s FirstTokenSample) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.epoch != a.colds {
		return
	}
	if !a.detector.healthy(s, p.running) {
		p.slow.Store(true)
	}
	reason, cold := a.detector.observe(s, p.running, !a.cold)
	if cold {
		a.becomeCold(reason)
	}
}

// RecordDecode reports a complete answer of the given number of tokens, which took
// elapsed from its first token to its last. It updates the time between tokens;
// answers of fewer than two tokens have none.
func (p *Permit) RecordDecode(tokens int, elapsed time.Duration) {
	if tokens < 2 || elapsed <= 0 {
		return
	}
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.epoch != a.colds {
		return
	}
	a.detector.interval = smoothed(a.detector.interval, float64(elapsed)/float64(tokens-1))
}

// Complete reports that the backend server answered the request completely, and
// gives the place back. It opens the ramp of a cold start.
func (p *Permit) Complete() {
	p.finish((*Admission).grow)
}

// Fail reports that the backend server failed the request, and gives the place
// back. It halves the ramp of a cold start.
func (p *Permit) Fail() {
	p.finish((*Admission).shrink)
}

// Release gives the place back without evidence, for a cancelled request.
func (p *Permit) Release() {
	p.finish(nil)
}

func (p *Permit) finish(evidence func(*Admission, *Permit)) {
	if !p.finished.CompareAndSwap(false, true) {
		return
	}
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.tokens -= p.tokens
	if evidence != nil && a.cold && p.epoch == a.colds {
		evidence(a, p)
	}
}

// grow opens the ramp. Completions at less than half of the ramp prove nothing
// about a higher load, and slow ones speak against it.
func (a *Admission) grow(p *Permit) {
	if p.slow.Load() || 2*p.running < a.rampLimit() {
		return
	}
	a.proved++
	a.ramp += a.cfg.RampGrowth
	if a.rampLimit() >= a.cfg.MaxRequests {
		a.cold = false
	}
}

func (a *Admission) shrink(*Permit) {
	a.ramp = max(a.ramp/2, float64(a.cfg.ColdLimit))
}

// ReportColdStart closes the ramp at once, for signs that the agent sees outside of
// requests: a cleared cache, a restart.
func (a *Admission) ReportColdStart(reason ColdReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.becomeCold(reason)
}

func (a *Admission) becomeCold(reason ColdReason) {
	a.reason = reason
	a.colds++
	a.ramp = float64(a.cfg.ColdLimit)
	a.proved = 0
	// With ColdLimit at MaxRequests there is no ramp.
	a.cold = a.rampLimit() < a.cfg.MaxRequests
	a.detector.clearEvidence()
}

// SetLeaving starts or ends the leaving phase. A backend server that returns is
// cold.
func (a *Admission) SetLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving && !leaving {
		a.becomeCold(ColdReturned)
	}
	a.leaving = leaving
}

// SetDown records whether the backend server answers. One that comes up is cold.
func (a *Admission) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down && !down {
		a.becomeCold(ColdReturned)
	}
	a.down = down
}

// SetLimits changes the limits. Requests over a lowered limit finish; a raised
// limit is reached by a ramp from the present one.
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
		a.ramp = min(a.ramp, float64(cfg.ColdLimit+a.proved))
	}
	if !a.cold && cfg.MaxRequests > before {
		a.becomeCold(ColdLimits)
		a.proved = max(before-cfg.ColdLimit, 0)
		a.ramp = float64(max(before, cfg.ColdLimit))
	}
	return nil
}

func (a *Admission) applyDetectorConfig() {
	a.detector.factor = a.cfg.ColdFactor
	a.detector.slowLimit = a.cfg.ColdSamples
}

// State returns the present state.
func (a *Admission) State() AdmissionState {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AdmissionState{
		Phase:         a.phase(),
		Reason:        a.reason,
		Running:       a.running,
		Tokens:        a.tokens,
		FirstToken:    time.Duration(a.detector.smoothed),
		TokenInterval: time.Duration(a.detector.interval),
		ColdStarts:    a.colds,
	}
	switch s.Phase {
	case Warm:
		s.Limit = a.cfg.MaxRequests
	case Cold:
		s.Limit = a.rampLimit()
	}
	s.Free = a.free(s.Limit)
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

// free bounds the free places by the free tokens, taking the average size of the
// held requests for further ones.
func (a *Admission) free(limit int) int {
	free := max(limit-a.running, 0)
	if a.running == 0 {
		return free
	}
	average := max(a.tokens/a.running, 1)
	return min(free, max(a.cfg.MaxTokens-a.tokens, 0)/average)
}
