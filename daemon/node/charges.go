package node

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/secure"
)

// LedgerShards is the number of shards of the ledger. It is a constant because a
// request must have the same shard for the life of the ledger.
const LedgerShards = 32

// deliverTimeout bounds one delivery; it covers a flush of the collector.
const deliverTimeout = 5 * time.Second

// LineToMessage converts a charge line for the wire.
func LineToMessage(l ledger.Line) *rpc.ChargeLine {
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

// LineFromMessage converts a charge line from the wire. It returns false when
// the request id has the wrong length.
func LineFromMessage(m *rpc.ChargeLine) (ledger.Line, bool) {
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

// Stops returns the stop notices in the form that decisions use.
func Stops(k *distribute.Keeper) []routing.Stop {
	notices := k.Stops().All()
	out := make([]routing.Stop, 0, len(notices))
	for _, n := range notices {
		out = append(out, routing.Stop{Model: n.GetModel(), Version: n.GetVersion(), Generation: n.GetGeneration()})
	}
	return out
}

// DeliverPending delivers up to limit lines that are older than age to the
// collectors of their shards and removes what is acknowledged. Errors leave the
// lines in the queue.
func (n *Node) DeliverPending(ctx context.Context, queue *ledger.Queue, age time.Duration, limit int) {
	byShard := make(map[uint32][]*rpc.ChargeLine)
	for _, line := range queue.Pending(age, limit) {
		shard := ledger.Shard(line.RequestID, LedgerShards)
		byShard[shard] = append(byShard[shard], LineToMessage(line))
	}
	for shard, lines := range byShard {
		n.deliver(ctx, queue, n.collectors(shard), &rpc.DeliverRequest{Node: n.Settings.VM, Lines: lines})
	}
}

// HandOver gives all lines to another router, which holds them for later
// delivery. It returns false while lines remain.
func (n *Node) HandOver(ctx context.Context, queue *ledger.Queue, limit int) bool {
	lines := queue.Pending(0, limit)
	request := &rpc.DeliverRequest{Node: n.Settings.VM, HandOver: true}
	for _, line := range lines {
		request.Lines = append(request.Lines, LineToMessage(line))
	}
	if len(lines) > 0 {
		n.deliver(ctx, queue, n.otherRouters(), request)
	}
	held, _ := queue.Len()
	return held == 0
}

// deliver tries the routers in order until one acknowledges lines. One that is
// stopping answers without any.
func (n *Node) deliver(ctx context.Context, queue *ledger.Queue, routers []Process, request *rpc.DeliverRequest) {
	const tries = 3
	for _, p := range routers[:min(len(routers), tries)] {
		bounded, cancel := context.WithTimeout(ctx, deliverTimeout)
		response, err := n.ledger(p).Deliver(bounded, request)
		cancel()
		if err != nil {
			n.Log.Debug().Err(err).Str("collector", p.VM).Msg("charges not delivered")
			continue
		}
		acknowledged := identities(response.GetAcknowledged())
		queue.Acknowledge(acknowledged)
		if len(acknowledged) > 0 {
			return
		}
	}
}

func identities(list []*rpc.ChargeID) []ledger.ID {
	out := make([]ledger.ID, 0, len(list))
	for _, id := range list {
		if len(id.GetRequestId()) == 16 {
			out = append(out, ledger.ID{RequestID: [16]byte(id.GetRequestId()), Step: id.GetStep()})
		}
	}
	return out
}

// ledger returns the ledger service of a router, which may be this process.
func (n *Node) ledger(p Process) rpc.Ledger {
	if p.VM == n.Settings.VM {
		return n.LocalLedger
	}
	return rpc.NewLedgerProtobufClient("https://"+p.Address, n.Client)
}

// collectors returns the routers in order of preference for a shard, by
// rendezvous hash. All processes prefer the same one, so that it stores most
// lines of the shard in few segments; another one is as safe.
func (n *Node) collectors(shard uint32) []Process {
	var routers []Process
	for _, p := range n.Directory.Processes().All {
		mine := p.VM == n.Settings.VM
		if p.Role == secure.RoleRouter && !p.Leaving && (!mine || n.LocalLedger != nil) {
			routers = append(routers, p)
		}
	}
	score := func(p Process) uint64 { return xxhash.Sum64String(strconv.Itoa(int(shard)) + "\x00" + p.VM) }
	slices.SortFunc(routers, func(a, b Process) int {
		return cmp.Compare(score(b), score(a))
	})
	return routers
}

// otherRouters returns the routers other than this process, in no fixed order.
func (n *Node) otherRouters() []Process {
	return slices.DeleteFunc(n.collectors(0), func(p Process) bool { return p.VM == n.Settings.VM })
}
