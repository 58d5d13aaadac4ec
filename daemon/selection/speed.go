package selection

import "time"

const (
	// smallestToken and largestToken are the first assumptions on the time to read
	// a token, for the smallest and the largest model of a route.
	smallestToken = 6 * time.Microsecond
	largestToken  = 60 * time.Microsecond
	// firstByte is the time of an answer without a prompt.
	firstByte = 25 * time.Millisecond
	// smallestEvent and largestEvent are the first assumptions on the time between
	// events of a stream.
	smallestEvent = 15 * time.Millisecond
	largestEvent  = 90 * time.Millisecond
	// learnWeight is the weight of the newest observation.
	learnWeight = 0.06
	// leastRatio and mostRatio bound the effect of one observation.
	leastRatio = 0.4
	mostRatio  = 2.5
	// fastest and slowest bound what is learnt, as multiples of the assumption.
	fastest = 0.2
	slowest = 5
)

type speedKey struct{ service, model string }

// speed is what was learnt of the time that a service's engines need to read a
// token with a model.
type speed struct {
	assumed time.Duration
	factor  float64
	// event is the time between events of a stream.
	event time.Duration
}

// speedOf returns the speed for the request's service and model.
func (c *Chooser) speedOf(r Request) *speed {
	key := speedKey{r.Service, r.Model}
	s := c.speeds[key]
	if s == nil {
		assumed := smallestToken + time.Duration(r.ModelRank*float64(largestToken-smallestToken))
		event := smallestEvent + time.Duration(r.ModelRank*float64(largestEvent-smallestEvent))
		s = &speed{assumed: assumed, factor: 1, event: event}
		c.speeds[key] = s
	}
	return s
}

// work returns the time to read a number of tokens.
func (s *speed) work(tokens int) time.Duration {
	return firstByte + time.Duration(float64(tokens)*float64(s.assumed)*s.factor)
}

// learn adapts the speed so that expected times match observed ones.
func (s *speed) learn(expected, observed time.Duration) {
	ratio := float64(observed) / float64(max(expected, 1))
	ratio = min(max(ratio, leastRatio), mostRatio)
	s.factor *= 1 + learnWeight*(ratio-1)
	s.factor = min(max(s.factor, fastest), slowest)
}

// learnEvents adapts the time between events to a finished stream.
func (s *speed) learnEvents(events int, took time.Duration) {
	if events < 2 {
		return
	}
	s.event += time.Duration(learnWeight * float64(took/time.Duration(events-1)-s.event))
}
