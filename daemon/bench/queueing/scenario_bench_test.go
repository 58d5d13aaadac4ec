package queueing

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxParallelSeeds is the maximum number of seeds that run in parallel.
const maxParallelSeeds = 3

// runSeeds runs a scenario with all seeds and returns the results in seed order.
func runSeeds[T any](b *testing.B, run func(context.Context, uint64) ([]T, error)) [][]T {
	out := make([][]T, *seeds)
	errs := make([]error, *seeds)
	slots := make(chan struct{}, maxParallelSeeds)
	var wait sync.WaitGroup
	for i := range *seeds {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i], errs[i] = run(context.Background(), uint64(i+1))
		})
	}
	wait.Wait()
	for i, err := range errs {
		if err != nil {
			b.Fatalf("seed %d: %v", i+1, err)
		}
	}
	return out
}

var seeds = flag.Int("seeds", 5, "number of seeds of each scenario")

// table collects the figures of all seeds by row and column.
type table struct {
	rows   []string
	values map[string]map[string][]float64
}

func (t *table) add(row, column string, v float64) {
	if t.values == nil {
		t.values = map[string]map[string][]float64{}
	}
	if t.values[row] == nil {
		t.values[row] = map[string][]float64{}
		t.rows = append(t.rows, row)
	}
	t.values[row][column] = append(t.values[row][column], v)
}

func (t *table) print(title string, columns ...string) {
	fmt.Printf("\n%s (median [min..max] of %d seeds)\n%-26s", title, *seeds, "")
	for _, c := range columns {
		fmt.Printf(" | %-20s", c)
	}
	fmt.Println()
	for _, row := range t.rows {
		var line strings.Builder
		fmt.Fprintf(&line, "%-26s", row)
		for _, c := range columns {
			s := Summarize(t.values[row][c])
			fmt.Fprintf(&line, " | %-20s", fmt.Sprintf("%.4g [%.4g..%.4g]", s.Median, s.Min, s.Max))
		}
		fmt.Println(line.String())
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func deployments() []Deployment { return []Deployment{CoOp(), Creches()} }

func BenchmarkLatency(b *testing.B) {
	for _, d := range deployments() {
		var t table
		for _, results := range runSeeds(b, NewLatencyScenario(d).Run) {
			var roundRobin LatencyResult
			for _, r := range results {
				if r.Policy == "round robin" {
					roundRobin = r
				}
			}
			for _, r := range results {
				t.add(r.Policy, "first p50", ms(r.FirstToken.P50))
				t.add(r.Policy, "first p95", ms(r.FirstToken.P95))
				t.add(r.Policy, "first p99", ms(r.FirstToken.P99))
				t.add(r.Policy, "total p50", ms(r.Total.P50))
				t.add(r.Policy, "total p95", ms(r.Total.P95))
				t.add(r.Policy, "total p99", ms(r.Total.P99))
				t.add(r.Policy, "first p99/rr", ms(r.FirstToken.P99)/ms(roundRobin.FirstToken.P99))
				t.add(r.Policy, "total p99/rr", ms(r.Total.P99)/ms(roundRobin.Total.P99))
				t.add(r.Policy, "not served %", 100*float64(r.Counts.Requests-r.Counts.InTime)/float64(r.Counts.Requests))
				t.add(r.Policy, "amplification", r.Amplification)
				t.add(r.Policy, "falls", float64(r.OverloadCrashes))
				t.add(r.Policy, "false colds", float64(r.FalseColdStarts))
				t.add(r.Policy, "tail on slow %", 100*r.SlowEngineTailShare)
				t.add(r.Policy, "by restarted", float64(r.RestartedCompletions))
				t.add(r.Policy, "violations", float64(r.Violations))
			}
		}
		t.print("latency "+d.Name+", ms", "first p50", "first p95", "first p99", "first p99/rr", "total p50", "total p95", "total p99", "total p99/rr",
			"not served %", "amplification", "falls", "false colds", "tail on slow %", "by restarted", "violations")
	}
}

func BenchmarkDataCentre(b *testing.B) {
	for _, d := range deployments() {
		var t table
		for _, results := range runSeeds(b, NewDataCentreScenario(d).Run) {
			for _, r := range results {
				t.add(r.Policy, "in time %", r.InTime())
				t.add(r.Policy, "not served leaving", float64(r.Leaving.Requests-r.Leaving.InTime))
				t.add(r.Policy, "not served returning", float64(r.Returning.Requests-r.Returning.InTime))
				t.add(r.Policy, "p99 leaving ms", ms(r.LeavingTotal.P99))
				t.add(r.Policy, "p99 returning ms", ms(r.ReturningTotal.P99))
				t.add(r.Policy, "lost+duplicates", float64(r.Lost+r.Duplicates))
				t.add(r.Policy, "admitted late", float64(r.AdmittedLate))
				t.add(r.Policy, "falls", float64(r.OverloadCrashes))
				t.add(r.Policy, "amplification", r.Amplification)
				t.add(r.Policy, "violations", float64(r.Violations))
			}
		}
		t.print("data centre leaves and returns, "+d.Name, "in time %", "not served leaving", "not served returning", "p99 leaving ms",
			"p99 returning ms", "lost+duplicates", "admitted late", "falls", "amplification", "violations")
	}
}

func BenchmarkRecovery(b *testing.B) {
	for _, d := range deployments() {
		scenarios := []RecoveryScenario{NewCrashScenario(d), NewReplacementScenario(d), NewOverloadScenario(d)}
		for i, name := range []string{"crash", "30% replaced", "30% replaced, overload"} {
			scenario := scenarios[i]
			var t table
			for _, results := range runSeeds(b, scenario.Run) {
				for _, r := range results {
					t.add(r.Policy, "to normal s", r.TimeToNormal.Seconds())
					t.add(r.Policy, "p99 reduced", r.ReducedP99Ratio)
					t.add(r.Policy, "p99 warming", r.WarmingP99Ratio)
					t.add(r.Policy, "not served", float64(r.Counts.Requests-r.Counts.InTime))
					t.add(r.Policy, "refused", float64(r.Counts.Refused))
					t.add(r.Policy, "broken", float64(r.Counts.Broken))
					t.add(r.Policy, "timed out", float64(r.Counts.TimedOut))
					t.add(r.Policy, "amplification", r.Amplification)
					t.add(r.Policy, "worst 5 s", r.WorstAmplification)
					t.add(r.Policy, "lost+duplicates", float64(r.Lost+r.Duplicates))
					t.add(r.Policy, "falls", float64(r.OverloadCrashes))
					t.add(r.Policy, "violations", float64(r.Violations))
				}
			}
			t.print(name+", "+d.Name, "to normal s", "p99 reduced", "p99 warming", "not served", "refused", "broken", "timed out", "amplification", "worst 5 s",
				"lost+duplicates", "falls", "violations")
		}
	}
}
