package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

// loadEngine reads prompts one after the other, the most urgent first, as model engines do.
type loadEngine struct {
	mu      sync.Mutex
	busy    bool
	waiting []loadTurn
}

type loadTurn struct {
	class int
	begin chan struct{}
}

func (e *loadEngine) run(class int, work time.Duration) {
	turn := loadTurn{class, make(chan struct{})}
	e.mu.Lock()
	if e.busy {
		e.waiting = append(e.waiting, turn)
	} else {
		close(turn.begin)
	}
	e.busy = true
	e.mu.Unlock()
	<-turn.begin
	time.Sleep(work)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy = len(e.waiting) > 0; e.busy {
		slices.SortStableFunc(e.waiting, func(a, b loadTurn) int { return cmp.Compare(a.class, b.class) })
		close(e.waiting[0].begin)
		e.waiting = e.waiting[1:]
	}
}

// loadCaller is a request in a load pattern.
type loadCaller struct {
	at        time.Duration
	class     int
	workspace string
	tokens    int
	// age is how long ago the caller sent the request to a router that was lost.
	age time.Duration
	// The result.
	took    time.Duration
	refused int
}

// loadCluster is a number of routers with engines in virtual time.
type loadCluster struct {
	routers []*Gateway
	engines map[string]*loadEngine
	view    *topology.View
	poll    bool
	target  time.Duration
	timeout time.Duration
	stream  time.Duration
	// retryAtOnce: refused callers ignore Retry-After and come back up to five times.
	retryAtOnce bool
}

const loadTokenTime = 60 * time.Microsecond

func newLoadCluster(routers, engines int) *loadCluster {
	c := &loadCluster{engines: map[string]*loadEngine{}, target: 600 * time.Millisecond, timeout: 8 * time.Second, stream: time.Second}
	c.view = &topology.View{Config: topology.NewConfig(1, nil, []*topology.Service{{Name: "svc"}}, nil, topology.Limits{})}
	var list []*topology.Server
	for i := range engines {
		id := fmt.Sprintf("s%d", i)
		list = append(list, &topology.Server{ID: id, Service: "svc", Slots: 32})
		c.engines[id] = &loadEngine{}
	}
	c.view.Servers = map[string][]*topology.Server{"svc": list}
	for i := range routers {
		name := fmt.Sprintf("r%d", i)
		c.view.Routers = append(c.view.Routers, name)
		c.routers = append(c.routers, New(Config{
			Name: name, Codec: testCodec{}, View: func() *topology.View { return c.view }, Observe: func(Sample) {},
			LimitBacklog: true, Retries: limit.RetryConfig{Ratio: 0.1, Extra: 10, Window: 10 * time.Second}, Log: zerolog.Nop(),
		}))
	}
	return c
}

// exchange lets one router after the other report its work and get the reports of the others,
// each once in 200 ms, until the context ends.
func (c *loadCluster) exchange(ctx context.Context) {
	reports := make([]map[string]selection.OutstandingWork, len(c.routers))
	for i := 0; ctx.Err() == nil; i = (i + 1) % len(c.routers) {
		time.Sleep(200 * time.Millisecond / time.Duration(len(c.routers)))
		reports[i] = c.routers[i].Chooser.OutstandingWork()
		others := map[string]selection.OutstandingWork{}
		for j, report := range reports {
			for id, w := range report {
				if j != i {
					others[id] = others[id].Add(w)
				}
			}
		}
		c.routers[i].Chooser.SetPeerWork(time.Now(), others)
		c.routers[i].WakeWaiting()
	}
}

// call makes a request, and once more after a refusal.
func (c *loadCluster) call(q *loadCaller) {
	began := time.Now()
	for tries := 1; ; tries++ {
		g := c.routers[(int(q.at)+tries)%len(c.routers)]
		x := &requestState{
			call: &Call{ID: fmt.Sprint(q.at, q.tokens), PromptTokens: q.tokens, AnswerTokens: 20, ResumeAfter: -1, Timeout: (c.timeout - q.age - time.Since(began)).Round(time.Millisecond)},
			view: c.view, startedAt: time.Now(), deadline: began.Add(c.timeout - q.age), workspace: q.workspace, urgency: q.class,
			route:    &topology.Route{Name: "route", LatencyTarget: c.target, Timeout: c.timeout, Urgency: q.class},
			service:  c.view.Config.Services["svc"],
			excluded: map[string]bool{},
		}
		ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
		x.ctx = ctx
		var choice *selection.Choice
		if c.poll {
			_ = g.refreshCandidates(x)
			choice, _ = g.Chooser.Choose(time.Now(), x.candidates, g.selectionRequest(x, "", x.excluded))
		} else {
			choice, _ = g.choose(ctx, x)
		}
		cancel()
		if choice != nil {
			c.engines[choice.Server.ID].run(x.urgency, 10*time.Millisecond+time.Duration(q.tokens)*loadTokenTime)
			choice.RecordFirstByte(time.Now())
			g.wakeWaiting("svc")
			q.took = q.age + time.Since(began)
			time.Sleep(c.stream)
			choice.End(time.Now(), selection.Succeeded)
			g.wakeWaiting("svc")
			return
		}
		q.refused++
		wait := x.retryAfter
		if c.retryAtOnce {
			wait = time.Millisecond
		}
		if tries == 2 && !c.retryAtOnce || tries == 6 || wait > time.Until(x.deadline)/3 {
			return
		}
		time.Sleep(wait)
	}
}

// run makes all calls and returns when they have ended.
func (c *loadCluster) run(calls []*loadCaller) {
	ctx, cancel := context.WithCancel(context.Background())
	go c.exchange(ctx)
	var wg sync.WaitGroup
	for _, q := range calls {
		wg.Go(func() {
			time.Sleep(q.at)
			c.call(q)
		})
	}
	wg.Wait()
	cancel()
	time.Sleep(time.Second)
}

// loadResult holds the shares of calls that were answered in time, late, and not before their
// deadline.
type loadResult struct{ onTime, late, missed float64 }

func (c *loadCluster) result(calls []*loadCaller, keep func(*loadCaller) bool) (r loadResult) {
	n := 0.0
	for _, q := range calls {
		if !keep(q) {
			continue
		}
		n++
		switch {
		case q.took == 0 || q.took+c.stream > c.timeout:
			r.missed++
		case q.took <= c.target:
			r.onTime++
		default:
			r.late++
		}
	}
	return loadResult{r.onTime / n, r.late / n, r.missed / n}
}

// herd returns calls at a steady share of the capacity, with a crowd in the first two seconds
// that is as large as the steady load of some seconds. One prompt in ten is long.
func herd(r *rand.Rand, engines int, share, crowdSeconds float64, crowdAge, length time.Duration) []*loadCaller {
	const meanWork = 0.010 + 0.06e-3*(0.1*8000+0.9*700)
	perSecond := share * float64(engines) / meanWork
	var calls []*loadCaller
	add := func(at time.Duration) {
		tokens := 100 + r.IntN(1200)
		if r.IntN(10) == 0 {
			tokens = 4000 + r.IntN(8000)
		}
		calls = append(calls, &loadCaller{at: at, class: r.IntN(3), workspace: fmt.Sprint("w", r.IntN(4)), tokens: tokens})
	}
	for at := 0.0; at < length.Seconds(); at += r.ExpFloat64() / perSecond {
		add(time.Duration(at * 1e9))
	}
	for range int(crowdSeconds * perSecond) {
		add(time.Duration(r.Int64N(int64(2 * time.Second))))
		calls[len(calls)-1].age = time.Duration(r.Int64N(int64(crowdAge)) + 1)
	}
	return calls
}

// everyCall keeps all calls of a result.
func everyCall(*loadCaller) bool { return true }

func refusals(calls []*loadCaller) (n int) {
	for _, q := range calls {
		n += q.refused
	}
	return n
}

// simulate runs a load pattern with the queue and without it. It uses several seeds, because
// the results of one vary.
func simulate(t *testing.T, retryAtOnce bool, pattern func(r *rand.Rand) []*loadCaller) (c *loadCluster, queued, direct []*loadCaller) {
	for seed := range uint64(4) {
		for _, poll := range []bool{false, true} {
			calls := pattern(rand.New(rand.NewPCG(seed, 2)))
			synctest.Test(t, func(*testing.T) {
				c = newLoadCluster(4, 12)
				c.poll, c.retryAtOnce = poll, retryAtOnce
				c.run(calls)
			})
			if poll {
				direct = append(direct, calls...)
			} else {
				queued = append(queued, calls...)
			}
		}
	}
	return c, queued, direct
}

// Guards against a crowd of callers that return after a loss of all routers and make each
// other and those that come after them late, also if refused callers come back at once.
func TestCrowdAfterLoss(t *testing.T) {
	for _, retryAtOnce := range []bool{false, true} {
		c, queued, direct := simulate(t, retryAtOnce, func(r *rand.Rand) []*loadCaller {
			return herd(r, 12, 0.6, 8, 800*time.Millisecond, 10*time.Second)
		})
		with, without := c.result(queued, everyCall), c.result(direct, everyCall)
		t.Logf("queue: %v, refused %d; without: %v", with, refusals(queued), without)
		if with.onTime < without.onTime+0.05 || with.missed > without.missed+0.05 {
			t.Errorf("the queue gains too little: %v, without it %v", with, without)
		}
		long := c.result(queued, func(q *loadCaller) bool { return q.tokens >= 4000 })
		if 1-long.missed < (1-with.missed)/2 {
			t.Errorf("the largest tenth is served too seldom: %v, all: %v", long, with)
		}
		var class [3]loadResult
		for i := range class {
			class[i] = c.result(queued, func(q *loadCaller) bool { return q.class == i })
		}
		if class[0].onTime < class[1].onTime || class[1].onTime < class[2].onTime {
			t.Errorf("a less urgent class was served better: %v", class)
		}
	}
}

// Guards against waits and refusals while the servers have room, and against worse times than
// without the queue.
func TestNoScarcity(t *testing.T) {
	c, queued, direct := simulate(t, false, func(r *rand.Rand) []*loadCaller {
		return herd(r, 12, 0.5, 0, 1, 20*time.Second)
	})
	with, without := c.result(queued, everyCall), c.result(direct, everyCall)
	t.Logf("queue: %v; without: %v", with, without)
	if refusals(queued) > 0 || with.onTime < without.onTime-0.02 {
		t.Errorf("%d refused, %v, without the queue %v", refusals(queued), with, without)
	}
}

// request returns a request of a service without a model.
func (c *loadCluster) request(t *testing.T, id string) *requestState {
	return &requestState{
		call: &Call{ID: id, ResumeAfter: -1}, view: c.view, startedAt: time.Now(), deadline: time.Now().Add(c.timeout), ctx: t.Context(),
		route: &topology.Route{LatencyTarget: c.target}, service: c.view.Config.Services["svc"], excluded: map[string]bool{},
	}
}

// Guards against room that waiting requests only notice by the safety timer, and against a
// request that waits behind, or is refused because of, requests for servers that it does not
// use: here those of the other version in a rollout.
func TestRoomWakesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLoadCluster(1, 2)
		servers := c.view.Servers["svc"]
		servers[0].Slots, servers[0].Version, servers[1].Version = 1, "v1", "v2"
		c.view.Splits = map[string]topology.TrafficSplit{"svc": {Target: "v2", Share: 0.5}}
		ids := map[bool]string{}
		for i := range 20 {
			ids[InRolloutShare("v2", fmt.Sprint(i), 0.5)] = fmt.Sprint(i)
		}
		old, target := ids[false], ids[true]
		g, began := c.routers[0], time.Now()
		first, err := g.choose(t.Context(), c.request(t, old))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		granted := make(chan time.Duration, 2*maxFailedGrants)
		for range maxFailedGrants + 1 {
			go func() {
				_, _ = g.choose(ctx, c.request(t, old))
				granted <- time.Since(began)
			}()
		}
		time.Sleep(20 * time.Millisecond)
		if choice, err := g.choose(t.Context(), c.request(t, target)); err != nil || time.Since(began) != 20*time.Millisecond {
			t.Errorf("the other version: %v, %v after %s", choice, err, time.Since(began))
		}
		time.Sleep(17 * time.Millisecond)
		first.End(time.Now(), selection.Succeeded)
		g.wakeWaiting("svc")
		if waited := <-granted; waited != 37*time.Millisecond {
			t.Errorf("waited %s", waited)
		}
	})
}

// Guards against a workspace with many times its usual load that makes the others late.
func TestWorkspaceWithManyTimesItsLoad(t *testing.T) {
	burst := func(q *loadCaller) bool { return q.workspace == "w0" }
	others := func(q *loadCaller) bool { return !burst(q) && q.at > 10*time.Second }
	c, queued, direct := simulate(t, false, func(r *rand.Rand) []*loadCaller {
		calls := herd(r, 12, 0.6, 0, 1, 16*time.Second)
		for _, q := range herd(r, 12, 0.9, 0, 1, 6*time.Second) {
			q.at, q.workspace = q.at+10*time.Second, "w0"
			calls = append(calls, q)
		}
		for _, q := range calls {
			q.class = 1
		}
		return calls
	})
	with, without := c.result(queued, others), c.result(direct, others)
	t.Logf("others: queue: %v; without: %v", with, without)
	if with.onTime < 0.65 || with.onTime < without.onTime+0.3 {
		t.Errorf("the others: %v, without the queue %v", with, without)
	}
}
