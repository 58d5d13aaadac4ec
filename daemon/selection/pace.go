package selection

import (
	"math"
	"time"
)

const (
	// relaxInterval is the time between updates of the paces of servers without
	// observations. It is short against paceHalfLife.
	relaxInterval = time.Second
	// maxSharedPaceAge is the age up to which a learnt pace is given to other routers, and
	// minSharedDeviation the deviation in percent from which it is worth it.
	maxSharedPaceAge   = time.Minute
	minSharedDeviation = 5
	// averagePercent is the pace of a server that is as fast as the average of its service.
	averagePercent = 100
	// usualPercent is the reported time that work takes on a machine as usual.
	usualPercent = 100
	// paceHalfLife is the time without observations in which half of a server's learnt
	// deviation from the average is given up.
	paceHalfLife = 2 * time.Minute
	// minPace and maxPace bound the pace of a server: servers of a service may differ by more
	// than a factor of two.
	minPace = 0.4
	maxPace = 2.5
	// paceEventWeight is the weight of each observed interval between events in the moving
	// average of a server's pace, up to maxPaceWeight for a sequence of intervals.
	paceEventWeight = 0.01
	maxPaceWeight   = 0.1
	// paceFirstByteWeight is the weight of an observed time to the first byte. It is low
	// because that time depends on what is cached and on other requests too.
	paceFirstByteWeight = 0.03
	// paceTrust is the share of a server's deviation from the average that counts in the
	// choice of a server.
	paceTrust = 0.5
	// slowdownAge is how long the reported time that work takes is used. It changes many
	// times a second.
	slowdownAge = 500 * time.Millisecond
	// speedupTrust is the share of a reported gain that counts. It is divided among the
	// requests sent since the report, so that not all follow one report.
	speedupTrust = 0.3
)

// pace is how long work takes at a server relative to the average of its service. The zero
// value is the average.
type pace struct {
	// learnt is the deviation from the average at the time of the latest observation, as a
	// fraction of the average: 1 is twice as long.
	learnt float64
	at     time.Time
	// deviation is what is left of it; see Chooser.relaxPaces.
	deviation float64
	// fromPeers is set if it was taken over from other routers and nothing was observed since.
	fromPeers bool
}

// observe adapts the pace to an observed ratio of the time taken to the average.
func (p *pace) observe(now time.Time, ratio, weight float64) {
	p.relax(now)
	p.deviation += weight * (min(max(ratio, minPace), maxPace) - 1 - p.deviation)
	p.learnt, p.at, p.fromPeers = p.deviation, now, false
}

// relax updates the deviation: what was learnt loses weight with time.
func (p *pace) relax(now time.Time) {
	if p.learnt != 0 {
		p.deviation = p.learnt * remaining(max(now.Sub(p.at), 0), paceHalfLife)
	}
}

// relaxPaces updates the paces of all servers from time to time, so that a choice needs no
// computation for it.
func (c *Chooser) relaxPaces(now time.Time) {
	if now.Sub(c.relaxedAt) < relaxInterval {
		return
	}
	c.relaxedAt = now
	for _, s := range c.servers {
		s.pace.relax(now)
	}
}

// ServerPace is the learnt pace of a server.
type ServerPace struct {
	ID string
	// Percent is how long work takes there: 100 is the average of the service.
	Percent int
	// Age is the time since the latest observation.
	Age time.Duration
}

// Paces returns what this router has itself learnt of the servers' paces a short time ago,
// as far as they deviate from the average.
func (c *Chooser) Paces(now time.Time) []ServerPace {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []ServerPace
	for id, s := range c.servers {
		percent := int(math.Round(averagePercent * (1 + s.pace.learnt)))
		age := max(now.Sub(s.pace.at), 0)
		if s.pace.fromPeers || age > maxSharedPaceAge || max(percent-averagePercent, averagePercent-percent) < minSharedDeviation {
			continue
		}
		list = append(list, ServerPace{ID: id, Percent: percent, Age: age})
	}
	return list
}

// LearnPaces takes over what other routers have learnt of servers that this router has not
// observed for a long time. Absurd values change nothing.
func (c *Chooser) LearnPaces(now time.Time, list []ServerPace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, of := range list {
		s, at := c.servers[of.ID], now.Add(-max(of.Age, 0))
		value := float64(of.Percent) / averagePercent
		if s == nil || value < minPace || value > maxPace {
			continue
		}
		if known := s.pace.learnt != 0 && !s.pace.fromPeers; known && now.Sub(s.pace.at) < paceHalfLife {
			continue
		}
		s.pace = pace{learnt: value - 1, at: at, fromPeers: true}
		s.pace.relax(now)
	}
}

// scale returns d multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// sharedFraction returns the fraction of the prompt that is shared with other requests.
func sharedFraction(r Request) float64 {
	// The last prefix is the whole prompt, which only this request has.
	shared := len(r.Prefixes) - 2
	if shared < 0 || r.PromptTokens <= 0 {
		return 0
	}
	return min(float64(r.Prefixes[shared].Tokens)/float64(r.PromptTokens), 1)
}

// trustedDeviation returns the deviation from the average pace with which the time for a
// prompt is weighed in the choice of a server. holds tells whether the server holds the
// shared fraction of the prompt. To that extent, a server that holds it is not given up
// because it is slow, nor for one that is fast: reading it again takes time from everyone.
func trustedDeviation(deviation float64, holds bool, shared float64) float64 {
	deviation *= paceTrust
	// Either a slow server that holds the prompt, or a fast one that does not.
	if holds == (deviation > 0) {
		deviation *= 1 - shared
	}
	return deviation
}

// slowdown returns how much longer work of the given duration takes because of what the
// server's machine reported a short time ago. It is negative for a machine that is faster
// than usual.
func (s *serverState) slowdown(now time.Time, work time.Duration) time.Duration {
	if s.load.Percent == 0 || s.load.Percent == usualPercent {
		return 0
	}
	left := slowdownAge - now.Sub(s.loadAt)
	if left <= 0 {
		return 0
	}
	change := float64(s.load.Percent)/usualPercent - 1
	if change < 0 {
		change *= speedupTrust / float64(1+s.sentSinceLoad)
	}
	return scale(min(work, left), change)
}

// observeFirstByte adapts the model's time per token and the server's pace to the time to
// the first byte.
func (c *Choice) observeFirstByte(now time.Time) {
	observed := now.Sub(c.sentAt)
	// The expected time at a server of average pace. What was waiting there counts with the
	// pace, as it does in ExpectedFirstByte.
	expected := scale(c.ExpectedFirstByte, 1/c.pace)
	c.latency.observeFirstByte(expected, observed)
	if c.UncachedTokens == 0 {
		return
	}
	c.state.pace.observe(now, float64(observed)/float64(max(expected, 1))/c.latency.meanRatio, paceFirstByteWeight)
}

// eventInterval returns the expected time between events of a further stream at the
// server. peers is the number of other routers' requests there.
func (s *serverState) eventInterval(now time.Time, m *latencyModel, peers int) time.Duration {
	return scale(m.eventInterval(now, s.running(now, peers)), 1+s.pace.deviation)
}

// running returns the number of requests that are known to run at the server.
func (s *serverState) running(now time.Time, peers int) int {
	running := s.inFlight + peers
	if now.Sub(s.loadAt) < maxLoadAge {
		running = max(running, s.load.Running)
	}
	return running
}

// RecordEvents records a number of consecutive intervals between events of a running or
// finished stream, which took the given time together.
func (c *Choice) RecordEvents(now time.Time, intervals int, took time.Duration) {
	if intervals <= 0 {
		return
	}
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	c.observeInterval(now, intervals, took/time.Duration(intervals))
}

// RecordCut records that a stream was cut after it had sent a number of events and the
// given time had passed since the event before them. The time since the last event is
// less than an interval would have been, so it counts only if it is longer than expected.
func (c *Choice) RecordCut(now time.Time, events int, toLast, toCut time.Duration) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	if least := toCut / time.Duration(events+1); least > c.EventInterval {
		c.observeInterval(now, events+1, least)
		return
	}
	if events > 0 {
		c.observeInterval(now, events, toLast/time.Duration(events))
	}
}

// observeInterval adapts the model's time between events and the server's pace.
func (c *Choice) observeInterval(now time.Time, intervals int, observed time.Duration) {
	s := c.state
	// This request is not one of the others that run there.
	running := s.running(now, c.chooser.peerWorkOf(now, c.Server.ID, 0).InFlight) - 1
	average := c.latency.eventInterval(now, running)
	expected := (1 + s.pace.deviation) * float64(average)
	bounded := min(max(float64(observed), expected/maxIntervalRatio), expected*maxIntervalRatio)
	s.pace.observe(now, bounded/float64(average), min(paceEventWeight*float64(intervals), maxPaceWeight))
	c.latency.observeEvents(now, running, intervals, time.Duration(bounded))
}
