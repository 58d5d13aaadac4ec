// Package usage counts requests by window of time and workspace, pools the counts of all
// routers, and decides which windows are settled and reported. It has no network and no clock.
package usage

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Windows divides time: window k begins k times its value after the start of 1970.
type Windows time.Duration

// At returns the window of a point in time.
func (w Windows) At(t time.Time) int64 {
	n, d := t.UnixNano(), int64(w)
	if k := n / d; n >= k*d {
		return k
	}
	return n/d - 1
}

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w)) }

// Counts are numbers of requests by workspace.
type Counts map[string]uint32

type counterKey struct {
	window    int64
	workspace string
}

// Counter counts the requests of one process. Add takes a lock only for the first request of a
// workspace in a window.
type Counter struct {
	windows Windows
	mu      sync.Mutex
	// counts is replaced, never changed, under mu.
	counts atomic.Pointer[map[counterKey]*atomic.Int32]
}

// NewCounter returns an empty Counter.
func NewCounter(windows Windows) *Counter {
	c := &Counter{windows: windows}
	c.counts.Store(&map[counterKey]*atomic.Int32{})
	return c
}

// Add counts n requests that began at a time.
func (c *Counter) Add(workspace string, at time.Time, n int32) {
	key := counterKey{window: c.windows.At(at), workspace: workspace}
	count := (*c.counts.Load())[key]
	if count == nil {
		count = c.insert(key)
	}
	count.Add(n)
}

func (c *Counter) insert(key counterKey) *atomic.Int32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := *c.counts.Load()
	if count := current[key]; count != nil {
		return count
	}
	next := maps.Clone(current)
	count := new(atomic.Int32)
	next[key] = count
	c.counts.Store(&next)
	return count
}

// Counts returns the counts of the windows that keep accepts, and forgets the others. Windows
// without requests are left out.
func (c *Counter) Counts(keep func(window int64) bool) map[int64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := *c.counts.Load()
	out, rest := make(map[int64]Counts), make(map[counterKey]*atomic.Int32, len(current))
	for key, count := range current {
		if !keep(key.window) {
			continue
		}
		rest[key] = count
		n := count.Load()
		if n <= 0 {
			continue
		}
		if out[key.window] == nil {
			out[key.window] = make(Counts)
		}
		out[key.window][key.workspace] = uint32(n)
	}
	if len(rest) < len(current) {
		c.counts.Store(&rest)
	}
	return out
}
