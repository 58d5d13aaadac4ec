package bench

import "math"

const (
	// rateConfidence is the confidence level of upper bounds of rates.
	rateConfidence = 0.95
	// rateBisectionSteps is the number of bisection steps to find the bound.
	rateBisectionSteps = 50
)

// rateUpperBound returns the one-sided Clopper-Pearson upper bound: the rate at
// which the probability of no more than the given events in runs is
// 1-confidence.
func rateUpperBound(events, runs int, confidence float64) float64 {
	if events >= runs {
		return 1
	}
	low, high := 0.0, 1.0
	for range rateBisectionSteps {
		rate := (low + high) / 2
		if probabilityAtMost(events, runs, rate) > 1-confidence {
			low = rate
		} else {
			high = rate
		}
	}
	return high
}

// probabilityAtMost returns the binomial probability of no more than the given
// events in runs.
func probabilityAtMost(events, runs int, rate float64) float64 {
	term := math.Exp(float64(runs) * math.Log1p(-rate))
	sum := term
	for k := 1; k <= events; k++ {
		term *= float64(runs-k+1) / float64(k) * rate / (1 - rate)
		sum += term
	}
	return sum
}
