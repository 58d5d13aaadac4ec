package routing

import (
	"math/rand/v2"

	"cactusknot.example/coord/stats"
)

const (
	// priorStrength is the total weight of the ratings of all other workspaces, as a
	// number of own ratings.
	priorStrength = 40
	// minKnownRatings is the number of ratings from which a mean counts as known. Until
	// then the most expensive model is presumed to be the best.
	minKnownRatings = 20
	// minSecondRatings is the number of ratings from which the mean of second answers
	// in one score interval is used without the model's overall mean.
	minSecondRatings = 5
	// defaultRatingVariance is the assumed variance of a rating while there are too few.
	defaultRatingVariance = 0.08
	// boundZ is the number of standard errors of a one-sided 90% confidence bound. The
	// choice is made again with each snapshot, so the bound need not hold at all times
	// simultaneously.
	boundZ = 1.2816
)

// Policy is a way to answer requests of one workspace and kind: a single model, or a
// cascade of two models.
type Policy struct {
	// First is the model of the first answer.
	First string
	// Plan tells which more expensive model replaces the first answer, by its rating.
	// It is nil for a single model.
	Plan *EscalationPlan
	// Mean, Lower and Upper are the estimated mean rating and its confidence bounds.
	Mean  float64
	Lower float64
	Upper float64
	// Cost is the mean price of a typical request in millionths of the billing
	// currency.
	Cost float64

	// known is true when there are enough ratings to trust the mean.
	known bool
	// mostExpensive is true for the most expensive single model.
	mostExpensive bool
}

// policyChoice holds the policies of one workspace and kind.
type policyChoice struct {
	best *Policy
	// proved is true when the lower bound of best meets the target.
	proved bool
	// explore holds the policies worth exploring, at most one per first model.
	explore []*Policy
	// byFirst holds the best policy by first model, for sessions that keep theirs.
	byFirst map[string]*Policy
	all     []*Policy
}

func (s *Snapshot) buildPolicies(w *workspace) map[string]*policyChoice {
	out := make(map[string]*policyChoice, len(s.evidence.kinds))
	for _, kind := range s.evidence.kinds {
		out[kind] = choosePolicy(s.candidates(w, kind), w.cfg.QualityTarget)
	}
	return out
}

// candidates returns all single models and cascades, ordered by the price of the first
// model. While the rating service is unavailable a cascade can't escalate, so cascades
// are left out.
func (s *Snapshot) candidates(w *workspace, kind string) []*Policy {
	var out []*Policy
	var mostExpensive *Policy
	for _, a := range w.ordered {
		if a.base == nil {
			continue
		}
		ratings := s.ratingsOf(w, a, kind)
		single := singlePolicy(a, ratings.singleEstimate())
		out = append(out, single)
		mostExpensive = single
		if !s.ratingAvailable {
			continue
		}
		c := newCascade(a, ratings)
		for _, b := range w.ordered {
			if b.base != nil && b.model.price > a.model.price {
				c.addSecond(b, s.ratingsOf(w, b, kind))
			}
		}
		if len(c.seconds) > 0 {
			out = append(out, c.policy(w.cfg.QualityTarget))
		}
	}
	if mostExpensive != nil {
		mostExpensive.mostExpensive = true
	}
	return out
}

// ratingsOf returns the workspace's ratings of the model's base version.
func (s *Snapshot) ratingsOf(w *workspace, a *modelAccess, kind string) workspaceRatings {
	return s.evidence.forWorkspace(w.cfg.Name, a.model.cfg.Name, a.base.name, kind)
}

func singlePolicy(a *modelAccess, e stats.Estimate) *Policy {
	p := &Policy{First: a.model.cfg.Name, Cost: a.model.price / 1e6}
	p.setBounds(e)
	return p
}

// setBounds sets the mean and its bounds. Without any ratings the bounds are the whole
// range.
func (p *Policy) setBounds(e stats.Estimate) {
	p.known = e.Weight >= minKnownRatings
	p.Mean, p.Lower, p.Upper = e.Mean, e.Lower(boundZ), e.Upper(boundZ)
	if e.Weight == 0 {
		p.Lower, p.Upper = 0, 1
	}
}

// choosePolicy chooses the cheapest policy that is proved to meet the target, or else
// the one with the highest presumed mean.
func choosePolicy(all []*Policy, target float64) *policyChoice {
	c := &policyChoice{all: all, byFirst: make(map[string]*Policy)}
	for _, p := range all {
		if preferred(p, c.best, target) {
			c.best = p
		}
		if preferred(p, c.byFirst[p.First], target) {
			c.byFirst[p.First] = p
		}
	}
	c.proved = c.best != nil && c.best.Lower >= target
	c.chooseExplored(target)
	return c
}

// preferred tells whether p is preferred to q, which may be nil. Policies that are
// proved to meet the target come first, ordered by cost; the others are ordered by
// presumed mean.
func preferred(p, q *Policy, target float64) bool {
	if q == nil {
		return true
	}
	pProved, qProved := p.Lower >= target, q.Lower >= target
	switch {
	case pProved != qProved:
		return pProved
	case pProved:
		return p.Cost < q.Cost
	case p.presumedMean() != q.presumedMean():
		return p.presumedMean() > q.presumedMean()
	}
	return p.Cost > q.Cost
}

// presumedMean returns the mean rating when it is known. The most expensive single
// model is presumed to be the best until its mean is known, so that it answers at
// first. Other policies with an unknown mean rank below every known one.
func (p *Policy) presumedMean() float64 {
	switch {
	case p.known:
		return p.Mean
	case p.mostExpensive:
		return 1
	}
	return -1
}

// chooseExplored selects, for each first model, the cheapest policy that may still
// prove to meet the target at a lower cost than the best one.
func (c *policyChoice) chooseExplored(target float64) {
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

// pick returns the best policy, or for the given share of calls a policy to explore.
// The second result is true when the policy is explored.
func (c *policyChoice) pick(exploreShare float64, src rand.Source) (*Policy, bool) {
	if len(c.explore) == 0 || exploreShare <= 0 {
		return c.best, false
	}
	if float64(src.Uint64()>>(64-hashBits))/(1<<hashBits) >= exploreShare {
		return c.best, false
	}
	return c.explore[src.Uint64()%uint64(len(c.explore))], true
}
