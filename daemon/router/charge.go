package router

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/rpc"
)

const (
	// deliverInterval is the mean pause between two deliveries of charges.
	deliverInterval = time.Second
	// redeliverAfter is the time after which an unacknowledged charge is sent again.
	redeliverAfter = 3 * time.Second
	// handOverInterval is the pause between two attempts to hand over the charges
	// during a graceful shutdown.
	handOverInterval = 200 * time.Millisecond
	maxDeliverLines  = 2000
)

// commitCharge queues the charge of a finished step, using the reservation made
// before dispatch. The queue keeps it until it is acknowledged.
func (r *Router) commitCharge(m *rpc.ChargeLine) {
	line, ok := node.ChargeLineFromProto(m)
	if !ok {
		r.Log.Error().Hex("request", m.GetRequestId()).Msg("agent sent an invalid charge")
		r.charges.Release()
		return
	}
	r.charges.Commit(line)
}

// deliverCharges periodically sends queued charges to the collectors until ctx is
// done.
func (r *Router) deliverCharges(ctx context.Context) {
	random := node.NewRand()
	for {
		r.DeliverPending(ctx, r.charges, redeliverAfter, maxDeliverLines)
		if r.Clock.Sleep(ctx, node.Jitter(random, deliverInterval)) != nil {
			return
		}
	}
}

// handOverCharges blocks until every charge is stored or queued by another router.
// It tries the other routers first, because during a store outage a delivery blocks
// until its timeout in each shard.
func (r *Router) handOverCharges(ctx context.Context) {
	for {
		if r.HandOver(ctx, r.charges, maxDeliverLines) {
			r.HandOverKept(ctx, r.charges, maxDeliverLines, handOverInterval)
			return
		}
		r.DeliverPending(ctx, r.charges, 0, maxDeliverLines)
		if r.Clock.Sleep(ctx, handOverInterval) != nil {
			return
		}
	}
}

// collectorSet runs one ledger collector per shard, started by the shard's first
// delivery. It implements rpc.Ledger.
type collectorSet struct {
	router *Router
	ctx    context.Context

	// flushSlots has a capacity of 1, so that the shards flush one at a time.
	flushSlots chan struct{}

	mu     sync.Mutex
	shards map[uint32]*ledger.Collector
}

func newCollectorSet(ctx context.Context, r *Router) *collectorSet {
	s := &collectorSet{router: r, ctx: ctx, flushSlots: make(chan struct{}, 1), shards: make(map[uint32]*ledger.Collector)}
	r.OnStoreEra(s.observeEra)
	return s
}

// observeEra makes all collectors store again what a restored store lacks.
func (s *collectorSet) observeEra(uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.shards {
		c.ObserveEra()
	}
}

func (s *collectorSet) collector(shard uint32) *ledger.Collector {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.shards[shard]; ok {
		return c
	}
	c := ledger.NewCollector(ledger.CollectorConfig{
		Client:     s.router.ledgerStore,
		Clock:      s.router.Clock,
		Checker:    s.router.Checker,
		Shard:      shard,
		FlushSlots: s.flushSlots,
		HeardEra:   s.router.StoreEra,
		OnRestored: func(era uint64, lines int) {
			s.router.Metrics.GetOrCreateCounter("cactusknot_ledger_rewritten_charges_total").Add(lines)
			s.router.Log.Info().Uint32("shard", shard).Uint64("era", era).Int("lines", lines).Msg("stored charges again that the restored store lacked")
		},
	})
	s.shards[shard] = c
	go func() {
		_ = c.Run(s.ctx, func(err error) {
			s.router.Log.Debug().Err(err).Uint32("shard", shard).Msg("could not write to the ledger")
		})
	}()
	return c
}

// Deliver implements rpc.Ledger. It blocks until the lines are stored, except for a
// hand-over, which only queues them.
func (s *collectorSet) Deliver(ctx context.Context, in *rpc.DeliverRequest) (*rpc.DeliverResponse, error) {
	var lines []ledger.Line
	for _, m := range in.GetLines() {
		if line, ok := node.ChargeLineFromProto(m); ok {
			lines = append(lines, line)
		}
	}
	if in.GetHandOver() {
		return acknowledge(s.acceptHandOver(lines)), nil
	}
	s.router.ObserveStoreEra(in.GetStoreEra(), node.EraFromLedger)
	byShard := make(map[uint32][]ledger.Line)
	for _, line := range lines {
		shard := ledger.Shard(line.RequestID, node.LedgerShards)
		byShard[shard] = append(byShard[shard], line)
	}
	var stored []ledger.ID
	// The response has one era. The lowest one is right for the lines of all shards.
	era := uint64(math.MaxUint64)
	for shard, group := range byShard {
		out, err := s.collector(shard).Deliver(ctx, group)
		if ids := out.Acknowledged(); len(ids) > 0 {
			stored = append(stored, ids...)
			era = min(era, out.Era)
		}
		if err != nil && len(stored) == 0 {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	response := acknowledge(stored)
	if len(stored) > 0 {
		response.StoreEra = era
	}
	return response, nil
}

// acceptHandOver queues the lines of a process that is shutting down and returns
// the IDs of those it accepted. It accepts none when this router is shutting down
// itself.
func (s *collectorSet) acceptHandOver(lines []ledger.Line) []ledger.ID {
	var held []ledger.ID
	if s.router.Draining() {
		return nil
	}
	for _, line := range lines {
		if !s.router.charges.Reserve() {
			break
		}
		s.router.charges.Commit(line)
		held = append(held, line.ID())
	}
	return held
}

func acknowledge(ids []ledger.ID) *rpc.DeliverResponse {
	out := &rpc.DeliverResponse{}
	for _, id := range ids {
		out.Acknowledged = append(out.Acknowledged, &rpc.ChargeID{RequestId: id.RequestID[:], Step: id.Step})
	}
	return out
}
