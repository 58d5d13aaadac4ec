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

// Merge takes over a report that was received now.
func (t *Table) Merge(now time.Time, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[uint64]*tableEntry)
	}
	e := t.entries[r.Incarnation]
	if e == nil && len(t.entries) >= maxReports {
		return
	}
	if e != nil && r.AsOf.Before(e.AsOf) && now.Sub(e.receivedAt) < staleOrder {
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

// Prune removes the windows that keep does not accept, and the reports without windows that
// are older than maxAge.
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
