package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cactusknot.example/coord/limit"
)

const (
	// suspectedPenalty is the factor on the cost of an agent that is suspected to have
	// failed. Such an agent is chosen only when no other remains.
	suspectedPenalty = 1000
	// minLatencyRatio and maxLatencyRatio bound the ratio of an agent's first-token
	// time and time between tokens to the median, so that one report never dominates.
	minLatencyRatio = 0.7
	maxLatencyRatio = 2
	// fullPenalty multiplies the part of an agent's estimated load above its limit; the
	// product is added to the load.
	fullPenalty = 4
	// maxCachedCandidates bounds the agents with the prefix cached that are compared.
	// The search starts at a random agent: in a fixed order all routers would use the
	// same first agents.
	maxCachedCandidates = 2
	// maxProbes bounds the agents that are searched for a cached prefix.
	maxProbes = 32
	// expectedTokenFraction is the expected fraction of Request.MaxTokens that the
	// answer uses, and maxExpectedTokens bounds the expected length: callers set
	// max_tokens far above the length of most answers.
	expectedTokenFraction = 0.4
	maxExpectedTokens     = 400
	// coldLoadFactor lowers the estimated load of a cold agent that has a free slot.
	// Its latency is not compared either: a cold agent's limit rises only with
	// completed requests, and when latencies were compared, replaced engines got almost
	// no requests and stayed cold. With a factor of 1 they stay cold at low load; with
	// 0.5 more requests on them miss their deadline.
	coldLoadFactor = 0.7
	// fixedIntervalFraction is the fraction of the time between tokens that does not
	// depend on the load. Values from 0.15 to 0.5 gave the same latency within the
	// variation between seeds (docs/decisions/load-and-limits.md).
	fixedIntervalFraction = 0.25
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Target is model@version, or the name of the service.
	Target string
	// Prefix is the hash of the prompt prefix; 0 for none.
	Prefix uint64
	// MaxTokens is the maximum length of the answer: the caller's max_tokens or the
	// default; 0 for a service without a model.
	MaxTokens int
	// Tried are the VMs of earlier attempts. They are chosen only when no other agent
	// remains.
	Tried []string
}

// Choose returns the agent for the request, or false when no agent in service offers
// the target. By the router's data the agent may be full; admission is decided by the
// agent, whose data is current.
func (s *Snapshot) Choose(random *rand.Rand, now time.Time, r Request) (*Agent, bool) {
	p := s.pools[r.Target]
	if p == nil {
		return nil, false
	}
	best, cost := s.sample(random, now, p, p.near, r)
	if best < 0 || !s.hasCapacity(best, now, p) {
		best, cost = s.scan(now, p, r)
	}
	if best < 0 {
		return nil, false
	}
	if cached := s.cheapestCached(random, now, p, r, cost); cached >= 0 {
		best = cached
	}
	a := &s.agents[best]
	if !s.eligible(a) {
		s.cfg.Check.Assert(false, InvariantExcludedChosen, "vm %s, data centre %s, phase %s", a.VM, a.DataCentre, a.Phase)
		return nil, false
	}
	return a, true
}

// PausedFor returns the time until the first pause among the agents of a target ends. It is 0
// unless all of them pause.
func (s *Snapshot) PausedFor(now time.Time, target string) time.Duration {
	p := s.pools[target]
	if p == nil {
		return 0
	}
	var first time.Duration
	for _, from := range [2][]int32{p.near, p.far} {
		for _, i := range from {
			left := s.agents[i].PausedUntil.Sub(now)
			if left <= 0 {
				return 0
			}
			if first == 0 || left < first {
				first = left
			}
		}
	}
	return first
}

// sample returns the cheapest of cfg.Choices random candidates and its cost, or -1 if
// there is none that was not tried.
func (s *Snapshot) sample(random *rand.Rand, now time.Time, p *pool, from []int32, r Request) (int32, float64) {
	best, cost := int32(-1), math.Inf(1)
	if len(from) == 0 {
		return best, cost
	}
	first := random.IntN(len(from))
	at := first
	for n := range min(s.cfg.Choices, len(from)) {
		if n > 0 {
			// Drawing among the others keeps the second choice distinct from the first.
			at = (first + 1 + random.IntN(len(from)-1)) % len(from)
		}
		i := from[at]
		if slices.Contains(r.Tried, s.agents[i].VM) || s.agents[i].paused(now) {
			continue
		}
		if c := s.cost(&s.agents[i], now, p, r); c < cost {
			best, cost = i, c
		}
	}
	return best, cost
}

// scan returns the cheapest of all candidates and its cost. It is used when the sampled
// agent has no free slot. Unlike sample it includes other regions, whose distance adds to
// the cost, and tried agents, which are considered only when there are no others.
func (s *Snapshot) scan(now time.Time, p *pool, r Request) (int32, float64) {
	best, cost := int32(-1), math.Inf(1)
	for pass := range 2 {
		for _, from := range [2][]int32{p.near, p.far} {
			for _, i := range from {
				tried := slices.Contains(r.Tried, s.agents[i].VM)
				if tried != (pass == 1) || s.agents[i].paused(now) {
					continue
				}
				if c := s.cost(&s.agents[i], now, p, r); c < cost {
					best, cost = i, c
				}
			}
		}
		if best >= 0 {
			return best, cost
		}
	}
	return best, cost
}

// cheapestCached returns the cheapest of a few agents of the region that have the
// prefix cached, or -1 when none costs less than the given cost.
func (s *Snapshot) cheapestCached(random *rand.Rand, now time.Time, p *pool, r Request, cost float64) int32 {
	if r.Prefix == 0 {
		return -1
	}
	if len(p.near) == 0 {
		return -1
	}
	best := int32(-1)
	found := 0
	start := random.IntN(len(p.near))
	for n := range min(len(p.near), maxProbes) {
		i := p.near[(start+n)%len(p.near)]
		a := &s.agents[i]
		if _, cached := slices.BinarySearch(a.Prefixes, r.Prefix); !cached || a.paused(now) {
			continue
		}
		if c := s.cachedCost(a, now, p, r); c < cost {
			best, cost = i, c
		}
		found++
		if found == maxCachedCandidates {
			break
		}
	}
	return best
}

// cachedCost returns the cost of an agent that has the prefix cached. It is infinite
// when the agent was tried or its load is above the affinity limit.
func (s *Snapshot) cachedCost(a *Agent, now time.Time, p *pool, r Request) float64 {
	if s.load(a, now, p) > s.cfg.AffinityMaxLoad || slices.Contains(r.Tried, a.VM) {
		return math.Inf(1)
	}
	return s.cost(a, now, p, r) * s.cfg.AffinityCostFactor
}

// hasCapacity tells whether a candidate is expected to have a free slot and is not
// suspected to have failed.
func (s *Snapshot) hasCapacity(i int32, now time.Time, p *pool) bool {
	a := &s.agents[i]
	return a.Suspicion < 1 && s.load(a, now, p) <= 1
}

// load estimates an agent's load, as a fraction of its limit, with one more request.
// It adds the router's own requests since the report to the reported load, which
// decays towards the mean of the candidates as the report ages.
func (s *Snapshot) load(a *Agent, now time.Time, p *pool) float64 {
	if a.Limit <= 0 {
		return 1 + fullPenalty
	}
	age := max(now.Sub(a.ReportedAt), 0)
	trust := math.Exp2(-float64(age) / float64(s.cfg.ReportHalfLife))
	reported := trust*reportedLoad(a) + (1-trust)*p.meanLoad
	own := a.InFlight.Count() - a.InFlightAtReport
	return max(reported*float64(a.Limit)+float64(own), 0)/float64(a.Limit) + 1/float64(a.Limit)
}

// cost estimates the duration of a request at an agent in ms: the median first-token
// time, scaled by the agent's latency ratio and load, the time to generate the answer
// and the network round trip.
func (s *Snapshot) cost(a *Agent, now time.Time, p *pool, r Request) float64 {
	load := s.load(a, now, p)
	ratio, interval := p.latencyRatio(a), p.tokenIntervalMS(a)
	if a.Phase == limit.Cold && load <= 1 {
		ratio, interval = 1, p.medianIntervalMS
		load *= coldLoadFactor
	}
	if load > 1 {
		load += fullPenalty * (load - 1)
	}
	loadedInterval := interval * (fixedIntervalFraction + (1-fixedIntervalFraction)*load)
	cost := p.medianFirstTokenMS*ratio*load + r.expectedTokens()*loadedInterval + s.cfg.DistanceMS[min(a.Distance, OtherRegion)]
	if a.Suspicion >= 1 {
		cost *= suspectedPenalty
	}
	return cost * (1 + a.Suspicion)
}

// latencyRatio returns the ratio of an agent's first-token time to the median of the
// pool; 1 when unknown.
func (p *pool) latencyRatio(a *Agent) float64 {
	if a.FirstTokenMS <= 0 {
		return 1
	}
	return min(max(a.FirstTokenMS/p.medianFirstTokenMS, minLatencyRatio), maxLatencyRatio)
}

// tokenIntervalMS returns an agent's time between tokens; the median of the pool when
// unknown.
func (p *pool) tokenIntervalMS(a *Agent) float64 {
	if a.TokenIntervalMS <= 0 {
		return p.medianIntervalMS
	}
	return min(max(a.TokenIntervalMS, minLatencyRatio*p.medianIntervalMS), maxLatencyRatio*p.medianIntervalMS)
}

// expectedTokens estimates the length of the answer in tokens.
func (r Request) expectedTokens() float64 {
	return min(expectedTokenFraction*float64(r.MaxTokens), maxExpectedTokens)
}
