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
	// loadRate is the mean number of new requests per second, of which two thirds
	// go to engines: with 0.15 s on a warm engine, less than half of the permits
	// of three engines.
	loadRate = 80
	// firstRate is the rate at the start, when all engines are cold. They have 24
	// permits and need 0.45 s for a request, so that 50 requests a second fit; the
	// rate grows to loadRate during warmUp, while the engines warm up.
	firstRate = 20
	warmUp    = 4 * time.Second
	// maxOpenCalls bounds the calls in flight, as a bound on memory.
	maxOpenCalls    = 3000
	sessionsOfClass = 24
	// maxCalls bounds the calls of a caller that repeats a booking.
	maxCalls    = 4
	repeatPause = 300 * time.Millisecond
)

// keyKind says where the idempotency key of a class comes from.
type keyKind int

const (
	keyNone keyKind = iota
	keyOwn
	keyAsked
)

// class is a kind of request.
type class struct {
	name    string
	weight  int
	booking bool
	stream  bool
	model   string
	session bool
	key     keyKind
	// readPause is the pause of the reader after each event.
	readPause time.Duration
	// leave: the caller closes the connection early. With repeat it then calls
	// again under the same key through another router.
	leave  bool
	repeat bool
	only   string
}

var classes = []class{
	{name: "stream", weight: 20, stream: true, model: "auto", session: true, key: keyOwn},
	{name: "pinned", weight: 16, stream: true, model: modelSmall, session: true, key: keyOwn},
	{name: "whole", weight: 14, model: modelSmall, key: keyOwn},
	{name: "large", weight: 8, model: modelLarge, session: true, key: keyOwn},
	{name: "plain", weight: 8, stream: true, model: "auto"},
	{name: "slow reader", weight: 3, stream: true, model: modelSmall, key: keyOwn, readPause: 20 * time.Millisecond},
	{name: "leaver", weight: 4, stream: true, model: modelSmall, key: keyOwn, leave: true},
	{name: "repeater", weight: 3, model: modelSmall, key: keyOwn, leave: true, repeat: true},
	{name: "forbidden", weight: 1, model: modelSmall, key: keyOwn, only: workspaceFew},
	{name: "booking", weight: 10, booking: true, repeat: true},
	{name: "booking asked", weight: 6, booking: true, key: keyAsked, repeat: true},
	{name: "booking own", weight: 4, booking: true, key: keyOwn, repeat: true},
	{name: "booking left", weight: 3, booking: true, key: keyAsked, leave: true, repeat: true},
}

// traffic sends an open-loop load: requests start at the times of a seeded
// Poisson process, whether or not earlier ones were answered.
type traffic struct {
	run    *run
	rng    *rand.Rand
	caller *caller
	wait   sync.WaitGroup
	open   chan struct{}
	number int

	mu     sync.Mutex
	calls  []Call
	tokens map[string]string
	inUse  map[string]bool
}

func newTraffic(r *run, seed uint64) *traffic {
	return &traffic{
		run: r, rng: rand.New(rand.NewPCG(seed, 3)), caller: newCaller(),
		open: make(chan struct{}, maxOpenCalls), tokens: make(map[string]string), inUse: make(map[string]bool),
	}
}

// send starts requests until the time and then waits for the last answer.
func (t *traffic) send(ctx context.Context, until time.Time) {
	began := time.Now()
	next := began
	for next.Before(until) && ctx.Err() == nil {
		time.Sleep(time.Until(next))
		intent := t.next()
		select {
		case t.open <- struct{}{}:
			t.wait.Add(1)
			go t.serve(ctx, intent)
		default:
			t.run.note("load: too many open calls, one is not sent")
		}
		next = next.Add(time.Duration(t.rng.ExpFloat64() / rateAt(next.Sub(began)) * float64(time.Second)))
	}
	t.wait.Wait()
}

// rateAt returns the requests per second at a time since the start.
func rateAt(since time.Duration) float64 {
	return firstRate + (loadRate-firstRate)*min(1, since.Seconds()/warmUp.Seconds())
}

// intent is what a caller wants, with all random choices made.
type intent struct {
	request
	random *rand.Rand
	key    keyKind
}

func (t *traffic) next() *intent {
	t.number++
	c := t.pickClass()
	in := &intent{key: c.key, random: rand.New(rand.NewPCG(t.rng.Uint64(), uint64(t.number)))}
	in.class, in.ref, in.model = c, fmt.Sprintf("r%d", t.number), c.model
	in.workspace = []string{workspaceStay, workspaceMove, workspaceFew}[t.rng.IntN(3)]
	if c.model == modelSmall {
		in.workspace = []string{workspaceStay, workspaceMove}[t.rng.IntN(2)]
	}
	if c.only != "" {
		in.workspace = c.only
	}
	if c.session {
		in.session = fmt.Sprintf("%s/%s/%d", in.workspace, c.name, t.rng.IntN(sessionsOfClass))
	}
	if c.leave {
		const longest = 150 * time.Millisecond
		in.leaveAfter = time.Millisecond + time.Duration(t.rng.Int64N(int64(longest)))
	}
	if c.booking {
		in.leaveAfter /= 10
	}
	in.makeBody(t.rng.IntN(1500))
	return in
}

func (t *traffic) pickClass() *class {
	total := 0
	for _, c := range classes {
		total += c.weight
	}
	at := t.rng.IntN(total)
	for i := range classes {
		if at -= classes[i].weight; at < 0 {
			return &classes[i]
		}
	}
	return &classes[0]
}

func (q *request) makeBody(words int) {
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

// serve makes the calls of one caller.
func (t *traffic) serve(ctx context.Context, in *intent) {
	defer t.wait.Done()
	defer func() { <-t.open }()
	t.takeSession(in)
	defer t.releaseSession(in)
	t.prepareKey(ctx, in)
	tried := ""
	for n := 0; n < maxCalls; n++ {
		router, base := t.run.balancer.pick(in.random, tried)
		tried = router
		call, token := t.caller.call(ctx, router, base, &in.request)
		t.record(call, in, token)
		if !in.repeats(call) {
			return
		}
		in.leaveAfter = 0
		if in.request.key == "" {
			in.request.key = call.Key
		}
		time.Sleep(repeatPause)
	}
}

// repeats tells whether the caller calls again under the same key: after a lost,
// unknown or refused outcome. Without a key it can't.
func (in *intent) repeats(c Call) bool {
	if !in.class.repeat || c.Outcome == OutcomeOK {
		return false
	}
	if !in.class.booking {
		return c.Outcome == OutcomeLeft
	}
	return in.request.key != "" || c.Key != ""
}

func (t *traffic) prepareKey(ctx context.Context, in *intent) {
	switch in.key {
	case keyOwn:
		in.request.key = uuid.Must(uuid.NewV7()).String()
	case keyAsked:
		_, base := t.run.balancer.pick(in.random, "")
		in.request.key = t.caller.askKey(ctx, base, in.workspace)
	case keyNone:
	}
}

// takeSession gives the request its session unless another request of the
// session is open: two first requests at once would begin two sessions.
func (t *traffic) takeSession(in *intent) {
	if in.session == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse[in.session] {
		in.session = ""
		return
	}
	t.inUse[in.session] = true
	in.token = t.tokens[in.session]
}

func (t *traffic) releaseSession(in *intent) {
	if in.session == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse[in.session] = false
}

// record keeps the call and the session's token. A caller whose session was
// refused for its withdrawn version begins a new one.
func (t *traffic) record(c Call, in *intent, token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
	if in.session == "" {
		return
	}
	if c.Code == codeWithdrawn {
		delete(t.tokens, in.session)
		return
	}
	if token != "" {
		t.tokens[in.session] = token
	}
}

func (t *traffic) all() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Call(nil), t.calls...)
}
