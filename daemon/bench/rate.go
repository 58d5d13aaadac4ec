package bench

import "math"

const (
	// rateConfidence is the confidence of the upper bounds of rates.
	rateConfidence = 0.95
	// rateSteps halve the range of the bound.
	rateSteps = 50
)

// rateUpper returns the one-sided Clopper-Pearson bound: the rate at which the
// probability of at most events in runs is 1-confidence.
func rateUpper(events, runs int, confidence float64) float64 {
	if events >= runs {
		return 1
	}
	low, high := 0.0, 1.0
	for range rateSteps {
		rate := (low + high) / 2
		if atMostEvents(events, runs, rate) > 1-confidence {
			low = rate
		} else {
			high = rate
		}
	}
	return high
}

// atMostEvents returns the binomial probability of at most events in runs.
func atMostEvents(events, runs int, rate float64) float64 {
	term := math.Exp(float64(runs) * math.Log1p(-rate))
	sum := term
	for k := 1; k <= events; k++ {
		term *= float64(runs-k+1) / float64(k) * rate / (1 - rate)
		sum += term
	}
	return sum
}
