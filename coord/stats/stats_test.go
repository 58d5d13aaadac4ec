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

func sameTotals(t *rapid.T, a, b *Table[string]) {
	for _, key := range []string{"x", "y"} {
		if a.Pooled(key) != b.Pooled(key) {
			t.Fatalf("key %s: %+v and %+v", key, a.Pooled(key), b.Pooled(key))
		}
	}
}

// Guards against totals that depend on the order or repetition of messages.
func TestMergeCommutesAndIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(t)
		forward, other := NewTable[string](Node{"self", 1}), NewTable[string](Node{"self", 1})
		forward.Merge(list)
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		for _, e := range shuffled {
			other.Merge([]Entry[string]{e, e})
		}
		sameTotals(t, forward, other)
		all, _ := forward.Delta(0)
		if n, err := other.Merge(all); n != 0 || err != nil {
			t.Fatalf("a second merge changed %d rows, %v", n, err)
		}
	})
}

// Guards against changes that never travel, and against state that grows with
// each restart: a chain of deltas brings a peer to the same totals, and each
// (name, key) has one row.
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
				// The incarnation may go back: a clock can be stepped.
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
		sameTotals(t, node, peer)
		if got := peer.Pooled("x").Count; got != added {
			t.Fatalf("pooled %d of %d ratings", got, added)
		}
		if peer.Rows() > 1 {
			t.Fatalf("%d rows for one name and key", peer.Rows())
		}
	})
}

// Guards against evidence counted twice when an earlier incarnation's counter
// arrives after the restarted node has counted ratings of its own.
func TestLateCounterOfEarlierRunCountsOnce(t *testing.T) {
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
		t.Fatalf("a counter that is not a number was taken: %v", err)
	}
}

// Guards against a mean error rate above the level: the empirical mean of each
// e-value under its null hypothesis must not exceed 1 by more than the noise,
// and a clear drop must fire.
func TestSequentialLevelAndPower(t *testing.T) {
	const runs, ratings = 400, 400 // looks at every fourth rating
	for _, method := range []Method{EmpiricalBernstein, Betting, Hoeffding} {
		test := Sequential{Method: method, Level: 0.01}
		rng := rand.New(rand.NewPCG(1, 2))
		falseStops, stops := 0, 0
		for range runs {
			if fires(test, rng, 0.8, ratings) {
				falseStops++
			}
			if fires(test, rng, 0.4, ratings) {
				stops++
			}
		}
		// Level 0.01 over 400 runs: 4 expected at most; 12 is four standard errors above.
		if falseStops > 12 || stops < runs*9/10 {
			t.Errorf("seed (1,2), %v: %d false stops, %d stops of %d", method, falseStops, stops, runs)
		}
	}
}

func fires(test Sequential, rng *rand.Rand, candidateMean float64, ratings int) bool {
	var candidate, base Counter
	for i := range ratings {
		candidate, _ = candidate.Add(draw(rng, candidateMean))
		base, _ = base.Add(draw(rng, 0.8))
		if i%4 == 0 && test.Worse(candidate, base).Rejected {
			return true
		}
	}
	return false
}

func draw(rng *rand.Rand, mean float64) float64 {
	if rng.Float64() < mean {
		return 1
	}
	return 0
}

// Guards against a test that is left out although it would fire: the bound must
// not be below the evidence.
func TestWorseBound(t *testing.T) {
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
