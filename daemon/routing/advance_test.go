package routing

import (
	"testing"

	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
)

// automaticBundle returns a bundle with an automatic rollout of small@2.
func automaticBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Models: []bundle.Model{{Name: "small", Current: "1", Versions: []bundle.Version{
			{Name: "1", State: bundle.VersionServing},
			{Name: "2", State: bundle.VersionServing},
		}}},
		Rollouts: []bundle.Rollout{{
			ID: "r", Model: "small", From: "1", To: "2", Steps: []float64{0.01, 0.1, 1},
			State: bundle.RolloutRunning, Automatic: true, Generation: 3,
		}},
		Workspaces: []bundle.Workspace{{Name: "w", Allowed: []string{"small"}}},
	}
}

// ratedTrial returns n ratings of each version in the rollout, with the given means.
func ratedTrial(n uint64, base, candidate float64) Quality {
	tags := Tags{Rollout: rolloutTag("r", 3), Bin: NoBin}.Encode()
	counter := func(mean float64) stats.Counter {
		// All ratings are 0 or 1, so the sum of squares equals the sum.
		sum := mean * float64(n)
		return stats.Counter{Count: n, Sum: sum, SumSquares: sum}
	}
	return Quality{RatingAvailable: true, Ratings: map[CounterKey]stats.Counter{
		{Workspace: "w", Model: "small", Version: "1", Kind: tags}: counter(base),
		{Workspace: "w", Model: "small", Version: "2", Kind: tags}: counter(candidate),
	}}
}

// An automatic rollout must not advance without ratings, while it is paused, or with
// evidence against its candidate.
func TestAutomaticRolloutAdvancesByRatingsOnly(t *testing.T) {
	for _, c := range []struct {
		name            string
		ratings         uint64
		base, candidate float64
		paused          bool
		want            float64
	}{
		{"no ratings", 0, 0, 0, false, 0.01},
		{"few ratings", DefaultRatingsPerStep - 1, 0.9, 0.9, false, 0.01},
		{"one step", DefaultRatingsPerStep, 0.9, 0.9, false, 0.1},
		{"last step", 5 * DefaultRatingsPerStep, 0.9, 0.9, false, 1},
		{"paused", 5 * DefaultRatingsPerStep, 0.9, 0.9, true, 0.01},
		{"worse candidate", 5 * DefaultRatingsPerStep, 0.9, 0.6, false, 0.01},
	} {
		b := automaticBundle()
		if c.paused {
			b.Rollouts[0].State = bundle.RolloutPaused
		}
		s := NewSnapshot(b, 1, nil, ratedTrial(c.ratings, c.base, c.candidate))
		if got := b.Rollouts[0].Steps[s.step(&b.Rollouts[0])]; got != c.want {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
}
