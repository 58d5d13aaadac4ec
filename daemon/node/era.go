package node

import (
	"sync"

	"cactusknot.example/coord/kv"
	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/platform"
)

// Sources of an era in logs.
const (
	EraFromStore  = "store"
	EraFromPeer   = "peer"
	EraFromLedger = "ledger"
)

// storeEra is the latest era of the store that the process has heard of. The store begins an era
// with each restore from an older copy.
type storeEra struct {
	mu        sync.Mutex
	latest    uint64
	observers []func(era uint64)
}

// StoreEra returns the latest era of the store that the process has heard of.
func (n *Node) StoreEra() uint64 {
	n.era.mu.Lock()
	defer n.era.mu.Unlock()
	return n.era.latest
}

// OnStoreEra adds a function that is called after the process has heard of a new era of the store.
// It must not block.
func (n *Node) OnStoreEra(f func(era uint64)) {
	n.era.mu.Lock()
	defer n.era.mu.Unlock()
	n.era.observers = append(n.era.observers, f)
}

// ObserveStoreEra records an era of the store and who told of it.
func (n *Node) ObserveStoreEra(era uint64, source string) {
	n.era.mu.Lock()
	previous := n.era.latest
	if era <= previous {
		n.era.mu.Unlock()
		return
	}
	n.era.latest = era
	observers := n.era.observers
	n.era.mu.Unlock()
	n.Log.Info().Uint64("era", era).Uint64("previous", previous).Str("source", source).Msg("new era of the store")
	for _, f := range observers {
		f(era)
	}
}

// OpenStore returns a store client with its own limit of calls per second, which tells the process
// of new eras.
func (n *Node) OpenStore(calls float64) *kv.Client {
	store := platform.NewStore(n.Settings.Platform.Store)
	store.OnEra(func(era uint64) { n.ObserveStoreEra(era, EraFromStore) })
	return newStoreClient(store, n.Clock, calls)
}

// RedeliverCharges makes the queue deliver its kept lines again in each new era of the store.
func (n *Node) RedeliverCharges(queue *ledger.Queue) {
	again := n.Metrics.NewCounter("cactusknot_charges_redelivered_total")
	n.Metrics.NewGauge("cactusknot_charges_kept", func() float64 { return float64(queue.Kept()) })
	n.OnStoreEra(func(era uint64) {
		if lines := queue.ObserveEra(era); lines > 0 {
			again.Add(lines)
			n.Log.Info().Uint64("era", era).Int("lines", lines).Msg("delivering stored charges again")
		}
	})
}
