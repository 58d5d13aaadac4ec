// Package rollout decides how a new version of a service, the target, replaces the old
// one, the base. The decisions are pure functions of the rollout's state, the pooled
// evidence and the time since the order. The caller keeps the state in the store.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactusknot.example/coord/kv"
)

// Phase is the stage that a rollout has reached.
type Phase string

// Phases in order. Completed and Reverted are final.
const (
	// Hold: all sessions use the old version.
	Hold Phase = "hold"
	// Canary: a small share of the sessions uses the new version.
	Canary Phase = "canary"
	// Wide: a larger share uses it.
	Wide Phase = "wide"
	// Full: all new requests use it. Running requests finish on the old version.
	Full Phase = "full"
	// Completed: the old version is no longer used.
	Completed Phase = "completed"
	// Reverted: the new version is no longer used.
	Reverted Phase = "reverted"
)

// Earliest start of each phase, as a fraction of the time between order and deadline.
// Sessions must keep their version through the first half.
const (
	canaryStart = 0.58
	wideStart   = 0.70
	// completeStart leaves time to complete when a router learns of the order late.
	completeStart = 0.92
	// lateStart is when the target needs more answers to get all requests.
	lateStart = 0.95
)

const (
	// wideExposureFactor is the target's share in phase Wide as a multiple of the
	// budget.
	wideExposureFactor = 1.25
	// canaryExposureFactor is the same for phase Canary, of the exposure bound.
	canaryExposureFactor = 0.6
	// minBad is the minimum number of bad answers for reverting a version.
	minBad = 4
	// minBadToHold is the minimum number of bad answers for keeping a version in phase
	// Canary.
	minBadToHold = 2
	// toleratedBadRate is the rate of bad answers that every version may have.
	toleratedBadRate = 0.12
	// pooledDeviations is by how many standard deviations the target's rate of bad
	// answers must exceed the allowed rate. Without this margin, 4 bad answers of 26
	// reverted a good version.
	pooledDeviations = 1.3
	// singleRouterDeviations is the same for the evidence of a single router.
	singleRouterDeviations = 3.0
	// baseFactor and baseMargin derive the allowed rate of bad answers from the rate of
	// the old version.
	baseFactor = 1.3
	baseMargin = 0.08
	// maxFullShareBadRate is the rate of bad answers up to which a version may get all
	// requests.
	maxFullShareBadRate = 0.2
	// maxRecentBadRate is the same for its recent answers, which tell of a version that turns bad late.
	maxRecentBadRate = 0.16
	// failingRate is the rate of bad answers above which a version is reverted whatever
	// the rate of the old version is. Partitioned data centres made old versions fail at
	// a rate of 0.25, so that the target was allowed a rate of 0.4.
	failingRate = 0.3
	// maxAllowedBadRate bounds the allowed rate, however high the old version's rate is.
	maxAllowedBadRate = 0.45
	// MinSamples is the minimum number of answers before a version gets all requests.
	MinSamples = 16
)

// Bound is the bound on the requests that a bad version may get until the deadline: a share of the
// requests of the service, and a number beside it.
type Bound struct {
	Share     float64
	Tolerance int
}

// State is the state of a rollout as kept in the store.
type State struct {
	Target string `json:"target"`
	// OrderRevision and OrderEra are the store's position at which the order was first seen.
	// It identifies the order, also when that is written again after a restore of the store.
	OrderRevision uint64 `json:"order"`
	OrderEra      uint64 `json:"order_era,omitempty"`
	Phase         Phase  `json:"phase"`
	// StartedMS is the Unix time in milliseconds at which the order was first seen.
	StartedMS int64 `json:"started_ms"`
	// Rejected lists the versions that earlier rollouts of the service reverted, the latest
	// last. Their servers may still be there.
	Rejected []string `json:"rejected,omitempty"`
	// Budget is the share of the service's requests that the target may get until the deadline. It
	// is known from phase Wide on.
	Budget float64 `json:"budget,omitempty"`
}

// maxRejected bounds the versions that a state remembers as rejected.
const maxRejected = 8

// RejectedBefore returns the rejected versions for a rollout of target that follows s.
func (s State) RejectedBefore(target string) []string {
	list := slices.Clone(s.Rejected)
	if s.Phase == Reverted {
		list = append(list, s.Target)
	}
	list = slices.DeleteFunc(list, func(version string) bool { return version == target })
	return list[max(0, len(list)-maxRejected):]
}

// Order returns the position that identifies the order.
func (s State) Order() kv.Position {
	return kv.Position{Era: s.OrderEra, Revision: kv.Revision(s.OrderRevision)}
}

// Before tells whether s is an earlier state than other: that of an earlier order, or an
// earlier phase of the same one. A final phase is never followed by another one.
func (s State) Before(other State) bool {
	if order := s.Order(); order != other.Order() {
		return other.Order().After(order)
	}
	return s.Phase.rank() < other.Phase.rank()
}

// Known reports whether the phase is one of this package.
func (p Phase) Known() bool { return p.rank() > 0 }

// rank orders the phases; the final ones are equal.
func (p Phase) rank() int {
	switch p {
	case Hold:
		return 1
	case Canary:
		return 2
	case Wide:
		return 3
	case Full:
		return 4
	case Completed, Reverted:
		return 5
	}
	return 0
}

// Final tells whether the rollout has ended.
func (s State) Final() bool { return s.Phase == Completed || s.Phase == Reverted }

// Counts holds the numbers of good and bad answers of a version.
type Counts struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

// Add returns the sum of c and o.
func (c Counts) Add(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// Total returns the number of answers.
func (c Counts) Total() int { return c.Good + c.Bad }

func (c Counts) badRate() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// exceedsBadRate tells whether the rate of bad answers is above the bound and there are
// at least the given number of bad answers.
func (c Counts) exceedsBadRate(bound float64, atLeast int) bool {
	return c.Bad >= atLeast && c.badRate() > bound
}

// Evidence holds the answers of both versions since the target gets requests.
type Evidence struct {
	Target Counts `json:"target"`
	Base   Counts `json:"base"`
	// TargetPace and BasePace count the streams of both versions by the time between
	// their events.
	TargetPace Pace `json:"target_pace,omitzero"`
	BasePace   Pace `json:"base_pace,omitzero"`
	// Recent counts the target's recent answers; the zero value if they are not known.
	Recent Counts `json:"-"`
	// Surge is how many times as many requests the service gets now as on average since the target
	// gets some; 0 if that is not known.
	Surge float64 `json:"-"`
	// SingleRouter is set when the evidence is that of one router among many. Each of
	// them tests its own evidence, so a larger margin is needed: otherwise one of them
	// would often reject a good version by chance.
	SingleRouter bool `json:"-"`
}

// Add returns the pooled evidence of e and o.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{
		Target: e.Target.Add(o.Target), Base: e.Base.Add(o.Base),
		TargetPace: e.TargetPace.Add(o.TargetPace), BasePace: e.BasePace.Add(o.BasePace),
	}
}

// Total returns the number of answers of both versions.
func (e Evidence) Total() int { return e.Target.Total() + e.Base.Total() }

// TargetWorse tells whether the target is significantly worse than the old version. A
// false positive costs a repeated rollout, a false negative costs answers to callers.
// The test therefore needs little evidence, but more than chance often produces.
func (e Evidence) TargetWorse() bool {
	allowed := e.allowedRate()
	deviations := pooledDeviations
	if e.SingleRouter {
		deviations = singleRouterDeviations
	}
	margin := deviations * math.Sqrt(allowed*(1-allowed)/float64(max(e.Target.Total(), 1)))
	return e.Target.exceedsBadRate(allowed+margin, minBad)
}

// looksWorse tells whether the target's rate of bad answers is above the allowed rate,
// though not yet significantly.
func (e Evidence) looksWorse() bool {
	return e.Target.exceedsBadRate(e.allowedRate(), minBadToHold)
}

// fitForFullShare tells whether the target may get all requests. It is not compared with
// the old version: an old version that fails for a reason of its own would excuse any
// failure of the target.
func (e Evidence) fitForFullShare() bool {
	return e.Target.badRate() <= maxFullShareBadRate && e.Recent.badRate() <= maxRecentBadRate
}

// unfitForFullShare tells whether a target that gets all requests must be reverted: its
// exposure grows too fast to wait for a significant difference from the old version.
func (e Evidence) unfitForFullShare() bool {
	return e.Target.Total() >= 2*MinSamples && e.Target.badRate() > maxFullShareBadRate
}

// failing tells whether the target fails so often that it must be reverted whatever the
// rate of the old version is.
func (e Evidence) failing() bool { return e.Target.exceedsBadRate(failingRate, 2*minBad) }

// failedAtDeadline tells whether the target has failed too often to get requests after
// the deadline, whatever the rate of the old version is.
func (e Evidence) failedAtDeadline() bool { return e.Target.exceedsBadRate(toleratedBadRate, 2*minBad) }

// fitForLateFullShare tells whether the target may still get all requests shortly before
// the deadline. This needs more evidence than earlier, because the rollout would be
// completed right afterwards.
func (e Evidence) fitForLateFullShare() bool {
	return e.Target.Total() >= 3*MinSamples && e.Target.badRate() <= toleratedBadRate
}

// provenForFullShare tells whether there is enough evidence for the target to get all requests.
func (e Evidence) provenForFullShare(progress float64) bool {
	return e.Target.Total() >= MinSamples && e.paceFit() && e.fitForFullShare() && (progress < lateStart || e.fitForLateFullShare())
}

// allowedRate returns the rate of bad answers up to which the target does not count as
// worse than the old version.
func (e Evidence) allowedRate() float64 {
	return min(max(toleratedBadRate, e.Base.badRate()*baseFactor+baseMargin), maxAllowedBadRate)
}

// NextPhase returns the phase that follows the state, given the evidence, the time since
// the order and the time between order and deadline.
func NextPhase(s State, e Evidence, elapsed, duration time.Duration) Phase {
	if s.Final() {
		return s.Phase
	}
	if e.TargetWorse() {
		return Reverted
	}
	progress := float64(elapsed) / float64(max(duration, 1))
	if Exposed(s.Phase) && (e.failing() || e.TargetSlower() || progress >= 1 && e.failedAtDeadline()) {
		return Reverted
	}
	if s.Phase == Full && e.unfitForFullShare() {
		return Reverted
	}
	switch {
	case s.Phase == Hold && progress >= canaryStart:
		return Canary
	case s.Phase == Canary && progress >= wideStart && e.Target.Total() > 0 && !e.looksWorse():
		return Wide
	case s.Phase == Wide && s.mayTakeAll(e.Surge, progress) && e.provenForFullShare(progress):
		return Full
	case s.Phase == Full && progress >= completeStart && e.Target.Total() >= 2*MinSamples && e.fitForFullShare():
		return Completed
	}
	return s.Phase
}

// Exposed tells whether the target gets requests in a phase.
func Exposed(phase Phase) bool { return phase == Canary || phase == Wide || phase == Full }

// Compared tells whether both versions get requests in a phase, so that their paces can be
// compared.
func Compared(phase Phase) bool { return phase == Canary || phase == Wide }

// Share returns the fraction of the sessions that use the target.
func (s State) Share(bound Bound) float64 {
	switch s.Phase {
	case Canary:
		return min(1, canaryExposureFactor*bound.Share)
	case Wide:
		return min(1, wideExposureFactor*cmp.Or(s.Budget, bound.Share))
	case Full, Completed:
		return 1
	}
	return 0
}
