package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/limit"
	"pgregory.net/rapid"
)

var testNow = time.Unix(1000, 0)

func testAgents(n int) []Agent {
	agents := make([]Agent, n)
	for i := range agents {
		agents[i] = Agent{
			VM:         fmt.Sprintf("vm-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%3),
			Distance:   Distance(min(i%3, 1)),
			Phase:      limit.Warm, Free: 20, Limit: 40, ReportedAt: testNow, FirstTokenMS: 60,
			Targets: []string{"m@1"}, InFlight: &InFlightCounter{},
		}
	}
	return agents
}

func testRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// counts calls Choose n times and returns how often each VM was chosen.
func counts(s *Snapshot, n int, r Request) map[string]int {
	random := testRandom(1)
	out := map[string]int{}
	for range n {
		if a, ok := s.Choose(random, testNow, r); ok {
			out[a.VM]++
		}
	}
	return out
}

// Excluded, leaving, paused and down agents must not get new requests, whatever else is known
// of them, and an agent must be returned while one in service remains.
func TestNeverChoosesOutOfService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := &invariant.Checker{}
		agents := testAgents(rapid.IntRange(1, 8).Draw(t, "n"))
		e := Exclusion{VMs: map[string]bool{}, DataCentres: map[string]bool{"dc-1": rapid.Bool().Draw(t, "dc")}}
		serving, paused := 0, 0
		for i := range agents {
			a := &agents[i]
			a.Phase = limit.Phase(rapid.IntRange(0, 4).Draw(t, "phase"))
			a.Limit = rapid.IntRange(0, 40).Draw(t, "limit")
			a.Free = rapid.IntRange(0, a.Limit).Draw(t, "free")
			a.Distance = Distance(rapid.IntRange(0, 2).Draw(t, "distance"))
			a.Suspicion = rapid.Float64Range(0, 3).Draw(t, "suspicion")
			a.Prefixes = []uint64{7}
			e.VMs[a.VM] = rapid.Bool().Draw(t, "excluded")
			a.PausedUntil = testNow.Add(time.Duration(rapid.IntRange(-1, 2).Draw(t, "pause")) * time.Second)
			switch {
			case !acceptsWork(a.Phase) || e.excludes(a):
			case a.paused(testNow):
				paused++
			default:
				serving++
			}
		}
		s := NewSnapshot(Config{Check: check}, agents, e)
		r := Request{Target: "m@1", Prefix: 7, Tried: []string{"vm-0"}}
		a, ok := s.Choose(testRandom(rapid.Uint64().Draw(t, "seed")), testNow, r)
		if ok != (serving > 0) || check.Total() != 0 {
			t.Fatalf("chosen %v with %d in service, violations %v", ok, serving, check.Counts())
		}
		if ok && (!acceptsWork(a.Phase) || e.excludes(a) || a.paused(testNow)) {
			t.Fatalf("chose %+v", a)
		}
		if left := s.PausedFor(testNow, r.Target); (left > 0) != (serving == 0 && paused > 0) {
			t.Fatalf("pause of %s with %d in service and %d paused", left, serving, paused)
		}
		if got := len(s.Explain(testNow, r)); got != len(agents) {
			t.Fatalf("%d of %d agents explained", got, len(agents))
		}
	})
}

// The invariant must fire when an agent leaves after the snapshot was indexed.
func TestInvariantDetectsExcludedChoice(t *testing.T) {
	check := &invariant.Checker{}
	agents := testAgents(1)
	s := NewSnapshot(Config{Check: check}, agents, Exclusion{})
	agents[0].Phase = limit.Leaving
	if _, ok := s.Choose(testRandom(1), testNow, Request{Target: "m@1"}); ok || check.Counts()[InvariantExcludedChosen] != 1 {
		t.Fatalf("chosen %v, violations %v", ok, check.Counts())
	}
}

// All routers sending to the agent with the best report would overload it. So own
// requests in flight count before the next report, a full or slow agent gets fewer
// requests, a suspected or tried one gets none while others remain, and a cached
// prefix does not outweigh load.
func TestPreferences(t *testing.T) {
	const n = 2000
	agents := testAgents(6)
	agents[0].InFlight.n.Store(20)
	agents[1].FirstTokenMS = 200
	agents[2].Suspicion = 1.5
	agents[3].Free = 0
	agents[3].Prefixes = []uint64{7}
	agents[4].Prefixes = []uint64{7}
	s := NewSnapshot(Config{}, agents, Exclusion{})
	got := counts(s, n, Request{Target: "m@1", Tried: []string{"vm-5"}})
	if got["vm-2"] > 0 || got["vm-5"] > 0 || got["vm-0"] > got["vm-4"]/2 || got["vm-1"] > got["vm-4"]/2 {
		t.Errorf("chosen %v", got)
	}
	if got := counts(s, n, Request{Target: "m@1", Prefix: 7}); got["vm-4"] < n/2 || got["vm-3"] > 0 {
		t.Errorf("with prefix: %v", got)
	}
	if _, ok := s.Choose(testRandom(1), testNow, Request{Target: "m@2"}); ok {
		t.Error("chose an agent that has not loaded the version")
	}
}

// Agents of another region are used only when the router's region has none.
func TestOtherRegionLast(t *testing.T) {
	agents := testAgents(4)
	agents[0].Distance = OtherRegion
	s := NewSnapshot(Config{}, agents, Exclusion{})
	if got := counts(s, 500, Request{Target: "m@1"}); got["vm-0"] > 0 {
		t.Errorf("chosen %v", got)
	}
	s = NewSnapshot(Config{}, agents[:1], Exclusion{})
	if got := counts(s, 10, Request{Target: "m@1"}); got["vm-0"] != 10 {
		t.Errorf("chosen %v", got)
	}
}

// All agents must be used by about the same number of routers, and a router that
// leaves must change only a few subset entries.
func TestSubsetCoverage(t *testing.T) {
	var routers, agents []string
	for i := range 88 {
		routers = append(routers, fmt.Sprintf("router-%d", i))
	}
	for i := range 425 {
		agents = append(agents, fmt.Sprintf("agent-%d", i))
	}
	const size = 20
	users := make([]int, len(agents))
	changed := 0
	for _, r := range routers[1:] {
		before := Subset(r, routers, agents, size)
		for _, i := range before {
			users[i]++
		}
		changed += len(Subset(r, routers[1:], agents, size)) - len(before)
		if len(before) < size/2 || len(before) > 2*size {
			t.Errorf("%s uses %d agents", r, len(before))
		}
	}
	for _, i := range Subset(routers[0], routers, agents, size) {
		users[i]++
	}
	want := (len(routers)*size + len(agents) - 1) / len(agents)
	for i, n := range users {
		if n < want || n > want+1 {
			t.Errorf("%s is used by %d routers, want %d", agents[i], n, want)
		}
	}
	if changed > 2*size {
		t.Errorf("one router left and %d subset entries changed", changed)
	}
	if got := len(Subset("router-1", routers, agents[:12], size)); got != 12 {
		t.Errorf("small fleet: %d of 12", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	agents := testAgents(24)
	for i := range agents {
		agents[i].Prefixes = []uint64{uint64(i % 5)}
	}
	s := NewSnapshot(Config{Check: &invariant.Checker{}}, agents, Exclusion{})
	random := testRandom(1)
	r := Request{Target: "m@1", Prefix: 3, MaxTokens: 200, Tried: []string{"vm-0"}}
	b.ReportAllocs()
	for b.Loop() {
		s.Choose(random, testNow, r)
	}
}

// Choose is on the request path and must not allocate.
func TestChooseDoesNotAllocate(t *testing.T) {
	result := testing.Benchmark(BenchmarkChoose)
	if n := result.AllocsPerOp(); n != 0 {
		t.Errorf("%d allocations", n)
	}
}

// Long answers must avoid an engine with a long time between tokens. An engine that
// reports no interval must not be treated as a fast one.
func TestLongAnswersAvoidSlowEngines(t *testing.T) {
	const n = 2000
	agents := testAgents(4)
	for i := range agents {
		agents[i].TokenIntervalMS = 30
	}
	agents[0].TokenIntervalMS = 60
	agents[1].TokenIntervalMS = 0
	s := NewSnapshot(Config{}, agents, Exclusion{})
	long := counts(s, n, Request{Target: "m@1", MaxTokens: 200})
	if long["vm-0"] > n/20 || long["vm-1"] > n/2 {
		t.Errorf("long answers: %v", long)
	}
	if plain := counts(s, n, Request{Target: "m@1"}); plain["vm-0"] < n/10 {
		t.Errorf("without an answer length: %v", plain)
	}
}

// The limit of a cold agent rises only with completed requests, so it must be chosen
// although it is slow, but not without a free slot.
func TestColdAgentGetsRequests(t *testing.T) {
	const n = 2000
	agents := testAgents(6)
	for i := range agents {
		agents[i].TokenIntervalMS = 30
	}
	cold := &agents[0]
	cold.Phase, cold.Limit, cold.Free = limit.Cold, 2, 2
	cold.FirstTokenMS, cold.TokenIntervalMS = 400, 120
	r := Request{Target: "m@1", MaxTokens: 200}
	if got := counts(NewSnapshot(Config{}, agents, Exclusion{}), n, r); got["vm-0"] == 0 {
		t.Errorf("chosen %v", got)
	}
	cold.Free = 0
	if got := counts(NewSnapshot(Config{}, agents, Exclusion{}), n, r); got["vm-0"] > 0 {
		t.Errorf("full: chosen %v", got)
	}
}
