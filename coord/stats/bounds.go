package stats

import "math"

const (
	// varianceWeight and varianceGuess keep the interval of a few equal ratings
	// from collapsing: a variance estimate counts as if varianceWeight ratings of
	// the largest possible variance had been seen as well.
	varianceWeight = 2.0
	varianceGuess  = 0.25
)

// Estimate is a mean with the variance of that mean.
type Estimate struct {
	// Mean is the estimated mean rating, 0 to 1.
	Mean float64
	// MeanVariance is the variance of Mean as an estimate.
	MeanVariance float64
	// Weight is the number of ratings behind Mean; shrunk estimates count the
	// pseudo-ratings of their prior.
	Weight float64
}

// EstimateOf returns the estimate of the counter's mean. Without ratings the
// interval covers 0 to 1.
func EstimateOf(c Counter) Estimate {
	return Shrink(c, Counter{}, 0)
}

// Shrink estimates the mean of own with the ratings of prior as additional
// evidence. The prior counts as at most strength ratings, so that own ratings
// outweigh it once there are more of them.
func Shrink(own, prior Counter, strength float64) Estimate {
	weight := math.Min(strength, float64(prior.Count))
	n := float64(own.Count) + weight
	if n == 0 {
		return Estimate{Mean: 0.5, MeanVariance: varianceGuess}
	}
	mean := (own.Sum + weight*prior.Mean()) / n
	squares := own.squaresAround(mean)
	if weight > 0 {
		squares += weight * prior.squaresAround(mean) / float64(prior.Count)
	}
	variance := (squares + varianceWeight*varianceGuess) / (n + varianceWeight)
	return Estimate{Mean: mean, MeanVariance: variance / n, Weight: n}
}

// Lower returns the mean less z standard errors, at least 0.
func (e Estimate) Lower(z float64) float64 {
	return math.Max(0, e.Mean-z*math.Sqrt(e.MeanVariance))
}

// Upper returns the mean plus z standard errors, at most 1.
func (e Estimate) Upper(z float64) float64 {
	return math.Min(1, e.Mean+z*math.Sqrt(e.MeanVariance))
}

// ZScore returns the number of standard errors of a one-sided normal bound at
// the confidence, for example 1.28 at 0.9.
func ZScore(confidence float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*confidence-1)
}
