package bench

import (
	"context"
	"slices"
	"time"

	"cactusknot.example/daemon/bench/queueing"
)

// Targets of the load scenarios, from the design page.
const (
	maxP99Share           = 0.7
	minServedInTime       = 0.999
	maxRetryAmplification = 1.1
)

// loadDeployments are the deployments of the queueing model by the names used in
// all reports.
func loadDeployments(o Options) map[string]queueing.Deployment {
	all := map[string]queueing.Deployment{"coop": queueing.CoOp(), "creches": queueing.Creches()}
	if o.Deployment != "" {
		return map[string]queueing.Deployment{o.Deployment: all[o.Deployment]}
	}
	return all
}

// eachLoadRun calls run for each deployment and seed in a fixed order.
func eachLoadRun(o Options, run func(name string, d queueing.Deployment, seed uint64) error) error {
	deployments := loadDeployments(o)
	for _, name := range []string{"coop", "creches"} {
		d, ok := deployments[name]
		if !ok {
			continue
		}
		for _, seed := range o.Seeds {
			if err := run(name, d, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func latencyValues(prefix string, p queueing.Percentiles) []Value {
	return []Value{
		{Name: prefix + " p50", Unit: "ms", Value: milliseconds(p.P50)},
		{Name: prefix + " p95", Unit: "ms", Value: milliseconds(p.P95)},
		{Name: prefix + " p99", Unit: "ms", Value: milliseconds(p.P99)},
	}
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// RunLatency measures latency at 80% load with one cold and one slow engine.
func RunLatency(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "latency", Notes: "80% load, one cold and one slow engine, 24 routers with lagging views"}
	shares := make(map[string][]float64)
	err := eachLoadRun(o, func(name string, d queueing.Deployment, seed uint64) error {
		results, err := queueing.NewLatency(d).Run(ctx, seed)
		if err != nil {
			return err
		}
		var product, roundRobin queueing.LatencyResult
		for i, r := range results {
			values := slices.Concat(latencyValues("first token", r.FirstToken), latencyValues("total", r.Total), []Value{
				{Name: "in time", Value: part(r.Counts.InTime, r.Counts.Requests)},
			})
			report.Rows = append(report.Rows, Row{Measure: "latency", Deployment: name, Variant: r.Policy, Seed: seed, Values: values})
			switch {
			case i == 0:
				product = r
			case r.Policy == "round robin":
				roundRobin = r
			}
		}
		shares[name+" first token"] = append(shares[name+" first token"], part(int(product.FirstToken.P99), int(roundRobin.FirstToken.P99)))
		shares[name+" total"] = append(shares[name+" total"], part(int(product.Total.P99), int(roundRobin.Total.P99)))
		return nil
	})
	for _, name := range []string{"coop", "creches"} {
		for _, kind := range []string{" first token", " total"} {
			report.allAtMost(name, "p99 of"+kind+" relative to round robin", maxP99Share, shares[name+kind])
		}
	}
	return report, err
}

// RunDataCentre measures the service while a data centre leaves and returns.
func RunDataCentre(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "datacentre", Notes: "a data centre leaves and returns at 80% of the remaining capacity"}
	served := make(map[string][]float64)
	lost := make(map[string][]float64)
	err := eachLoadRun(o, func(name string, d queueing.Deployment, seed uint64) error {
		results, err := queueing.NewDataCentre(d).Run(ctx, seed)
		if err != nil {
			return err
		}
		for _, r := range results {
			report.Rows = append(report.Rows, Row{Measure: "data centre leaves and returns", Deployment: name, Variant: r.Policy, Seed: seed, Values: []Value{
				{Name: "served in time", Value: r.InTime() / 100},
				{Name: "total p99 leaving", Unit: "ms", Value: milliseconds(r.LeavingTotal.P99)},
				{Name: "total p99 returning", Unit: "ms", Value: milliseconds(r.ReturningTotal.P99)},
				{Name: "lost or duplicated", Value: float64(r.Lost + r.Duplicates)},
				{Name: "admitted late", Value: float64(r.AdmittedLate)},
				{Name: "engines fallen over", Value: float64(r.Falls)},
			}})
		}
		served[name] = append(served[name], results[0].InTime()/100)
		lost[name] = append(lost[name], float64(results[0].Lost+results[0].Duplicates+results[0].AdmittedLate))
		return nil
	})
	for _, name := range []string{"coop", "creches"} {
		report.allAtLeast(name, "served in time", minServedInTime, served[name])
		report.allAtMost(name, "lost, duplicated or admitted late", 0, lost[name])
	}
	return report, err
}

// RunRecovery measures the recovery from a crash and from the loss of 30% of the VMs.
func RunRecovery(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "recovery", Notes: "one VM crashes; 30% of the VMs are replaced"}
	amplification := make(map[string][]float64)
	faults := []struct {
		name string
		make func(queueing.Deployment) queueing.Recovery
	}{{"crash", queueing.NewCrash}, {"30% replaced", queueing.NewReplacement}}
	err := eachLoadRun(o, func(name string, d queueing.Deployment, seed uint64) error {
		for _, fault := range faults {
			results, err := fault.make(d).Run(ctx, seed)
			if err != nil {
				return err
			}
			for _, r := range results {
				report.Rows = append(report.Rows, Row{Measure: "recovery, " + fault.name, Deployment: name, Variant: r.Policy, Seed: seed, Values: []Value{
					{Name: "time to normal p99", Unit: "s", Value: r.TimeToNormal.Seconds()},
					{Name: "in time", Value: part(r.Counts.InTime, r.Counts.Requests)},
					{Name: "amplification", Value: r.Amplification},
					{Name: "worst window", Value: r.WorstAmplification},
					{Name: "lost or duplicated", Value: float64(r.Lost + r.Duplicates)},
				}})
			}
			amplification[name] = append(amplification[name], results[0].Amplification)
		}
		return nil
	})
	for _, name := range []string{"coop", "creches"} {
		report.allAtMost(name, "retry amplification", maxRetryAmplification, amplification[name])
	}
	return report, err
}

// allAtMost adds a check of the largest of the values; none adds nothing.
func (r *Report) allAtMost(deployment, target string, bound float64, values []float64) {
	if len(values) > 0 {
		r.atMost(deployment, target, bound, slices.Max(values))
	}
}

// allAtLeast adds a check of the smallest of the values; none adds nothing.
func (r *Report) allAtLeast(deployment, target string, bound float64, values []float64) {
	if len(values) == 0 {
		return
	}
	worst := slices.Min(values)
	r.Checks = append(r.Checks, Check{deployment, target, bound, worst, worst >= bound})
}
