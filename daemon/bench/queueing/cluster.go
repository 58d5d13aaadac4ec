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
	// target is the only model version that is served.
	target = "assistant@1"
	// exchangeInterval is the interval at which a router polls each agent's state.
	exchangeInterval = time.Second
	// connectTimeout is the time until a connection to a stopped VM fails.
	connectTimeout = time.Second
	// agentMaxRequests is MaxRequests of each agent. It is above the batch limit, so
	// that a free slot in the batch is filled at once, and below the engine's
	// MaxHeld.
	agentMaxRequests = 40
)

// Policy selects the mechanisms that a run uses, so that they can be compared.
type Policy struct {
	Name   string
	choose chooser
	// admission is false when agents admit every request.
	admission bool
	// ramp is false when the limits of a cold engine are those of a warm one.
	ramp bool
	// leaving is false when routers and agents are not told that a data centre is
	// taken out of service.
	leaving bool
	retries retryMode
}

type retryMode uint8

const (
	retryBudget retryMode = iota
	retryNever
	retryAlways
)

// cluster simulates one run of one policy.
type cluster struct {
	loop        *loop
	deployment  Deployment
	workload    Workload
	policy      Policy
	random      *rand.Rand
	generator   *generator
	check       *invariant.Checker
	servers     []*server
	routers     []*router
	record      *record
	rate        float64
	arrivalsEnd time.Duration
}

// server is a VM with an engine and its agent.
type server struct {
	cluster   *cluster
	index     int
	vm        string
	dc        int
	engine    *engine
	admission *limit.Admission
	// alive is false while the VM is stopped; connections to it then time out.
	alive           bool
	overloadCrashes int
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

// newServer returns a server with a warm engine and a warm agent.
func (c *cluster) newServer(i int) (*server, error) {
	s := &server{cluster: c, index: i, vm: fmt.Sprintf("engine-%d", i), dc: i % c.deployment.DataCentres, alive: true}
	s.engine = &engine{loop: c.loop, model: DefaultEngine(), slowFactor: 1}
	s.engine.onOverloadCrash = s.handleOverloadCrash
	s.engine.start()
	s.engine.completions = s.engine.model.MaxHeld + s.engine.model.ColdCompletions
	if err := s.startAgent(); err != nil {
		return nil, err
	}
	s.warmAgent()
	return s, nil
}

// startAgent starts a new agent, which assumes that its engine is cold.
func (s *server) startAgent() error {
	cfg := limit.AdmissionConfig{MaxRequests: agentMaxRequests, MaxTokens: agentMaxRequests * 2000}
	if !s.cluster.policy.ramp {
		cfg.ColdLimit = agentMaxRequests
	}
	if !s.cluster.policy.admission {
		const unlimited = 1 << 20
		cfg = limit.AdmissionConfig{MaxRequests: unlimited, MaxTokens: unlimited << 20, ColdLimit: unlimited}
	}
	admission, err := limit.NewAdmission(cfg, s.cluster.check)
	s.admission = admission
	return err
}

// warmAgent completes requests until the agent has left the cold phase.
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

// handleOverloadCrash marks the engine as down in the agent, as closed connections
// do, and restarts it after its restart time.
func (s *server) handleOverloadCrash() {
	s.overloadCrashes++
	s.admission.SetDown(true)
	alive := s.alive
	s.cluster.loop.after(s.engine.model.Restart, func() {
		if alive && s.alive && !s.engine.up {
			s.engine.start()
			s.admission.SetDown(false)
		}
	})
}

// kill stops the VM with its engine and agent.
func (s *server) kill() {
	s.alive = false
	s.engine.stop()
}

// replace starts a new VM in place of a stopped one.
func (s *server) replace() error {
	if err := s.startAgent(); err != nil {
		return err
	}
	s.alive = true
	s.engine.start()
	return nil
}

// falseColdStarts counts the cold starts that agents inferred from slow first
// tokens. They are all false: in every scenario an engine becomes cold only by an
// overload crash or together with a restart of its agent.
func (c *cluster) falseColdStarts() int {
	total := 0
	for _, s := range c.servers {
		state := s.admission.State()
		if state.Reason == limit.ColdFirstToken {
			total += int(state.ColdStarts) - 1
		}
	}
	return total
}

func (c *cluster) overloadCrashes() int {
	total := 0
	for _, s := range c.servers {
		total += s.overloadCrashes
	}
	return total
}

// run generates load for the given time, then runs for twice the deadline so that
// the remaining requests end.
func (c *cluster) run(ctx context.Context, load time.Duration) error {
	const slice = time.Second
	c.arrivalsEnd = load
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
		if c.loop.now > c.arrivalsEnd {
			return
		}
		r := c.routers[c.random.IntN(len(c.routers))]
		r.accept(c.generator.next())
		c.scheduleArrival()
	})
}

func (c *cluster) delay(a, b int) time.Duration {
	if a == b {
		return c.deployment.LocalDelay
	}
	return c.deployment.RegionalDelay
}
