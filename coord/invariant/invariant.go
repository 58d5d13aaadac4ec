// Package invariant checks the guarantees of the system at the places where state
// changes. Violations are counted and reported to a callback, which may also
// terminate the process.
package invariant

import (
	"fmt"
	"sync"
)

// Name identifies an invariant, for example "withdrawn_version_dispatched".
type Name string

// Checker counts violations of invariants. The zero value counts them without
// reporting. All methods may be called on a nil Checker, which counts nothing.
// Checker is safe for concurrent use.
type Checker struct {
	// OnViolation is an optional callback for each violation, for example to log it
	// or to terminate the process. It must be set before the Checker is used.
	OnViolation func(name Name, detail string)

	mu     sync.Mutex
	counts map[Name]uint64
}

// Assert counts and reports a violation of the named invariant if ok is false, and
// returns ok. The detail is formatted only in case of a violation.
func (c *Checker) Assert(ok bool, name Name, format string, args ...any) bool {
	if ok || c == nil {
		return ok
	}
	c.mu.Lock()
	if c.counts == nil {
		c.counts = make(map[Name]uint64)
	}
	c.counts[name]++
	c.mu.Unlock()
	if c.OnViolation != nil {
		c.OnViolation(name, fmt.Sprintf(format, args...))
	}
	return false
}

// Counts returns the number of violations by invariant. Invariants that were not
// violated are omitted.
func (c *Checker) Counts() map[Name]uint64 {
	out := make(map[Name]uint64)
	if c == nil {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.counts {
		out[name] = n
	}
	return out
}

// Total returns the total number of violations.
func (c *Checker) Total() uint64 {
	var total uint64
	for _, n := range c.Counts() {
		total += n
	}
	return total
}
