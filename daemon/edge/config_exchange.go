package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

// startupPeers is the number of peers that a starting router asks for the configuration.
const startupPeers = 3

// configInForce is the configuration that this process goes by, as the store held it.
type configInForce struct {
	version uint64
	entry   kv.Entry
	// era is the latest era in which the store held it. In a later era, the store was restored
	// from an older copy and the operators' configuration is not yet written again.
	era uint64
}

// configExchange is the part of the exchange that spreads the era of the store and keeps an
// acknowledged configuration in force while the store does not hold it. It implements exchanged.
type configExchange struct {
	edge    *Edge
	current atomic.Pointer[configInForce]
	// wanted is set when the aggregator has asked for this router's configuration.
	wanted atomic.Bool
}

func (c *configExchange) report(_ time.Time, out *rpc.LoadReport) {
	out.StoreEra = c.edge.controller.era.Load()
	current := c.current.Load()
	if current == nil {
		return
	}
	out.ConfigVersion, out.ConfigEra = current.version, current.era
	if c.wanted.Swap(false) {
		out.Config = encodeStoredValue(current.entry)
	}
}

func (c *configExchange) aggregate(_ time.Time, in *rpc.LoadReport, out *rpc.LoadReply) {
	c.edge.controller.noteEra(in.GetStoreEra(), eraFromExchange)
	storeEra := c.edge.controller.era.Load()
	out.StoreEra = storeEra
	current := c.current.Load()
	if current == nil {
		current = &configInForce{}
	}
	switch {
	case current.version > in.GetConfigVersion() && current.era < storeEra:
		out.Config = encodeStoredValue(current.entry)
	case in.GetConfigVersion() <= current.version:
	case in.GetConfig() != nil:
		c.edge.controller.enqueueConfig(in.GetConfig())
	case in.GetConfigEra() < storeEra:
		out.ConfigWanted = true
	}
}

func (c *configExchange) apply(_ time.Time, in *rpc.LoadReply) {
	c.edge.controller.noteEra(in.GetStoreEra(), eraFromExchange)
	if in.GetConfigWanted() {
		c.wanted.Store(true)
	}
	if in.GetConfig() != nil {
		c.edge.controller.enqueueConfig(in.GetConfig())
	}
}

// askOnStartup asks some peers for a configuration that is newer than the one in the store.
// It returns when they have answered or can't answer in time.
func (c *configExchange) askOnStartup(ctx context.Context) {
	peers := slices.Clone(c.edge.controller.peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	report := &rpc.LoadReport{Router: c.edge.settings.VM}
	c.report(time.Now(), report)
	var group sync.WaitGroup
	for _, address := range peers[:min(startupPeers, len(peers))] {
		group.Go(func() {
			exchange := transfer.New(ctx, loadExchangeLimits)
			defer exchange.Stop()
			reply, err := c.edge.peerClient(address).ExchangeLoad(exchange.Context(), report)
			if err != nil {
				c.edge.log.Debug().Err(err).Str("peer", address).Msg("peer did not say whether the store's configuration is the latest")
				return
			}
			c.apply(time.Now(), reply)
		})
	}
	group.Wait()
}

func encodeStoredValue(e kv.Entry) *rpc.StoredValue {
	return &rpc.StoredValue{Key: e.Key, Value: e.Value}
}
