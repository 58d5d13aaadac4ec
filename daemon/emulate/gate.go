package emulate

import (
	"context"
	"sync"
	"time"
)

// pauseGate blocks its callers while it is closed. The zero value is open.
type pauseGate struct {
	mu      sync.Mutex
	blocked chan struct{}
	timer   *time.Timer
}

// pauseFor closes the gate for d and replaces an earlier pause. A duration of zero
// or less opens the gate at once.
func (g *pauseGate) pauseFor(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if d <= 0 {
		g.resumeLocked()
		return
	}
	if g.blocked == nil {
		g.blocked = make(chan struct{})
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() { g.expire(&t) })
	g.timer = t
}

// expire opens the gate unless a later call to pauseFor replaced the timer.
func (g *pauseGate) expire(t **time.Timer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != *t {
		return
	}
	g.timer = nil
	g.resumeLocked()
}

func (g *pauseGate) resumeLocked() {
	if g.blocked != nil {
		close(g.blocked)
		g.blocked = nil
	}
}

// blockedChan returns a channel that is closed when the gate opens, or nil if the
// gate is open.
func (g *pauseGate) blockedChan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked
}

// wait blocks until the gate is open or done is closed, and reports whether the
// gate is open.
func (g *pauseGate) wait(done <-chan struct{}) bool {
	for {
		blocked := g.blockedChan()
		if blocked == nil {
			return true
		}
		select {
		case <-blocked:
		case <-done:
			return false
		}
	}
}

// sleep blocks for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
