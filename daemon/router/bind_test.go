package router

import (
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/result"
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
			g := newHarness(t, succeed, succeed, succeed)
			memory, _ := g.attachStore()
			memory.SetFaults(c.faults)
			key := uuid.Must(uuid.NewV7()).String()
			got := g.book(key)
			if got.number != c.want || g.effects() != c.effects {
				t.Fatalf("code %d, want %d; %d effects", got.number, c.want, g.effects())
			}
			if c.effects == 0 {
				suggested := got.header.Get(headerSuggestedKey)
				if got.run != string(result.Unknown) || g.calls() != 0 {
					t.Errorf("run %q, %d calls", got.run, g.calls())
				}
				if again := g.book(suggested); again.status != 200 || g.effects() != 1 {
					t.Errorf("suggested key %q: code %d, %d effects", suggested, again.number, g.effects())
				}
				return
			}
			var home *fakeAgent
			for _, a := range g.agents {
				if a.calls.Load() > 0 {
					home = a
				}
			}
			for range 10 {
				g.book(key)
			}
			if home.calls.Load() != 11 || g.calls() != 11 {
				t.Errorf("%d of %d calls came to the first home", home.calls.Load(), g.calls())
			}
			home.incarnation = 99
			g.publish()
			before := g.calls()
			if got := g.book(key); got.number != result.OutcomeUnknown.Number || g.calls() != before {
				t.Errorf("home replaced: code %d, %d more calls", got.number, g.calls()-before)
			}
		})
	}
}

// TestRefusalBeforeHome guards against a "not run" error for a key that has run. It
// could come about when the router refuses a repeated call without asking the key's
// home.
func TestRefusalBeforeHome(t *testing.T) {
	made := func(*harness) string { return uuid.Must(uuid.NewV7()).String() }
	generated := func(g *harness) string { return g.keyAt(1) }
	for name, c := range map[string]struct {
		key      func(*harness) string
		deadline string
		before   func(*harness, *kv.MemoryStore)
	}{
		"queue of charges is full": {generated, "1000", func(g *harness, _ *kv.MemoryStore) {
			for g.charges.Reserve() {
			}
		}},
		"deadline is too soon": {generated, "1", func(*harness, *kv.MemoryStore) {}},
		"store is down":        {made, "1000", func(_ *harness, m *kv.MemoryStore) { m.SetFaults(kv.Faults{Outage: true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, succeed)
			memory, _ := g.attachStore()
			key := c.key(g)
			if got := g.book(key); got.status != 200 || g.effects() != 1 {
				t.Fatalf("first: code %d, %d effects", got.number, g.effects())
			}
			c.before(g, memory)
			header := map[string]string{headerIdempotencyKey: key, headerDeadline: c.deadline}
			got := g.call("POST", "/v1/services/tickets/book", `{}`, header)
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
			g := newHarness(t, succeed)
			home := idempotency.NewIncarnation("far", rand.New(rand.NewPCG(1, 1)))
			far := newFakeAgent(t, g.Settings.TLS, home, succeed)
			if !alive {
				far.incarnation++
			}
			vms, err := emulate.StartVMs("127.0.0.1:0", emulate.VMsConfig{VMs: []platform.VM{
				{Name: "far", DataCentre: "dc1", Role: platform.VMAgent, Address: far.address, State: platform.VMLive},
				{Name: "other", DataCentre: "dc1", Role: platform.VMAgent, Address: "127.0.0.1:1", State: platform.VMLive},
			}}, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(vms.Close)
			g.Settings.Platform.VMList = vms.URL()
			g.Directory = node.NewDirectory(g.Node)
			g.Directory.Refresh(t.Context())
			key, err := g.keys.New(home)
			if err != nil {
				t.Fatal(err)
			}
			got := g.book(key.String())
			if alive && (got.status != 200 || far.effects.Load() != 1) {
				t.Errorf("code %d, %d effects at the home", got.number, far.effects.Load())
			}
			if !alive && (got.number != result.OutcomeUnknown.Number || far.effects.Load() != 0) {
				t.Errorf("code %d, %d effects at the new incarnation", got.number, far.effects.Load())
			}
			if g.effects() != 0 {
				t.Error("another agent ran the call")
			}
		})
	}
}
