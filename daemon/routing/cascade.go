package routing

import (
	"math"

	"cactusknot.example/coord/stats"
)

const (
	// priceSearchSteps and cutSearchSteps are the numbers of bisection steps for the
	// price of quality and for the escalated part of one interval. 20 steps leave a
	// relative error of the price of 2e-5.
	priceSearchSteps = 20
	cutSearchSteps   = 8
	// defaultEscalatedBins is the number of score intervals, from the lowest, that are
	// escalated before any rating is known.
	defaultEscalatedBins = ScoreBins / 2
)

// EscalationPlan is the second step of a cascade: it tells which model replaces the
// first answer, by the rating of that answer.
type EscalationPlan struct {
	// Second is the model that answers next, by score interval of the first answer;
	// empty keeps the first answer.
	Second [ScoreBins]string
	// CutBin is an interval that is divided: answers rated below CutBelow are replaced
	// by CutSecond, the others by Second.
	CutBin    int
	CutBelow  float64
	CutSecond string
}

// next returns the model that replaces a first answer with the rating, or "" to keep
// the answer.
func (p *EscalationPlan) next(rating float64) string {
	if p == nil {
		return ""
	}
	bin := BinOf(rating)
	if bin == p.CutBin && rating < p.CutBelow {
		return p.CutSecond
	}
	return p.Second[bin]
}

// option is a possible action after a first answer: option 0 keeps the answer, option
// k replaces it by one of cascade.seconds[k-1].
type option int

// cascade holds the data from which the plan of a cascade is computed. Arrays are
// indexed by the score interval of the first answer.
type cascade struct {
	first   *modelAccess
	ratings workspaceRatings
	// weight is the total weight of the ratings of the first model.
	weight float64
	// share is the fraction of the requests whose first answer is in the interval.
	share [ScoreBins]float64
	// keptMean and keptVariance describe the ratings of the first answers.
	keptMean     [ScoreBins]float64
	keptVariance [ScoreBins]float64
	seconds      []secondModel
}

// secondModel is a more expensive model that can replace the first answer.
type secondModel struct {
	access *modelAccess
	// cost is the model's price as a multiple of the first model's price.
	cost float64
	// means holds the estimated mean ratings of its answers.
	means [ScoreBins]stats.Estimate
}

// cascadeSplit is a plan under construction. In interval cutBin, the fraction cut of
// the answers takes cutOption instead of the interval's option.
type cascadeSplit struct {
	options   [ScoreBins]option
	cutBin    int
	cut       float64
	cutOption option
}

func newCascade(first *modelAccess, v workspaceRatings) *cascade {
	m := v.mixFirst()
	c := &cascade{first: first, ratings: v, weight: m.weight}
	for i := range ScoreBins {
		var weight float64
		weight, c.keptMean[i], c.keptVariance[i] = m.interval(i)
		if weight == 0 {
			// Without ratings in the interval, its middle is the best estimate.
			c.keptMean[i] = (float64(i) + 0.5) / ScoreBins
		}
		if c.weight > 0 {
			c.share[i] = weight / c.weight
		}
	}
	return c
}

func (c *cascade) addSecond(a *modelAccess, v workspaceRatings) {
	s := secondModel{access: a, cost: a.model.price / math.Max(1, c.first.model.price)}
	single := v.singleEstimate()
	for i := range ScoreBins {
		s.means[i] = v.secondEstimate(c.first.model.cfg.Name, i, single)
	}
	c.seconds = append(c.seconds, s)
}

// policy returns the cascade with the cheapest plan whose lower confidence bound meets
// the target. If there is none it returns the plan with the highest mean.
func (c *cascade) policy(target float64) *Policy {
	p := &Policy{First: c.first.model.cfg.Name}
	if c.weight == 0 {
		s := cascadeSplit{}
		for i := range defaultEscalatedBins {
			s.options[i] = option(len(c.seconds))
		}
		p.Plan, p.Cost = c.plan(&s), c.first.model.price/1e6
		p.setBounds(stats.Estimate{Mean: 0.5})
		return p
	}
	s := c.cheapest(target)
	p.Plan, p.Cost = c.plan(&s), c.cost(&s)
	p.setBounds(c.estimate(&s))
	return p
}

// cheapest returns the cheapest split that meets the target. It searches the lowest
// price of quality at which the best split meets the target; for a given price, the
// intervals can be optimised independently. The search ends with two splits just below
// and just above that price. Starting from the lower one, the options of the upper one
// are then adopted one interval at a time, and only in part in the last interval. The
// price of quality is the Lagrange multiplier of the target.
func (c *cascade) cheapest(target float64) cascadeSplit {
	meets := func(s cascadeSplit) bool { return c.estimate(&s).Lower(boundZ) >= target }
	low, high := 0.0, math.Log(1e9)
	lower, upper := c.best(math.Exp(low)), c.best(math.Exp(high))
	if meets(lower) || !meets(upper) {
		if meets(lower) {
			return lower
		}
		return upper
	}
	for range priceSearchSteps {
		middle := (low + high) / 2
		s := c.best(math.Exp(middle))
		if meets(s) {
			high, upper = middle, s
		} else {
			low, lower = middle, s
		}
	}
	for i := range ScoreBins {
		next := lower
		next.options[i] = upper.options[i]
		if meets(next) {
			return c.cutInterval(lower, i, upper.options[i], meets)
		}
		lower = next
	}
	return upper
}

// cutInterval returns the split in which the smallest fraction of interval i that
// meets the target takes the given option.
func (c *cascade) cutInterval(s cascadeSplit, i int, to option, meets func(cascadeSplit) bool) cascadeSplit {
	low, high := 0.0, 1.0
	s.cutBin, s.cutOption = i, to
	for range cutSearchSteps {
		s.cut = (low + high) / 2
		if meets(s) {
			high = s.cut
		} else {
			low = s.cut
		}
	}
	s.cut = high
	return s
}

// best returns the split that takes the option with the largest price*mean-cost in
// each interval. The price of quality is in units of the first model's price per unit
// of rating.
func (c *cascade) best(price float64) cascadeSplit {
	var s cascadeSplit
	var value [ScoreBins]float64
	for i := range ScoreBins {
		value[i] = price * c.keptMean[i]
	}
	for k := range c.seconds {
		second := &c.seconds[k]
		for i := range ScoreBins {
			if v := price*second.means[i].Mean - second.cost; v > value[i] {
				value[i], s.options[i] = v, option(k+1)
			}
		}
	}
	return s
}

// forEachPart calls f with each option in use and its share of the requests.
func (c *cascade) forEachPart(s *cascadeSplit, f func(i int, o option, share float64)) {
	for i := range ScoreBins {
		if i == s.cutBin && s.cut > 0 {
			f(i, s.cutOption, c.share[i]*s.cut)
			f(i, s.options[i], c.share[i]*(1-s.cut))
			continue
		}
		f(i, s.options[i], c.share[i])
	}
}

// estimate returns the estimated mean rating of the final answers.
func (c *cascade) estimate(s *cascadeSplit) stats.Estimate {
	var mean, meanSquare, keptVariance, secondVariance float64
	c.forEachPart(s, func(i int, o option, share float64) {
		value := c.keptMean[i]
		if o > 0 {
			second := &c.seconds[o-1].means[i]
			value = second.Mean
			secondVariance += share * share * second.MeanVariance
		} else {
			keptVariance += share * c.keptVariance[i]
		}
		mean += share * value
		meanSquare += share * value * value
	})
	variance := (math.Max(0, meanSquare-mean*mean)+keptVariance)/c.weight + secondVariance
	return stats.Estimate{Mean: mean, MeanVariance: variance, Weight: c.weight}
}

// cost returns the mean price of a typical request in millionths of the billing
// currency.
func (c *cascade) cost(s *cascadeSplit) float64 {
	total := c.first.model.price
	c.forEachPart(s, func(_ int, o option, share float64) {
		if o > 0 {
			total += share * c.seconds[o-1].access.model.price
		}
	})
	return total / 1e6
}

// plan returns the split in the form that requests use.
func (c *cascade) plan(s *cascadeSplit) *EscalationPlan {
	p := &EscalationPlan{CutBin: s.cutBin, CutSecond: c.optionModel(s.cutOption)}
	for i, o := range s.options {
		p.Second[i] = c.optionModel(o)
	}
	if s.cut > 0 {
		p.CutBelow = (float64(s.cutBin) + s.cut) / ScoreBins
	}
	return p
}

// optionModel returns the name of the model that the option uses, or "" for option 0.
func (c *cascade) optionModel(o option) string {
	if o == 0 {
		return ""
	}
	return c.seconds[o-1].access.model.cfg.Name
}
