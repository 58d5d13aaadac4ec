package router

import (
	"testing"

	"github.com/google/uuid"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/result"
)

// TestCallerMadeKey guards against two homes of one caller-made key, and against a
// dispatch before its binding is stored.
func TestCallerMadeKey(t *testing.T) {
	for name, c := range map[string]struct {
		faults  kv.Faults
		want    int
		effects int64
	}{
		"store answers":       {kv.Faults{}, 0, 1},
		"store loses answers": {kv.Faults{LoseNext: 1}, 0, 1},
		"store is down":       {kv.Faults{Outage: true}, result.KeyNeedsStore.Number, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, work, work, work)
			memory, _ := g.stored()
			memory.SetFaults(c.faults)
			key := uuid.Must(uuid.NewV7()).String()
			got := g.book(key)
			if got.number != c.want || g.effects() != c.effects {
				t.Fatalf("code %d, want %d; %d effects", got.number, c.want, g.effects())
			}
			if c.effects == 0 {
				suggested := got.header.Get(headerSuggestedKey)
				if got.run != string(result.NotRun) || g.calls() != 0 {
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
