package bench

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"sync"
	"time"

	"cactusknot.example/daemon/bench/queueing"
)

// Targets of the load scenarios in the design page.
const (
	maxP99Ratio           = 0.7
	minServedInTime       = 0.999
	maxRetryAmplification = 1.1
)

// loadDeployments returns the deployments of the queueing model by their names
// in reports.
func loadDeployments(o Options) map[string]queueing.Deployment {
	all := map[string]queueing.Deployment{"coop": queueing.CoOp(), "creches": queueing.Creches()}
	if o.Deployment != "" {
		return map[string]queueing.Deployment{o.Deployment: all[o.Deployment]}
	}
	return all
}

// loadRun is one deployment with one seed.
type loadRun struct {
	name       string
	deployment queueing.Deployment
	seed       uint64
}

// measureLoadRuns calls measure for all deployments and seeds in parallel, then
// collect with the results in a fixed order. Parallel runs do not affect the
// figures, since they measure simulated time.
func measureLoadRuns[T any](o Options, measure func(loadRun) (T, error), collect func(loadRun, T)) error {
	deployments := loadDeployments(o)
	var runs []loadRun
	for _, name := range []string{"coop", "creches"} {
		if d, ok := deployments[name]; ok {
			for _, seed := range o.Seeds {
				runs = append(runs, loadRun{name, d, seed})
			}
		}
	}
	results := make([]T, len(runs))
	errs := make([]error, len(runs))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i, run := range runs {
		slots <- struct{}{}
		wait.Go(func() {
			results[i], errs[i] = measure(run)
			<-slots
		})
	}
	wait.Wait()
	for i, run := range runs {
		if errs[i] == nil {
			collect(run, results[i])
		}
	}
	return errors.Join(errs...)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func latencyValues(prefix string, p queueing.Percentiles) []Value {
	return []Value{
		{Name: prefix + " p50", Unit: "ms", Value: milliseconds(p.P50)},
		{Name: prefix + " p95", Unit: "ms", Value: milliseconds(p.P95)},
		{Name: prefix + " p99", Unit: "ms", Value: milliseconds(p.P99)},
	}
}

func ratio(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// RunLatency measures latency at 80% load with one cold and one slow engine.
func RunLatency(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "latency", Notes: "80% load, one cold and one slow engine, 24 routers with lagging views"}
	shares := make(map[string][]float64)
	err := measureLoadRuns(o, func(r loadRun) ([]queueing.LatencyResult, error) {
		return queueing.NewLatencyScenario(r.deployment).Run(ctx, r.seed)
	}, func(run loadRun, results []queueing.LatencyResult) {
		name, seed := run.name, run.seed
		var product, roundRobin queueing.LatencyResult
		for i, r := range results {
			values := slices.Concat(latencyValues("first token", r.FirstToken), latencyValues("total", r.Total), []Value{
				{Name: "in time", Value: ratio(r.Counts.InTime, r.Counts.Requests)},
			})
			report.Rows = append(report.Rows, Row{Measure: "latency", Deployment: name, Variant: r.Policy, Seed: seed, Values: values})
			switch {
			case i == 0:
				product = r
			case r.Policy == "round robin":
				roundRobin = r
			}
		}
		shares[name+" first token"] = append(shares[name+" first token"], ratio(int(product.FirstToken.P99), int(roundRobin.FirstToken.P99)))
		shares[name+" total"] = append(shares[name+" total"], ratio(int(product.Total.P99), int(roundRobin.Total.P99)))
	})
	for _, name := range []string{"coop", "creches"} {
		for _, kind := range []string{" first token", " total"} {
			report.checkAllAtMost(name, "p99 of"+kind+" relative to round robin", maxP99Ratio, shares[name+kind])
		}
	}
	return report, err
}

// RunDataCentre measures the service while a data centre leaves and returns to
// service.
func RunDataCentre(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "datacentre", Notes: "a data centre leaves and returns at 80% of the remaining capacity"}
	served := make(map[string][]float64)
	lost := make(map[string][]float64)
	err := measureLoadRuns(o, func(r loadRun) ([]queueing.DataCentreResult, error) {
		return queueing.NewDataCentreScenario(r.deployment).Run(ctx, r.seed)
	}, func(run loadRun, results []queueing.DataCentreResult) {
		name, seed := run.name, run.seed
		for _, r := range results {
			report.Rows = append(report.Rows, Row{Measure: "data centre leaves and returns", Deployment: name, Variant: r.Policy, Seed: seed, Values: []Value{
				{Name: "served in time", Value: r.InTime() / 100},
				{Name: "total p99 leaving", Unit: "ms", Value: milliseconds(r.LeavingTotal.P99)},
				{Name: "total p99 returning", Unit: "ms", Value: milliseconds(r.ReturningTotal.P99)},
				{Name: "lost or duplicated", Value: float64(r.Lost + r.Duplicates)},
				{Name: "admitted late", Value: float64(r.AdmittedLate)},
				{Name: "engines fallen over", Value: float64(r.OverloadCrashes)},
			}})
		}
		served[name] = append(served[name], results[0].InTime()/100)
		lost[name] = append(lost[name], float64(results[0].Lost+results[0].Duplicates+results[0].AdmittedLate))
	})
	for _, name := range []string{"coop", "creches"} {
		report.checkAllAtLeast(name, "served in time", minServedInTime, served[name])
		report.checkAllAtMost(name, "lost, duplicated or admitted late", 0, lost[name])
	}
	return report, err
}

// RunRecovery measures the recovery from a crash and from the loss of 30% of
// the VMs.
func RunRecovery(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "recovery", Notes: "one VM crashes; 30% of the VMs are replaced"}
	amplification := make(map[string][]float64)
	var err error
	faults := []struct {
		name string
		make func(queueing.Deployment) queueing.RecoveryScenario
	}{{"crash", queueing.NewCrashScenario}, {"30% replaced", queueing.NewReplacementScenario}}
	for _, fault := range faults {
		faultErr := measureLoadRuns(o, func(r loadRun) ([]queueing.RecoveryResult, error) {
			return fault.make(r.deployment).Run(ctx, r.seed)
		}, func(run loadRun, results []queueing.RecoveryResult) {
			for _, r := range results {
				report.Rows = append(report.Rows, recoveryRow(fault.name, run, r))
			}
			amplification[run.name] = append(amplification[run.name], results[0].Amplification)
		})
		err = errors.Join(err, faultErr)
	}
	for _, name := range []string{"coop", "creches"} {
		report.checkAllAtMost(name, "retry amplification", maxRetryAmplification, amplification[name])
	}
	return report, err
}

func recoveryRow(fault string, run loadRun, r queueing.RecoveryResult) Row {
	return Row{Measure: "recovery, " + fault, Deployment: run.name, Variant: r.Policy, Seed: run.seed, Values: []Value{
		{Name: "time to normal p99", Unit: "s", Value: r.TimeToNormal.Seconds()},
		{Name: "in time", Value: ratio(r.Counts.InTime, r.Counts.Requests)},
		{Name: "amplification", Value: r.Amplification},
		{Name: "worst window", Value: r.WorstAmplification},
		{Name: "lost or duplicated", Value: float64(r.Lost + r.Duplicates)},
	}}
}

// checkAllAtMost adds a check of the largest value. Without values it adds
// none.
func (r *Report) checkAllAtMost(deployment, target string, bound float64, values []float64) {
	if len(values) > 0 {
		r.checkAtMost(deployment, target, bound, slices.Max(values))
	}
}

// checkAllAtLeast adds a check of the smallest value. Without values it adds
// none.
func (r *Report) checkAllAtLeast(deployment, target string, bound float64, values []float64) {
	if len(values) == 0 {
		return
	}
	worst := slices.Min(values)
	r.Checks = append(r.Checks, Check{deployment, target, bound, worst, worst >= bound})
}
