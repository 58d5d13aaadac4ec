package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// fullRate is the mean number of new requests per second. Two thirds of them
	// go to engines; at 0.15 s each on a warm engine they use less than half of
	// the permits of three engines.
	fullRate = 80
	// initialRate is the rate at the start, when all engines are cold. They then
	// have 24 permits and need 0.45 s for a request, enough for 50 requests per
	// second. The rate grows to fullRate during rampTime, while the engines warm
	// up.
	initialRate = 20
	rampTime    = 4 * time.Second
	// maxInFlight bounds the requests in flight, to limit memory.
	maxInFlight      = 3000
	sessionsPerClass = 24
	// maxCallsPerRequest bounds the calls of a request that is retried.
	maxCallsPerRequest = 4
	callRetryDelay     = 300 * time.Millisecond
)

// idempotencyKeySource is where the idempotency key of a request comes from.
type idempotencyKeySource int

const (
	keyNone idempotencyKeySource = iota
	keyGenerated
	keyFromRouter
)

// class is a class of requests in the load.
type class struct {
	name      string
	weight    int
	booking   bool
	stream    bool
	model     string
	session   bool
	keySource idempotencyKeySource
	// readPause is how long the reader pauses after each event.
	readPause time.Duration
	// closesEarly: the caller closes the connection early. With retries it then
	// calls again under the same key through another router.
	closesEarly   bool
	retries       bool
	onlyWorkspace string
}

var classes = []class{
	{name: "stream", weight: 20, stream: true, model: "auto", session: true, keySource: keyGenerated},
	{name: "pinned", weight: 16, stream: true, model: modelSmall, session: true, keySource: keyGenerated},
	{name: "whole", weight: 14, model: modelSmall, keySource: keyGenerated},
	{name: "large", weight: 8, model: modelLarge, session: true, keySource: keyGenerated},
	{name: "plain", weight: 8, stream: true, model: "auto"},
	{name: "slow reader", weight: 3, stream: true, model: modelSmall, keySource: keyGenerated, readPause: 20 * time.Millisecond},
	{name: "leaver", weight: 4, stream: true, model: modelSmall, keySource: keyGenerated, closesEarly: true},
	{name: "repeater", weight: 3, model: modelSmall, keySource: keyGenerated, closesEarly: true, retries: true},
	{name: "forbidden", weight: 1, model: modelSmall, keySource: keyGenerated, onlyWorkspace: workspaceLargeOnly},
	{name: "booking", weight: 10, booking: true, retries: true},
	{name: "booking asked", weight: 6, booking: true, keySource: keyFromRouter, retries: true},
	{name: "booking own", weight: 4, booking: true, keySource: keyGenerated, retries: true},
	{name: "booking left", weight: 3, booking: true, keySource: keyFromRouter, closesEarly: true, retries: true},
}

// loadGenerator sends an open-loop load: requests start at the times of a
// seeded Poisson process, whether or not earlier ones were answered.
type loadGenerator struct {
	run      *run
	rng      *rand.Rand
	caller   *caller
	wg       sync.WaitGroup
	inFlight chan struct{}
	count    int

	mu           sync.Mutex
	calls        []Call
	tokens       map[string]string
	busySessions map[string]bool
}

func newLoadGenerator(r *run, seed uint64) *loadGenerator {
	return &loadGenerator{
		run: r, rng: rand.New(rand.NewPCG(seed, 3)), caller: newCaller(),
		inFlight: make(chan struct{}, maxInFlight), tokens: make(map[string]string), busySessions: make(map[string]bool),
	}
}

// send starts requests until the given time and then waits for all of them to
// end.
func (g *loadGenerator) send(ctx context.Context, until time.Time) {
	began := time.Now()
	next := began
	for next.Before(until) && ctx.Err() == nil {
		time.Sleep(time.Until(next))
		planned := g.next()
		select {
		case g.inFlight <- struct{}{}:
			g.wg.Add(1)
			go g.perform(ctx, planned)
		default:
			g.run.progressf("load: too many requests in flight; dropped one")
		}
		next = next.Add(time.Duration(g.rng.ExpFloat64() / rateAt(next.Sub(began)) * float64(time.Second)))
	}
	g.wg.Wait()
}

// rateAt returns the number of requests per second at a time since the start.
func rateAt(since time.Duration) float64 {
	return initialRate + (fullRate-initialRate)*min(1, since.Seconds()/rampTime.Seconds())
}

// plannedRequest is a request for which all random choices have been made.
type plannedRequest struct {
	request
	random    *rand.Rand
	keySource idempotencyKeySource
}

func (g *loadGenerator) next() *plannedRequest {
	g.count++
	c := g.pickClass()
	planned := &plannedRequest{keySource: c.keySource, random: rand.New(rand.NewPCG(g.rng.Uint64(), uint64(g.count)))}
	planned.class, planned.ref, planned.model = c, fmt.Sprintf("r%d", g.count), c.model
	planned.workspace = []string{workspaceRefuse, workspaceMove, workspaceLargeOnly}[g.rng.IntN(3)]
	if c.model == modelSmall {
		planned.workspace = []string{workspaceRefuse, workspaceMove}[g.rng.IntN(2)]
	}
	if c.onlyWorkspace != "" {
		planned.workspace = c.onlyWorkspace
	}
	if c.session {
		planned.session = fmt.Sprintf("%s/%s/%d", planned.workspace, c.name, g.rng.IntN(sessionsPerClass))
	}
	if c.closesEarly {
		const longest = 150 * time.Millisecond
		planned.closeAfter = time.Millisecond + time.Duration(g.rng.Int64N(int64(longest)))
	}
	if c.booking {
		planned.closeAfter /= 10
	}
	planned.encodeBody(g.rng.IntN(1500))
	return planned
}

// pickClass picks a random class by weight.
func (g *loadGenerator) pickClass() *class {
	total := 0
	for _, c := range classes {
		total += c.weight
	}
	at := g.rng.IntN(total)
	for i := range classes {
		if at -= classes[i].weight; at < 0 {
			return &classes[i]
		}
	}
	return &classes[0]
}

func (q *request) encodeBody(words int) {
	if q.class.booking {
		q.body, _ = json.Marshal(map[string]string{"ref": q.ref})
		return
	}
	q.prompt = q.workspace + " " + q.ref + " " + strings.Repeat("fish ", words/5)
	body := map[string]any{
		"model":    q.model,
		"messages": []map[string]string{{"role": "user", "content": q.prompt}},
	}
	if q.class.stream {
		body["stream"] = true
		body["stream_options"] = map[string]bool{"include_usage": true}
	}
	q.body, _ = json.Marshal(body)
}

// perform sends a request and its retries.
func (g *loadGenerator) perform(ctx context.Context, planned *plannedRequest) {
	defer g.wg.Done()
	defer func() { <-g.inFlight }()
	g.acquireSession(planned)
	defer g.releaseSession(planned)
	g.prepareKey(ctx, planned)
	tried := ""
	for n := 0; n < maxCallsPerRequest; n++ {
		router, base := g.run.balancer.pick(planned.random, tried)
		tried = router
		call, token := g.caller.call(ctx, router, base, &planned.request)
		g.record(call, planned, token)
		if !planned.retriesAfter(call) {
			return
		}
		planned.closeAfter = 0
		if planned.request.key == "" {
			planned.request.key = call.Key
		}
		time.Sleep(callRetryDelay)
	}
}

// retriesAfter reports whether the caller retries under the same key: a
// booking after any outcome but success, a chat request after the caller
// closed the connection. A booking without a key can't be retried.
func (p *plannedRequest) retriesAfter(c Call) bool {
	if !p.class.retries || c.Outcome == OutcomeOK {
		return false
	}
	if !p.class.booking {
		return c.Outcome == OutcomeClientClosed
	}
	return p.request.key != "" || c.Key != ""
}

func (g *loadGenerator) prepareKey(ctx context.Context, planned *plannedRequest) {
	switch planned.keySource {
	case keyGenerated:
		planned.request.key = uuid.Must(uuid.NewV7()).String()
	case keyFromRouter:
		_, base := g.run.balancer.pick(planned.random, "")
		planned.request.key = g.caller.fetchIdempotencyKey(ctx, base, planned.workspace)
	case keyNone:
	}
}

// acquireSession reserves the session of the request. If another request of
// the session is in flight, this one goes without a session, since two
// concurrent first requests would start two sessions.
func (g *loadGenerator) acquireSession(planned *plannedRequest) {
	if planned.session == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busySessions[planned.session] {
		planned.session = ""
		return
	}
	g.busySessions[planned.session] = true
	planned.token = g.tokens[planned.session]
}

func (g *loadGenerator) releaseSession(planned *plannedRequest) {
	if planned.session == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busySessions[planned.session] = false
}

// record stores the call and the session's token. After a refusal because of a
// withdrawn version the caller starts a new session.
func (g *loadGenerator) record(c Call, planned *plannedRequest, token string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, c)
	if planned.session == "" {
		return
	}
	if c.Code == codeWithdrawn {
		delete(g.tokens, planned.session)
		return
	}
	if token != "" {
		g.tokens[planned.session] = token
	}
}

func (g *loadGenerator) recordedCalls() []Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Call(nil), g.calls...)
}
