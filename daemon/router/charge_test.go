package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// TestChargeQueueFull guards against requests that run although they can't be
// billed: with a full charge queue they are refused before dispatch.
func TestChargeQueueFull(t *testing.T) {
	h := newHarness(t, succeed)
	for h.charges.Reserve() {
	}
	for what, got := range map[string]answer{"chat": h.chat(nil), "booking": h.book("")} {
		if got.number != result.LedgerFull.Number || got.run != string(result.NotRun) || h.calls() != 0 {
			t.Errorf("%s: code %d, %d calls", what, got.number, h.calls())
		}
	}
}

// TestReservationsAfterFailures guards against leaked reservations, which would fill
// the charge queue until all requests are refused, and against lost charges.
func TestReservationsAfterFailures(t *testing.T) {
	const requests = 150
	seed := rand.Uint64()
	random := rand.New(rand.NewPCG(seed, 1))
	behaviours := []behaviour{
		succeed, runAndCut, refuseWith(result.VersionWithdrawn), refuseWith(result.BadRequest),
		func(s *stream, in *rpc.ExecuteRequest) { s.admit(); s.chunk(0, "[]"); s.cut() },
		func(s *stream, in *rpc.ExecuteRequest) { s.end(in, 0, result.BackendError) },
		func(s *stream, in *rpc.ExecuteRequest) {
			s.admit()
			s.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_End{End: &rpc.End{
				RequestId: in.GetRequestId(), Charge: &rpc.ChargeLine{RequestId: []byte("short")},
			}}})
		},
	}
	var current atomic.Int64
	h := newHarness(t, func(s *stream, in *rpc.ExecuteRequest) { behaviours[current.Load()](s, in) })
	lines := 0
	for n := range requests {
		current.Store(int64(random.IntN(len(behaviours))))
		path := []string{"/v1/services/tickets/events", "/v1/services/tickets/missing"}[random.IntN(2)]
		if n%2 == 0 {
			h.chat(nil)
		} else {
			h.call("GET", path, "", nil)
		}
		if current.Load() == 0 && (n%2 == 0 || path == "/v1/services/tickets/events") {
			lines++
		}
		h.charges.Acknowledge(nil, 0)
		if held, reserved := h.charges.Len(); reserved != 0 || held != lines {
			t.Fatalf("seed %d, request %d, behaviour %d: %d lines and %d reservations, want %d and 0", seed, n, current.Load(), held, reserved, lines)
		}
		if lines == 90 {
			break
		}
	}
}

// attachStore connects the router to a new in-memory store and returns the store and
// a collector set that uses it.
func (h *harness) attachStore() (*kv.MemoryStore, *collectorSet) {
	memory := kv.NewMemoryStore(clock.System{}, rand.NewPCG(1, 1))
	h.Store = kv.NewClient(memory, kv.ClientConfig{Clock: clock.System{}, Random: rand.NewPCG(1, 2), CallsPerSecond: 1000, Burst: 1000})
	h.ledgerStore = h.Store
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	return memory, newCollectorSet(ctx, h.Router)
}

func deliver(t *testing.T, s *collectorSet, lines ...*rpc.ChargeLine) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	response, err := s.Deliver(ctx, &rpc.DeliverRequest{Lines: lines})
	if err != nil {
		t.Fatal(err)
	}
	return len(response.GetAcknowledged())
}

func wantLedger(t *testing.T, store kv.Store, lines uint64) {
	t.Helper()
	report, err := ledger.Audit(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	if got := report.Sums["aqua"].Lines; got != lines {
		t.Errorf("%d lines billed, want %d: %+v", got, lines, report)
	}
}

// TestLostEndIsBilledOnce guards against billing both attempts of a request when the
// End event of the first one is lost. The agent then delivers the charge of the
// first attempt and the router that of the second; both have the same ID.
func TestLostEndIsBilledOnce(t *testing.T) {
	var first atomic.Pointer[rpc.ChargeLine]
	h := newHarness(t, firstThen(func(s *stream, in *rpc.ExecuteRequest) {
		first.Store(&rpc.ChargeLine{RequestId: in.GetRequestId(), Attempt: in.GetAttempt(), Workspace: in.GetWorkspace(), AmountMicros: 1})
		s.run()
		s.admit()
		s.cut()
	}, succeed))
	if got := h.chat(nil); got.status != 200 || h.effects() != 2 {
		t.Fatalf("code %d, %d effects", got.number, h.effects())
	}
	lines := h.charges.Pending(0, 10)
	if len(lines) != 1 || lines[0].Attempt != 1 || first.Load().GetAttempt() != 0 {
		t.Fatalf("router's lines %+v, agent's %v", lines, first.Load())
	}
	memory, collectors := h.attachStore()
	if n := deliver(t, collectors, node.ChargeLineToProto(lines[0])); n != 1 {
		t.Errorf("%d acknowledged", n)
	}
	if n := deliver(t, collectors, first.Load()); n != 1 {
		t.Errorf("%d acknowledged", n)
	}
	wantLedger(t, memory, 1)
}

// TestReplayIsNotBilled guards against a charge for an answer that the agent replays
// from its records. Its End event carries no charge.
func TestReplayIsNotBilled(t *testing.T) {
	h := newHarness(t, func(s *stream, in *rpc.ExecuteRequest) {
		s.admit()
		s.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_End{End: &rpc.End{RequestId: in.GetRequestId()}}})
	})
	if got := h.book(h.keyAt(1)); got.status != 200 {
		t.Errorf("code %d", got.number)
	}
	h.wantCharges(0)
}

// TestDeliver guards against double billing of repeated lines, and against a
// malformed line that is acknowledged, stored or blocks the other lines.
func TestDeliver(t *testing.T) {
	h := newHarness(t)
	memory, collectors := h.attachStore()
	line := func(n, attempt byte) *rpc.ChargeLine {
		return &rpc.ChargeLine{RequestId: append(make([]byte, 15), n), Attempt: uint32(attempt), Workspace: "aqua", AmountMicros: 1}
	}
	malformed := []*rpc.ChargeLine{
		{RequestId: []byte("short"), Workspace: "aqua"},
		{RequestId: make([]byte, 16)},
		{RequestId: make([]byte, 16), Workspace: "aqua", CompletedMs: -1},
		{RequestId: make([]byte, 16), Workspace: fmt.Sprint(make([]int, ledger.MaxNameBytes))},
		nil,
	}
	if n := deliver(t, collectors, malformed...); n != 0 {
		t.Errorf("%d malformed lines acknowledged", n)
	}
	if n := deliver(t, collectors, append(malformed, line(1, 0), line(1, 0), line(1, 1), line(33, 0))...); n < 2 {
		t.Errorf("%d acknowledged", n)
	}
	if n := deliver(t, collectors, line(1, 0), line(2, 0)); n != 2 {
		t.Errorf("repeated: %d acknowledged", n)
	}
	wantLedger(t, memory, 3)
}

// TestDeliverDuringOutage guards against acknowledging lines that are not stored,
// and against a draining router that accepts a hand-over.
func TestDeliverDuringOutage(t *testing.T) {
	h := newHarness(t)
	memory, collectors := h.attachStore()
	memory.SetFaults(kv.Faults{Outage: true})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	request := &rpc.DeliverRequest{Lines: []*rpc.ChargeLine{{RequestId: make([]byte, 16), Workspace: "aqua"}}}
	response, err := collectors.Deliver(ctx, request)
	if err == nil || len(response.GetAcknowledged()) != 0 {
		t.Errorf("outage: %d acknowledged, error %v", len(response.GetAcknowledged()), err)
	}
	request.HandOver = true
	response, err = collectors.Deliver(ctx, request)
	if err != nil || len(response.GetAcknowledged()) != 1 {
		t.Errorf("hand-over: %d acknowledged, error %v", len(response.GetAcknowledged()), err)
	}
	h.SetDraining()
	response, err = collectors.Deliver(ctx, request)
	if err != nil || len(response.GetAcknowledged()) != 0 {
		t.Errorf("hand-over to a draining router: %d acknowledged, error %v", len(response.GetAcknowledged()), err)
	}
	h.wantCharges(1)
}

// TestCollectorsRestore guards against charges that stay lost until a holder delivers them again:
// a router that hears of a new era must store what its collectors have kept.
func TestCollectorsRestore(t *testing.T) {
	h := newHarness(t)
	memory, collectors := h.attachStore()
	backup := memory.Backup()
	for n := range byte(3) {
		deliver(t, collectors, &rpc.ChargeLine{
			RequestId: append(make([]byte, 15), n), Workspace: "aqua", AmountMicros: 1, CompletedMs: time.Now().UnixMilli(),
		})
	}
	memory.Restore(backup)
	wantLedger(t, memory, 0)
	h.ObserveStoreEra(1, node.EraFromPeer)
	for range 100 {
		if report, _ := ledger.Audit(context.Background(), memory); report.Sums["aqua"].Lines == 3 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	wantLedger(t, memory, 3)
}
