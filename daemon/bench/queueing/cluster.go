package queueing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/limit"
)

const (
	// target is the only version of the model.
	target = "assistant@1"
	// exchangeInterval is the interval of background reports to each router.
	exchangeInterval = time.Second
	// connectTimeout is the time until a connection to a dead VM fails.
	connectTimeout = time.Second
	// warmRequests is MaxRequests of each agent: above the batch limit, so that a
	// freed place in the batch is filled at once, and below what the engine holds.
	warmRequests = 40
)

// Policy selects the parts that are compared.
type Policy struct {
	Name   string
	choose chooser
	// admission is false when agents pass on everything.
	admission bool
	// ramp is false when a cold engine has the limits of a warm one.
	ramp bool
	// leaving is false when routers and agents do not learn that a data centre
	// leaves.
	leaving bool
	retries retryMode
}

type retryMode uint8

const (
	retryBudget retryMode = iota
	retryNever
	retryAlways
)

// cluster is one run of one policy.
type cluster struct {
	loop       *loop
	deployment Deployment
	workload   Workload
	policy     Policy
	random     *rand.Rand
	generator  *generator
	check      *invariant.Checker
	servers    []*server
	routers    []*router
	record     *record
	rate       float64
	arrivals   time.Duration
}

// server is an engine with its agent.
type server struct {
	cluster   *cluster
	index     int
	vm        string
	dc        int
	engine    *engine
	admission *limit.Admission
	// alive is false while the VM is gone; then nobody answers.
	alive bool
	falls int
}

func newCluster(d Deployment, p Policy, rate float64, seed uint64) (*cluster, error) {
	l := newLoop()
	w := DefaultWorkload()
	c := &cluster{
		loop:       l,
		deployment: d,
		workload:   w,
		policy:     p,
		random:     newRandom(seed, 1),
		generator:  newGenerator(w, newRandom(seed, 2)),
		check:      &invariant.Checker{},
		record:     newRecord(),
		rate:       rate,
	}
	for i := range d.Engines {
		s, err := c.newServer(i)
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, s)
	}
	for i := range d.Routers {
		r, err := c.newRouter(i)
		if err != nil {
			return nil, err
		}
		c.routers = append(c.routers, r)
	}
	return c, nil
}

// newServer returns a warm server.
func (c *cluster) newServer(i int) (*server, error) {
	s := &server{cluster: c, index: i, vm: fmt.Sprintf("engine-%d", i), dc: i % c.deployment.DataCentres, alive: true}
	s.engine = &engine{loop: c.loop, model: DefaultEngine(), slow: 1}
	s.engine.fellOver = s.fellOver
	s.engine.begin()
	s.engine.completions = s.engine.model.MaxHeld + s.engine.model.ColdCompletions
	if err := s.newAgent(); err != nil {
		return nil, err
	}
	s.warmAgent()
	return s, nil
}

// newAgent starts a new agent, which takes its engine to be cold.
func (s *server) newAgent() error {
	cfg := limit.AdmissionConfig{MaxRequests: warmRequests, MaxTokens: warmRequests * 2000}
	if !s.cluster.policy.ramp {
		cfg.ColdLimit = warmRequests
	}
	if !s.cluster.policy.admission {
		const unlimited = 1 << 20
		cfg = limit.AdmissionConfig{MaxRequests: unlimited, MaxTokens: unlimited << 20, ColdLimit: unlimited}
	}
	admission, err := limit.NewAdmission(cfg, s.cluster.check)
	s.admission = admission
	return err
}

// warmAgent opens the ramp by a burst of completions, as after long service.
func (s *server) warmAgent() {
	for s.admission.State().Phase == limit.Cold {
		var permits []*limit.Permit
		for p, refusal := s.admission.Admit(1); refusal == limit.NotRefused; p, refusal = s.admission.Admit(1) {
			permits = append(permits, p)
		}
		for _, p := range permits {
			p.Complete()
		}
	}
}

// fellOver restarts the engine after its restart time; the agent sees the closed
// connections.
func (s *server) fellOver() {
	s.falls++
	s.admission.SetDown(true)
	alive := s.alive
	s.cluster.loop.after(s.engine.model.Restart, func() {
		if alive && s.alive && !s.engine.up {
			s.engine.begin()
			s.admission.SetDown(false)
		}
	})
}

// kill ends the VM with its engine and agent.
func (s *server) kill() {
	s.alive = false
	s.engine.stop()
}

// replace starts a new VM in place of a dead one.
func (s *server) replace() error {
	if err := s.newAgent(); err != nil {
		return err
	}
	s.alive = true
	s.engine.begin()
	return nil
}

// falseColds counts inferred cold starts by slow first tokens. No scenario makes
// an engine cold without a restart of its agent or a fall.
func (c *cluster) falseColds() int {
	total := 0
	for _, s := range c.servers {
		state := s.admission.State()
		if state.Reason == limit.ColdFirstToken {
			total += int(state.ColdStarts) - 1
		}
	}
	return total
}

func (c *cluster) falls() int {
	total := 0
	for _, s := range c.servers {
		total += s.falls
	}
	return total
}

// run generates load for the given time and lets the rest finish.
func (c *cluster) run(ctx context.Context, load time.Duration) error {
	const slice = time.Second
	c.arrivals = load
	for _, r := range c.routers {
		r.startExchange()
	}
	c.scheduleArrival()
	end := load + 2*c.workload.Deadline
	for at := slice; at <= end; at += slice {
		if err := ctx.Err(); err != nil {
			return err
		}
		c.loop.runUntil(at)
	}
	c.record.unresolved = c.record.started - c.record.ended
	return nil
}

func (c *cluster) scheduleArrival() {
	gap := time.Duration(c.random.ExpFloat64() / c.rate * float64(time.Second))
	c.loop.after(gap, func() {
		if c.loop.now > c.arrivals {
			return
		}
		r := c.routers[c.random.IntN(len(c.routers))]
		r.accept(c.generator.next())
		c.scheduleArrival()
	})
}

func (c *cluster) delay(a, b int) time.Duration {
	if a == b {
		return c.deployment.Local
	}
	return c.deployment.Regional
}
