package limit

import (
	"sync"
	"time"
)

// Rate bounds events in any span of a length by remembering when the last ones
// happened. It is not safe for concurrent use.
type Rate struct {
	span  time.Duration
	times []time.Time
}

// NewRate returns a Rate for spans of the given length.
func NewRate(span time.Duration) *Rate { return &Rate{span: span} }

// Count returns the events in the span that ends at now.
func (r *Rate) Count(now time.Time) int {
	from := now.Add(-r.span)
	n := 0
	for n < len(r.times) && !r.times[n].After(from) {
		n++
	}
	r.times = append(r.times[:0], r.times[n:]...)
	return len(r.times)
}

// Add records an event at now.
func (r *Rate) Add(now time.Time) { r.times = append(r.times, now) }

// Remove takes back the latest event, which did not happen after all.
func (r *Rate) Remove() {
	if n := len(r.times); n > 0 {
		r.times = r.times[:n-1]
	}
}

// PerMember returns the part of a fleet-wide bound that one of members may use,
// at least 1. margin is the part of the bound that stays unused, because the
// members' spans end at different times and a member may be unknown for a moment.
func PerMember(bound, margin float64, members int) int {
	return max(1, int(bound*(1-margin)/float64(max(members, 1))))
}

// RepeatConfig bounds the repeats of requests in any window.
type RepeatConfig struct {
	// Ratio is the number of repeats per first attempt.
	Ratio float64
	// Extra is the number of repeats allowed beyond the ratio, over all members.
	Extra  float64
	Window time.Duration
}

// repeatMargin is the unused part of the repeats; see PerMember.
const repeatMargin = 0.2

// RepeatBudget is one member's part of a fleet-wide bound on repeats in a
// sliding window. It is safe for concurrent use.
type RepeatBudget struct {
	cfg RepeatConfig

	mu      sync.Mutex
	firsts  *Rate
	repeats *Rate
}

// NewRepeatBudget returns an unused budget.
func NewRepeatBudget(cfg RepeatConfig) *RepeatBudget {
	return &RepeatBudget{cfg: cfg, firsts: NewRate(cfg.Window), repeats: NewRate(cfg.Window)}
}

// First records a first attempt.
func (b *RepeatBudget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts.Count(now)
	b.firsts.Add(now)
}

// Take takes one repeat, or returns false when the budget of this member, one of
// members, is used up.
func (b *RepeatBudget) Take(now time.Time, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left(now, members) < 1 {
		return false
	}
	b.repeats.Add(now)
	return true
}

// Left returns the repeats that are left now.
func (b *RepeatBudget) Left(now time.Time, members int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now, members)
}

func (b *RepeatBudget) left(now time.Time, members int) float64 {
	earned := b.cfg.Ratio * float64(b.firsts.Count(now))
	own := earned + b.cfg.Extra/float64(max(members, 1))
	return own*(1-repeatMargin) - float64(b.repeats.Count(now))
}
