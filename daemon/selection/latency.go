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
	// initialLoadSlope is the initial estimate of the share by which each request that runs
	// at the same server lengthens the time between events.
	initialLoadSlope = 0.02
	// maxLoadSlope bounds the learnt share. Observations at nearly the same load say little
	// about it.
	maxLoadSlope = 0.15
	// loadScale is the number of running requests whose effect on the time between events
	// is learnt as fast as the time without others.
	loadScale = 8
	// eventWeight is the weight of each observed interval between events in the moving
	// averages, up to observationWeight for a sequence of intervals.
	eventWeight = 0.004
	// maxIntervalRatio bounds an observed interval as a multiple of the expected one, and
	// 1/maxIntervalRatio from below.
	maxIntervalRatio = 4
	// intervalRelaxation is the time without observations in which half of what is learnt
	// above the initial estimate is given up. Without it, one slow period would rule out a
	// model whose streams are then never observed again.
	intervalRelaxation = 30 * time.Second
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
	// meanRatio is the mean of the bounded ratios of observed to expected time to the first
	// byte.
	meanRatio float64
	// initialInterval is the initial estimate of the time between events of a stream.
	// interval is the learnt time at a server of average pace that runs nothing else, and
	// loadDelay what loadScale other running requests add.
	initialInterval, interval, loadDelay time.Duration
	// intervalAt is when an interval was last observed.
	intervalAt time.Time
}

// latencyOf returns the latency model of the request's service and model.
func (c *Chooser) latencyOf(r Request) *latencyModel {
	key := latencyKey{r.Service, r.Model}
	m := c.latencies[key]
	if m == nil {
		tokenTime := minTokenTime + time.Duration(r.ModelRank*float64(maxTokenTime-minTokenTime))
		interval := minEventInterval + time.Duration(r.ModelRank*float64(maxEventInterval-minEventInterval))
		m = &latencyModel{
			initialTokenTime: tokenTime, factor: 1,
			initialInterval: interval, interval: interval, loadDelay: time.Duration(initialLoadSlope * loadScale * float64(interval)),
		}
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
	m.meanRatio += observationWeight * (ratio - m.meanRatio)
	m.factor *= 1 + observationWeight*(ratio-1)
	m.factor = min(max(m.factor, minFactor), maxFactor)
}

// eventInterval returns the expected time between events at a server of average pace
// that runs the given number of other requests.
func (m *latencyModel) eventInterval(now time.Time, running int) time.Duration {
	interval := m.interval
	if idle := now.Sub(m.intervalAt); interval > m.initialInterval && idle > 0 {
		interval = m.initialInterval + time.Duration(float64(interval-m.initialInterval)*remaining(idle, intervalRelaxation))
	}
	return interval + m.loadDelay*time.Duration(max(running, 0))/loadScale
}

// observeEvents adapts the estimate of the time between events to a number of intervals
// of the given mean length. It is called for parts of running streams: if only finished
// streams counted, those that are too slow to finish would be missing.
func (m *latencyModel) observeEvents(now time.Time, running, intervals int, observed time.Duration) {
	// The relaxed estimate is the one that is adapted.
	m.interval = m.eventInterval(now, 0)
	m.intervalAt = now
	load := float64(max(running, 0)) / loadScale
	// This is a step of normalized least mean squares: the estimate for this load changes
	// by the weighted difference.
	step := min(eventWeight*float64(intervals), observationWeight) * float64(observed-m.eventInterval(now, running)) / (1 + load*load)
	m.interval = max(m.interval+time.Duration(step), time.Duration(minFactor*float64(m.initialInterval)))
	m.loadDelay = min(max(m.loadDelay+time.Duration(step*load), 0), time.Duration(maxLoadSlope*loadScale*float64(m.interval)))
}

// remaining returns the share of a learnt deviation that is left after a time without
// observations: a half after halfLife, a third after twice that time.
func remaining(idle, halfLife time.Duration) float64 {
	return 1 / (1 + float64(idle)/float64(halfLife))
}
