package router

import (
	"context"
	"sync"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/ledger"
)

// maxKeptBindings limits the kept bindings. The oldest is dropped above it.
const maxKeptBindings = 10_000

// bindingID identifies a key chosen by a caller.
type bindingID struct {
	service, workspace string
	key                idempotency.Key
}

// bindings keeps the homes that the store has returned for callers' keys. A restore of the store
// from an older copy may take a binding back. Without it a repeated call could be bound to another
// home, which has no record of the key and would run it a second time.
type bindings struct {
	clock clock.Clock

	mu    sync.Mutex
	homes map[bindingID]uint64
	order []keptBinding // oldest first
}

type keptBinding struct {
	id bindingID
	at time.Time
}

func newBindings(clk clock.Clock) *bindings {
	return &bindings{clock: clk, homes: make(map[bindingID]uint64)}
}

// home returns the kept home of a key, or the given one if none is kept.
func (b *bindings) home(id bindingID, other uint64) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if home, ok := b.homes[id]; ok {
		return home
	}
	return other
}

// keep records the home that the store has returned for a key.
func (b *bindings) keep(id bindingID, home uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if _, ok := b.homes[id]; !ok {
		b.order = append(b.order, keptBinding{id, now})
	}
	b.homes[id] = home
	for len(b.order) > maxKeptBindings || now.Sub(b.order[0].at) > ledger.KeepFor {
		delete(b.homes, b.order[0].id)
		b.order = b.order[1:]
	}
}

// all returns the kept bindings.
func (b *bindings) all() map[bindingID]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[bindingID]uint64, len(b.homes))
	for id, home := range b.homes {
		out[id] = home
	}
	return out
}

// rewriteBindings writes the kept bindings again after each signal of a new era of the store,
// until ctx ends. Bindings that the store has stay as they are.
func (r *Router) rewriteBindings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.eraBegun:
		}
		written, failed := 0, 0
		for id, home := range r.bindings.all() {
			if _, err := idempotency.Bind(ctx, r.ledgerStore, id.service, id.workspace, id.key, home); err != nil {
				failed++
				continue
			}
			written++
		}
		if written+failed > 0 {
			r.Log.Info().Int("written", written).Int("failed", failed).Msg("bindings of callers' keys written again")
		}
		if failed > 0 && r.Clock.Sleep(ctx, deliverInterval) == nil {
			r.signalEra()
		}
	}
}

func (r *Router) signalEra() {
	select {
	case r.eraBegun <- struct{}{}:
	default:
	}
}
