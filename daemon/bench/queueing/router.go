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

// snapshotInterval is the shortest time between two snapshots of a router.
const snapshotInterval = 20 * time.Millisecond

// router is one router with its own stale view.
type router struct {
	cluster *cluster
	name    string
	dc      int
	random  *rand.Rand
	budget  *limit.RetryBudget
	suspect *failuredetector.Detector
	view    []balance.Agent
	// outstanding is the load in the last background report, for the baseline.
	outstanding []int
	exclusion   balance.Exclusion
	snapshot    *balance.Snapshot
	built       time.Duration
	next        int
}

func (c *cluster) newRouter(i int) (*router, error) {
	r := &router{
		cluster:     c,
		name:        fmt.Sprintf("router-%d", i),
		dc:          i % c.deployment.DataCentres,
		random:      newRandom(uint64(i), c.random.Uint64()),
		budget:      limit.NewRetryBudget(limit.SingleRouterRetryConfig()),
		outstanding: make([]int, len(c.servers)),
		next:        i,
		built:       -time.Hour,
	}
	var err error
	r.suspect, err = failuredetector.New(failuredetector.Config{MinTimeout: 2500 * time.Millisecond, MaxTimeout: 5 * time.Second})
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
	a.ReportedAt = r.cluster.loop.time()
	a.InFlightAtReport = a.InFlight.Count()
	r.suspect.Observe(s.vm, a.ReportedAt)
}

// startExchange asks each agent for its state once per interval.
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

// current returns the snapshot, rebuilt when it is older than the interval.
func (r *router) current() *balance.Snapshot {
	if r.cluster.loop.now-r.built < snapshotInterval {
		return r.snapshot
	}
	now := r.cluster.loop.time()
	agents := append([]balance.Agent(nil), r.view...)
	for i := range agents {
		agents[i].Suspicion = r.suspect.SuspicionLevel(agents[i].VM, now)
	}
	r.snapshot = balance.NewSnapshot(balance.Config{Check: r.cluster.check}, agents, r.exclusion)
	r.built = r.cluster.loop.now
	return r.snapshot
}

// serving tells whether the baselines may choose an agent.
func (r *router) serving(i int) bool {
	a := &r.view[i]
	if r.exclusion.DataCentres[a.DataCentre] || r.suspect.SuspicionLevel(a.VM, r.cluster.loop.time()) >= failuredetector.SuspicionThreshold {
		return false
	}
	return a.Phase == limit.Cold || a.Phase == limit.Warm
}

// exclude puts a data centre out of service or back for this router.
func (r *router) exclude(dc int, out bool) {
	r.exclusion = balance.Exclusion{DataCentres: map[string]bool{fmt.Sprintf("dc-%d", dc): out}}
}
