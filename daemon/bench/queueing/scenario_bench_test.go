package queueing

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 5, "number of seeds of each scenario")

// table collects figures by row and column over seeds.
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
			s := SpreadOf(t.values[row][c])
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
		for seed := range *seeds {
			results, err := NewLatency(d).Run(context.Background(), uint64(seed+1))
			if err != nil {
				b.Fatal(err)
			}
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
				t.add(r.Policy, "falls", float64(r.Falls))
				t.add(r.Policy, "false colds", float64(r.Colds))
				t.add(r.Policy, "violations", float64(r.Violations))
			}
		}
		t.print("latency "+d.Name+", ms", "first p50", "first p95", "first p99", "first p99/rr", "total p50", "total p95", "total p99", "total p99/rr",
			"not served %", "amplification", "falls", "false colds", "violations")
	}
}
