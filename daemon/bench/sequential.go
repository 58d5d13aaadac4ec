package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"cactusknot.example/coord/stats"
)

const (
	sequentialRuns    = 500
	sequentialRatings = 6000
	// sequentialTestInterval is the number of ratings between two evaluations
	// of the test.
	sequentialTestInterval = 40
	// sequentialCandidateShare is the share of the ratings that the candidate
	// gets.
	sequentialCandidateShare = 0.2
)

// RunSequential compares the sequential tests on ratings of the model that each
// deployment rolls out. It measures the false stop rate with equal versions and
// the number of candidate ratings until a bad version is stopped.
func RunSequential(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "sequential", Notes: fmt.Sprintf(
		"level 0.01, %d roll-outs per seed, %d ratings each, a look after every %d", int(sequentialRuns*o.Scale), sequentialRatings, sequentialTestInterval)}
	workloads, err := loadWorkloads(o)
	if err != nil {
		return report, err
	}
	for _, w := range workloads {
		for _, method := range []stats.Method{stats.EmpiricalBernstein, stats.Betting, stats.Hoeffding} {
			for _, seed := range o.Seeds {
				if ctx.Err() != nil {
					return report, ctx.Err()
				}
				report.Rows = append(report.Rows, sequentialRow(w, method, seed, int(sequentialRuns*o.Scale)))
			}
			name := "false stops, " + method.String()
			report.checkAtMost(w.Name, name, 0.01, report.worstValue(w.Name, method.String(), "false stops"))
		}
	}
	return report, nil
}

func sequentialRow(w *Workload, method stats.Method, seed uint64, runs int) Row {
	row := Row{Measure: "sequential", Deployment: w.Name, Variant: method.String(), Seed: seed}
	test := stats.Sequential{Method: method, Level: 0.01}
	rng := rand.New(rand.NewPCG(seed, 4))
	stopped := 0
	for range runs {
		if _, fired := sequentialRun(w, test, rng, 0); fired {
			stopped++
		}
	}
	row.Values = append(row.Values, Value{"false stops", "", float64(stopped) / float64(runs)})
	for _, failures := range w.Rollout.FailureShares {
		var ratings []float64
		for range max(1, runs/10) {
			n, _ := sequentialRun(w, test, rng, failures)
			ratings = append(ratings, float64(n))
		}
		slices.Sort(ratings)
		name := fmt.Sprintf("ratings to stop, %.0f%% failures", failures*100)
		row.Values = append(row.Values, Value{name, "", medianOfSorted(ratings)})
	}
	return row
}

// sequentialRun returns the number of candidate ratings when the test stopped
// the version or the ratings ended, and whether it stopped the version.
func sequentialRun(w *Workload, test stats.Sequential, rng *rand.Rand, failures float64) (uint64, bool) {
	model := w.modelIndex(w.Rollout.Model)
	var candidate, base stats.Counter
	for i := range sequentialRatings {
		d := w.drawRequest(rng)
		rating := d.answers[model].rating
		if rng.Float64() < sequentialCandidateShare {
			if rng.Float64() < failures {
				rating = w.Rollout.FailureScore
			}
			candidate, _ = candidate.Add(rating)
		} else {
			base, _ = base.Add(rating)
		}
		if (i+1)%sequentialTestInterval == 0 && test.Worse(candidate, base).Rejected {
			return candidate.Count, true
		}
	}
	return candidate.Count, false
}
