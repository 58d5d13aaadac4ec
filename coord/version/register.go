// Package version provides a register for values that must never revert to an older
// version: it keeps the highest version that was set and rejects older ones.
package version

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"cactusknot.example/coord/invariant"
)

var (
	// ErrOlderVersion is returned when a version is older than the current one.
	ErrOlderVersion = errors.New("version: older than the current version")
	// ErrValueMismatch is returned when the current version has a different value.
	ErrValueMismatch = errors.New("version: current version has a different value")
)

// Reverted is violated when a published version is not higher than the previous one.
const Reverted invariant.Name = "version_reverted"

// Value is a verified value and its version. Versions start at 1.
type Value[T any] struct {
	Version uint64
	Data    T
}

// Register holds the value with the highest version. The caller must verify a value
// before setting it and must not modify it afterwards. Register is safe for concurrent
// use; Load takes no lock.
type Register[T any] struct {
	equal   func(a, b T) bool
	checker *invariant.Checker
	current atomic.Pointer[Value[T]]

	mu      sync.Mutex
	changed chan struct{}
}

// New returns an empty Register. equal reports whether two values with the same
// version are equal, for example by comparing their digests.
func New[T any](equal func(a, b T) bool, checker *invariant.Checker) *Register[T] {
	return &Register[T]{equal: equal, checker: checker, changed: make(chan struct{})}
}

// Load returns the current value, or false if none was set.
func (r *Register[T]) Load() (Value[T], bool) {
	v := r.current.Load()
	if v == nil {
		return Value[T]{}, false
	}
	return *v, true
}

// SetIfNewer publishes data if version is higher than the current one, and reports
// whether it did. Setting the current value again has no effect and is not an error.
// A lower version or version 0 returns ErrOlderVersion, and a different value for the
// current version returns ErrValueMismatch.
func (r *Register[T]) SetIfNewer(version uint64, data T) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, ok := r.Load()
	if version < current.Version || version == 0 {
		return false, ErrOlderVersion
	}
	if ok && version == current.Version {
		if !r.equal(current.Data, data) {
			return false, ErrValueMismatch
		}
		return false, nil
	}
	r.publish(Value[T]{Version: version, Data: data})
	return true, nil
}

// publish replaces the current value and unblocks waiting readers.
func (r *Register[T]) publish(v Value[T]) {
	previous, _ := r.Load()
	if !r.checker.Assert(v.Version > previous.Version, Reverted, "version %d after %d", v.Version, previous.Version) {
		return
	}
	r.current.Store(&v)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next value is published. To miss
// no value, call Changed before Load.
func (r *Register[T]) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Wait blocks until the current version is higher than after and returns the current
// value, or returns ctx.Err() if ctx ends first.
func (r *Register[T]) Wait(ctx context.Context, after uint64) (Value[T], error) {
	for {
		changed := r.Changed()
		if v, ok := r.Load(); ok && v.Version > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Value[T]{}, ctx.Err()
		}
	}
}
