package routing

import (
	"math/rand/v2"

	"cactusknot.example/coord/stats"
)

const (
	// priorStrength is the number of own ratings that outweigh all ratings of the
	// other workspaces.
	priorStrength = 40
	// minKnownRatings is the number of ratings from which a model's mean counts as
	// known; below it the dearest model is presumed best.
	minKnownRatings = 20
	// minSecondRatings is the number of ratings from which a second answer's mean
	// in one interval is used alone.
	minSecondRatings = 5
	// guessVariance is the variance of a rating assumed before any is known.
	guessVariance = 0.08
	// boundZ is the number of standard errors of a one-sided 90% bound. A choice
	// is revised with each snapshot, so the bound need not hold at all times at once.
	boundZ = 1.2816
)

// Policy is a way to answer requests of one workspace and kind: one model, or a
// cascade.
type Policy struct {
	First string
	// Plan tells which dearer model replaces First's answer, by its rating. It is
	// nil for a single model.
	Plan *EscalationPlan
	// Mean, Lower and Upper are the estimated mean rating and its bounds.
	Mean  float64
	Lower float64
	Upper float64
	// Cost is the mean price of a typical request in millionths of the billing
	// currency.
	Cost float64

	known bool
	// dearest is true for the dearest single model.
	dearest bool
}

// choice holds the policies of one workspace and kind.
type choice struct {
	best   *Policy
	proved bool
	// explore are the policies worth learning about, at most one per first model.
	explore []*Policy
	// byFirst is the choice for sessions that stay with their first model.
	byFirst map[string]*Policy
	all     []*Policy
}

func (s *Snapshot) buildPolicies(w *workspace) map[string]*choice {
	out := make(map[string]*choice, len(s.evidence.kinds))
	for _, kind := range s.evidence.kinds {
		out[kind] = choose(s.candidates(w, kind), w.cfg.QualityTarget)
	}
	return out
}

// candidates returns every single model and cascade in order of the first
// model's price. Without ratings a cascade can't escalate, so it is left out.
func (s *Snapshot) candidates(w *workspace, kind string) []*Policy {
	var out []*Policy
	var dearest *Policy
	for _, a := range w.ordered {
		if a.base == nil {
			continue
		}
		view := s.view(w, a, kind)
		single := singlePolicy(a, view.single())
		out = append(out, single)
		dearest = single
		if !s.ratingUp {
			continue
		}
		c := newCascade(a, view)
		for _, b := range w.ordered {
			if b.base != nil && b.model.price > a.model.price {
				c.addSecond(b, s.view(w, b, kind))
			}
		}
		if len(c.seconds) > 0 {
			out = append(out, c.policy(w.cfg.QualityTarget))
		}
	}
	if dearest != nil {
		dearest.dearest = true
	}
	return out
}

func (s *Snapshot) view(w *workspace, a *access, kind string) view {
	return s.evidence.view(w.cfg.Name, a.model.cfg.Name, a.base.name, kind)
}

func singlePolicy(a *access, e stats.Estimate) *Policy {
	p := &Policy{First: a.model.cfg.Name, Cost: a.model.price / 1e6}
	p.bounds(e)
	return p
}

func (p *Policy) bounds(e stats.Estimate) {
	p.known = e.Weight >= minKnownRatings
	p.Mean, p.Lower, p.Upper = e.Mean, e.Lower(boundZ), e.Upper(boundZ)
	if e.Weight == 0 {
		p.Lower, p.Upper = 0, 1
	}
}

// choose takes the cheapest policy that is proved to meet the target, else the
// best known one.
func choose(all []*Policy, target float64) *choice {
	c := &choice{all: all, byFirst: make(map[string]*Policy)}
	for _, p := range all {
		if better(p, c.best, target) {
			c.best = p
		}
		if better(p, c.byFirst[p.First], target) {
			c.byFirst[p.First] = p
		}
	}
	c.proved = c.best != nil && c.best.Lower >= target
	c.chooseExplored(target)
	return c
}

// better orders policies: proved ones by cost, before unproved ones by presumed
// quality.
func better(p, q *Policy, target float64) bool {
	if q == nil {
		return true
	}
	proved, rival := p.Lower >= target, q.Lower >= target
	switch {
	case proved != rival:
		return proved
	case proved:
		return p.Cost < q.Cost
	case p.presumed() != q.presumed():
		return p.presumed() > q.presumed()
	}
	return p.Cost > q.Cost
}

// presumed returns the mean rating when it is known. The dearest single model is
// presumed best until its quality is known, so that it answers at first; other
// unknown policies rank below every known one.
func (p *Policy) presumed() float64 {
	switch {
	case p.known:
		return p.Mean
	case p.dearest:
		return 1
	}
	return -1
}

// chooseExplored keeps for each first model the cheapest policy that may still
// turn out to meet the target at a lower cost than the choice.
func (c *choice) chooseExplored(target float64) {
	byFirst := make(map[string]int)
	for _, p := range c.all {
		if p == c.best || p.Upper < target || (c.proved && p.Cost >= c.best.Cost) {
			continue
		}
		i, ok := byFirst[p.First]
		if !ok {
			byFirst[p.First] = len(c.explore)
			c.explore = append(c.explore, p)
			continue
		}
		if p.Cost < c.explore[i].Cost {
			c.explore[i] = p
		}
	}
}

// pick returns the choice, or a policy to explore for a part of the requests.
func (c *choice) pick(exploreShare float64, src rand.Source) (*Policy, bool) {
	if len(c.explore) == 0 || exploreShare <= 0 {
		return c.best, false
	}
	if float64(src.Uint64()>>(64-hashBits))/(1<<hashBits) >= exploreShare {
		return c.best, false
	}
	return c.explore[src.Uint64()%uint64(len(c.explore))], true
}
