package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/content"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

// startupPeers is the number of peers that a starting router asks for the configuration.
const startupPeers = 3

// configInForce is the configuration that this process goes by, as the store held it.
type configInForce struct {
	version uint64
	entry   kv.Entry
	// ref names the value of the entry; zero if it is not large.
	ref content.Ref
	// era is the latest era in which the store held it. In a later era, the store was restored
	// from an older copy and the operators' configuration is not yet written again.
	era uint64
}

// configExchange is the part of the exchange that spreads the era of the store and keeps an
// acknowledged configuration in force while the store does not hold it. It implements exchanged.
type configExchange struct {
	edge    *Edge
	current atomic.Pointer[configInForce]
	// wanted is set when the aggregator has asked for this router's configuration, to whether it
	// may be named only.
	wanted atomic.Pointer[bool]
}

func (c *configExchange) report(_ time.Time, out *rpc.LoadReport) {
	out.StoreEra = c.edge.controller.era.Load()
	current := c.current.Load()
	if current == nil {
		return
	}
	out.ConfigVersion, out.ConfigEra, out.ByReference = current.version, current.era, true
	if by := c.wanted.Swap(nil); by != nil {
		out.Config = current.encode(c.edge, *by)
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
		out.Config = current.encode(c.edge, in.GetByReference())
	case in.GetConfigVersion() <= current.version:
	case in.GetConfig() != nil:
		c.take(in.GetConfig())
	case in.GetConfigEra() < storeEra:
		out.ConfigWanted, out.ByReference = true, true
	}
}

func (c *configExchange) apply(_ time.Time, in *rpc.LoadReply) {
	c.edge.controller.noteEra(in.GetStoreEra(), eraFromExchange)
	if in.GetConfigWanted() {
		byReference := in.GetByReference()
		c.wanted.Store(&byReference)
	}
	if in.GetConfig() != nil {
		c.take(in.GetConfig())
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
	c.edge.fetcher.waitForOffered(ctx)
}

// encode returns the message with a value, or with its name if it is large and the receiver
// fetches values by their names.
func (c *configInForce) encode(e *Edge, byReference bool) *rpc.StoredValue {
	if c.ref == (content.Ref{}) || !byReference {
		return &rpc.StoredValue{Key: c.entry.Key, Value: c.entry.Value}
	}
	e.fetcher.library.Add(c.ref, c.entry.Value)
	return &rpc.StoredValue{Key: c.entry.Key, Content: encodeContentRef(c.ref), Holder: e.settings.PeerAddress}
}

// take takes over the configuration of a peer, or fetches it first.
func (c *configExchange) take(in *rpc.StoredValue) {
	if in.GetContent() != nil {
		c.edge.fetcher.offer(in.GetKey(), decodeContentRef(in.GetContent()), in.GetHolder())
		return
	}
	c.edge.controller.enqueueConfig(kv.Entry{Key: in.GetKey(), Value: in.GetValue()}, nil)
}
