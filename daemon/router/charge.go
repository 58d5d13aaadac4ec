package router

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/rpc"
)

const (
	// deliverInterval is the pause between two deliveries of charges.
	deliverInterval = time.Second
	// redeliverAfter is when an unacknowledged charge is delivered again.
	redeliverAfter = 3 * time.Second
	// handOverInterval is the pause between two tries of a planned stop.
	handOverInterval = 200 * time.Millisecond
	maxDeliverLines  = 2000
)

// commitCharge keeps the charge of a finished step until it is stored. The
// reservation was made before dispatch.
func (r *Router) commitCharge(m *rpc.ChargeLine) {
	line, ok := node.LineFromMessage(m)
	if !ok {
		r.Log.Error().Hex("request", m.GetRequestId()).Msg("agent sent a charge that is not valid")
		r.charges.Release()
		return
	}
	r.charges.Commit(line)
}

// deliverCharges hands charges to the collectors until ctx ends.
func (r *Router) deliverCharges(ctx context.Context) {
	random := node.NewRand()
	for {
		r.DeliverPending(ctx, r.charges, redeliverAfter, maxDeliverLines)
		if r.Clock.Sleep(ctx, node.Jitter(random, deliverInterval)) != nil {
			return
		}
	}
}

// handOverCharges blocks until every charge is stored or held by another router.
// It asks other routers first: while the store is down, a delivery waits for its
// time-out in each shard.
func (r *Router) handOverCharges(ctx context.Context) {
	for {
		if r.HandOver(ctx, r.charges, maxDeliverLines) {
			return
		}
		r.DeliverPending(ctx, r.charges, 0, maxDeliverLines)
		if r.Clock.Sleep(ctx, handOverInterval) != nil {
			return
		}
	}
}

// collectorSet runs a collector for each shard that gets lines here.
type collectorSet struct {
	router *Router
	ctx    context.Context

	// flushes lets one shard flush at a time.
	flushes chan struct{}

	mu     sync.Mutex
	shards map[uint32]*ledger.Collector
}

func newCollectorSet(ctx context.Context, r *Router) *collectorSet {
	return &collectorSet{router: r, ctx: ctx, flushes: make(chan struct{}, 1), shards: make(map[uint32]*ledger.Collector)}
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
		Checker:    s.router.Check,
		Shard:      shard,
		FlushSlots: s.flushes,
	})
	s.shards[shard] = c
	go func() {
		_ = c.Run(s.ctx, func(err error) { s.router.Log.Debug().Err(err).Uint32("shard", shard).Msg("ledger not written") })
	}()
	return c
}

// Deliver implements rpc.Ledger. It blocks until the lines are stored.
func (s *collectorSet) Deliver(ctx context.Context, in *rpc.DeliverRequest) (*rpc.DeliverResponse, error) {
	var lines []ledger.Line
	for _, m := range in.GetLines() {
		if line, ok := node.LineFromMessage(m); ok {
			lines = append(lines, line)
		}
	}
	if in.GetHandOver() {
		return acknowledge(s.take(lines)), nil
	}
	byShard := make(map[uint32][]ledger.Line)
	for _, line := range lines {
		shard := ledger.Shard(line.RequestID, node.LedgerShards)
		byShard[shard] = append(byShard[shard], line)
	}
	var stored []ledger.ID
	for shard, group := range byShard {
		out, err := s.collector(shard).Deliver(ctx, group)
		stored = append(stored, out.Acknowledged()...)
		if err != nil && len(stored) == 0 {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	return acknowledge(stored), nil
}

// take holds the lines of a process that is stopping.
func (s *collectorSet) take(lines []ledger.Line) []ledger.ID {
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
