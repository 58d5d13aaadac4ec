package queueing

import (
	"context"
	"time"
)

const (
	// recoveryWindow is the length of the windows whose p99 latency is compared with
	// the baseline.
	recoveryWindow = 5 * time.Second
	// normalFactor is the maximum ratio of a normal window's p99 latency to the p99
	// before the fault.
	normalFactor = 1.25
	// normalWindows is the number of consecutive normal windows after which the
	// service counts as recovered.
	normalWindows = 3
)

// RecoveryScenario measures the time until latency is back to normal after VMs
// have failed.
type RecoveryScenario struct {
	Deployment Deployment
	// Load is the load as a share of the warm capacity of all servers.
	Load float64
	// FailedShare is the share of the VMs that fail at once; at least one VM fails.
	FailedShare float64
	// FailedAt is when the VMs fail, ReplacedAt when their replacements have started.
	FailedAt   time.Duration
	ReplacedAt time.Duration
	End        time.Duration
}

// NewCrashScenario returns the scenario of one crashed VM that is replaced after
// 30 s.
func NewCrashScenario(d Deployment) RecoveryScenario {
	return RecoveryScenario{
		Deployment: d, Load: 0.8, FailedAt: 60 * time.Second,
		ReplacedAt: 90 * time.Second, End: 200 * time.Second,
	}
}

// NewReplacementScenario returns the scenario in which 30% of the VMs fail at once
// and the load is 80% of the capacity of the others.
func NewReplacementScenario(d Deployment) RecoveryScenario {
	r := NewCrashScenario(d)
	r.FailedShare = 0.3
	r.Load *= 1 - float64(r.failedVMs())/float64(d.Engines)
	return r
}

// NewOverloadScenario returns the scenario in which 30% of the VMs fail at once and
// the load is 80% of the capacity of all servers, which overloads the others.
func NewOverloadScenario(d Deployment) RecoveryScenario {
	r := NewCrashScenario(d)
	r.FailedShare = 0.3
	return r
}

// RecoveryResult is the result of one policy.
type RecoveryResult struct {
	Policy string
	// TimeToNormal is the time from the fault to the first of three consecutive
	// windows with a normal p99 total latency, where failed requests count as the
	// slowest. Without three such windows it is the time to the end of the run.
	TimeToNormal time.Duration
	// ReducedP99Ratio is the ratio of the p99 while only the remaining servers are
	// in service, from two windows after the fault until the replacements start, to
	// the p99 before the fault. When it is near normalFactor, TimeToNormal varies
	// randomly between runs.
	ReducedP99Ratio float64
	// WarmingP99Ratio is the same ratio from the start of the replacements to the end.
	WarmingP99Ratio float64
	// Counts holds the requests that arrived from one deadline before the fault on,
	// so that requests in progress at the fault are included.
	Counts Counts
	// Amplification is the ratio of all attempts to first attempts in the whole run;
	// WorstAmplification is the ratio in the worst window after the fault.
	Amplification      float64
	WorstAmplification float64
	Lost               int
	Duplicates         int
	OverloadCrashes    int
	Violations         uint64
}

// RecoveryPolicies returns the policy under test, then the baselines.
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

// Run measures all policies with the same arrival rate and seed.
func (r RecoveryScenario) Run(ctx context.Context, seed uint64) ([]RecoveryResult, error) {
	capacity := Capacity(DefaultEngine(), DefaultWorkload(), agentMaxRequests, seed)
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

func (r RecoveryScenario) failedVMs() int {
	return max(int(r.FailedShare*float64(r.Deployment.Engines)+0.5), 1)
}

func (r RecoveryScenario) runPolicy(ctx context.Context, p Policy, rate float64, seed uint64) (RecoveryResult, error) {
	c, err := newCluster(r.Deployment, p, rate, seed)
	if err != nil {
		return RecoveryResult{}, err
	}
	var failed error
	failedServers := c.random.Perm(len(c.servers))[:r.failedVMs()]
	for _, i := range failedServers {
		s := c.servers[i]
		c.loop.after(r.FailedAt, s.kill)
		c.loop.after(r.ReplacedAt, func() { failed = firstError(failed, s.replace()) })
	}
	if err := firstError(c.run(ctx, r.End), failed); err != nil {
		return RecoveryResult{}, err
	}
	return RecoveryResult{
		Policy:             p.Name,
		TimeToNormal:       r.timeToNormal(c.record),
		ReducedP99Ratio:    r.p99Ratio(c.record, r.FailedAt+2*recoveryWindow, r.ReplacedAt),
		WarmingP99Ratio:    r.p99Ratio(c.record, r.ReplacedAt, r.End),
		Counts:             c.record.counts(r.FailedAt-c.workload.Deadline, r.End),
		Amplification:      float64(c.record.attempts) / float64(c.record.started),
		WorstAmplification: c.record.worstAmplification(r.FailedAt, r.End),
		Lost:               c.record.unresolved,
		Duplicates:         c.record.duplicates,
		OverloadCrashes:    c.overloadCrashes(),
		Violations:         c.check.Total(),
	}, nil
}

// baselineP99 returns the p99 total latency before the fault.
func (r RecoveryScenario) baselineP99(rec *record) time.Duration {
	const warmUp = 20 * time.Second
	return rec.p99WithFailures(warmUp, r.FailedAt)
}

// p99Ratio returns the ratio of the p99 in [from, to) to the p99 before the fault.
func (r RecoveryScenario) p99Ratio(rec *record, from, to time.Duration) float64 {
	return float64(rec.p99WithFailures(from, to)) / float64(r.baselineP99(rec))
}

func (r RecoveryScenario) timeToNormal(rec *record) time.Duration {
	baselineP99 := r.baselineP99(rec)
	run := 0
	for from := r.FailedAt; from+recoveryWindow <= r.End; from += recoveryWindow {
		p99 := rec.p99WithFailures(from, from+recoveryWindow)
		if float64(p99) > normalFactor*float64(baselineP99) {
			run = 0
			continue
		}
		run++
		if run == normalWindows {
			return from - (normalWindows-1)*recoveryWindow - r.FailedAt
		}
	}
	return r.End - r.FailedAt
}
