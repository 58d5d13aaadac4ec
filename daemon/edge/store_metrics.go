package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
)

// meteredStore wraps a Store and counts its calls by method and result.
type meteredStore struct {
	Store
	set *metrics.Set
}

// Values of the result label.
const (
	callOK        = "ok"
	callConflict  = "conflict"
	callCompacted = "compacted"
	callRestored  = "restored"
	callNotFound  = "not_found"
	callFailed    = "failed"
)

func (m meteredStore) count(call string, err error) {
	result := callFailed
	switch {
	case err == nil:
		result = callOK
	case errors.Is(err, kv.ErrConflict):
		result = callConflict
	case errors.Is(err, ErrCompacted):
		result = callCompacted
	case errors.Is(err, ErrRestored):
		result = callRestored
	case errors.Is(err, kv.ErrNotFound):
		result = callNotFound
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cactusknot_store_calls_total{call=%q,result=%q}", call, result)).Inc()
}

// Range implements Store.
func (m meteredStore) Range(ctx context.Context, prefix string) ([]kv.Entry, kv.Position, error) {
	entries, at, err := m.Store.Range(ctx, prefix)
	m.count("range", err)
	return entries, at, err
}

// Watch implements Store.
func (m meteredStore) Watch(ctx context.Context, prefix string, after kv.Position, wait time.Duration) ([]mirror.Change, kv.Position, error) {
	changes, at, err := m.Store.Watch(ctx, prefix, after, wait)
	m.count("watch", err)
	return changes, at, err
}

// Commit implements Store.
func (m meteredStore) Commit(ctx context.Context, t Txn) (kv.Position, error) {
	at, err := m.Store.Commit(ctx, t)
	m.count("commit", err)
	return at, err
}

// Grant implements Store.
func (m meteredStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	id, err := m.Store.Grant(ctx, ttl)
	m.count("grant", err)
	return id, err
}

// KeepAlive implements Store.
func (m meteredStore) KeepAlive(ctx context.Context, l Lease) error {
	err := m.Store.KeepAlive(ctx, l)
	m.count("keep_alive", err)
	return err
}

// Revoke implements Store.
func (m meteredStore) Revoke(ctx context.Context, l Lease) error {
	err := m.Store.Revoke(ctx, l)
	m.count("revoke", err)
	return err
}
