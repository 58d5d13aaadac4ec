package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cactusknot.example/coord/limit"
)

const (
	// suspectedPenalty makes a suspected agent a last resort.
	suspectedPenalty = 1000
	// minSpeed and maxSpeed bound the ratio of an agent's first-token time and
	// time between tokens to the median, so that one report never dominates.
	minSpeed = 0.7
	maxSpeed = 2
	// fullPenalty is added to the load of an agent without an estimated free place,
	// for each missing place.
	fullPenalty = 4
	// maxHolders is the number of random agents compared for a cached prefix. A
	// fixed order would send all routers to the first holders.
	maxHolders = 2
	// maxProbes bounds the agents looked at for a cached prefix.
	maxProbes = 32
	// answerPart is the expected part of Request.Tokens, and maxExpectedTokens
	// bounds the expected length: callers set max_tokens far above most answers.
	answerPart        = 0.4
	maxExpectedTokens = 400
	// coldLoadFactor lowers the estimated load of a cold agent with a free place, and
	// its speed is not counted: its ramp opens only by completions. Compared by
	// speed, replaced engines got next to no requests and stayed cold. At 1 they stay
	// cold at low load; at 0.5 more requests pass their deadline on them.
	coldLoadFactor = 0.7
	// fixedStepPart is the part of the time between tokens that does not depend on
	// the load. Parts of 0.15 to 0.5 gave the same latency within the range of the
	// seeds (docs/decisions/load-and-limits.md).
	fixedStepPart = 0.25
)

// Request is what the choice needs of a request.
type Request struct {
	// Target is model@version, or the service's name.
	Target string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// MaxTokens is the largest length of the answer: the caller's max_tokens or the
	// default; 0 for a plain service.
	MaxTokens int
	// Tried are the VMs of earlier attempts, which are chosen only when no other
	// remains.
	Tried []string
}

// Choose returns the agent for the request, or false when no agent in service has
// the target. The agent may be full: it decides on current data itself.
func (s *Snapshot) Choose(random *rand.Rand, now time.Time, r Request) (*Agent, bool) {
	p := s.pools[r.Target]
	if p == nil {
		return nil, false
	}
	best, cost := s.sample(random, now, p, p.near, r)
	if best < 0 || !s.usable(best, now, p) {
		best, cost = s.scan(now, p, r)
	}
	if best < 0 {
		return nil, false
	}
	if holder := s.holder(random, now, p, r, cost); holder >= 0 {
		best = holder
	}
	a := &s.agents[best]
	if !s.mayServe(a) {
		s.cfg.Check.Assert(false, InvariantExcludedChosen, "vm %s, data centre %s, phase %s", a.VM, a.DataCentre, a.Phase)
		return nil, false
	}
	return a, true
}

// sample returns the cheapest of a few random candidates.
func (s *Snapshot) sample(random *rand.Rand, now time.Time, p *pool, from []int32, r Request) (int32, float64) {
	best, cost := int32(-1), math.Inf(1)
	if len(from) == 0 {
		return best, cost
	}
	first := random.IntN(len(from))
	at := first
	for n := range min(s.cfg.Choices, len(from)) {
		if n > 0 {
			// A second draw among the others keeps two choices distinct.
			at = (first + 1 + random.IntN(len(from)-1)) % len(from)
		}
		i := from[at]
		if slices.Contains(r.Tried, s.agents[i].VM) {
			continue
		}
		if c := s.cost(&s.agents[i], now, p, r); c < cost {
			best, cost = i, c
		}
	}
	return best, cost
}

// scan returns the cheapest of all candidates. It is used when the sample has no
// free place. Tried agents and other regions come last.
func (s *Snapshot) scan(now time.Time, p *pool, r Request) (int32, float64) {
	best, cost := int32(-1), math.Inf(1)
	for pass := range 2 {
		for _, from := range [2][]int32{p.near, p.far} {
			for _, i := range from {
				again := slices.Contains(r.Tried, s.agents[i].VM)
				if again != (pass == 1) {
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

// holder returns a near agent that has the prefix cached and is worth it, or -1.
func (s *Snapshot) holder(random *rand.Rand, now time.Time, p *pool, r Request, cost float64) int32 {
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
		if _, cached := slices.BinarySearch(a.Prefixes, r.Prefix); !cached {
			continue
		}
		if c := s.holderCost(a, now, p, r); c < cost {
			best, cost = i, c
		}
		found++
		if found == maxHolders {
			break
		}
	}
	return best
}

// holderCost is the cost of an agent that has the prefix; without bound when it
// is too loaded or was tried.
func (s *Snapshot) holderCost(a *Agent, now time.Time, p *pool, r Request) float64 {
	if s.load(a, now, p) > s.cfg.AffinityMaxLoad || slices.Contains(r.Tried, a.VM) {
		return math.Inf(1)
	}
	return s.cost(a, now, p, r) * s.cfg.AffinityCostFactor
}

// usable tells whether a candidate is expected to have a free place and is not
// suspected.
func (s *Snapshot) usable(i int32, now time.Time, p *pool) bool {
	a := &s.agents[i]
	return a.Suspicion < 1 && s.load(a, now, p) <= 1
}

// load estimates the load with one more request: reported requests, moved towards
// the mean of the candidates as the report ages, and the router's own requests
// since the report.
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

// cost estimates the time that a request needs at an agent in ms: the typical
// first-token time, scaled by the agent's speed and load, the time of the answer
// and the network.
func (s *Snapshot) cost(a *Agent, now time.Time, p *pool, r Request) float64 {
	load := s.load(a, now, p)
	speed, interval := p.speed(a), p.intervalMS(a)
	if a.Phase == limit.Cold && load <= 1 {
		speed, interval = 1, p.typicalIntervalMS
		load *= coldLoadFactor
	}
	if load > 1 {
		load += fullPenalty * (load - 1)
	}
	step := interval * (fixedStepPart + (1-fixedStepPart)*load)
	cost := p.typicalMS*speed*load + r.expectedTokens()*step + s.cfg.DistanceMS[min(a.Distance, OtherRegion)]
	if a.Suspicion >= 1 {
		cost *= suspectedPenalty
	}
	return cost * (1 + a.Suspicion)
}

// speed is the ratio of an agent's first-token time to the typical one.
func (p *pool) speed(a *Agent) float64 {
	if a.FirstTokenMS <= 0 {
		return 1
	}
	return min(max(a.FirstTokenMS/p.typicalMS, minSpeed), maxSpeed)
}

// intervalMS is the time between tokens of an agent; the typical one when unknown.
func (p *pool) intervalMS(a *Agent) float64 {
	if a.TokenIntervalMS <= 0 {
		return p.typicalIntervalMS
	}
	return min(max(a.TokenIntervalMS, minSpeed*p.typicalIntervalMS), maxSpeed*p.typicalIntervalMS)
}

// expectedTokens estimates the length of the answer.
func (r Request) expectedTokens() float64 {
	return min(answerPart*float64(r.MaxTokens), maxExpectedTokens)
}
