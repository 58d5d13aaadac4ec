// Package rollout decides how a new version of a service replaces the old one.
// The decisions are pure functions of the plan, the pooled evidence and the time
// since the order; the plan is kept in the store by the caller.
package rollout

import (
	"math"
	"time"
)

// Phase is a step of a roll-out.
type Phase string

// Phases in order. Completed and Reverted are final.
const (
	// Hold keeps every session on the old version.
	Hold Phase = "hold"
	// Canary gives the new version a small share of the sessions.
	Canary Phase = "canary"
	// Wide gives it a larger share.
	Wide Phase = "wide"
	// Full gives it all requests; requests in progress end at the old version.
	Full Phase = "full"
	// Completed: the old version is given up.
	Completed Phase = "completed"
	// Reverted: the new version is given up.
	Reverted Phase = "reverted"
)

// Parts of the time between order and deadline at which phases begin. Sessions
// keep their version through the first half.
const (
	canaryFrom = 0.52
	wideFrom   = 0.64
	fullFrom   = 0.74
	// completeFrom leaves time for an order that was heard of late.
	completeFrom = 0.89
)

const (
	// wideOfBound is the share in phase Wide as a multiple of the exposure bound.
	wideOfBound = 1.6
	// canaryOfBound is the same for phase Canary.
	canaryOfBound = 0.6
	// leastBad is the number of bad answers below which nothing is concluded.
	leastBad = 4
	// leastDoubt is the same for keeping a version at its small share.
	leastDoubt = 2
	// leastBadRate is the rate of bad answers that any version may have.
	leastBadRate = 0.12
	// deviations is by how many standard deviations of its evidence a version must
	// be worse. Without them, 4 bad answers of 26 condemned a good version.
	deviations = 1.3
	// deviationsAlone is the same for the evidence of one router alone.
	deviationsAlone = 3.0
	// baseFactor and baseMargin relate it to the rate of the old version.
	baseFactor = 1.3
	baseMargin = 0.08
	// fitRate is the rate of bad answers up to which a version may get all requests.
	fitRate = 0.2
	// failingRate is the rate from which a version is given up however bad the old one
	// is. Cut off data centres made old versions fail at 0.25, which allowed 0.4.
	failingRate = 0.3
	// mostBadRate condemns a version however bad the old one's answers are.
	mostBadRate = 0.45
	// leastSamples is the evidence without which a version does not get all requests.
	leastSamples = 16
)

// State is the state of a roll-out in the store.
type State struct {
	Target string `json:"target"`
	// OrderRevision is the store's revision of the order.
	OrderRevision uint64 `json:"order"`
	Phase         Phase  `json:"phase"`
	// StartedMS is the Unix time in milliseconds at which the order was seen first.
	StartedMS int64 `json:"started_ms"`
}

// Final tells whether the roll-out has ended.
func (p State) Final() bool { return p.Phase == Completed || p.Phase == Reverted }

// Counts are answers of a version.
type Counts struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

// Add adds counts.
func (c Counts) Add(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// Total is the number of answers.
func (c Counts) Total() int { return c.Good + c.Bad }

func (c Counts) rate() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// failsOver tells whether the rate of bad answers is over a bound, with so many of them.
func (c Counts) failsOver(bound float64, bad int) bool { return c.Bad >= bad && c.rate() > bound }

// Evidence is what is known of both versions since the target gets requests.
type Evidence struct {
	Target Counts `json:"target"`
	Base   Counts `json:"base"`
	// SingleRouter is set where the evidence is that of one router among many. Each of them
	// tests its own, so that one would often condemn a good version by chance.
	SingleRouter bool `json:"-"`
}

// Add adds evidence.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{Target: e.Target.Add(o.Target), Base: e.Base.Add(o.Base)}
}

// Total is the number of answers of both versions.
func (e Evidence) Total() int { return e.Target.Total() + e.Base.Total() }

// TargetWorse tells whether the target is worse than the old version. A wrong
// verdict costs a repeated roll-out, a missed one costs callers' answers, so the
// test needs little evidence, but more than chance gives.
func (e Evidence) TargetWorse() bool {
	allowed := e.allowedRate()
	margin := deviations
	if e.SingleRouter {
		margin = deviationsAlone
	}
	chance := margin * math.Sqrt(allowed*(1-allowed)/float64(max(e.Target.Total(), 1)))
	return e.Target.failsOver(allowed+chance, leastBad)
}

// doubtful tells whether the target looks worse on evidence that condemns nothing yet.
func (e Evidence) doubtful() bool {
	return e.Target.failsOver(e.allowedRate(), leastDoubt)
}

// fitForAll tells whether a version may get all requests. The old version does not
// count here: one that fails for a reason of its own would excuse any failure.
func (e Evidence) fitForAll() bool { return e.Target.rate() <= fitRate }

// failing tells whether a version fails so often that it must go whatever the old
// version does.
func (e Evidence) failing() bool { return e.Target.failsOver(failingRate, 2*leastBad) }

// unproven tells whether a version whose time is over has failed so often that it must
// not stay exposed, whatever the old version does.
func (e Evidence) unproven() bool { return e.Target.failsOver(leastBadRate, 2*leastBad) }

// clean tells whether a version has shown enough to get all requests when its time is
// nearly over: it would be completed right afterwards, without more evidence.
func (e Evidence) clean() bool {
	return e.Target.Total() >= 3*leastSamples && e.Target.rate() <= leastBadRate
}

// allowedRate is the rate of bad answers up to which the target is not worse.
func (e Evidence) allowedRate() float64 {
	return min(max(leastBadRate, e.Base.rate()*baseFactor+baseMargin), mostBadRate)
}

// NextPhase returns the phase that follows at a time since the order.
func NextPhase(p State, e Evidence, elapsed, duration time.Duration) Phase {
	if p.Final() {
		return p.Phase
	}
	if e.TargetWorse() {
		return Reverted
	}
	part := float64(elapsed) / float64(max(duration, 1))
	if Exposed(p.Phase) && (e.failing() || part >= 1 && e.unproven()) {
		return Reverted
	}
	enough := e.Target.Total() >= leastSamples
	switch {
	case p.Phase == Hold && part >= canaryFrom:
		return Canary
	case p.Phase == Canary && part >= wideFrom && e.Target.Total() > 0 && !e.doubtful():
		return Wide
	case p.Phase == Wide && part >= fullFrom && enough && e.fitForAll() && (part < completeFrom || e.clean()):
		return Full
	case p.Phase == Full && part >= completeFrom && e.Target.Total() >= 2*leastSamples && e.fitForAll():
		return Completed
	}
	return p.Phase
}

// Exposed tells whether the target gets requests in a phase.
func Exposed(phase Phase) bool { return phase == Canary || phase == Wide || phase == Full }

// Share returns the part of the sessions that the target gets in a phase, for a
// bound on the part of the requests that a bad version may get.
func Share(phase Phase, bound float64) float64 {
	switch phase {
	case Canary:
		return min(1, canaryOfBound*bound)
	case Wide:
		return min(1, wideOfBound*bound)
	case Full, Completed:
		return 1
	}
	return 0
}
