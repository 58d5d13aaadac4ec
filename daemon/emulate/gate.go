package emulate

import (
	"context"
	"sync"
	"time"
)

// gate holds back its callers while it is shut. The zero value is open.
type gate struct {
	mu      sync.Mutex
	blocked chan struct{}
	timer   *time.Timer
}

// shut closes the gate for d, after which it opens by itself. A duration of
// zero or less opens it at once.
func (g *gate) shut(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if d <= 0 {
		g.openLocked()
		return
	}
	if g.blocked == nil {
		g.blocked = make(chan struct{})
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() { g.expire(&t) })
	g.timer = t
}

// expire opens the gate unless a later call replaced the timer.
func (g *gate) expire(t **time.Timer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != *t {
		return
	}
	g.timer = nil
	g.openLocked()
}

func (g *gate) openLocked() {
	if g.blocked != nil {
		close(g.blocked)
		g.blocked = nil
	}
}

func (g *gate) current() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked
}

// pass waits until the gate is open or done is closed; it reports whether the
// gate is open.
func (g *gate) pass(done <-chan struct{}) bool {
	for {
		blocked := g.current()
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

// sleep blocks for d or until ctx ends.
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
