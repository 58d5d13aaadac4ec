package usage

import (
	"sync"
	"time"
)

// Report is what one process has counted.
type Report struct {
	Router      string
	Incarnation uint64
	// AsOf is the wall clock of the process when the report was made. All requests that began
	// before are counted.
	AsOf time.Time
	// Windows holds the cumulative counts of all windows that are not settled.
	Windows map[int64]Counts
}

const (
	// staleOrder is the time after which a report replaces one with a later AsOf: the clock of
	// its process was set back. Until then it counts as overtaken on the way.
	staleOrder = 2 * time.Second
	// maxReports bounds the reports that a table keeps.
	maxReports = 4096
)

type tableEntry struct {
	Report
	receivedAt time.Time
}

// Table keeps the latest report of each incarnation, also of those that have ended, as long as
// a window of it is not settled. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[uint64]*tableEntry
}

// Merge takes over a report that was received now. relayed tells that it comes from the table of
// another router, which may be older.
func (t *Table) Merge(now time.Time, r Report, relayed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[uint64]*tableEntry)
	}
	e := t.entries[r.Incarnation]
	if e == nil && len(t.entries) >= maxReports {
		return
	}
	if e != nil && r.AsOf.Before(e.AsOf) && (relayed || now.Sub(e.receivedAt) < staleOrder) {
		return
	}
	t.entries[r.Incarnation] = &tableEntry{Report: r, receivedAt: now}
}

// Reports returns the reports.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Report, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e.Report)
	}
	return list
}

// Prune removes the reports that were received at least maxAge ago and hold no window that keep
// accepts.
func (t *Table) Prune(now time.Time, maxAge time.Duration, keep func(window int64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, e := range t.entries {
		if now.Sub(e.receivedAt) < maxAge {
			continue
		}
		held := false
		for window := range e.Windows {
			held = held || keep(window)
		}
		if !held {
			delete(t.entries, incarnation)
		}
	}
}

// Sum returns the counts of all processes in a window, by workspace.
func (t *Table) Sum(window int64) map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(map[string]uint64)
	for _, e := range t.entries {
		for workspace, n := range e.Windows[window] {
			sum[workspace] += uint64(n)
		}
	}
	return sum
}

// Vouched reports whether each router of a list says that it does not know a window as settled:
// by a report made at or after a time that holds the window, of a process that was there before
// the window ended. never tells that one of them will not, because its process is a new one or
// knows the window as settled.
func (t *Table) Vouched(routers []string, window int64, end, since time.Time) (vouched, never bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	says := make(map[string]bool, len(t.entries))
	for _, e := range t.entries {
		if e.AsOf.Before(since) {
			continue
		}
		_, open := e.Windows[window]
		before, reported := says[e.Router]
		says[e.Router] = open && StartOf(e.Incarnation).Before(end) && (before || !reported)
	}
	vouched = len(routers) > 0
	for _, router := range routers {
		said, reported := says[router]
		vouched = vouched && said
		never = never || reported && !said
	}
	return vouched, never
}

// incarnationBits is the number of random bits of an incarnation, below the time of the start in
// milliseconds.
const incarnationBits = 20

// NewIncarnation returns the number of a process that starts at a time. random makes it differ
// from that of other processes.
func NewIncarnation(start time.Time, random uint64) uint64 {
	return uint64(start.UnixMilli())<<incarnationBits | random&(1<<incarnationBits-1)
}

// StartOf returns when the process of an incarnation started, by its own clock.
func StartOf(incarnation uint64) time.Time {
	return time.UnixMilli(int64(incarnation >> incarnationBits))
}

// Missing returns the routers of a list that have not reported past a time.
func (t *Table) Missing(routers []string, past time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := make(map[string]bool, len(t.entries))
	for _, e := range t.entries {
		if !e.AsOf.Before(past) {
			reported[e.Router] = true
		}
	}
	var missing []string
	for _, router := range routers {
		if !reported[router] {
			missing = append(missing, router)
		}
	}
	return missing
}
