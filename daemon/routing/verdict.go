package routing

import (
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
)

// VerdictCause names the sequential test that fired.
type VerdictCause string

// Values of VerdictCause.
const (
	// CauseWorse: the candidate of a rollout is worse than the version it replaces.
	CauseWorse VerdictCause = "worse_than_base"
	// CauseBelowTarget: the current version is below the quality targets of the
	// workspaces.
	CauseBelowTarget VerdictCause = "below_target"
)

// Verdict is the result of a sequential test that fired.
type Verdict struct {
	Stop  StopNotice
	Cause VerdictCause
	// Alert is true when the caller must raise an alert instead of stopping the version,
	// because no other version of the model is known to do better.
	Alert bool
	// LogE is the logarithm of the test's e-value.
	LogE float64
}

// Verdicts runs the sequential tests and returns those that fired. Versions that accept
// no work are not tested.
func (s *Snapshot) Verdicts(test stats.Sequential) []Verdict {
	var out []Verdict
	for i := range s.bundle.Rollouts {
		r := &s.bundle.Rollouts[i]
		active := r.State == bundle.RolloutRunning || r.State == bundle.RolloutPaused
		if !active || !s.acceptsWork(r.Model, r.To) {
			continue
		}
		if e := test.Worse(s.TrialRatings(r)); e.Rejected {
			stop := StopNotice{Model: r.Model, Version: r.To, Generation: r.Generation}
			out = append(out, Verdict{Stop: stop, Cause: CauseWorse, LogE: e.LogE})
		}
	}
	for i := range s.bundle.Models {
		if v, fired := s.targetVerdict(&s.bundle.Models[i], test); fired {
			out = append(out, v)
		}
	}
	return out
}

// targetVerdict tests the current version of a model against the quality targets. Each
// rating is compared with the target of its own workspace.
func (s *Snapshot) targetVerdict(m *bundle.Model, test stats.Sequential) (Verdict, bool) {
	if !s.acceptsWork(m.Name, m.Current) {
		return Verdict{}, false
	}
	e := test.Below(s.againstTargets(m.Name, m.Current)...)
	if !e.Rejected {
		return Verdict{}, false
	}
	_, v := s.models[m.Name].find(m.Current)
	return Verdict{
		Stop:  StopNotice{Model: m.Name, Version: m.Current, Generation: v.generation},
		Cause: CauseBelowTarget,
		Alert: !s.betterVersion(m),
		LogE:  e.LogE,
	}, true
}

// againstTargets returns the version's ratings by workspace, each with the target of
// the workspace.
func (s *Snapshot) againstTargets(modelName, versionName string) []stats.Stratum {
	var out []stats.Stratum
	for i := range s.bundle.Workspaces {
		w := &s.bundle.Workspaces[i]
		c := s.evidence.ratings[ratingsKey{w.Name, modelName, versionName, ""}].firstCounters().total()
		if c.Count > 0 && allows(w, modelName, versionName) {
			out = append(out, stats.Stratum{Counter: c, Mean: w.QualityTarget})
		}
	}
	return out
}

// betterVersion tells whether the model has another accepted version whose ratings are
// known to meet the targets on average. Without this condition, a cheap model that is
// the first step of cascades and never meets the targets alone would be stopped.
func (s *Snapshot) betterVersion(m *bundle.Model) bool {
	for _, v := range s.models[m.Name].versions {
		if v.name == m.Current || v.candidate || v.state != ReasonNone {
			continue
		}
		var ratings, excess float64
		for _, part := range s.againstTargets(m.Name, v.name) {
			n := float64(part.Counter.Count)
			ratings += n
			excess += part.Counter.Sum - n*part.Mean
		}
		if ratings >= minKnownRatings && excess >= 0 {
			return true
		}
	}
	return false
}
