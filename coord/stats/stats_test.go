package stats

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func entries(t *rapid.T) []Entry[string] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry[string] {
		n := rapid.IntRange(1, 50).Draw(t, "count")
		good := rapid.IntRange(0, n).Draw(t, "good")
		return Entry[string]{
			Node: Node{
				Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			},
			Key:     rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"),
			Counter: Counter{Count: uint64(n), Sum: float64(good), SumSquares: float64(good)},
		}
	}), 0, 20).Draw(t, "entries")
}

func requireSameTotals(t *rapid.T, a, b *Table[string]) {
	for _, key := range []string{"x", "y"} {
		if a.Pooled(key) != b.Pooled(key) {
			t.Fatalf("key %s: %+v and %+v", key, a.Pooled(key), b.Pooled(key))
		}
	}
}

// The totals must not depend on the order or the repetition of messages.
func TestMergeCommutesAndIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(t)
		forward, other := NewTable[string](Node{"self", 1}), NewTable[string](Node{"self", 1})
		forward.Merge(list)
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		for _, e := range shuffled {
			other.Merge([]Entry[string]{e, e})
		}
		requireSameTotals(t, forward, other)
		all, _ := forward.Delta(0)
		if n, err := other.Merge(all); n != 0 || err != nil {
			t.Fatalf("repeating the merge changed %d rows, %v", n, err)
		}
	})
}

// A sequence of deltas must bring a peer to the same totals, and restarts must not add
// rows: there is one row per name and key.
func TestDeltasConvergeOverRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peer := NewTable[string](Node{"peer", 1})
		node := NewTable[string](Node{"node", 1})
		var sent uint64
		added := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				delta, next := node.Delta(sent)
				sent = next
				peer.Merge(delta)
			case 1:
				delta, _ := node.Delta(sent)
				peer.Merge(delta)
				// The incarnation decreases because the clock may be set back.
				node = NewTable[string](Node{"node", uint64(100 - i)})
				all, _ := peer.Delta(0)
				node.Merge(all)
				sent = 0
			default:
				if err := node.Add("x", 0.5); err != nil {
					t.Fatal(err)
				}
				added++
			}
		}
		delta, _ := node.Delta(0)
		peer.Merge(delta)
		requireSameTotals(t, node, peer)
		if got := peer.Pooled("x").Count; got != added {
			t.Fatalf("pooled %d of %d ratings", got, added)
		}
		if peer.Rows() > 1 {
			t.Fatalf("%d rows for one name and key", peer.Rows())
		}
	})
}

// Ratings must not be counted twice when the counter of an earlier incarnation arrives
// after the restarted node has counted ratings of its own.
func TestLateCounterOfEarlierIncarnationCountsOnce(t *testing.T) {
	node := NewTable[string](Node{"n", 2})
	if err := node.Add("k", 1); err != nil {
		t.Fatal(err)
	}
	old := []Entry[string]{{Node: Node{"n", 1}, Key: "k", Counter: Counter{10, 5, 5}}}
	node.Merge(old)
	node.Merge(old)
	if got := node.Pooled("k"); got != (Counter{11, 6, 6}) {
		t.Fatalf("got %+v", got)
	}
	_, err := node.Merge([]Entry[string]{{Node: Node{"p", 1}, Key: "k", Counter: Counter{1, math.NaN(), 0}}})
	if err != ErrInvalidEntry {
		t.Fatalf("Merge accepted a counter with a NaN sum: %v", err)
	}
}

// Each method must keep its error rate within the level over repeated evaluations, and
// must detect a clear drop.
func TestSequentialLevelAndPower(t *testing.T) {
	const runs, ratings = 400, 400 // the test is evaluated at every fourth rating
	for _, method := range []Method{EmpiricalBernstein, Betting, Hoeffding} {
		test := Sequential{Method: method, Level: 0.01}
		rng := rand.New(rand.NewPCG(1, 2))
		falseRejections, rejections := 0, 0
		for range runs {
			if rejects(test, rng, 0.8, ratings) {
				falseRejections++
			}
			if rejects(test, rng, 0.4, ratings) {
				rejections++
			}
		}
		// At level 0.01, at most 4 rejections are expected in 400 runs; 12 is four
		// standard errors above that.
		if falseRejections > 12 || rejections < runs*9/10 {
			t.Errorf("seed (1,2), %v: %d false rejections, %d rejections of %d", method, falseRejections, rejections, runs)
		}
	}
}

func rejects(test Sequential, rng *rand.Rand, candidateMean float64, ratings int) bool {
	var candidate, base Counter
	for i := range ratings {
		candidate, _ = candidate.Add(bernoulli(rng, candidateMean))
		base, _ = base.Add(bernoulli(rng, 0.8))
		if i%4 == 0 && test.Worse(candidate, base).Rejected {
			return true
		}
	}
	return false
}

func bernoulli(rng *rand.Rand, mean float64) float64 {
	if rng.Float64() < mean {
		return 1
	}
	return 0
}

// Callers skip a test whose bound is too low to reject, so the bound must not be below
// the evidence.
func TestWorseUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counter := func(name string) Counter {
			n := rapid.IntRange(0, 300).Draw(t, name)
			good := float64(rapid.IntRange(0, n).Draw(t, name+" good"))
			return Counter{Count: uint64(n), Sum: good, SumSquares: good}
		}
		candidate, base := counter("candidate"), counter("base")
		for _, method := range []Method{EmpiricalBernstein, Betting, Hoeffding} {
			s := Sequential{Method: method, Level: 0.01, Margin: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "margin")}
			evidence, bound := s.Worse(candidate, base).LogE, s.WorseUpperBound(candidate, base)
			if evidence > bound+1e-3 {
				t.Fatalf("%v: evidence %v above its bound %v", method, evidence, bound)
			}
		}
	})
}
