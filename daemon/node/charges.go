package node

import (
	"cmp"
	"context"
	"errors"
	"iter"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// LedgerShards is the number of shards of the ledger. It is a constant because a
// request must have the same shard for the life of the ledger.
const LedgerShards = 32

// deliverTimeout limits one delivery. It covers the sequential flushes of all shards
// on one router and the collector's batch interval.
const deliverTimeout = 15 * time.Second

// failOverAfter is the age of a line after which delivery fails over from a
// collector that responds but can't store the line, in case only that collector
// can't reach the store.
const failOverAfter = time.Minute

// ChargeLineToProto converts a charge line to its wire format.
func ChargeLineToProto(l ledger.Line) *rpc.ChargeLine {
	return &rpc.ChargeLine{
		RequestId:     l.RequestID[:],
		Step:          l.Step,
		Attempt:       l.Attempt,
		Workspace:     l.Workspace,
		Model:         l.Model,
		Version:       l.Version,
		TokensIn:      l.TokensIn,
		TokensOut:     l.TokensOut,
		AmountMicros:  l.AmountMicros,
		BundleVersion: l.BundleVersion,
		CompletedMs:   l.CompletedMS,
	}
}

// ChargeLineFromProto converts a charge line from its wire format. It returns false
// if the request ID has the wrong length or the line is invalid.
func ChargeLineFromProto(m *rpc.ChargeLine) (ledger.Line, bool) {
	var l ledger.Line
	if len(m.GetRequestId()) != len(l.RequestID) {
		return l, false
	}
	l = ledger.Line{
		RequestID:     [16]byte(m.GetRequestId()),
		Step:          m.GetStep(),
		Attempt:       m.GetAttempt(),
		Workspace:     m.GetWorkspace(),
		Model:         m.GetModel(),
		Version:       m.GetVersion(),
		TokensIn:      m.GetTokensIn(),
		TokensOut:     m.GetTokensOut(),
		AmountMicros:  m.GetAmountMicros(),
		BundleVersion: m.GetBundleVersion(),
		CompletedMS:   m.GetCompletedMs(),
	}
	return l, l.Validate() == nil
}

// Stops returns the stop notices as package routing uses them.
func Stops(k *distribute.Syncer) []routing.StopNotice {
	notices := k.Stops().All()
	out := make([]routing.StopNotice, 0, len(notices))
	for _, n := range notices {
		out = append(out, routing.StopNotice{Model: n.GetModel(), Version: n.GetVersion(), Generation: n.GetGeneration()})
	}
	return out
}

// DeliverPending delivers up to limit lines that are older than age to the collectors
// of their shards and removes the acknowledged ones. After an error the lines stay
// in the queue.
func (n *Node) DeliverPending(ctx context.Context, queue *ledger.Queue, age time.Duration, limit int) {
	byShard := make(map[uint32][]*rpc.ChargeLine)
	for _, line := range queue.Pending(age, limit) {
		shard := ledger.Shard(line.RequestID, LedgerShards)
		byShard[shard] = append(byShard[shard], ChargeLineToProto(line))
	}
	// Each delivery waits for a flush, so sequential deliveries would take one batch
	// interval per shard.
	var all sync.WaitGroup
	for shard, lines := range byShard {
		all.Go(func() {
			n.deliver(ctx, queue, n.collectors(shard), &rpc.DeliverRequest{Node: n.Settings.VM, Lines: lines, StoreEra: n.StoreEra()})
		})
	}
	all.Wait()
}

// HandOver sends up to limit lines to another router, which holds them for later
// delivery. It returns false while lines remain in the queue.
func (n *Node) HandOver(ctx context.Context, queue *ledger.Queue, limit int) bool {
	lines := queue.Pending(0, limit)
	if held, _ := queue.Len(); held == 0 {
		return true
	}
	request := &rpc.DeliverRequest{Node: n.Settings.VM, HandOver: true}
	for _, line := range lines {
		request.Lines = append(request.Lines, ChargeLineToProto(line))
	}
	if len(lines) > 0 {
		n.deliver(ctx, queue, n.otherRouters(), request)
	}
	held, _ := queue.Len()
	return held == 0
}

// maxHandOverFailures limits the attempts to hand over kept lines. Unlike unstored lines they do
// not delay the end of the last router of a fleet.
const maxHandOverFailures = 5

// HandOverKept hands over the lines that are stored but kept in case the store is restored from an
// older copy. It gives up after maxHandOverFailures attempts without progress.
func (n *Node) HandOverKept(ctx context.Context, queue *ledger.Queue, limit int, retry time.Duration) {
	left := queue.Requeue()
	for failures := 0; left > 0 && failures < maxHandOverFailures; {
		if n.HandOver(ctx, queue, limit) {
			return
		}
		held, _ := queue.Len()
		if held >= left {
			failures++
			if n.Clock.Sleep(ctx, retry) != nil {
				return
			}
		}
		left = held
	}
	if left > 0 {
		n.Log.Warn().Int("lines", left).Msg("no router took the stored charges that are kept for a restore of the store")
	}
}

// deliver tries the routers in order until one acknowledges a line. It does not fail
// over from a slow router: a second collector of the shard would have to load the
// log, and conflicts between the two would consume the store calls of both and make
// both slower.
func (n *Node) deliver(ctx context.Context, queue *ledger.Queue, routers []Process, request *rpc.DeliverRequest) {
	for _, p := range routers[:min(len(routers), maxDeliverAttempts)] {
		bounded, cancel := context.WithTimeout(ctx, deliverTimeout)
		response, err := n.ledger(p).Deliver(bounded, request)
		slow := bounded.Err() != nil
		cancel()
		if err != nil {
			n.Log.Debug().Err(err).Str("collector", p.VM).Msg("delivering charges failed")
			if slow || n.shouldWait(err, request) {
				return
			}
			continue
		}
		taken := chargeIDs(response.GetAcknowledged())
		if request.GetHandOver() {
			queue.Remove(taken)
		} else {
			n.ObserveStoreEra(response.GetStoreEra(), EraFromLedger)
			queue.Acknowledge(taken, response.GetStoreEra())
		}
		// A router that is also stopping accepts no lines; the next one may.
		if len(taken) > 0 {
			return
		}
	}
}

// shouldWait reports whether the lines stay with a collector that responded with a
// store error, instead of failing over to the next one.
func (n *Node) shouldWait(err error, request *rpc.DeliverRequest) bool {
	var answered twirp.Error
	if !errors.As(err, &answered) || answered.Code() != twirp.Unavailable {
		return false
	}
	limit := n.Clock.Now().Add(-failOverAfter).UnixMilli()
	return !slices.ContainsFunc(request.GetLines(), func(l *rpc.ChargeLine) bool { return l.GetCompletedMs() < limit })
}

func chargeIDs(list []*rpc.ChargeID) []ledger.ID {
	out := make([]ledger.ID, 0, len(list))
	for _, id := range list {
		if len(id.GetRequestId()) == 16 {
			out = append(out, ledger.ID{RequestID: [16]byte(id.GetRequestId()), Step: id.GetStep()})
		}
	}
	return out
}

// ledger returns a client of the ledger service of a router, which may be this
// process.
func (n *Node) ledger(p Process) rpc.Ledger {
	if p.VM == n.Settings.VM {
		return n.LocalLedger
	}
	return rpc.NewLedgerProtobufClient("https://"+p.Address, n.RPC)
}

// maxDeliverAttempts limits the routers that one delivery tries.
const maxDeliverAttempts = 3

// collectors returns the preferred routers for a shard, in the order of their
// rendezvous hash. All processes prefer the same router, so that it stores most lines
// of the shard in few segments; delivery to another one is equally safe. It selects
// the best few without sorting all routers, which took 0.5 ms with 350 routers.
func (n *Node) collectors(shard uint32) []Process {
	type candidate struct {
		process *Process
		score   uint64
	}
	prefix := strconv.Itoa(int(shard)) + "\x00"
	best := make([]candidate, 0, maxDeliverAttempts+1)
	for p := range n.routers() {
		best = append(best, candidate{p, xxhash.Sum64String(prefix + p.VM)})
		slices.SortStableFunc(best, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		best = best[:min(len(best), maxDeliverAttempts)]
	}
	out := make([]Process, 0, maxDeliverAttempts)
	for _, c := range best {
		out = append(out, *c.process)
	}
	return out
}

// routers iterates over the routers that are not leaving. It includes this process
// if it serves the ledger.
func (n *Node) routers() iter.Seq[*Process] {
	return func(yield func(*Process) bool) {
		all := n.Directory.Processes().All
		for i := range all {
			p := &all[i]
			mine := p.VM == n.Settings.VM
			if p.Role == auth.RoleRouter && !p.Leaving && (!mine || n.LocalLedger != nil) && !yield(p) {
				return
			}
		}
	}
}

// otherRouters returns the routers other than this process in random order. With a
// fixed order, routers that stop at the same time would all ask each other first.
func (n *Node) otherRouters() []Process {
	var others []Process
	for p := range n.routers() {
		if p.VM != n.Settings.VM {
			others = append(others, *p)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}
