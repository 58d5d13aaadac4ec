package routing

import (
	"math"

	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
)

// Defaults of the sequential test and of AdvanceRule.
const (
	// DefaultStopLevel bounds the probability that a good version is ever stopped in one
	// generation of a rollout.
	DefaultStopLevel = 0.01
	// DefaultRatingsPerStep is the number of ratings of the candidate that each step of
	// a rollout needs before the next one.
	DefaultRatingsPerStep = 300
)

// HoldReason says why a rollout does not advance to its next step.
type HoldReason string

// Values of HoldReason. The empty value means that the rollout may advance.
const (
	HoldUnknown           HoldReason = "unknown_rollout"
	HoldNotRunning        HoldReason = "not_running"
	HoldLastStep          HoldReason = "last_step"
	HoldCandidateStopped  HoldReason = "candidate_takes_no_work"
	HoldRatingUnavailable HoldReason = "rating_down"
	HoldFewRatings        HoldReason = "few_ratings"
	HoldEvidence          HoldReason = "evidence_against"
)

// AdvanceDecision is the result of Snapshot.CheckAdvance.
type AdvanceDecision struct {
	// Hold is empty when the rollout may advance to the step Next.
	Hold HoldReason
	Next int
	// Ratings is the candidate's number of ratings in this generation, Needed the number
	// that the step requires.
	Ratings uint64
	Needed  uint64
	// LogE is the logarithm of the e-value against the hypothesis that the candidate is
	// no worse than the base.
	LogE float64
}

// AdvanceRule sets how much evidence a rollout needs to advance.
type AdvanceRule struct {
	RatingsPerStep uint64
	Test           stats.Sequential
}

// DefaultAdvanceRule returns the rule that is used when none is configured.
func DefaultAdvanceRule() AdvanceRule {
	return AdvanceRule{RatingsPerStep: DefaultRatingsPerStep, Test: DefaultStopTest()}
}

// DefaultStopTest returns the sequential test that is used when none is configured.
func DefaultStopTest() stats.Sequential {
	return stats.Sequential{Method: stats.Betting, Level: DefaultStopLevel}
}

// CheckAdvance decides whether the rollout may advance to its next step. It changes
// nothing: the caller proposes a bundle with the higher step.
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
	case !s.acceptsWork(r.Model, r.To):
		d.Hold = HoldCandidateStopped
	case !s.ratingAvailable:
		d.Hold = HoldRatingUnavailable
	case d.Ratings < d.Needed:
		d.Hold = HoldFewRatings
	case rule.evidenceAgainst(d.LogE):
		d.Hold = HoldEvidence
	}
	return d
}

// step returns the effective step of a rollout. For an automatic rollout it is
// computed from the pooled ratings, so that all routers with the same ratings use the
// same share without coordination. Evidence against the candidate resets it to the step
// in the bundle. Sessions keep their version in any case.
func (s *Snapshot) step(r *bundle.Rollout) int {
	if !r.Automatic || r.State != bundle.RolloutRunning {
		return r.Step
	}
	rule := DefaultAdvanceRule()
	candidate, base := s.TrialRatings(r)
	if rule.evidenceAgainst(rule.Test.Worse(candidate, base).LogE) {
		return r.Step
	}
	return min(r.Step+int(candidate.Count/rule.RatingsPerStep), len(r.Steps)-1)
}

// evidenceAgainst tells whether the evidence against the candidate is strong enough to
// hold its share: half of what stops it, on the logarithmic scale.
func (r AdvanceRule) evidenceAgainst(logE float64) bool {
	return logE >= -math.Log(r.Test.Level)/2
}

// TrialRatings returns the pooled ratings of the candidate and the base version in the
// current generation of the rollout.
func (s *Snapshot) TrialRatings(r *bundle.Rollout) (candidate, base stats.Counter) {
	tag := rolloutTag(r.ID, r.Generation)
	return s.evidence.trials[trialKey{tag, r.Model, r.To}], s.evidence.trials[trialKey{tag, r.Model, r.From}]
}

func (s *Snapshot) rollout(id string) *bundle.Rollout {
	for i := range s.bundle.Rollouts {
		if s.bundle.Rollouts[i].ID == id {
			return &s.bundle.Rollouts[i]
		}
	}
	return nil
}

// acceptsWork tells whether the version is neither withdrawn nor stopped.
func (s *Snapshot) acceptsWork(modelName, versionName string) bool {
	m, ok := s.models[modelName]
	if !ok {
		return false
	}
	_, v := m.find(versionName)
	return v != nil && v.state == ReasonNone
}
