package queueing

import (
	"context"
	"time"
)

// LatencyScenario measures first-token and total latency at a constant load with
// one slow engine and one that starts cold.
type LatencyScenario struct {
	Deployment Deployment
	// Load is the load as a share of the capacity of all engines when warm; the slow
	// engine counts with its reduced rate.
	Load float64
	// Slowdown multiplies the step duration of the slow engine.
	Slowdown float64
	// WarmUp is the time before the measurement, Measured its duration.
	WarmUp   time.Duration
	Measured time.Duration
}

// NewLatencyScenario returns the scenario at 80% load.
func NewLatencyScenario(d Deployment) LatencyScenario {
	return LatencyScenario{
		Deployment: d,
		Load:       0.8,
		Slowdown:   2,
		WarmUp:     30 * time.Second,
		Measured:   120 * time.Second,
	}
}

// LatencyResult is the result of one policy.
type LatencyResult struct {
	Policy     string
	FirstToken Percentiles
	Total      Percentiles
	Counts     Counts
	// Amplification is the ratio of all attempts to first attempts.
	Amplification float64
	// OverloadCrashes counts crashes of engines that held more requests than their
	// capacity.
	OverloadCrashes int
	// FalseColdStarts counts the cold starts that agents inferred for engines that
	// had not restarted.
	FalseColdStarts int
	// SlowEngineTailShare is the share of the slowest 1% of the answers that came
	// from the slow engine.
	SlowEngineTailShare float64
	// RestartedCompletions counts the requests that the replaced engine completed.
	RestartedCompletions int
	// Violations counts invariant violations.
	Violations uint64
}

// LatencyPolicies returns the policy under test, then the baselines. They differ
// only in the choice of servers; admission, ramp and retry budget are the same.
func LatencyPolicies() []Policy {
	shared := Policy{admission: true, ramp: true, leaving: true}
	named := func(name string, choose chooser) Policy {
		p := shared
		p.Name = name
		p.choose = choose
		return p
	}
	return []Policy{
		named("balanced", chooseBalanced),
		named("random", chooseRandom),
		named("round robin", chooseRoundRobin),
		named("least outstanding, stale", chooseLeastOutstanding),
		named("oracle, current state", chooseOracle),
	}
}

// Run measures all policies with the same arrival rate and seed.
func (l LatencyScenario) Run(ctx context.Context, seed uint64) ([]LatencyResult, error) {
	capacity := Capacity(DefaultEngine(), DefaultWorkload(), agentMaxRequests, seed)
	engines := float64(l.Deployment.Engines-1) + 1/l.Slowdown
	var out []LatencyResult
	for _, p := range LatencyPolicies() {
		result, err := l.runPolicy(ctx, p, l.Load*engines*capacity, seed)
		if err != nil {
			return nil, err
		}
		out = append(out, result)
	}
	return out, nil
}

func (l LatencyScenario) runPolicy(ctx context.Context, p Policy, rate float64, seed uint64) (LatencyResult, error) {
	c, err := newCluster(l.Deployment, p, rate, seed)
	if err != nil {
		return LatencyResult{}, err
	}
	c.servers[0].engine.slowFactor = l.Slowdown
	c.loop.after(l.WarmUp, func() {
		// A replaced VM: its requests fail and the new engine is cold.
		c.servers[1].kill()
		err = c.servers[1].replace()
	})
	if runErr := c.run(ctx, l.WarmUp+l.Measured); runErr != nil {
		return LatencyResult{}, runErr
	}
	if err != nil {
		return LatencyResult{}, err
	}
	first, total := c.record.percentiles(l.WarmUp, l.WarmUp+l.Measured)
	return LatencyResult{
		Policy:               p.Name,
		FirstToken:           first,
		Total:                total,
		Counts:               c.record.counts(l.WarmUp, l.WarmUp+l.Measured),
		Amplification:        float64(c.record.attempts) / float64(c.record.started),
		OverloadCrashes:      c.overloadCrashes(),
		FalseColdStarts:      c.falseColdStarts(),
		SlowEngineTailShare:  c.record.tailShare(0, l.WarmUp, l.WarmUp+l.Measured),
		RestartedCompletions: c.servers[1].engine.completions,
		Violations:           c.check.Total(),
	}, nil
}
