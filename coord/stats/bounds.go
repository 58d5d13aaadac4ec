package stats

import "math"

const (
	// A variance estimate includes variancePriorWeight pseudo-ratings with the variance
	// variancePrior, the largest possible for ratings in [0,1]. Without them, a few
	// equal ratings would give an interval of length 0.
	variancePriorWeight = 2.0
	variancePrior       = 0.25
)

// Estimate is a mean with the variance of that mean.
type Estimate struct {
	// Mean is the estimated mean rating, 0 to 1.
	Mean float64
	// MeanVariance is the variance of Mean as an estimate.
	MeanVariance float64
	// Weight is the number of ratings that Mean is based on, including the ratings that
	// the prior counts for in an estimate by Shrink.
	Weight float64
}

// EstimateOf returns the estimate of the counter's mean. Without ratings, the mean is 0.5,
// and one standard error to each side covers 0 to 1.
func EstimateOf(c Counter) Estimate {
	return Shrink(c, Counter{}, 0)
}

// Shrink estimates the mean of own, shrunk towards the mean of prior. The prior counts
// as at most strength ratings, so it loses influence as own gets more ratings.
func Shrink(own, prior Counter, strength float64) Estimate {
	weight := math.Min(strength, float64(prior.Count))
	n := float64(own.Count) + weight
	if n == 0 {
		return Estimate{Mean: 0.5, MeanVariance: variancePrior}
	}
	mean := (own.Sum + weight*prior.Mean()) / n
	squares := own.sumSquaredDeviations(mean)
	if weight > 0 {
		squares += weight * prior.sumSquaredDeviations(mean) / float64(prior.Count)
	}
	variance := (squares + variancePriorWeight*variancePrior) / (n + variancePriorWeight)
	return Estimate{Mean: mean, MeanVariance: variance / n, Weight: n}
}

// Lower returns the mean minus z standard errors, at least 0.
func (e Estimate) Lower(z float64) float64 {
	return math.Max(0, e.Mean-z*math.Sqrt(e.MeanVariance))
}

// Upper returns the mean plus z standard errors, at most 1.
func (e Estimate) Upper(z float64) float64 {
	return math.Min(1, e.Mean+z*math.Sqrt(e.MeanVariance))
}

// ZScore returns the number of standard errors of a one-sided normal bound at the given
// confidence, for example 1.28 at 0.9.
func ZScore(confidence float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*confidence-1)
}
