// Package selection chooses the backend server of a request from what this
// router has seen itself: requests in flight, load that answers report, failures,
// prompts that it sent before. Decisions take the time as an argument.
package selection

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/topology"
)

const (
	// coldSpan is the span of the bound on requests to a cold backend server.
	coldSpan = time.Second
	// coldMargin is the unused part of that bound; see limit.PerMember.
	coldMargin = 0.15
	// warmFactor times the share of the bound is what a router sends to a server
	// that is not known to be cold: it may turn cold before anyone hears of it, and
	// routers seldom send their whole shares to one server in the same second.
	warmFactor = 2
	// recovering is how long a server may be cold after a connection to it broke.
	recovering = 4 * time.Second
	// firstSuspicion and maxSuspicion bound how long a server is avoided after
	// failures in a row.
	firstSuspicion = 400 * time.Millisecond
	maxSuspicion   = 5 * time.Second
	// loadAge is how long a reported load counts.
	loadAge = 3 * time.Second
	// errorWeight is the weight of the newest answer in the error rate.
	errorWeight = 0.15
	// runningDelay is what a running request adds to the time of another's first
	// byte at a model engine.
	runningDelay = 2 * time.Millisecond
	// serviceDelay is the same for a plain service whose slots are all taken.
	serviceDelay = 120 * time.Millisecond
	// homeCached is the part of a shared prompt assumed to be in the memory of the
	// server that the prompt's hash prefers, before this router has used it there.
	homeCached = 0.95
	// delayOthers is the weight of the time by which a prompt delays each of the
	// requests that run beside it, against the request's own time.
	delayOthers = 0.08
	// errorDelay is the delay that a certain failure is worth.
	errorDelay = 2500 * time.Millisecond
	// maxPrefixes bounds the remembered prompts of a server.
	maxPrefixes = 2048
	// prefixAge is how long a prompt is assumed to stay in a server's memory.
	prefixAge = 20 * time.Second
)

// Prefix is a shared part of a prompt, identified with all parts before it.
type Prefix struct {
	// Hash covers the part, the parts before it and the model.
	Hash uint64
	// Tokens is the length of the prompt up to the end of this part.
	Tokens int
}

// Prefixes identifies the parts of a prompt for a model.
func Prefixes(model string, ids []string, tokens []int) []Prefix {
	list := make([]Prefix, 0, len(ids))
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	sum := 0
	for i, id := range ids {
		_, _ = digest.WriteString("/" + id)
		sum += tokens[i]
		list = append(list, Prefix{Hash: digest.Sum64(), Tokens: sum})
	}
	return list
}

// Request is what a choice depends on.
type Request struct {
	// Service and Model select the reading speed.
	Service string
	Model   string
	// ModelRank is the model's place by size, from 0 for the smallest to 1 for the
	// largest.
	ModelRank float64
	// PromptTokens is the length of the prompt; 0 for plain services.
	PromptTokens int
	// Prefixes lists the parts of the prompt; the last one is the request's own.
	Prefixes []Prefix
	// ColdRateLimit is the fleet-wide bound on requests to one cold server in a
	// second; 0 means none.
	ColdRateLimit float64
	// Self is this router's name, Routers names all that share the bound.
	Self    string
	Routers []string
	// Excluded servers were tried already.
	Excluded map[string]bool
}

// Load is what a backend server reported of itself.
type Load struct {
	Running, Waiting int
}

// Choice is a chosen backend server. The caller calls one of its methods once
// the attempt has ended.
type Choice struct {
	Server *topology.Server
	// UncachedTokens is the estimated number of prompt tokens that it has to read.
	UncachedTokens int
	// ExpectedFirstByte is the expected time until the first byte.
	ExpectedFirstByte time.Duration

	chooser  *Chooser
	state    *state
	prefixes []Prefix
	speed    *speed
	work     time.Duration
	reading  bool
	answered bool
	sent     time.Time
}

// Chooser remembers what was seen of the backend servers. It is safe for
// concurrent use.
type Chooser struct {
	// Policy is set before the first choice.
	Policy Policy

	mu      sync.Mutex
	servers map[string]*state
	speeds  map[speedKey]*speed
	// others is the work of the other routers as of othersAt.
	others   map[string]OutstandingWork
	othersAt time.Time
	// turns counts the choices.
	turns uint64
}

type state struct {
	inFlight int
	// reading is the time that prompts sent and not yet answered take to read.
	reading  time.Duration
	load     Load
	loadAt   time.Time
	failures int
	avoid    time.Time
	// coldUntil is until when the server may be cold because a connection broke.
	coldUntil time.Time
	errors    float64
	// heard is the Unix time in ns of the last sign of life.
	heard atomic.Int64
	sent  *limit.SlidingWindow
	// turn is the number of the latest choice of the server.
	turn     uint64
	prefixes map[uint64]time.Time
}

// New returns a Chooser that has seen nothing.
func New() *Chooser {
	return &Chooser{servers: make(map[string]*state), speeds: make(map[speedKey]*speed)}
}

func (c *Chooser) state(id string) *state {
	s := c.servers[id]
	if s == nil {
		s = &state{sent: limit.NewSlidingWindow(coldSpan), prefixes: make(map[uint64]time.Time)}
		c.servers[id] = s
	}
	return s
}

// Choose returns the server with the lowest expected delay, or false when none
// may take the request now.
func (c *Chooser) Choose(now time.Time, candidates []*topology.Server, r Request) (*Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := c.best(now, candidates, r)
	if best == nil {
		return nil, false
	}
	c.turns++
	best.state.turn = c.turns
	best.start(now)
	return best, true
}

// Estimate is what the best server would need for a request.
type Estimate struct {
	// FirstByte is the time until the first byte, Prefill the part of it that the
	// prompt takes to read, EventInterval the time between two events.
	FirstByte, Prefill, EventInterval time.Duration
}

// Estimate returns what the best server would need, or false when none may take the
// request now.
func (c *Chooser) Estimate(now time.Time, candidates []*topology.Server, r Request) (Estimate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := c.best(now, candidates, r)
	if best == nil {
		return Estimate{}, false
	}
	return Estimate{FirstByte: best.ExpectedFirstByte, Prefill: best.work, EventInterval: best.speed.event}, true
}

func (c *Chooser) best(now time.Time, candidates []*topology.Server, r Request) *Choice {
	home := homeOf(candidates, r)
	average := c.averageReading(candidates, len(r.Routers))
	speed := c.speedOf(r)
	var best *Choice
	bestCost := time.Duration(math.MaxInt64)
	for _, server := range candidates {
		s := c.state(server.ID)
		if r.Excluded[server.ID] || !s.mayTake(now, server, r) {
			continue
		}
		missing := s.missing(now, r, server == home)
		work := speed.work(missing)
		others := c.othersOf(now, server.ID, average)
		expected := work + s.reading + others.PrefillTime + s.queue(now, server, r, others.InFlight)
		burden := time.Duration(delayOthers * float64(work) * float64(s.inFlight+others.InFlight))
		if cost := c.Policy.cost(now, s, expected+burden); cost < bestCost {
			bestCost = cost
			best = &Choice{
				Server: server, UncachedTokens: missing, ExpectedFirstByte: expected,
				chooser: c, state: s, prefixes: r.Prefixes, speed: speed, work: work,
			}
		}
	}
	return best
}

// averageReading is the reading time that the other routers have sent to a server,
// if each has sent as much as this one to the average server.
func (c *Chooser) averageReading(candidates []*topology.Server, routers int) time.Duration {
	var own time.Duration
	for _, server := range candidates {
		if s := c.servers[server.ID]; s != nil {
			own += s.reading
		}
	}
	return own * time.Duration(max(routers-1, 0)) / time.Duration(max(len(candidates), 1))
}

// mayTake applies the fleet-wide bound for cold servers. Where there are more
// routers than the bound has requests, only some of them use a cold server.
func (s *state) mayTake(now time.Time, server *topology.Server, r Request) bool {
	if r.ColdRateLimit == 0 {
		return true
	}
	share := limit.PerMemberLimit(r.ColdRateLimit, coldMargin, len(r.Routers))
	if now.After(server.ColdUntil) && now.After(s.coldUntil) {
		return s.sent.Count(now) < max(warmFactor*share, warmFactor)
	}
	if s.sent.Count(now) >= share {
		return false
	}
	users := limit.PerMemberLimit(r.ColdRateLimit, coldMargin, 1)
	return len(r.Routers) <= users || balance.Rank(r.Self, r.Routers, server.ID) < users
}

func (s *state) missing(now time.Time, r Request, home bool) int {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		if at, known := s.prefixes[r.Prefixes[i].Hash]; known && now.Sub(at) < prefixAge {
			return max(0, r.PromptTokens-r.Prefixes[i].Tokens)
		}
	}
	if shared := len(r.Prefixes) - 2; home && shared >= 0 {
		return max(0, r.PromptTokens-int(homeCached*float64(r.Prefixes[shared].Tokens)))
	}
	return r.PromptTokens
}

// queue estimates the delay by other requests, beside the prompts being read.
func (s *state) queue(now time.Time, server *topology.Server, r Request, others int) time.Duration {
	running := s.inFlight + others
	if now.Sub(s.loadAt) < loadAge {
		running = max(running, s.load.Running+2*s.load.Waiting)
	}
	if r.PromptTokens == 0 {
		return serviceDelay * time.Duration(running) / time.Duration(max(server.Slots, 1))
	}
	return runningDelay * time.Duration(running)
}

// risk is the delay that failures are worth.
func (s *state) risk(now time.Time) time.Duration {
	risk := time.Duration(s.errors * float64(errorDelay))
	if now.Before(s.avoid) {
		risk += errorDelay * time.Duration(1+s.failures)
	}
	return risk
}

// homeOf returns the server that the shared part of the prompt prefers. All
// routers prefer the same one without a message.
func homeOf(candidates []*topology.Server, r Request) *topology.Server {
	shared := len(r.Prefixes) - 2
	if shared < 0 {
		return nil
	}
	var home *topology.Server
	best := uint64(0)
	for _, server := range candidates {
		if score := mix(r.Prefixes[shared].Hash, xxhash.Sum64String(server.ID)); home == nil || score > best {
			home, best = server, score
		}
	}
	return home
}

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (c *Choice) start(now time.Time) {
	c.state.sent.Count(now)
	c.state.sent.Add(now)
	c.state.inFlight++
	c.state.reading += c.work
	c.reading = true
	c.sent = now
	if len(c.state.prefixes) > maxPrefixes {
		clear(c.state.prefixes)
	}
}

func (c *Choice) stopReading() {
	if c.reading {
		c.reading = false
		c.state.reading -= c.work
	}
}

// RecordFirstByte records the first byte of the answer: the prompt is in memory.
func (c *Choice) RecordFirstByte(now time.Time) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	if c.reading {
		c.speed.learn(c.ExpectedFirstByte, now.Sub(c.sent))
	}
	c.stopReading()
	c.answered = true
	c.RecordActivity(now)
	c.notePrompt(now)
}

// notePrompt records that the prompt is in the server's memory.
func (c *Choice) notePrompt(now time.Time) {
	for _, p := range c.prefixes {
		c.state.prefixes[p.Hash] = now
	}
}

// RecordActivity records a sign of life of the server, such as a further event of a stream.
func (c *Choice) RecordActivity(now time.Time) { c.state.heard.Store(now.UnixNano()) }

// RecordStream records the events of a finished stream and the time from the first to
// the last.
func (c *Choice) RecordStream(events int, took time.Duration) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	c.speed.learnEvents(events, took)
}

// LastActivity returns when the server last gave a sign of life on any request.
func (c *Choice) LastActivity() time.Time { return time.Unix(0, c.state.heard.Load()) }

// RecordLoad records the load that an answer stated.
func (c *Choice) RecordLoad(now time.Time, load Load) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	c.state.load, c.state.loadAt = load, now
	c.RecordActivity(now)
}

// Outcome is what became of an attempt.
type Outcome uint8

// Outcomes of attempts.
const (
	// Succeeded: a complete answer.
	Succeeded Outcome = iota
	// Failed: an error answer, or an answer that was lost or spoiled.
	Failed
	// Unreachable: no connection, or a connection that went silent.
	Unreachable
	// Refused: the server stated that it did not run the request.
	Refused
	// Cancelled: the caller left; this says nothing of the server.
	Cancelled
)

// End records the end of the attempt.
func (c *Choice) End(now time.Time, outcome Outcome) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	s := c.state
	c.stopReading()
	s.inFlight--
	if c.answered {
		// The answer was read with the prompt in memory up to its end.
		c.notePrompt(now)
	}
	switch outcome {
	case Succeeded:
		s.failures, s.avoid = 0, time.Time{}
		s.errors *= 1 - errorWeight
	case Failed:
		s.errors += errorWeight * (1 - s.errors)
	case Refused, Unreachable:
		pause := min(maxSuspicion, firstSuspicion<<min(s.failures, 6))
		s.failures++
		s.avoid = now.Add(pause)
		if outcome == Unreachable {
			s.errors += errorWeight * (1 - s.errors)
			s.coldUntil = now.Add(recovering)
			clear(s.prefixes)
		}
	}
}

// Retain forgets the servers that keep rejects.
func (c *Chooser) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if !keep(id) && s.inFlight == 0 {
			delete(c.servers, id)
		}
	}
}
