package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func members(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{
			Name: fmt.Sprintf("edge-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: fmt.Sprintf("dc%d", i%5),
			Cores: []float64{0.144, 0.304, 0.8}[i%3],
		})
	}
	return list
}

// Routers that hear of members in different orders must agree on the readers, and the
// smallest VMs must not be burdened with the work of others.
func TestReadersAreTheSameForAll(t *testing.T) {
	list := members(103)
	want := Readers(list, "dc1", 2)
	if len(want) != 2 || want[0].Cores != 0.8 || want[1].Cores != 0.8 || want[0].DataCentre != "dc1" {
		t.Fatalf("readers %v", want)
	}
	for range 20 {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		if got := Readers(list, "dc1", 2); !slices.Equal(got, want) {
			t.Errorf("readers %v, want %v", got, want)
		}
	}
	// A member that leaves replaces only itself.
	rest := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Name == want[0].Name })
	if got := Readers(rest, "dc1", 2); got[0] != want[1] {
		t.Errorf("after a reader left: %v, want %v first", got, want[1])
	}
}

// In a data centre of no more routers than readers, each reads the store itself.
func TestSmallDataCentreReadsTheStore(t *testing.T) {
	list := members(10)
	for _, m := range list {
		s := Selector{Self: m.Name, Jitter: func() float64 { return 0 }}
		if r, ok := s.Next(time.Unix(0, 0), Readers(list, m.DataCentre, 2)); ok {
			t.Errorf("%s polls %s", m.Name, r.Name)
		}
	}
}

// A sick reader is left for the other one, then for the store, and tried again later and
// less often; routers that lost it together come back spread over time.
func TestSickReaderIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	readers := []Member{{Name: "a"}, {Name: "b"}}
	s := Selector{Self: "x", Jitter: func() float64 { return 0 }}
	first, _ := s.Next(now, readers)
	s.Failed(now, first.Name)
	second, ok := s.Next(now, readers)
	if !ok || second == first {
		t.Fatalf("after the first failure: %v %v", second, ok)
	}
	s.Failed(now, second.Name)
	if r, ok := s.Next(now, readers); ok {
		t.Fatalf("after both failures: %v instead of the store", r)
	}
	if r, ok := s.Next(now.Add(firstAvoidance), readers); !ok || r != first {
		t.Errorf("after the avoidance: %v %v, want %v", r, ok, first)
	}
	s.Failed(now, first.Name)
	if _, ok := s.Next(now.Add(firstAvoidance), readers[:1]); ok && first == readers[0] {
		t.Error("a reader that failed twice is back as soon as after one failure")
	}
	s.Succeeded(first.Name)
	if r, ok := s.Next(now, readers); !ok || r != first {
		t.Errorf("after a success: %v %v", r, ok)
	}
	returned := make(map[time.Duration]int)
	for i := range 200 {
		s := Selector{Self: fmt.Sprint(i), Jitter: rand.Float64}
		s.Failed(now, "a")
		returned[s.avoided["a"].until.Sub(now).Round(100*time.Millisecond)]++
	}
	for at, n := range returned {
		if n > 40 {
			t.Errorf("%d of 200 routers return %s after the failure", n, at)
		}
	}
}

// The routers of a data centre are spread over its readers.
func TestFollowersAreSpread(t *testing.T) {
	readers := []Member{{Name: "a"}, {Name: "b"}}
	count := make(map[string]int)
	for i := range 100 {
		s := Selector{Self: fmt.Sprintf("edge-jadran-%d", i)}
		r, _ := s.Next(time.Unix(0, 0), readers)
		count[r.Name]++
	}
	if count["a"] < 30 || count["b"] < 30 {
		t.Errorf("followers by reader: %v", count)
	}
}
