// Package selection chooses the backend server of a request from what this router
// has observed: its requests in flight, the load that answers report, failures, and
// the prompts that it sent earlier. The outstanding work that other routers report
// is counted too. All methods that depend on the time take it as an argument.
package selection

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusknot.example/daemon/availability"
	"cactusknot.example/daemon/serverlimit"
	"cactusknot.example/daemon/topology"
)

const (
	// maxLoadAge is how long the load reported by a server is used.
	maxLoadAge = 3 * time.Second
	// errorRateWeight is the weight of the newest answer in the moving average of the
	// error rate.
	errorRateWeight = 0.15
	// delayPerRunning is the delay of the first byte that each running request causes
	// at a model engine.
	delayPerRunning = 2 * time.Millisecond
	// serviceQueueDelay is the delay at a service without a model when all slots of the
	// server are taken. It scales with the number of running requests per slot.
	serviceQueueDelay = 120 * time.Millisecond
	// homeCachedFraction is the fraction of a shared prompt that is assumed to be cached
	// on the prompt's home server before this router has sent the prompt there.
	homeCachedFraction = 0.95
	// interferenceWeight weighs the delay that a prompt causes to each request running
	// on the same server against the delay of the request itself.
	interferenceWeight = 0.08
	// prefillWeight weighs the time that a server spends on a prompt against the delay of
	// the request itself: it delays every request that comes to the server afterwards. The
	// load cannot show that yet.
	prefillWeight = 3
	// limitedServerCost is the cost of a request to a server with a rate limit, as a delay.
	// The limit counts requests, so the server is left to those that gain most by it.
	limitedServerCost = 600 * time.Millisecond
	// errorPenalty is the cost of a failure that is certain, as a delay.
	errorPenalty = 2500 * time.Millisecond
	// maxCachedPrefixes bounds the remembered prompt prefixes of a server.
	maxCachedPrefixes = 2048
	// prefixTTL is how long a prompt prefix is assumed to stay in a server's cache.
	prefixTTL = 20 * time.Second
)

// Prefix is a prefix of a prompt that ends at the end of one of its parts.
type Prefix struct {
	// Hash covers the model and all parts up to the end of the prefix.
	Hash uint64
	// Tokens is the length of the prefix.
	Tokens int
}

// Prefixes returns the prefixes of a prompt for a model, given the IDs and the lengths
// of its parts.
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

// Request holds the properties of a request that the choice of a server depends on.
type Request struct {
	// Service and Model select the latency model.
	Service string
	Model   string
	// ModelRank is the rank of the model by size among those of the route, from 0 for
	// the smallest to 1 for the largest.
	ModelRank float64
	// PromptTokens is the length of the prompt; 0 for services without a model.
	PromptTokens int
	// Prefixes lists the prefixes of the prompt in ascending length. The last one is
	// the whole prompt, which only this request has.
	Prefixes []Prefix
	// ColdRateLimit bounds the requests per second that all routers together send to a
	// cold server; 0 means no limit.
	ColdRateLimit float64
	// Self is the name of this router. Routers names all routers that share the limit.
	Self    string
	Routers []string
	// Excluded holds the IDs of servers that were tried already.
	Excluded map[string]bool
	// AnswerEvents is the expected number of events of the answer, and Within the time in
	// which the answer has to end. Servers at which it is expected to take longer are no
	// option. 0 for Within means no bound.
	AnswerEvents float64
	Within       time.Duration
}

// Load is the load that a backend server reports.
type Load struct {
	// Running and Waiting are its running and queued requests.
	Running, Waiting int
	// Slots is the number of requests that it runs concurrently; 0 when not reported.
	Slots int
	// Percent is how long work takes on its machine at this moment: 100 is as usual, 200
	// twice as long; 0 when not reported.
	Percent int
}

// Choice is a chosen backend server. The caller reports the progress of the attempt
// to it and calls End exactly once, when the attempt has ended.
type Choice struct {
	Server *topology.Server
	// UncachedTokens is the estimated number of prompt tokens that are not in the
	// server's prefix cache.
	UncachedTokens int
	// ExpectedFirstByte is the expected time to the first byte.
	ExpectedFirstByte time.Duration
	// EventInterval is the expected time between events of a stream.
	EventInterval time.Duration

	chooser    *Chooser
	state      *serverState
	prefixes   []Prefix
	latency    *latencyModel
	prefill    time.Duration
	pace       float64
	prefilling bool
	answered   bool
	sentAt     time.Time
}

// Chooser chooses backend servers and keeps what was observed of them. It is safe for
// concurrent use.
type Chooser struct {
	// Policy must not change after the first call of Choose.
	Policy Policy
	// Limits keeps requests within the rates that servers name.
	Limits *serverlimit.Tokens
	// Announcements holds what servers have announced about themselves.
	Announcements *availability.Announcements

	mu        sync.Mutex
	servers   map[string]*serverState
	latencies map[latencyKey]*latencyModel
	// peerWork is the outstanding work of the other routers as reported at peerWorkAt.
	peerWork   map[string]OutstandingWork
	peerWorkAt time.Time
	// relaxedAt is when the paces of all servers were last updated.
	relaxedAt time.Time
	// choices counts the calls of Choose that returned a server.
	choices uint64
}

// serverState is what was observed of one backend server.
type serverState struct {
	inFlight int
	// pendingPrefill is the prefill time of this router's requests whose first byte has
	// not arrived.
	pendingPrefill time.Duration
	load           Load
	loadAt         time.Time
	// sentSinceLoad counts the requests sent since the load was reported.
	sentSinceLoad int
	availability  availability.Server
	errorRate     float64
	// rateLimit is the rate limit that the latest answer named, in requests per second; 0
	// for none.
	rateLimit float64
	// violation is the latest violation of the protocol, and violationAt its time.
	violation   string
	violationAt time.Time
	// lastActivity is when data last arrived from the server, as Unix time in ns.
	lastActivity atomic.Int64
	// lastChoice is the value of Chooser.choices when the server was last chosen.
	lastChoice uint64
	pace       pace
	// cachedPrefixes holds when each prefix was last known to be cached.
	cachedPrefixes map[uint64]time.Time
}

// New returns a Chooser without observations.
func New() *Chooser {
	return &Chooser{
		Limits: &serverlimit.Tokens{}, Announcements: &availability.Announcements{},
		servers: make(map[string]*serverState), latencies: make(map[latencyKey]*latencyModel),
	}
}

func (c *Chooser) serverState(id string) *serverState {
	s := c.servers[id]
	if s == nil {
		s = &serverState{availability: availability.New(), cachedPrefixes: make(map[uint64]time.Time)}
		c.servers[id] = s
	}
	return s
}

// Choose returns the best server by the policy, or false when none may take the
// request now.
func (c *Chooser) Choose(now time.Time, candidates []*topology.Server, r Request) (*Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, limited := c.best(now, candidates, r)
	if limited != nil {
		c.Limits.Want(limited.ID)
	}
	if best == nil {
		return nil, false
	}
	c.choices++
	best.state.lastChoice = c.choices
	best.start(now)
	return best, true
}

// Estimate holds the expected times of a request.
type Estimate struct {
	// FirstByte is the time to the first byte, Prefill the part of it that the server
	// spends on the prompt, and EventInterval the time between events of the stream.
	FirstByte, Prefill, EventInterval time.Duration
	// Server is the server that would be chosen.
	Server *topology.Server
}

// Answer returns the expected time from the first to the last event of the request's
// answer.
func (e Estimate) Answer(r Request) time.Duration {
	return time.Duration(r.AnswerEvents * float64(e.EventInterval))
}

// Estimate returns the expected times at the server that Choose would return, or false
// when none may take the request now. It does not count as a choice.
func (c *Chooser) Estimate(now time.Time, candidates []*topology.Server, r Request) (Estimate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, _ := c.best(now, candidates, r)
	if best == nil {
		return Estimate{}, false
	}
	return Estimate{FirstByte: best.ExpectedFirstByte, Prefill: best.prefill, EventInterval: best.EventInterval, Server: best.Server}, true
}

// best returns the candidate with the lowest cost, or nil when none may take the request.
// limited is a server that would be better if its rate limit allowed another request, or
// nil.
func (c *Chooser) best(now time.Time, candidates []*topology.Server, r Request) (best *Choice, limited *topology.Server) {
	home := homeServer(candidates, r)
	assumed := c.assumedPeerPrefill(candidates, len(r.Routers))
	latency, shared := c.latencyOf(r), sharedFraction(r)
	c.relaxPaces(now)
	bestCost, limitedCost := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	query, announcements := r.query(now), c.Announcements.Snapshot()
	for _, server := range candidates {
		s := c.serverState(server.ID)
		if r.Excluded[server.ID] {
			continue
		}
		query.Server, query.Announced, query.Limit = server, announcements[server.ID], c.Limits.State(now, server.ID)
		reason := s.availability.Check(&query)
		if reason.Blocks() && reason != availability.Limited {
			continue
		}
		uncached := s.uncachedTokens(now, r, server == home)
		peers := c.peerWorkOf(now, server.ID, assumed)
		average := latency.prefillTime(uncached)
		prefill := scale(average, 1+s.pace.deviation)
		waiting := s.pendingPrefill + peers.PrefillTime + s.queueDelay(now, server, r, peers.InFlight)
		slowdown := s.slowdown(now, prefill+waiting)
		expected := prefill + waiting + slowdown
		if r.Within > 0 && expected+time.Duration(r.AnswerEvents*float64(s.eventInterval(now, latency, peers.InFlight))) > r.Within {
			continue
		}
		weight := 1 + prefillWeight + interferenceWeight*float64(s.inFlight+peers.InFlight)
		weight *= 1 + trustedDeviation(s.pace.deviation, uncached < r.PromptTokens, shared)
		cost := c.Policy.cost(now, s, scale(average, weight)+waiting+slowdown)
		switch query.Limit {
		case serverlimit.Open:
			cost += limitedServerCost
		case serverlimit.Recheck:
			cost = 0
		case serverlimit.Closed:
			if cost += limitedServerCost; cost < limitedCost {
				limited, limitedCost = server, cost
			}
			continue
		}
		if cost < bestCost {
			bestCost = cost
			if best == nil {
				best = new(Choice)
			}
			*best = Choice{
				Server: server, UncachedTokens: uncached, ExpectedFirstByte: expected,
				chooser: c, state: s, prefixes: r.Prefixes, latency: latency, prefill: prefill, pace: 1 + s.pace.deviation,
			}
		}
	}
	if bestCost <= limitedCost {
		limited = nil
	}
	if best != nil {
		best.EventInterval = best.state.eventInterval(now, latency, c.peerWorkOf(now, best.Server.ID, assumed).InFlight)
	}
	return best, limited
}

// assumedPeerPrefill estimates the pending prefill time per server of the other
// routers: each is assumed to have as much in total as this one, spread evenly.
func (c *Chooser) assumedPeerPrefill(candidates []*topology.Server, routers int) time.Duration {
	var own time.Duration
	for _, server := range candidates {
		if s := c.servers[server.ID]; s != nil {
			own += s.pendingPrefill
		}
	}
	return own * time.Duration(max(routers-1, 0)) / time.Duration(max(len(candidates), 1))
}

// uncachedTokens estimates how many prompt tokens are not in the server's prefix
// cache. home is true for the home server of the prompt.
func (s *serverState) uncachedTokens(now time.Time, r Request, home bool) int {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		if at, known := s.cachedPrefixes[r.Prefixes[i].Hash]; known && now.Sub(at) < prefixTTL {
			return max(0, r.PromptTokens-r.Prefixes[i].Tokens)
		}
	}
	if shared := len(r.Prefixes) - 2; home && shared >= 0 {
		return max(0, r.PromptTokens-int(homeCachedFraction*float64(r.Prefixes[shared].Tokens)))
	}
	return r.PromptTokens
}

// queueDelay estimates the delay caused by running requests, without their prefill
// time. peers is the number of other routers' requests at the server.
func (s *serverState) queueDelay(now time.Time, server *topology.Server, r Request, peers int) time.Duration {
	running, slots := s.inFlight+peers, server.Slots
	if now.Sub(s.loadAt) < maxLoadAge {
		running = max(running, s.load.Running+2*s.load.Waiting)
		if s.load.Slots > 0 {
			slots = s.load.Slots
		}
	}
	if r.PromptTokens == 0 {
		return serviceQueueDelay * time.Duration(running) / time.Duration(max(slots, 1))
	}
	return delayPerRunning * time.Duration(running)
}

// failurePenalty returns the cost of the server's recent failures, as a delay.
func (s *serverState) failurePenalty(now time.Time) time.Duration {
	penalty := time.Duration(s.errorRate * float64(errorPenalty))
	if s.availability.Avoided(now) {
		penalty += errorPenalty * time.Duration(1+s.availability.Failures())
	}
	return penalty
}

// homeServer returns the preferred server for the shared part of the prompt by
// rendezvous hashing, so that all routers agree on it without communication. It
// returns nil for a prompt without a shared part.
func homeServer(candidates []*topology.Server, r Request) *topology.Server {
	shared := len(r.Prefixes) - 2
	if shared < 0 {
		return nil
	}
	var home *topology.Server
	best := uint64(0)
	for _, server := range candidates {
		if score := mixHashes(r.Prefixes[shared].Hash, xxhash.Sum64String(server.ID)); home == nil || score > best {
			home, best = server, score
		}
	}
	return home
}

// mixHashes combines two hashes with the finalizer of MurmurHash3.
func mixHashes(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// start records that the request is sent to the server.
func (c *Choice) start(now time.Time) {
	c.chooser.Limits.Spend(now, c.Server.ID)
	c.state.availability.RecordSent(now)
	c.state.inFlight++
	c.state.pendingPrefill += c.prefill
	c.state.sentSinceLoad++
	c.prefilling = true
	c.sentAt = now
	if len(c.state.cachedPrefixes) > maxCachedPrefixes {
		clear(c.state.cachedPrefixes)
	}
}

// endPrefill removes the request's prefill time from the pending one.
func (c *Choice) endPrefill() {
	if c.prefilling {
		c.prefilling = false
		c.state.pendingPrefill -= c.prefill
	}
}

// RecordFirstByte records the arrival of the first byte of the answer. The server now
// has the prompt in its cache.
func (c *Choice) RecordFirstByte(now time.Time) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	if c.prefilling {
		c.observeFirstByte(now)
	}
	c.endPrefill()
	c.answered = true
	c.state.availability.RecordAnswer()
	c.RecordActivity(now)
	c.recordPrompt(now)
}

// recordPrompt records that the prefixes of the prompt are in the server's cache.
func (c *Choice) recordPrompt(now time.Time) {
	for _, p := range c.prefixes {
		c.state.cachedPrefixes[p.Hash] = now
	}
}

// RecordActivity records that the server has sent data, such as an event of a stream.
func (c *Choice) RecordActivity(now time.Time) { c.state.lastActivity.Store(now.UnixNano()) }

// LastActivity returns when the server last sent data on any request of this router.
func (c *Choice) LastActivity() time.Time { return time.Unix(0, c.state.lastActivity.Load()) }

// RecordLoad records the load reported by an answer.
func (c *Choice) RecordLoad(now time.Time, load Load) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	c.state.load, c.state.loadAt, c.state.sentSinceLoad = load, now, 0
	c.RecordActivity(now)
}

// RecordRateLimit records the rate limit that an answer names, in requests per second from
// all routers, or 0 if it names none. It returns the one before.
func (c *Choice) RecordRateLimit(now time.Time, perSecond float64) (before float64) {
	c.chooser.Limits.Observe(now, c.Server.ID, perSecond)
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	before, c.state.rateLimit = c.state.rateLimit, perSecond
	return before
}

// RecordViolation records that the server broke the protocol in the named way.
func (c *Choice) RecordViolation(now time.Time, name string) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	c.state.violation, c.state.violationAt = name, now
}

// Outcome is the result of an attempt as far as it concerns the server.
type Outcome uint8

// Outcomes of attempts.
const (
	// Succeeded: a complete answer.
	Succeeded Outcome = iota
	// Failed: an error answer, or an answer that was lost or invalid.
	Failed
	// Unreachable: no connection, or a connection on which nothing arrives.
	Unreachable
	// Refused: the server stated that it did not run the request.
	Refused
	// Cancelled: the caller left; this says nothing about the server.
	Cancelled
)

// End records the end of the attempt and its outcome.
func (c *Choice) End(now time.Time, outcome Outcome) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	s := c.state
	c.endPrefill()
	s.inFlight--
	if c.answered {
		// The server used the cached prompt until the end of the answer.
		c.recordPrompt(now)
	}
	switch outcome {
	case Succeeded:
		s.availability.RecordSuccess()
		s.errorRate *= 1 - errorRateWeight
	case Failed:
		s.errorRate += errorRateWeight * (1 - s.errorRate)
	case Refused:
		s.availability.RecordRefusal(now)
	case Unreachable:
		s.availability.RecordUnreachable(now)
		s.errorRate += errorRateWeight * (1 - s.errorRate)
		clear(s.cachedPrefixes)
	}
}

// Retain drops the observations of servers for which keep returns false, except those
// with requests in flight.
func (c *Chooser) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if !keep(id) && s.inFlight == 0 {
			delete(c.servers, id)
		}
	}
}
