package limit

import "time"

// SlidingWindow bounds events in any span of a length by remembering when the last ones
// happened. It is not safe for concurrent use.
type SlidingWindow struct {
	span  time.Duration
	times []time.Time
}

// NewSlidingWindow returns a Rate for spans of the given length.
func NewSlidingWindow(span time.Duration) *SlidingWindow { return &SlidingWindow{span: span} }

// Count returns the events in the span that ends at now.
func (r *SlidingWindow) Count(now time.Time) int {
	from := now.Add(-r.span)
	n := 0
	for n < len(r.times) && !r.times[n].After(from) {
		n++
	}
	r.times = r.times[n:]
	return len(r.times)
}

// Add records an event at now.
func (r *SlidingWindow) Add(now time.Time) { r.times = append(r.times, now) }

// PerMemberLimit returns the part of a fleet-wide bound that one of members may use,
// at least 1. margin is the part of the bound that stays unused, because the
// members' spans end at different times and a member may be unknown for a moment.
func PerMemberLimit(bound, margin float64, members int) int {
	return max(1, int(bound*(1-margin)/float64(max(members, 1))))
}
