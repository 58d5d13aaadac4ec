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

// HoldReason says why a roll-out does not take its next step.
type HoldReason string

// Values of GrowthHold; the empty value means that it does.
const (
	HoldUnknown           HoldReason = "unknown_rollout"
	HoldNotRunning        HoldReason = "not_running"
	HoldLastStep          HoldReason = "last_step"
	HoldCandidateStopped  HoldReason = "candidate_takes_no_work"
	HoldRatingUnavailable HoldReason = "rating_down"
	HoldFewRatings        HoldReason = "few_ratings"
	HoldEvidence          HoldReason = "evidence_against"
)

// AdvanceDecision is the outcome of Growth.
type AdvanceDecision struct {
	// Hold is empty when the roll-out may take the step Next.
	Hold HoldReason
	Next int
	// Ratings are the candidate's in this generation, Needed those for the step.
	Ratings uint64
	Needed  uint64
	// LogE is the evidence that the candidate is worse.
	LogE float64
}

// AdvanceRule sets how much evidence a step needs.
type AdvanceRule struct {
	RatingsPerStep uint64
	Test           stats.Sequential
}

// DefaultAdvanceRule returns the rule used without settings.
func DefaultAdvanceRule() AdvanceRule {
	return AdvanceRule{RatingsPerStep: DefaultRatingsPerStep, Test: DefaultStopTest()}
}

// DefaultStopTest returns the test used without settings.
func DefaultStopTest() stats.Sequential {
	return stats.Sequential{Method: stats.Betting, Level: DefaultStopLevel}
}

// CheckAdvance decides whether the roll-out may take its next step. The bundle stays
// the state: the caller proposes a bundle with the higher step.
func (s *Snapshot) CheckAdvance(rolloutID string, rule AdvanceRule) AdvanceDecision {
	r := s.rollout(rolloutID)
	if r == nil {
		return AdvanceDecision{Hold: HoldUnknown}
	}
	candidate, base := s.TrialRatings(r)
	d := AdvanceDecision{
		Next:    r.Step + 1,
		Ratings: candidate.Count,
		Needed:  rule.RatingsPerStep * uint64(r.Step+1),
		LogE:    rule.Test.Worse(candidate, base).LogE,
	}
	switch {
	case r.State != bundle.RolloutRunning:
		d.Hold = HoldNotRunning
	case r.Step+1 >= len(r.Steps):
		d.Hold = HoldLastStep
	case !s.takesWork(r.Model, r.To):
		d.Hold = HoldCandidateStopped
	case !s.ratingUp:
		d.Hold = HoldRatingUnavailable
	case d.Ratings < d.Needed:
		d.Hold = HoldFewRatings
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
	rule := DefaultAdvanceRule()
	candidate, base := s.TrialRatings(r)
	if rule.suspicious(rule.Test.Worse(candidate, base).LogE) {
		return r.Step
	}
	return min(r.Step+int(candidate.Count/rule.RatingsPerStep), len(r.Steps)-1)
}

// suspicious tells whether the evidence against the candidate holds its share:
// half of the stopping evidence on the logarithmic scale does.
func (g AdvanceRule) suspicious(logE float64) bool {
	return logE >= -math.Log(g.Test.Level)/2
}

// TrialRatings returns the pooled ratings of candidate and base in the generation of
// the roll-out.
func (s *Snapshot) TrialRatings(r *bundle.Rollout) (candidate, base stats.Counter) {
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
