// Package version holds values that must never revert: each holder keeps the
// highest version it was given and refuses any lower one.
package version

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"cactusknot.example/coord/invariant"
)

var (
	// ErrOlderVersion: the offered version is lower than the held one.
	ErrOlderVersion = errors.New("version: lower than the held version")
	// ErrValueMismatch: another value is already held under the offered version.
	ErrValueMismatch = errors.New("version: different value of the held version")
)

// Reverted is violated when a published version is not above the previous one.
const Reverted invariant.Name = "version_reverted"

// Value is a verified value with its version. Versions start at 1.
type Value[T any] struct {
	Version uint64
	Data    T
}

// Register publishes the highest verified value. The caller verifies values
// before it offers them and does not change them afterwards. It is safe for
// concurrent use; Load takes no lock.
type Register[T any] struct {
	same    func(a, b T) bool
	checker *invariant.Checker
	current atomic.Pointer[Value[T]]

	mu      sync.Mutex
	changed chan struct{}
}

// New returns an empty Holder. same tells whether two values of one version are
// equal, for example by their digests.
func New[T any](same func(a, b T) bool, checker *invariant.Checker) *Register[T] {
	return &Register[T]{same: same, checker: checker, changed: make(chan struct{})}
}

// Load returns the held value, or false while there is none.
func (h *Register[T]) Load() (Value[T], bool) {
	v := h.current.Load()
	if v == nil {
		return Value[T]{}, false
	}
	return *v, true
}

// SetIfNewer publishes data when version is above the held one and reports whether
// it did. The held value offered again is accepted without effect; a lower
// version returns ErrLower and another value of the held version ErrDiffers.
func (h *Register[T]) SetIfNewer(version uint64, data T) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.Load()
	if version < held.Version || version == 0 {
		return false, ErrOlderVersion
	}
	if ok && version == held.Version {
		if !h.same(held.Data, data) {
			return false, ErrValueMismatch
		}
		return false, nil
	}
	h.publish(Value[T]{Version: version, Data: data})
	return true, nil
}

// publish replaces the held value and wakes the waiting readers.
func (h *Register[T]) publish(v Value[T]) {
	held, _ := h.Load()
	if !h.checker.Assert(v.Version > held.Version, Reverted, "version %d after %d", v.Version, held.Version) {
		return
	}
	h.current.Store(&v)
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next publication. To miss
// none, take the channel before calling Load.
func (h *Register[T]) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Wait blocks until a version above after is held and returns it, or returns
// ctx.Err().
func (h *Register[T]) Wait(ctx context.Context, after uint64) (Value[T], error) {
	for {
		changed := h.Changed()
		if v, ok := h.Load(); ok && v.Version > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Value[T]{}, ctx.Err()
		}
	}
}
