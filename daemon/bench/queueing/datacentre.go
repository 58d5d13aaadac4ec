package queueing

import (
	"context"
	"math"
	"time"
)

// DataCentre measures the service while operators take a data centre out of
// service and bring it back.
type DataCentre struct {
	Deployment Deployment
	// Load is the part of the warm capacity that remains without the data centre.
	Load float64
	// Announce is when the configuration that excludes the data centre is in force
	// at the first process; Spread is the time until it is at the last.
	Announce time.Duration
	Spread   time.Duration
	// Dark is when its VMs stop; Return is when new ones start, announced at once.
	Dark   time.Duration
	Return time.Duration
	// End of arrivals.
	End time.Duration
}

// NewDataCentre returns the scenario at 80% of the remaining capacity.
func NewDataCentre(d Deployment) DataCentre {
	return DataCentre{
		Deployment: d,
		Load:       0.8,
		Announce:   30 * time.Second,
		Spread:     3 * time.Second,
		Dark:       60 * time.Second,
		Return:     90 * time.Second,
		End:        180 * time.Second,
	}
}

// DataCentreResult is the result of one policy.
type DataCentreResult struct {
	Policy string
	// Leaving and Returning are the requests that arrived from the announcement to
	// the return and from then on. The load fits the remaining capacity.
	Leaving   Counts
	Returning Counts
	// LeavingTotal and ReturningTotal are their total latencies.
	LeavingTotal   Percentiles
	ReturningTotal Percentiles
	// Lost requests have no outcome; Duplicates have more than one answer.
	Lost       int
	Duplicates int
	// AdmittedLate counts admissions at the data centre after the announcement had
	// reached all processes and before the return.
	AdmittedLate int
	// Falls counts engines that held more than they can.
	Falls         int
	Amplification float64
	Violations    uint64
}

// InTime returns the part of the requests served in time, in percent.
func (r DataCentreResult) InTime() float64 {
	served := r.Leaving.InTime + r.Returning.InTime
	return 100 * float64(served) / float64(max(r.Leaving.Requests+r.Returning.Requests, 1))
}

// DataCentrePolicies are the policy under test, then the baselines.
func DataCentrePolicies() []Policy {
	return []Policy{
		{Name: "ramp", choose: chooseBalanced, admission: true, ramp: true, leaving: true},
		{Name: "no ramp", choose: chooseBalanced, admission: true, leaving: true},
		{Name: "health check only", choose: chooseRoundRobin},
	}
}

// Run measures all policies with the same arrivals.
func (d DataCentre) Run(ctx context.Context, seed uint64) ([]DataCentreResult, error) {
	capacity := Capacity(DefaultEngine(), DefaultWorkload(), warmRequests, seed)
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

func (d DataCentre) runPolicy(ctx context.Context, p Policy, rate float64, seed uint64) (DataCentreResult, error) {
	c, err := newCluster(d.Deployment, p, rate, seed)
	if err != nil {
		return DataCentreResult{}, err
	}
	var failed error
	if p.leaving {
		d.scheduleLeaving(c)
	}
	c.loop.after(d.Dark, func() { c.eachIn(0, (*server).kill) })
	c.loop.after(d.Return, func() {
		c.eachIn(0, func(s *server) { failed = firstError(failed, s.replace()) })
	})
	if err := firstError(c.run(ctx, d.End), failed); err != nil {
		return DataCentreResult{}, err
	}
	_, leaving := c.record.percentiles(d.Announce, d.Return)
	_, returning := c.record.percentiles(d.Return, d.End)
	return DataCentreResult{
		Policy:         p.Name,
		Leaving:        c.record.counts(d.Announce, d.Return),
		Returning:      c.record.counts(d.Return, d.End),
		LeavingTotal:   leaving,
		ReturningTotal: returning,
		Lost:           c.record.unresolved,
		Duplicates:     c.record.duplicates,
		AdmittedLate:   c.record.admittedIn(0, d.Announce+d.Spread, d.Return),
		Falls:          c.falls(),
		Amplification:  float64(c.record.attempts) / float64(c.record.started),
		Violations:     c.check.Total(),
	}, nil
}

// scheduleLeaving spreads the configuration to agents and routers at different
// times, when leaving and when returning.
func (d DataCentre) scheduleLeaving(c *cluster) {
	spread := func() time.Duration { return time.Duration(c.random.Int64N(int64(d.Spread))) }
	c.eachIn(0, func(s *server) {
		c.loop.after(d.Announce+spread(), func() { s.admission.SetLeaving(true) })
	})
	for _, r := range c.routers {
		c.loop.after(d.Announce+spread(), func() { r.exclude(0, true) })
		c.loop.after(d.Return+spread(), func() { r.exclude(0, false) })
	}
}

func (c *cluster) eachIn(dc int, run func(*server)) {
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
