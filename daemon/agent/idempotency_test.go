package agent

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// newServiceHarness returns an agent of a plain service that responds once it is
// unblocked.
func newServiceHarness(t *testing.T, change func(*config.Agent)) (*harness, *faultyServer) {
	server := newFaultyServer(t, succeed)
	return newHarness(t, config.BackendService, server.url, change), server
}

// want executes a request and checks its code (0: done) and the effects so far.
func (r *harness) want(what string, in *rpc.ExecuteRequest, code result.Code, server *faultyServer, effects int64) answer {
	r.t.Helper()
	got := r.execute(context.Background(), in)
	if got.code != code {
		r.t.Errorf("%s: code %q, want %q", what, got.code.Name, code.Name)
	}
	if n := server.effects.Load(); n != effects {
		r.t.Errorf("%s: %d effects, want %d", what, n, effects)
	}
	return got
}

var done result.Code

// start begins a booking whose router disconnects as soon as the backend server has
// received it.
func (r *harness) start(in *rpc.ExecuteRequest, server *faultyServer) {
	r.t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-server.reached
		leave()
	}()
	if got := r.execute(ctx, in); got.code != result.OutcomeUnknown {
		r.t.Errorf("router left: code %s, want unknown", got.code.Name)
	}
}

// sameCharge reports whether charge belongs to the run with the given request ID.
func sameCharge(charge *rpc.ChargeLine, id byte) bool {
	return bytes.Equal(charge.GetRequestId(), requestID(id)) && charge.GetAttempt() == 0 && charge.GetAmountMicros() == 700
}

// TestRunsOnce guards against a second run of a key while the first one runs, after
// its router disconnected and after it has ended. It also guards against a second
// charge: a replay carries the charge of the first run.
func TestRunsOnce(t *testing.T) {
	r, server := newServiceHarness(t, nil)
	in := r.booking(r.key())
	r.start(in, server)

	joined := make(chan answer)
	go func() { joined <- r.execute(context.Background(), in) }()
	impatient := r.booking(in.GetIdempotencyKey())
	impatient.DeadlineMs = 20
	r.want("joins until its deadline", impatient, result.OutcomeUnknown, server, 1)
	other := r.booking(in.GetIdempotencyKey())
	other.Body = []byte(`{"seats":3}`)
	r.want("other body while running", other, result.KeyReused, server, 1)

	server.unblock()
	if got := <-joined; got.code != done || got.body != "done" || !sameCharge(got.charge, 1) {
		t.Errorf("joined: code %q, body %q, charge %v", got.code.Name, got.body, got.charge)
	}
	r.awaitDetached()
	again := r.booking(in.GetIdempotencyKey())
	again.RequestId, again.Attempt = requestID(9), 3
	if got := r.want("replay", again, done, server, 1); got.body != "done" || got.status != 200 || !sameCharge(got.charge, 1) {
		t.Errorf("replay: status %d, body %q, charge %v", got.status, got.body, got.charge)
	}
	r.want("other body afterwards", other, result.KeyReused, server, 1)
	r.wantSettled(1)
}

// TestReplayWhileRefusing guards against reporting "not run" for a call
// that has run: the recorded response is replayed while the agent refuses new
// requests.
func TestReplayWhileRefusing(t *testing.T) {
	for name, change := range map[string]func(*harness){
		"stopping": func(r *harness) { r.stopping.Store(true); r.publish() },
		"isolated": func(r *harness) { r.clock.Advance(time.Hour) },
		"behind":   func(r *harness) { r.Syncer.ObserveVersion(9, "r1") },
		"down":     func(r *harness) { r.admission.SetDown(true) },
		"ledger full": func(r *harness) {
			for r.charges.Reserve() {
			}
		},
		"not allowed any more": func(r *harness) {
			b := testBundle()
			b.Workspaces[0].Allowed = nil
			r.activateBundle(2, b)
			r.publish()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, server := newServiceHarness(t, nil)
			server.unblock()
			in, fresh := r.booking(r.key()), r.booking(r.key())
			r.want("first", in, done, server, 1)
			change(r)
			r.want("replay", in, done, server, 1)
			got := r.execute(context.Background(), fresh)
			if got.code.Run != result.NotRun || server.effects.Load() != 1 {
				t.Errorf("new key: code %q, %d effects", got.code.Name, server.effects.Load())
			}
		})
	}
}

// TestKeysOfOtherAgents guards against running a key on an agent that does not own it.
func TestKeysOfOtherAgents(t *testing.T) {
	r, server := newServiceHarness(t, nil)
	server.unblock()
	first := r.booking(r.key())
	r.want("first", first, done, server, 1)

	restarted := newHarness(t, config.BackendService, server.url, nil)
	restarted.want("home named by the router is gone", first, result.WrongHome, server, 1)
	misled := restarted.booking(first.GetIdempotencyKey())
	restarted.want("key names the previous incarnation", misled, result.OutcomeUnknown, server, 1)
	restarted.want("no key", restarted.booking("x"), result.BadIdempotency, server, 1)
	restarted.wantSettled(0)
}

// TestKeysAndClocks guards against a second run, or a false "not run", when the time
// in a key differs from the agent's clock.
func TestKeysAndClocks(t *testing.T) {
	for _, step := range []time.Duration{-3 * time.Minute, 3 * time.Minute} {
		t.Run(fmt.Sprint("clock steps by ", step), func(t *testing.T) {
			r, server := newServiceHarness(t, nil)
			server.unblock()
			in := r.booking(r.key())
			r.want("first", in, done, server, 1)
			r.clock.Advance(step)
			r.want("replay", in, done, server, 1)
			r.want("new key", r.booking(r.key()), done, server, 2)
			r.wantSettled(1)
		})
	}
	t.Run("key of the future", func(t *testing.T) {
		r, server := newServiceHarness(t, nil)
		r.clock.Advance(2 * time.Hour)
		future := r.key()
		r.clock.Advance(-2 * time.Hour)
		r.want("future", r.booking(future), result.BadIdempotency, server, 0)
		r.wantSettled(0)
	})
	t.Run("evicted", func(t *testing.T) {
		r, server := newServiceHarness(t, func(s *config.Agent) { s.Records = 1 })
		server.unblock()
		old := r.booking(r.key())
		r.want("first", old, done, server, 1)
		r.clock.Advance(time.Second)
		r.want("second", r.booking(r.key()), done, server, 2)
		r.want("evicted", old, result.OutcomeUnknown, server, 2)
		r.clock.Advance(-time.Minute)
		r.want("new key below the floor", r.booking(r.key()), result.OutcomeUnknown, server, 2)
		r.wantSettled(1)
	})
}

// TestRecordsFull guards against running a call when no record can be created.
func TestRecordsFull(t *testing.T) {
	r, server := newServiceHarness(t, func(s *config.Agent) { s.Records = 1 })
	in := r.booking(r.key())
	r.start(in, server)
	r.clock.Advance(time.Second)
	r.want("no room", r.booking(r.key()), result.RecordsFull, server, 1)
	server.unblock()
	r.wantSettled(1)
}

// TestRefusedKeyRunsLater guards against a key that can't be used after a refusal:
// a key that was refused as "not run" may run later.
func TestRefusedKeyRunsLater(t *testing.T) {
	r, server := newServiceHarness(t, nil)
	server.unblock()
	in := r.booking(r.key())
	r.admission.SetLeaving(true)
	r.want("leaving", in, result.AgentLeaving, server, 0)
	r.admission.SetLeaving(false)
	r.want("later", in, done, server, 1)
	r.wantSettled(1)
}

// TestChargePerFinishedStep guards against lost, duplicate and unreserved charges
// in a random mix of outcomes.
func TestChargePerFinishedStep(t *testing.T) {
	const requests = 200
	seed := rand.Uint64()
	random := rand.New(rand.NewPCG(seed, 1))
	server := newHealthyServer(t)
	r := newHarness(t, config.BackendService, server.url, func(s *config.Agent) { s.LedgerLines = 3 * requests })
	working, dead := r.backend, newService(config.Backend{URL: closedAddress(t)}, r.observeResponse)
	want := make(map[ledger.ID]bool)
	for n := range requests {
		r.backend = working
		if random.IntN(4) == 0 {
			r.backend = dead
		}
		in := r.reading()
		if random.IntN(2) == 0 {
			in = r.booking(r.key())
		}
		in.RequestId = append(make([]byte, 14), byte(n>>8), byte(n))
		in.Step = uint32(random.IntN(2))
		if random.IntN(8) == 0 {
			in.Workspace = "other"
		}
		for range 1 + random.IntN(2) {
			if got := r.execute(context.Background(), in); got.code == done {
				want[ledger.ID{RequestID: [16]byte(in.GetRequestId()), Step: in.GetStep()}] = true
			}
		}
	}
	r.wantSettled(len(want))
	for _, line := range r.charges.Pending(0, requests) {
		if !want[line.ID()] || line.AmountMicros == 0 || line.Workspace != "aqua" {
			t.Errorf("seed %d: charge %+v", seed, line)
		}
	}
}

// TestLedgerFull guards against running requests that can't be billed: with a full
// queue they are refused before dispatch.
func TestLedgerFull(t *testing.T) {
	r, server := newServiceHarness(t, func(s *config.Agent) { s.LedgerLines = 1 })
	server.unblock()
	r.want("fills the queue", r.reading(), done, server, 1)
	r.want("reading", r.reading(), result.LedgerFull, server, 1)
	key := r.booking(r.key())
	r.want("booking", key, result.LedgerFull, server, 1)
	r.charges.Acknowledge([]ledger.ID{r.charges.Pending(0, 1)[0].ID()}, 0)
	r.want("booking with room", key, done, server, 2)
	r.wantSettled(1)
}

// TestErrorResponsesNotBilled guards against billing an error response of the service.
func TestErrorResponsesNotBilled(t *testing.T) {
	server := newFaultyServer(t, fail("HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nfull"))
	r := newHarness(t, config.BackendService, server.url, nil)
	got := r.execute(context.Background(), r.booking(r.key()))
	if got.code != done || got.status != 409 || got.charge != nil {
		t.Errorf("code %q, status %d, charge %v", got.code.Name, got.status, got.charge)
	}
	r.wantSettled(0)
}
