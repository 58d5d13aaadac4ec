package queueing

import (
	"context"
	"time"
)

const (
	// recoveryWindow is the length of the windows in which p99 is compared.
	recoveryWindow = 5 * time.Second
	// normalFactor is the ratio to the p99 before the fault up to which a window
	// counts as normal.
	normalFactor = 1.25
	// normalWindows is the number of successive normal windows that end recovery.
	normalWindows = 3
)

// Recovery measures the time to normal after a fault.
type Recovery struct {
	Deployment Deployment
	// Load is the part of the warm capacity of all servers.
	Load float64
	// Fraction of the VMs that fail at once; one VM at least.
	Fraction float64
	// Fault is when they fail, Replaced when new ones have started.
	Fault    time.Duration
	Replaced time.Duration
	End      time.Duration
}

// NewCrash returns the scenario of one crashed VM that is replaced after 30 s.
func NewCrash(d Deployment) Recovery {
	return Recovery{
		Deployment: d, Load: 0.8, Fault: 60 * time.Second,
		Replaced: 90 * time.Second, End: 200 * time.Second,
	}
}

// NewReplacement returns the scenario in which 30% of the VMs fail at once and
// the load is 80% of what the others can take.
func NewReplacement(d Deployment) Recovery {
	r := NewCrash(d)
	r.Fraction = 0.3
	r.Load *= 1 - float64(r.failing())/float64(d.Engines)
	return r
}

// NewOverload is NewReplacement at 80% of the capacity of all servers, which the
// others can't take.
func NewOverload(d Deployment) Recovery {
	r := NewCrash(d)
	r.Fraction = 0.3
	return r
}

// RecoveryResult is the result of one policy.
type RecoveryResult struct {
	Policy string
	// TimeToNormal is the time from the fault until the p99 of the total latency,
	// with failures counted as longest, is back to normal for three windows. It is
	// the whole rest of the run when that never happens.
	TimeToNormal time.Duration
	// Reduced is the p99 while the remaining servers carry the load, from two
	// windows after the fault until the new servers start, over the p99 before the
	// fault. Near normalFactor, TimeToNormal depends on chance.
	Reduced float64
	// Warming is the same from the start of the new servers to the end.
	Warming float64
	// Counts are the requests from one deadline before the fault, so that requests
	// in progress at the fault count too.
	Counts Counts
	// Amplification is attempts over first attempts of the whole run, and
	// WorstAmplification that of the worst window after the fault.
	Amplification      float64
	WorstAmplification float64
	Lost               int
	Duplicates         int
	Falls              int
	Violations         uint64
}

// RecoveryPolicies are the policy under test, then the baselines.
func RecoveryPolicies() []Policy {
	base := Policy{choose: chooseBalanced, admission: true, ramp: true, leaving: true}
	named := func(name string, mode retryMode) Policy {
		p := base
		p.Name = name
		p.retries = mode
		return p
	}
	return []Policy{
		named("retry budget", retryBudget),
		named("no retries", retryNever),
		named("no budget", retryAlways),
	}
}

// Run measures all policies with the same arrivals.
func (r Recovery) Run(ctx context.Context, seed uint64) ([]RecoveryResult, error) {
	capacity := Capacity(DefaultEngine(), DefaultWorkload(), warmRequests, seed)
	rate := r.Load * capacity * float64(r.Deployment.Engines)
	var out []RecoveryResult
	for _, p := range RecoveryPolicies() {
		result, err := r.runPolicy(ctx, p, rate, seed)
		if err != nil {
			return nil, err
		}
		out = append(out, result)
	}
	return out, nil
}

func (r Recovery) failing() int {
	return max(int(r.Fraction*float64(r.Deployment.Engines)+0.5), 1)
}

func (r Recovery) runPolicy(ctx context.Context, p Policy, rate float64, seed uint64) (RecoveryResult, error) {
	c, err := newCluster(r.Deployment, p, rate, seed)
	if err != nil {
		return RecoveryResult{}, err
	}
	var failed error
	victims := c.random.Perm(len(c.servers))[:r.failing()]
	for _, i := range victims {
		s := c.servers[i]
		c.loop.after(r.Fault, s.kill)
		c.loop.after(r.Replaced, func() { failed = firstError(failed, s.replace()) })
	}
	if err := firstError(c.run(ctx, r.End), failed); err != nil {
		return RecoveryResult{}, err
	}
	return RecoveryResult{
		Policy:             p.Name,
		TimeToNormal:       r.timeToNormal(c.record),
		Reduced:            r.overNormal(c.record, r.Fault+2*recoveryWindow, r.Replaced),
		Warming:            r.overNormal(c.record, r.Replaced, r.End),
		Counts:             c.record.counts(r.Fault-c.workload.Deadline, r.End),
		Amplification:      float64(c.record.attempts) / float64(c.record.started),
		WorstAmplification: c.record.worstAmplification(r.Fault, r.End),
		Lost:               c.record.unresolved,
		Duplicates:         c.record.duplicates,
		Falls:              c.falls(),
		Violations:         c.check.Total(),
	}, nil
}

// normal is the p99 before the fault.
func (r Recovery) normal(rec *record) time.Duration {
	const warmUp = 20 * time.Second
	return rec.p99WithFailures(warmUp, r.Fault)
}

// overNormal is the p99 of [from, to) over that before the fault.
func (r Recovery) overNormal(rec *record, from, to time.Duration) float64 {
	return float64(rec.p99WithFailures(from, to)) / float64(r.normal(rec))
}

func (r Recovery) timeToNormal(rec *record) time.Duration {
	normal := r.normal(rec)
	run := 0
	for from := r.Fault; from+recoveryWindow <= r.End; from += recoveryWindow {
		p99 := rec.p99WithFailures(from, from+recoveryWindow)
		if float64(p99) > normalFactor*float64(normal) {
			run = 0
			continue
		}
		run++
		if run == normalWindows {
			return from - (normalWindows-1)*recoveryWindow - r.Fault
		}
	}
	return r.End - r.Fault
}
