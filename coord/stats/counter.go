// Package stats keeps ratings as mergeable counters and decides on them: pooled
// totals of many nodes, confidence bounds of a mean, and sequential tests whose
// error rate holds at whatever time they are evaluated.
package stats

import (
	"errors"
	"math"
)

// ErrInvalidRating reports a rating outside 0 to 1.
var ErrInvalidRating = errors.New("stats: rating outside 0 to 1")

// sumTolerance is the relative rounding error allowed in received sums.
const sumTolerance = 1e-9

// Counter summarises ratings in [0,1]. The zero value holds none.
type Counter struct {
	Count      uint64
	Sum        float64
	SumSquares float64
}

// Add returns c with one more rating. It returns ErrRating when the rating is
// not a number from 0 to 1.
func (c Counter) Add(rating float64) (Counter, error) {
	if !(rating >= 0 && rating <= 1) {
		return c, ErrInvalidRating
	}
	c.Count++
	c.Sum += rating
	c.SumSquares += rating * rating
	return c, nil
}

// Plus returns the ratings of both counters.
func (c Counter) Plus(o Counter) Counter {
	return Counter{Count: c.Count + o.Count, Sum: c.Sum + o.Sum, SumSquares: c.SumSquares + o.SumSquares}
}

// Minus removes the ratings of o, which c must contain.
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

// Valid tells whether ratings in [0,1] can have produced the counter.
func (c Counter) Valid() bool {
	n := float64(c.Count)
	slack := sumTolerance * (n + 1)
	return c.SumSquares >= 0 && c.SumSquares <= c.Sum+slack && c.Sum <= n+slack
}

// mirrored returns the counter of the ratings 1-x.
func (c Counter) mirrored() Counter {
	n := float64(c.Count)
	return Counter{Count: c.Count, Sum: n - c.Sum, SumSquares: math.Max(0, n-2*c.Sum+c.SumSquares)}
}

// squaresAround returns the sum of (x-m)^2.
func (c Counter) squaresAround(m float64) float64 {
	return math.Max(0, c.SumSquares-2*m*c.Sum+float64(c.Count)*m*m)
}
