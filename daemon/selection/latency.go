package selection

import "time"

const (
	// minTokenTime and maxTokenTime are the initial estimates of the prefill time per
	// token, for the smallest and the largest model of a route.
	minTokenTime = 6 * time.Microsecond
	maxTokenTime = 60 * time.Microsecond
	// baseLatency is the expected time to the first byte of a request without a prompt.
	baseLatency = 25 * time.Millisecond
	// minEventInterval and maxEventInterval are the initial estimates of the time
	// between events of a stream, for the smallest and the largest model.
	minEventInterval = 15 * time.Millisecond
	maxEventInterval = 90 * time.Millisecond
	// observationWeight is the weight of the newest observation in the moving averages.
	observationWeight = 0.06
	// minRatio and maxRatio clamp the ratio of observed to expected time, so that one
	// outlier has little effect.
	minRatio = 0.4
	maxRatio = 2.5
	// minFactor and maxFactor bound the learnt time per token, as multiples of the
	// initial estimate.
	minFactor = 0.2
	maxFactor = 5
)

type latencyKey struct{ service, model string }

// latencyModel estimates how long the engines of a service take with a model. It
// adapts to observed answers.
type latencyModel struct {
	// initialTokenTime is the initial estimate of the prefill time per token; factor is
	// the learnt correction.
	initialTokenTime time.Duration
	factor           float64
	// eventInterval is the time between events of a stream.
	eventInterval time.Duration
}

// latencyOf returns the latency model of the request's service and model.
func (c *Chooser) latencyOf(r Request) *latencyModel {
	key := latencyKey{r.Service, r.Model}
	m := c.latencies[key]
	if m == nil {
		tokenTime := minTokenTime + time.Duration(r.ModelRank*float64(maxTokenTime-minTokenTime))
		eventInterval := minEventInterval + time.Duration(r.ModelRank*float64(maxEventInterval-minEventInterval))
		m = &latencyModel{initialTokenTime: tokenTime, factor: 1, eventInterval: eventInterval}
		c.latencies[key] = m
	}
	return m
}

// prefillTime returns the expected time to the first byte for a number of uncached
// prompt tokens, on a server without other requests.
func (m *latencyModel) prefillTime(tokens int) time.Duration {
	return baseLatency + time.Duration(float64(tokens)*float64(m.initialTokenTime)*m.factor)
}

// observeFirstByte adapts the estimate of the time per token to an observed time to
// the first byte.
func (m *latencyModel) observeFirstByte(expected, observed time.Duration) {
	ratio := float64(observed) / float64(max(expected, 1))
	ratio = min(max(ratio, minRatio), maxRatio)
	m.factor *= 1 + observationWeight*(ratio-1)
	m.factor = min(max(m.factor, minFactor), maxFactor)
}

// observeStream adapts the estimate of the time between events to a finished stream,
// whose first and last event were the given time apart.
func (m *latencyModel) observeStream(events int, took time.Duration) {
	if events < 2 {
		return
	}
	m.eventInterval += time.Duration(observationWeight * float64(took/time.Duration(events-1)-m.eventInterval))
}
