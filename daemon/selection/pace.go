package selection

import "time"

const (
	// paceHalfLife is the time without observations in which half of a server's learnt
	// deviation from the average is given up.
	paceHalfLife = 2 * time.Minute
	// minPace and maxPace bound the pace of a server. Engines of a service differ by up to
	// 2.4 to 1.
	minPace = 0.4
	maxPace = 2.5
	// paceEventWeight is the weight of each observed interval between events in the moving
	// average of a server's pace, up to maxPaceWeight for a sequence of intervals.
	paceEventWeight = 0.01
	maxPaceWeight   = 0.1
)

// pace is how long work takes at a server as a multiple of the average of its service: 2
// is twice as long. The zero value is the average.
type pace struct {
	// deviation is the pace less 1 at the time of the latest observation.
	deviation float64
	at        time.Time
}

// value returns the pace. What was learnt loses weight with time.
func (p *pace) value(now time.Time) float64 {
	if p.deviation == 0 {
		return 1
	}
	return 1 + p.deviation*remaining(max(now.Sub(p.at), 0), paceHalfLife)
}

// observe adapts the pace to an observed ratio of the time taken to the average.
func (p *pace) observe(now time.Time, ratio, weight float64) {
	value := p.value(now)
	p.deviation = value + weight*(min(max(ratio, minPace), maxPace)-value) - 1
	p.at = now
}

// eventInterval returns the expected time between events of a further stream at the
// server. peers is the number of other routers' requests there.
func (s *serverState) eventInterval(now time.Time, m *latencyModel, peers int) time.Duration {
	return time.Duration(s.pace.value(now) * float64(m.eventInterval(now, s.running(now, peers))))
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
	expected := s.pace.value(now) * float64(average)
	bounded := min(max(float64(observed), expected/maxIntervalRatio), expected*maxIntervalRatio)
	s.pace.observe(now, bounded/float64(average), min(paceEventWeight*float64(intervals), maxPaceWeight))
	c.latency.observeEvents(now, running, intervals, time.Duration(bounded))
}
