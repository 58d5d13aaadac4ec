// Package invariant asserts the guarantees of the system where state changes.
// A violation is counted and reported; in fatal mode it ends the process.
package invariant

import (
	"fmt"
	"sync"
)

// Name identifies one invariant, for example "withdrawn_version_dispatched".
type Name string

// Checker counts violations. The zero value counts without reporting. A nil
// Checker accepts every call and does nothing. It is safe for concurrent use.
type Checker struct {
	// OnViolation, when set, is called for each violation, for example to log it
	// or to end the process. It must be set before first use.
	OnViolation func(name Name, detail string)

	mu     sync.Mutex
	counts map[Name]uint64
}

// Assert records a violation of name when ok is false and returns ok. The
// detail is formatted only on violation.
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

// Counts returns the number of violations of each violated invariant.
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

// Total returns the number of violations of all invariants.
func (c *Checker) Total() uint64 {
	var total uint64
	for _, n := range c.Counts() {
		total += n
	}
	return total
}
