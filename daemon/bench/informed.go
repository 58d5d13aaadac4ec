package bench

import (
	"math"

	"cactusknot.example/daemon/routing"
)

// mixtureSlack keeps rounding from leaving a mixture of two plans just below the
// target.
const mixtureSlack = 1e-9

// informedBill answers with the best cascades of two steps whose true mean scores
// are known for every workspace, kind and interval of the first rating. It is the
// least that the product's kind of policy can cost: nothing is learned, no bound
// is kept and no rating is biased.
func informedBill(w *Workload, drafts []draft) *bill {
	groups := make(map[[2]int][]*draft)
	for i := range drafts {
		id := [2]int{drafts[i].workspace, drafts[i].kind}
		groups[id] = append(groups[id], &drafts[i])
	}
	b := newBill(w)
	for id, group := range groups {
		target := w.Workspaces[id[0]].QualityTarget * float64(len(group))
		best := total{cost: math.Inf(1)}
		for first := range w.Models {
			if t := newOutcomes(w, group, first).cheapest(target); t.score >= target && t.cost < best.cost {
				best = t
			}
		}
		b.cost += best.cost
		b.score[id[0]] += best.score
		b.count[id[0]] += float64(len(group))
	}
	return b
}

// total is the cost and score of a set of requests.
type total struct{ cost, score float64 }

// outcomes holds the total of every second step by interval of the first rating;
// step 0 keeps the first answer.
type outcomes [routing.ScoreBins][]total

func newOutcomes(w *Workload, group []*draft, first int) *outcomes {
	var out outcomes
	for i := range out {
		out[i] = make([]total, len(w.Models)-first)
	}
	for _, d := range group {
		a := &d.answers[first]
		bin := out[routing.BinOf(a.rating)]
		bin[0].cost += a.cost
		bin[0].score += a.score
		for k := 1; k < len(bin); k++ {
			dearer := &d.answers[first+k]
			bin[k].cost += a.cost + dearer.cost
			bin[k].score += dearer.score
		}
	}
	return &out
}

// cheapest mixes the plans at the prices of quality just below and above the one
// that meets the target. The result misses it when no plan meets it.
func (o *outcomes) cheapest(target float64) total {
	low, high := 0.0, oraclePrice
	for range oracleSteps {
		price := (low + high) / 2
		if o.best(price).score >= target {
			high = price
		} else {
			low = price
		}
	}
	below, above := o.best(low), o.best(high)
	if above.score < target || above.score <= below.score {
		return above
	}
	part := math.Min(1, (target-below.score)/(above.score-below.score)+mixtureSlack)
	return total{below.cost + part*(above.cost-below.cost), below.score + part*(above.score-below.score)}
}

func (o *outcomes) best(price float64) total {
	var sum total
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
