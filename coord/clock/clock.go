// Package clock provides time as an interface, so that tests control it and
// production code can be checked against clock steps.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time and sleeps. Durations are measured by subtracting two
// results of Now; for System these carry a monotonic reading, so steps of the
// wall clock do not change them.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// Sleep blocks for d or until ctx ends, in which case it returns ctx.Err().
	Sleep(ctx context.Context, d time.Duration) error
}

// System is the operating system's clock.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// Sleep blocks for d or until ctx ends.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Manual is a clock that moves only when a test advances it. It is safe for
// concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	sleeper []sleeper
}

type sleeper struct {
	until time.Time
	wake  chan struct{}
}

// NewManual returns a Manual clock that shows start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time set by the last Advance.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock by d, which may be negative to simulate a step back,
// and wakes the sleepers whose time has come.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.sleeper[:0]
	for _, s := range m.sleeper {
		if s.until.After(m.now) {
			kept = append(kept, s)
			continue
		}
		close(s.wake)
	}
	m.sleeper = kept
}

// Sleep blocks until the clock has been advanced by d or ctx ends.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	wake := make(chan struct{})
	m.mu.Lock()
	m.sleeper = append(m.sleeper, sleeper{until: m.now.Add(d), wake: wake})
	m.mu.Unlock()
	select {
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
