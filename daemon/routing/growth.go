package routing

import (
	"math"

	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
)

// Defaults of the rules.
const (
	// DefaultStopLevel is the probability that a good version is ever stopped in
	// one generation of a roll-out.
	DefaultStopLevel = 0.01
	// DefaultRatingsPerStep is the number of ratings of the candidate that each
	// step of a roll-out adds before the next one is taken.
	DefaultRatingsPerStep = 300
)

// GrowthHold says why a roll-out does not take its next step.
type GrowthHold string

// Values of GrowthHold; the empty value means that it does.
const (
	HoldUnknown    GrowthHold = "unknown_rollout"
	HoldState      GrowthHold = "not_running"
	HoldLastStep   GrowthHold = "last_step"
	HoldStopped    GrowthHold = "candidate_takes_no_work"
	HoldRatingDown GrowthHold = "rating_down"
	HoldRatings    GrowthHold = "few_ratings"
	HoldEvidence   GrowthHold = "evidence_against"
)

// GrowthDecision is the outcome of Growth.
type GrowthDecision struct {
	// Hold is empty when the roll-out may take the step Next.
	Hold GrowthHold
	Next int
	// Ratings are the candidate's in this generation, Needed those for the step.
	Ratings uint64
	Needed  uint64
	// LogE is the evidence that the candidate is worse.
	LogE float64
}

// GrowthRule sets how much evidence a step needs.
type GrowthRule struct {
	RatingsPerStep uint64
	Test           stats.Sequential
}

// DefaultGrowthRule returns the rule used without settings.
func DefaultGrowthRule() GrowthRule {
	return GrowthRule{RatingsPerStep: DefaultRatingsPerStep, Test: DefaultStopTest()}
}

// DefaultStopTest returns the test used without settings.
func DefaultStopTest() stats.Sequential {
	return stats.Sequential{Method: stats.Betting, Level: DefaultStopLevel}
}

// Growth decides whether the roll-out may take its next step. The bundle stays
// the state: the caller proposes a bundle with the higher step.
func (s *Snapshot) Growth(rolloutID string, rule GrowthRule) GrowthDecision {
	r := s.rollout(rolloutID)
	if r == nil {
		return GrowthDecision{Hold: HoldUnknown}
	}
	candidate, base := s.Trial(r)
	d := GrowthDecision{
		Next:    r.Step + 1,
		Ratings: candidate.Count,
		Needed:  rule.RatingsPerStep * uint64(r.Step+1),
		LogE:    rule.Test.Worse(candidate, base).LogE,
	}
	switch {
	case r.State != bundle.RolloutRunning:
		d.Hold = HoldState
	case r.Step+1 >= len(r.Steps):
		d.Hold = HoldLastStep
	case !s.takesWork(r.Model, r.To):
		d.Hold = HoldStopped
	case !s.ratingUp:
		d.Hold = HoldRatingDown
	case d.Ratings < d.Needed:
		d.Hold = HoldRatings
	case rule.suspicious(d.LogE):
		d.Hold = HoldEvidence
	}
	return d
}

// step returns the step in force. That of an automatic roll-out follows from the
// pooled ratings, so all routers with the same evidence use the same share
// without an order; evidence against the candidate takes the share back to the
// step of the bundle. Sessions keep their version either way.
func (s *Snapshot) step(r *bundle.Rollout) int {
	if !r.Automatic || r.State != bundle.RolloutRunning {
		return r.Step
	}
	rule := DefaultGrowthRule()
	candidate, base := s.Trial(r)
	if rule.suspicious(rule.Test.Worse(candidate, base).LogE) {
		return r.Step
	}
	return min(r.Step+int(candidate.Count/rule.RatingsPerStep), len(r.Steps)-1)
}

// suspicious tells whether the evidence against the candidate holds its share:
// half of the stopping evidence on the logarithmic scale does.
func (g GrowthRule) suspicious(logE float64) bool {
	return logE >= -math.Log(g.Test.Level)/2
}

// Trial returns the pooled ratings of candidate and base in the generation of
// the roll-out.
func (s *Snapshot) Trial(r *bundle.Rollout) (candidate, base stats.Counter) {
	tag := rolloutTag(r.ID, r.Generation)
	return s.evidence.trials[trialID{tag, r.Model, r.To}], s.evidence.trials[trialID{tag, r.Model, r.From}]
}

func (s *Snapshot) rollout(id string) *bundle.Rollout {
	for i := range s.bundle.Rollouts {
		if s.bundle.Rollouts[i].ID == id {
			return &s.bundle.Rollouts[i]
		}
	}
	return nil
}

func (s *Snapshot) takesWork(modelName, versionName string) bool {
	m, ok := s.models[modelName]
	if !ok {
		return false
	}
	_, v := m.find(versionName)
	return v != nil && v.state == ReasonNone
}
