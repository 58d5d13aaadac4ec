package limit

import "time"

// SlidingWindow counts the events in a window of fixed length that ends now. It stores
// the time of each event. It is not safe for concurrent use.
type SlidingWindow struct {
	length time.Duration
	times  []time.Time
}

// NewSlidingWindow returns an empty window of the given length.
func NewSlidingWindow(length time.Duration) *SlidingWindow { return &SlidingWindow{length: length} }

// Count returns the number of events in the window that ends at now, and drops older
// events. now must not decrease between calls.
func (w *SlidingWindow) Count(now time.Time) int {
	from := now.Add(-w.length)
	n := 0
	for n < len(w.times) && !w.times[n].After(from) {
		n++
	}
	w.times = w.times[n:]
	return len(w.times)
}

// Add records an event at now.
func (w *SlidingWindow) Add(now time.Time) { w.times = append(w.times, now) }

// PerMemberLimit returns the part of a fleet-wide bound that one of members may use, at
// least 1. margin is the fraction of the bound that stays unused, because the members'
// windows end at different times and a new member may not be known for a moment.
func PerMemberLimit(bound, margin float64, members int) int {
	return max(1, int(bound*(1-margin)/float64(max(members, 1))))
}
