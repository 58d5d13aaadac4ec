package queueing

import (
	"context"
	"math"
	"time"
)

// DataCentreScenario measures the service while operators take a data centre out
// of service and bring it back.
type DataCentreScenario struct {
	Deployment Deployment
	// Load is the load as a share of the warm capacity that remains without the data
	// centre.
	Load float64
	// AnnouncedAt is when the first process may apply the configuration that excludes
	// the data centre; all processes have applied it PropagationTime later.
	AnnouncedAt     time.Duration
	PropagationTime time.Duration
	// StoppedAt is when the VMs of the data centre stop. ReturnedAt is when new VMs
	// start and the configuration that includes the data centre again is announced.
	StoppedAt  time.Duration
	ReturnedAt time.Duration
	// End is the time of the last arrivals.
	End time.Duration
}

// NewDataCentreScenario returns the scenario at 80% of the remaining capacity.
func NewDataCentreScenario(d Deployment) DataCentreScenario {
	return DataCentreScenario{
		Deployment:      d,
		Load:            0.8,
		AnnouncedAt:     30 * time.Second,
		PropagationTime: 3 * time.Second,
		StoppedAt:       60 * time.Second,
		ReturnedAt:      90 * time.Second,
		End:             180 * time.Second,
	}
}

// DataCentreResult is the result of one policy.
type DataCentreResult struct {
	Policy string
	// Leaving counts the requests that arrived between the announcement and the
	// return, Returning those from the return on. The load never exceeds the
	// remaining capacity.
	Leaving   Counts
	Returning Counts
	// LeavingTotal and ReturningTotal are the total latencies of these requests.
	LeavingTotal   Percentiles
	ReturningTotal Percentiles
	// Lost counts requests without an outcome, Duplicates those with more than one
	// answer.
	Lost       int
	Duplicates int
	// AdmittedLate counts admissions in the data centre after all processes had
	// applied its exclusion and before its return.
	AdmittedLate int
	// OverloadCrashes counts crashes of engines that held more requests than their
	// capacity.
	OverloadCrashes int
	Amplification   float64
	Violations      uint64
}

// InTime returns the percentage of requests served within the deadline.
func (r DataCentreResult) InTime() float64 {
	served := r.Leaving.InTime + r.Returning.InTime
	return 100 * float64(served) / float64(max(r.Leaving.Requests+r.Returning.Requests, 1))
}

// DataCentrePolicies returns the policy under test, then the baselines.
func DataCentrePolicies() []Policy {
	return []Policy{
		{Name: "ramp", choose: chooseBalanced, admission: true, ramp: true, leaving: true},
		{Name: "no ramp", choose: chooseBalanced, admission: true, leaving: true},
		{Name: "health check only", choose: chooseRoundRobin},
	}
}

// Run measures all policies with the same arrival rate and seed.
func (d DataCentreScenario) Run(ctx context.Context, seed uint64) ([]DataCentreResult, error) {
	capacity := Capacity(DefaultEngine(), DefaultWorkload(), agentMaxRequests, seed)
	perDataCentre := math.Ceil(float64(d.Deployment.Engines) / float64(d.Deployment.DataCentres))
	rate := d.Load * capacity * (float64(d.Deployment.Engines) - perDataCentre)
	var out []DataCentreResult
	for _, p := range DataCentrePolicies() {
		result, err := d.runPolicy(ctx, p, rate, seed)
		if err != nil {
			return nil, err
		}
		out = append(out, result)
	}
	return out, nil
}

func (d DataCentreScenario) runPolicy(ctx context.Context, p Policy, rate float64, seed uint64) (DataCentreResult, error) {
	c, err := newCluster(d.Deployment, p, rate, seed)
	if err != nil {
		return DataCentreResult{}, err
	}
	var failed error
	if p.leaving {
		d.scheduleConfigChanges(c)
	}
	c.loop.after(d.StoppedAt, func() { c.forEachServerIn(0, (*server).kill) })
	c.loop.after(d.ReturnedAt, func() {
		c.forEachServerIn(0, func(s *server) { failed = firstError(failed, s.replace()) })
	})
	if err := firstError(c.run(ctx, d.End), failed); err != nil {
		return DataCentreResult{}, err
	}
	_, leaving := c.record.percentiles(d.AnnouncedAt, d.ReturnedAt)
	_, returning := c.record.percentiles(d.ReturnedAt, d.End)
	return DataCentreResult{
		Policy:          p.Name,
		Leaving:         c.record.counts(d.AnnouncedAt, d.ReturnedAt),
		Returning:       c.record.counts(d.ReturnedAt, d.End),
		LeavingTotal:    leaving,
		ReturningTotal:  returning,
		Lost:            c.record.unresolved,
		Duplicates:      c.record.duplicates,
		AdmittedLate:    c.record.admittedIn(0, d.AnnouncedAt+d.PropagationTime, d.ReturnedAt),
		OverloadCrashes: c.overloadCrashes(),
		Amplification:   float64(c.record.attempts) / float64(c.record.started),
		Violations:      c.check.Total(),
	}, nil
}

// scheduleConfigChanges makes agents and routers apply each configuration at
// random times within the propagation time.
func (d DataCentreScenario) scheduleConfigChanges(c *cluster) {
	spread := func() time.Duration { return time.Duration(c.random.Int64N(int64(d.PropagationTime))) }
	c.forEachServerIn(0, func(s *server) {
		c.loop.after(d.AnnouncedAt+spread(), func() { s.admission.SetLeaving(true) })
	})
	for _, r := range c.routers {
		c.loop.after(d.AnnouncedAt+spread(), func() { r.exclude(0, true) })
		c.loop.after(d.ReturnedAt+spread(), func() { r.exclude(0, false) })
	}
}

func (c *cluster) forEachServerIn(dc int, run func(*server)) {
	for _, s := range c.servers {
		if s.dc == dc {
			run(s)
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
