package queueing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cactusknot.example/coord/failuredetector"
	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/balance"
)

// snapshotInterval is the minimum time between two snapshots of a router.
const snapshotInterval = 20 * time.Millisecond

// router simulates a router with its own, possibly stale view of the agents.
type router struct {
	cluster  *cluster
	name     string
	dc       int
	random   *rand.Rand
	budget   *limit.RetryBudget
	detector *failuredetector.Detector
	view     []balance.Agent
	// outstanding holds the running requests of each agent in its last polled state;
	// only chooseLeastOutstanding reads it.
	outstanding     []int
	exclusion       balance.Exclusion
	snapshot        *balance.Snapshot
	snapshotBuiltAt time.Duration
	roundRobinNext  int
}

func (c *cluster) newRouter(i int) (*router, error) {
	r := &router{
		cluster:         c,
		name:            fmt.Sprintf("router-%d", i),
		dc:              i % c.deployment.DataCentres,
		random:          newRandom(uint64(i), c.random.Uint64()),
		budget:          limit.NewRetryBudget(limit.SingleRouterRetryConfig()),
		outstanding:     make([]int, len(c.servers)),
		roundRobinNext:  i,
		snapshotBuiltAt: -time.Hour,
	}
	var err error
	r.detector, err = failuredetector.New(failuredetector.Config{MinTimeout: 2500 * time.Millisecond, MaxTimeout: 5 * time.Second})
	if err != nil {
		return nil, err
	}
	for _, s := range c.servers {
		r.view = append(r.view, balance.Agent{
			VM:         s.vm,
			DataCentre: fmt.Sprintf("dc-%d", s.dc),
			Distance:   r.distance(s),
			Targets:    []string{target},
			InFlight:   &balance.InFlightCounter{},
		})
		r.update(s, s.report())
	}
	return r, nil
}

func (r *router) distance(s *server) balance.Distance {
	if r.dc == s.dc {
		return balance.SameDataCentre
	}
	return balance.SameRegion
}

// report is the state that an agent attaches to a reply.
type report struct {
	state    limit.AdmissionState
	prefixes []uint64
}

func (s *server) report() report {
	prefixes := slices.Clone(s.engine.prefixes)
	slices.Sort(prefixes)
	return report{state: s.admission.State(), prefixes: prefixes}
}

func (r *router) update(s *server, rep report) {
	a := &r.view[s.index]
	a.Phase = rep.state.Phase
	a.Free = rep.state.Free
	a.Limit = rep.state.Limit
	a.FirstTokenMS = float64(rep.state.FirstToken) / float64(time.Millisecond)
	a.TokenIntervalMS = float64(rep.state.TokenInterval) / float64(time.Millisecond)
	a.Prefixes = rep.prefixes
	a.ReportedAt = r.cluster.loop.currentTime()
	a.InFlightAtReport = a.InFlight.Count()
	r.detector.Observe(s.vm, a.ReportedAt)
}

// startExchange starts to poll the state of each agent once per interval.
func (r *router) startExchange() {
	for _, s := range r.cluster.servers {
		first := time.Duration(r.random.Int64N(int64(exchangeInterval)))
		r.cluster.loop.after(first, func() { r.exchange(s) })
	}
}

func (r *router) exchange(s *server) {
	c := r.cluster
	c.loop.after(exchangeInterval, func() { r.exchange(s) })
	delay := c.delay(r.dc, s.dc)
	c.loop.after(delay, func() {
		if !s.alive {
			return
		}
		rep := s.report()
		c.loop.after(delay, func() {
			r.update(s, rep)
			r.outstanding[s.index] = rep.state.Running
		})
	})
}

// currentSnapshot returns the snapshot, rebuilt when it is at least
// snapshotInterval old.
func (r *router) currentSnapshot() *balance.Snapshot {
	if r.cluster.loop.now-r.snapshotBuiltAt < snapshotInterval {
		return r.snapshot
	}
	now := r.cluster.loop.currentTime()
	agents := append([]balance.Agent(nil), r.view...)
	for i := range agents {
		agents[i].Suspicion = r.detector.SuspicionLevel(agents[i].VM, now)
	}
	r.snapshot = balance.NewSnapshot(balance.Config{Check: r.cluster.check}, agents, r.exclusion)
	r.snapshotBuiltAt = r.cluster.loop.now
	return r.snapshot
}

// serving reports whether the baselines may choose an agent.
func (r *router) serving(i int) bool {
	a := &r.view[i]
	if r.exclusion.DataCentres[a.DataCentre] || r.detector.SuspicionLevel(a.VM, r.cluster.loop.currentTime()) >= failuredetector.SuspicionThreshold {
		return false
	}
	return a.Phase == limit.Cold || a.Phase == limit.Warm
}

// exclude sets whether this router excludes a data centre.
func (r *router) exclude(dc int, out bool) {
	r.exclusion = balance.Exclusion{DataCentres: map[string]bool{fmt.Sprintf("dc-%d", dc): out}}
}
