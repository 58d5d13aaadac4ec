package idempotency

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an incarnation that a key can't hold, or whose host is not found.
func TestIncarnationFitsItsName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.String().Draw(t, "name")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		first, second := NewIncarnation(name, random), NewIncarnation(name, random)
		if first == 0 || first > homeMask || !MatchesHost(first, name) {
			t.Fatalf("incarnation %x of %q", first, name)
		}
		if first == second {
			t.Fatalf("two runs of %q have incarnation %x", name, first)
		}
		if MatchesHost(first^1<<randomPart, name) {
			t.Fatal("a changed name part still fits")
		}
	})
}
