// Package stats collects quality ratings in mergeable counters and evaluates them: it
// pools the counters of many nodes, estimates confidence bounds of a mean, and runs
// sequential tests that may be evaluated at any time without raising their error rate.
package stats

import (
	"errors"
	"math"
)

// ErrInvalidRating is returned for a rating that is not a number from 0 to 1.
var ErrInvalidRating = errors.New("stats: rating outside 0 to 1")

// sumTolerance is the relative rounding error allowed in the sums of a received counter.
const sumTolerance = 1e-9

// Counter summarises ratings in [0,1]. The zero value has no ratings.
type Counter struct {
	Count      uint64
	Sum        float64
	SumSquares float64
}

// Add returns c with one more rating, or ErrInvalidRating.
func (c Counter) Add(rating float64) (Counter, error) {
	if !(rating >= 0 && rating <= 1) {
		return c, ErrInvalidRating
	}
	c.Count++
	c.Sum += rating
	c.SumSquares += rating * rating
	return c, nil
}

// Plus returns the counter of the ratings of c and o.
func (c Counter) Plus(o Counter) Counter {
	return Counter{Count: c.Count + o.Count, Sum: c.Sum + o.Sum, SumSquares: c.SumSquares + o.SumSquares}
}

// Minus returns c without the ratings of o, which c must include.
func (c Counter) Minus(o Counter) Counter {
	if c.Count <= o.Count {
		return Counter{}
	}
	return Counter{
		Count:      c.Count - o.Count,
		Sum:        math.Max(0, c.Sum-o.Sum),
		SumSquares: math.Max(0, c.SumSquares-o.SumSquares),
	}
}

// Mean returns the mean rating, or 0 without ratings.
func (c Counter) Mean() float64 {
	if c.Count == 0 {
		return 0
	}
	return c.Sum / float64(c.Count)
}

// Variance returns the population variance of the ratings, or 0 without ratings.
func (c Counter) Variance() float64 {
	if c.Count == 0 {
		return 0
	}
	mean := c.Mean()
	return math.Max(0, c.SumSquares/float64(c.Count)-mean*mean)
}

// Valid reports whether a set of ratings in [0,1] can have the counter's sums.
func (c Counter) Valid() bool {
	n := float64(c.Count)
	slack := sumTolerance * (n + 1)
	return c.SumSquares >= 0 && c.SumSquares <= c.Sum+slack && c.Sum <= n+slack
}

// complement returns the counter of 1-x for each rating x.
func (c Counter) complement() Counter {
	n := float64(c.Count)
	return Counter{Count: c.Count, Sum: n - c.Sum, SumSquares: math.Max(0, n-2*c.Sum+c.SumSquares)}
}

// sumSquaredDeviations returns the sum of (x-m)^2 over the ratings x.
func (c Counter) sumSquaredDeviations(m float64) float64 {
	return math.Max(0, c.SumSquares-2*m*c.Sum+float64(c.Count)*m*m)
}
