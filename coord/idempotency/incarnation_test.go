package idempotency

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// An incarnation must fit into a key, match its host and differ between two
// processes on that host.
func TestIncarnationMatchesItsHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.String().Draw(t, "name")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		first, second := NewIncarnation(host, random), NewIncarnation(host, random)
		if first == 0 || first > homeMask || !MatchesHost(first, host) {
			t.Fatalf("invalid incarnation %x of host %q", first, host)
		}
		if first == second {
			t.Fatalf("two processes on host %q have incarnation %x", host, first)
		}
		if MatchesHost(first^1<<runIDBits, host) {
			t.Fatal("an incarnation with a different host hash still matches")
		}
	})
}
