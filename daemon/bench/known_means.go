package bench

import (
	"math"

	"cactusknot.example/daemon/routing"
)

// mixtureTolerance prevents rounding errors from leaving a mixture of two plans
// just below the target.
const mixtureTolerance = 1e-9

// knownMeansCost is the cost of the best two-step cascades when the true mean
// scores are known for every workspace, kind and interval of the first rating.
// It is a lower bound for the product's kind of policy: nothing has to be
// learned, no confidence bound is kept and ratings have no bias.
func knownMeansCost(w *Workload, requests []syntheticRequest) *costTotals {
	groups := make(map[[2]int][]*syntheticRequest)
	for i := range requests {
		id := [2]int{requests[i].workspace, requests[i].kind}
		groups[id] = append(groups[id], &requests[i])
	}
	totals := newCostTotals(w)
	for id, group := range groups {
		target := w.Workspaces[id[0]].QualityTarget * float64(len(group))
		best := costAndScore{cost: math.Inf(1)}
		for first := range w.Models {
			if t := newSecondStepTotals(w, group, first).cheapest(target); t.score >= target && t.cost < best.cost {
				best = t
			}
		}
		totals.cost += best.cost
		totals.score[id[0]] += best.score
		totals.count[id[0]] += float64(len(group))
	}
	return totals
}

// costAndScore holds the total cost and score of a set of requests.
type costAndScore struct{ cost, score float64 }

// secondStepTotals holds the totals of each possible second step by interval of
// the first rating. Step 0 keeps the first answer.
type secondStepTotals [routing.ScoreBins][]costAndScore

func newSecondStepTotals(w *Workload, group []*syntheticRequest, first int) *secondStepTotals {
	var out secondStepTotals
	for i := range out {
		out[i] = make([]costAndScore, len(w.Models)-first)
	}
	for _, d := range group {
		a := &d.answers[first]
		bin := out[routing.BinOf(a.rating)]
		bin[0].cost += a.cost
		bin[0].score += a.score
		for k := 1; k < len(bin); k++ {
			costlier := &d.answers[first+k]
			bin[k].cost += a.cost + costlier.cost
			bin[k].score += costlier.score
		}
	}
	return &out
}

// cheapest returns the cheapest mixture of plans that meets the target. It
// mixes the best plans at the prices of quality just below and just above the
// one at which the target is met. If no plan meets the target, the result
// misses it too.
func (o *secondStepTotals) cheapest(target float64) costAndScore {
	low, high := 0.0, maxOraclePrice
	for range oracleBisectionSteps {
		price := (low + high) / 2
		if o.bestAtPrice(price).score >= target {
			high = price
		} else {
			low = price
		}
	}
	below, above := o.bestAtPrice(low), o.bestAtPrice(high)
	if above.score < target || above.score <= below.score {
		return above
	}
	part := math.Min(1, (target-below.score)/(above.score-below.score)+mixtureTolerance)
	return costAndScore{below.cost + part*(above.cost-below.cost), below.score + part*(above.score-below.score)}
}

func (o *secondStepTotals) bestAtPrice(price float64) costAndScore {
	var sum costAndScore
	for _, steps := range o {
		best := steps[0]
		for _, t := range steps[1:] {
			if price*t.score-t.cost > price*best.score-best.cost {
				best = t
			}
		}
		sum.cost += best.cost
		sum.score += best.score
	}
	return sum
}
