package routing

import (
	"math"

	"cactusknot.example/coord/stats"
)

const (
	// planSteps and cutSteps halve the range of the price of quality and of the
	// part of one interval. 20 steps leave a relative error of the price of 2e-5.
	planSteps = 20
	cutSteps  = 8
	// unknownBins is the number of lowest intervals that escalate before any
	// rating is known.
	unknownBins = ScoreBins / 2
)

// EscalationPlan is the second step of a cascade.
type EscalationPlan struct {
	// Second is the model that answers next, by interval of the first answer's
	// rating; empty keeps the first answer.
	Second [ScoreBins]string
	// In interval CutBin, ratings below CutBelow go to CutSecond instead.
	CutBin    int
	CutBelow  float64
	CutSecond string
}

// next returns the model that replaces an answer with the rating, or "".
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

// option is what can follow a first answer: option 0 keeps it, option k takes
// the answer of seconds[k-1].
type option int

// cascade holds shares and means per interval of the first answer's rating, and
// the means of the answers that can replace it.
type cascade struct {
	first   *access
	view    view
	weight  float64
	share   [ScoreBins]float64
	kept    [ScoreBins]float64
	spread  [ScoreBins]float64
	seconds []secondModel
}

type secondModel struct {
	access *access
	// cost is the price in units of the first model's price.
	cost  float64
	means [ScoreBins]stats.Estimate
}

// split is a plan under construction: in interval cutBin the part cut takes
// cutOption.
type split struct {
	options   [ScoreBins]option
	cutBin    int
	cut       float64
	cutOption option
}

func newCascade(first *access, v view) *cascade {
	m := v.first()
	c := &cascade{first: first, view: v, weight: m.weight}
	for i := range ScoreBins {
		var mass float64
		mass, c.kept[i], c.spread[i] = m.interval(i)
		if mass == 0 {
			// Nothing was rated here; an answer would get a rating of the interval.
			c.kept[i] = (float64(i) + 0.5) / ScoreBins
		}
		if c.weight > 0 {
			c.share[i] = mass / c.weight
		}
	}
	return c
}

func (c *cascade) addSecond(a *access, v view) {
	s := secondModel{access: a, cost: a.model.price / math.Max(1, c.first.model.price)}
	direct := v.single()
	for i := range ScoreBins {
		s.means[i] = v.second(c.first.model.cfg.Name, i, direct)
	}
	c.seconds = append(c.seconds, s)
}

// policy returns the cheapest plan whose lower bound meets the target, else the
// plan with the highest mean.
func (c *cascade) policy(target float64) *Policy {
	p := &Policy{First: c.first.model.cfg.Name}
	if c.weight == 0 {
		s := split{}
		for i := range unknownBins {
			s.options[i] = option(len(c.seconds))
		}
		p.Plan, p.Cost = c.plan(&s), c.first.model.price/1e6
		p.bounds(stats.Estimate{Mean: 0.5})
		return p
	}
	s := c.cheapest(target)
	p.Plan, p.Cost = c.plan(&s), c.cost(&s)
	p.bounds(c.estimate(&s))
	return p
}

// cheapest searches the lowest price of quality at which the best options meet
// the target: for a given price, taking the best option of each interval alone
// is the best plan. Between the plans just below and above that price it moves
// one interval at a time, the last one in part.
func (c *cascade) cheapest(target float64) split {
	meets := func(s split) bool { return c.estimate(&s).Lower(boundZ) >= target }
	low, high := 0.0, math.Log(1e9)
	lower, upper := c.best(math.Exp(low)), c.best(math.Exp(high))
	if meets(lower) || !meets(upper) {
		if meets(lower) {
			return lower
		}
		return upper
	}
	for range planSteps {
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

// cutInterval takes the smallest part of interval i that meets the target.
func (c *cascade) cutInterval(s split, i int, to option, meets func(split) bool) split {
	low, high := 0.0, 1.0
	s.cutBin, s.cutOption = i, to
	for range cutSteps {
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

// best takes the option with the largest price*mean-cost in each interval. The
// price is in units of the first model's price per unit of rating.
func (c *cascade) best(price float64) split {
	var s split
	var value [ScoreBins]float64
	for i := range ScoreBins {
		value[i] = price * c.kept[i]
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

// parts calls f for each option of each interval with its share of the requests.
func (c *cascade) parts(s *split, f func(i int, o option, share float64)) {
	for i := range ScoreBins {
		if i == s.cutBin && s.cut > 0 {
			f(i, s.cutOption, c.share[i]*s.cut)
			f(i, s.options[i], c.share[i]*(1-s.cut))
			continue
		}
		f(i, s.options[i], c.share[i])
	}
}

// estimate returns the mean rating of the final answers.
func (c *cascade) estimate(s *split) stats.Estimate {
	var mean, square, within, replaced float64
	c.parts(s, func(i int, o option, share float64) {
		value := c.kept[i]
		if o > 0 {
			second := &c.seconds[o-1].means[i]
			value = second.Mean
			replaced += share * share * second.MeanVariance
		} else {
			within += share * c.spread[i]
		}
		mean += share * value
		square += share * value * value
	})
	variance := (math.Max(0, square-mean*mean)+within)/c.weight + replaced
	return stats.Estimate{Mean: mean, MeanVariance: variance, Weight: c.weight}
}

// cost returns the mean price in millionths of the billing currency.
func (c *cascade) cost(s *split) float64 {
	total := c.first.model.price
	c.parts(s, func(_ int, o option, share float64) {
		if o > 0 {
			total += share * c.seconds[o-1].access.model.price
		}
	})
	return total / 1e6
}

func (c *cascade) plan(s *split) *EscalationPlan {
	p := &EscalationPlan{CutBin: s.cutBin, CutSecond: c.name(s.cutOption)}
	for i, o := range s.options {
		p.Second[i] = c.name(o)
	}
	if s.cut > 0 {
		p.CutBelow = (float64(s.cutBin) + s.cut) / ScoreBins
	}
	return p
}

func (c *cascade) name(o option) string {
	if o == 0 {
		return ""
	}
	return c.seconds[o-1].access.model.cfg.Name
}
