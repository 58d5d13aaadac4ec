package queueing

import (
	"context"
	"time"
)

// Latency measures first-token and total latency at a constant load with one
// slow engine and one that starts cold.
type Latency struct {
	Deployment Deployment
	// Load is the part of the capacity of all engines when warm, where the slow
	// engine counts with its slow rate.
	Load float64
	// Slowdown is the factor of the slow engine.
	Slowdown float64
	// WarmUp is dropped from the figures; Measured follows it.
	WarmUp   time.Duration
	Measured time.Duration
}

// NewLatency returns the scenario at 80% load.
func NewLatency(d Deployment) Latency {
	return Latency{
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
	// Amplification is attempts over first attempts.
	Amplification float64
	// Falls counts engines that held more than they can.
	Falls int
	// Colds counts the inferred cold starts of engines that were not restarted.
	Colds int
	// TailOnSlow is the part of the slowest 1% that the slow engine answered.
	TailOnSlow float64
	// Restarted counts the completions of the engine that was replaced.
	Restarted int
	// Violations counts violated invariants.
	Violations uint64
}

// LatencyPolicies are the choice under test, then the baselines. All have the
// same admission, ramp and retry budget.
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

// Run measures all policies with the same arrivals.
func (l Latency) Run(ctx context.Context, seed uint64) ([]LatencyResult, error) {
	capacity := Capacity(DefaultEngine(), DefaultWorkload(), warmRequests, seed)
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

func (l Latency) runPolicy(ctx context.Context, p Policy, rate float64, seed uint64) (LatencyResult, error) {
	c, err := newCluster(l.Deployment, p, rate, seed)
	if err != nil {
		return LatencyResult{}, err
	}
	c.servers[0].engine.slow = l.Slowdown
	c.loop.after(l.WarmUp, func() {
		// A restart of the whole VM: running requests fail, the engine is cold.
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
		Policy:        p.Name,
		FirstToken:    first,
		Total:         total,
		Counts:        c.record.counts(l.WarmUp, l.WarmUp+l.Measured),
		Amplification: float64(c.record.attempts) / float64(c.record.started),
		Falls:         c.falls(),
		Colds:         c.falseColds(),
		TailOnSlow:    c.record.tailPart(0, l.WarmUp, l.WarmUp+l.Measured),
		Restarted:     c.servers[1].engine.completions,
		Violations:    c.check.Total(),
	}, nil
}
