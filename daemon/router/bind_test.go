package router

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// TestCallerMadeKey guards against two homes for one key that the caller generated,
// and against a dispatch before the store holds the key's binding.
func TestCallerMadeKey(t *testing.T) {
	for name, c := range map[string]struct {
		faults  kv.Faults
		want    int
		effects int64
	}{
		"store answers":       {kv.Faults{}, 0, 1},
		"store loses answers": {kv.Faults{LoseNextResponses: 1}, 0, 1},
		"store is down":       {kv.Faults{Outage: true}, result.KeyNeedsStore.Number, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, succeed, succeed, succeed)
			memory, _ := h.attachStore()
			memory.SetFaults(c.faults)
			key := uuid.Must(uuid.NewV7()).String()
			got := h.book(key)
			if got.number != c.want || h.effects() != c.effects {
				t.Fatalf("code %d, want %d; %d effects", got.number, c.want, h.effects())
			}
			if c.effects == 0 {
				suggested := got.header.Get(headerSuggestedKey)
				if got.run != string(result.Unknown) || h.calls() != 0 {
					t.Errorf("run %q, %d calls", got.run, h.calls())
				}
				if again := h.book(suggested); again.status != 200 || h.effects() != 1 {
					t.Errorf("suggested key %q: code %d, %d effects", suggested, again.number, h.effects())
				}
				return
			}
			var home *fakeAgent
			for _, a := range h.agents {
				if a.calls.Load() > 0 {
					home = a
				}
			}
			for range 10 {
				h.book(key)
			}
			if home.calls.Load() != 11 || h.calls() != 11 {
				t.Errorf("%d of %d calls came to the first home", home.calls.Load(), h.calls())
			}
			home.incarnation = 99
			h.publish()
			before := h.calls()
			if got := h.book(key); got.number != result.OutcomeUnknown.Number || h.calls() != before {
				t.Errorf("home replaced: code %d, %d more calls", got.number, h.calls()-before)
			}
		})
	}
}

// TestRefusalBeforeHome guards against a "not run" error for a key that has run. It
// could come about when the router refuses a repeated call without asking the key's
// home.
func TestRefusalBeforeHome(t *testing.T) {
	made := func(*harness) string { return uuid.Must(uuid.NewV7()).String() }
	generated := func(h *harness) string { return h.keyAt(1) }
	for name, c := range map[string]struct {
		key      func(*harness) string
		deadline string
		before   func(*harness, *kv.MemoryStore)
	}{
		"queue of charges is full": {generated, "1000", func(h *harness, _ *kv.MemoryStore) {
			for h.charges.Reserve() {
			}
		}},
		"deadline is too soon": {generated, "1", func(*harness, *kv.MemoryStore) {}},
		"store is down":        {made, "1000", func(_ *harness, m *kv.MemoryStore) { m.SetFaults(kv.Faults{Outage: true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, succeed)
			memory, _ := h.attachStore()
			key := c.key(h)
			if got := h.book(key); got.status != 200 || h.effects() != 1 {
				t.Fatalf("first: code %d, %d effects", got.number, h.effects())
			}
			c.before(h, memory)
			header := map[string]string{headerIdempotencyKey: key, headerDeadline: c.deadline}
			got := h.call("POST", "/v1/services/tickets/book", `{}`, header)
			if got.run == string(result.NotRun) {
				t.Errorf("code %d reports not run for a key that has run", got.number)
			}
		})
	}
}

// TestHomeOutsideSubset guards against an "unknown" error for a key whose home is
// alive but outside of this router's subset of agents, and against running the call
// at another agent.
func TestHomeOutsideSubset(t *testing.T) {
	for name, alive := range map[string]bool{"alive": true, "replaced": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, succeed)
			home := idempotency.NewIncarnation("far", rand.New(rand.NewPCG(1, 1)))
			remote := newFakeAgent(t, h.Settings.TLS, home, succeed)
			if !alive {
				remote.incarnation++
			}
			vms, err := emulate.StartVMs("127.0.0.1:0", emulate.VMsConfig{VMs: []platform.VM{
				{Name: "far", DataCentre: "dc1", Role: platform.VMAgent, Address: remote.address, State: platform.VMLive},
				{Name: "other", DataCentre: "dc1", Role: platform.VMAgent, Address: "127.0.0.1:1", State: platform.VMLive},
			}}, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(vms.Close)
			h.Settings.Platform.VMList = vms.URL()
			h.Directory = node.NewDirectory(h.Node)
			h.Directory.Refresh(t.Context())
			key, err := h.keys.New(home)
			if err != nil {
				t.Fatal(err)
			}
			got := h.book(key.String())
			if alive && (got.status != 200 || remote.effects.Load() != 1) {
				t.Errorf("code %d, %d effects at the home", got.number, remote.effects.Load())
			}
			if !alive && (got.number != result.OutcomeUnknown.Number || remote.effects.Load() != 0) {
				t.Errorf("code %d, %d effects at the new incarnation", got.number, remote.effects.Load())
			}
			if h.effects() != 0 {
				t.Error("another agent ran the call")
			}
		})
	}
}

// TestBookingAfterARestore guards against a second run of a booking whose binding a restore of the
// store has taken back: the router that bound the key must use its home again, and must write the
// binding again for the other routers.
func TestBookingAfterARestore(t *testing.T) {
	var mu sync.Mutex
	homes := make(map[string]map[*fakeAgent]bool)
	record := func(s *stream, in *rpc.ExecuteRequest) {
		mu.Lock()
		if homes[in.GetIdempotencyKey()] == nil {
			homes[in.GetIdempotencyKey()] = make(map[*fakeAgent]bool)
		}
		homes[in.GetIdempotencyKey()][s.agent] = true
		mu.Unlock()
		succeed(s, in)
	}
	h := newHarness(t, record, record, record)
	memory, _ := h.attachStore()
	backup := memory.Backup()
	keys := make([]string, 20)
	book := func(keys []string) {
		for _, key := range keys {
			h.book(key)
		}
	}
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}
	book(keys)
	memory.Restore(backup)
	book(keys[:10])
	go h.rewriteBindings(t.Context())
	h.ObserveStoreEra(1, node.EraFromPeer)
	for range 100 {
		if all, _ := memory.List(t.Context(), "once/"); len(all) == len(keys) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.bindings = newBindings(h.Clock) // as in another router, which knows only the store
	book(keys)
	for key, agents := range homes {
		if len(agents) != 1 {
			t.Errorf("key %s ran at %d agents", key, len(agents))
		}
	}
	if len(homes) != len(keys) {
		t.Errorf("%d of %d keys ran", len(homes), len(keys))
	}
}
