package rollout

import (
	"cmp"
	"time"
)

const (
	// spentShare is the share of the budget that may be planned to be used.
	spentShare = 0.97
	// expectedSurge is how many times as many requests as on average may come while the target
	// gets all of them.
	expectedSurge = 1.25
	// maxBudgetFactor bounds the budget as a multiple of the bound's share. The number of requests is
	// estimated from few answers.
	maxBudgetFactor = 1.4
	// defaultBudget is the budget of a state without one.
	defaultBudget = 0.15
	// evidenceDelay is about how old pooled evidence is, and answeredShare about the share of the
	// requests that it tells of: not of repeated ones, and of answers that a larger model replaces.
	evidenceDelay = 800 * time.Millisecond
	answeredShare = 0.7
)

// Enter returns the state in a phase. Entering phase Wide sets the budget.
func (s State) Enter(phase Phase, bound Bound, e Evidence, elapsed, duration time.Duration) State {
	s.Phase = phase
	if phase == Wide {
		s.Budget = budget(bound, e, elapsed, duration)
	}
	return s
}

// budget returns the share of the service's requests that the target may get until the deadline.
func budget(bound Bound, e Evidence, elapsed, duration time.Duration) float64 {
	exposed := elapsed - time.Duration(canaryStart*float64(duration))
	if exposed <= 0 || e.Total() == 0 {
		return bound.Share
	}
	counted := max(exposed-evidenceDelay, exposed/2)
	requests := float64(e.Total()) / answeredShare * duration.Seconds() / counted.Seconds()
	return min(bound.Share+float64(bound.Tolerance)/requests, maxBudgetFactor*bound.Share)
}

// mayTakeAll reports whether the target may get all requests from now to the deadline within the
// budget. A version may fail only under the load of all requests, or above it, so that nothing is seen
// of it before.
func (s State) mayTakeAll(surge, progress float64) bool {
	budget := cmp.Or(s.Budget, defaultBudget)
	spent := canaryExposureFactor*(wideStart-canaryStart) + wideExposureFactor*(progress-wideStart)
	return budget*spent+max(expectedSurge, surge)*(1-progress) <= spentShare*budget
}
