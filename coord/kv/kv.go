// Package kv defines the interface of the platform's key-value store: values
// with revisions, compare-and-swap, leases and watches.
package kv

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Errors of the store. Callers test them with errors.Is.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("kv: not found")
	// ErrConflict means that the key does not have the expected revision. Nothing
	// was written.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrUnavailable means that the store did not accept the call. Nothing was
	// written.
	ErrUnavailable = errors.New("kv: store unavailable")
	// ErrUnknownOutcome means that the response was lost. The write may have taken
	// effect.
	ErrUnknownOutcome = errors.New("kv: outcome of write unknown")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrBudgetExhausted means that the call budget of this Client is used up.
	// Nothing was sent.
	ErrBudgetExhausted = errors.New("kv: call budget exhausted")
)

// Revision is the revision of a key. Revisions increase with each write to any key
// of the store; 0 means that the key does not exist.
type Revision uint64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Entry is a key with its value and revision.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Store is the platform's key-value service. All methods block until the response
// arrives or ctx ends. A write during which ctx ends returns ErrUnknownOutcome.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value when the key's current revision equals expect (0: the key
	// must not exist) and returns the new revision, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes key when its revision equals expect, or returns ErrConflict.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch blocks until the key's revision is above after and returns the entry.
	// An entry with revision 0 means that the key was deleted. When the service
	// ends the wait early, Watch returns ErrNotFound or the unchanged entry.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// Grant creates a lease that expires ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease, or returns ErrNotFound when it has expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
