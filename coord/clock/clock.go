// Package clock provides an interface for time, so that tests can control time and
// simulate clock steps.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time and sleeps. Durations are measured by subtracting two results
// of Now. The results of System contain a monotonic clock reading, so steps of the
// wall clock do not affect these durations.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep blocks for d, or until ctx ends, in which case it returns ctx.Err().
	Sleep(ctx context.Context, d time.Duration) error
}

// System is the clock of the operating system.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// Sleep blocks for d, or until ctx ends, in which case it returns ctx.Err().
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

// Manual is a clock for tests that advances only by calls of Advance. It is safe for
// concurrent use.
type Manual struct {
	mu       sync.Mutex
	now      time.Time
	sleepers []sleeper
}

type sleeper struct {
	until time.Time
	wake  chan struct{}
}

// NewManual returns a Manual clock set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance advances the clock by d, which may be negative to simulate a step back, and
// unblocks the calls of Sleep whose time has passed.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	remaining := m.sleepers[:0]
	for _, s := range m.sleepers {
		if s.until.After(m.now) {
			remaining = append(remaining, s)
			continue
		}
		close(s.wake)
	}
	m.sleepers = remaining
}

// Sleep blocks until the clock has advanced by d, or until ctx ends, in which case it
// returns ctx.Err().
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	wake := make(chan struct{})
	m.mu.Lock()
	m.sleepers = append(m.sleepers, sleeper{until: m.now.Add(d), wake: wake})
	m.mu.Unlock()
	select {
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
