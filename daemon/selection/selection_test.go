package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactusknot.example/daemon/availability"
	"cactusknot.example/daemon/topology"
)

var start = time.Unix(1_700_000_000, 0)

func servers(n int) []*topology.Server {
	var list []*topology.Server
	for i := range n {
		list = append(list, &topology.Server{ID: fmt.Sprint("s", i), Slots: 8})
	}
	return list
}

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("r", i))
	}
	return list
}

// A cold server fails when all routers together exceed its rate limit. The limit must
// hold for any number of routers, also with unevenly distributed traffic.
func TestColdRateLimitHoldsOverAllRouters(t *testing.T) {
	const limit = 15.35
	for _, routers := range []int{1, 2, 5, 13, 14, 25, 60, 350} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(routers)))
			list := servers(1)
			list[0].ColdUntil = start.Add(time.Hour)
			all := names(routers)
			choosers := make([]*Chooser, routers)
			for i := range choosers {
				choosers[i] = New()
			}
			var sent []time.Time
			now := start
			for range 6000 {
				now = now.Add(time.Duration(random.IntN(4)) * time.Millisecond)
				// Half of the traffic comes to one router.
				i := random.IntN(2 * routers)
				if i >= routers {
					i = 0
				}
				choice, ok := choosers[i].Choose(now, list, Request{ColdRateLimit: limit, Self: all[i], Routers: all})
				if ok {
					sent = append(sent, now)
					choice.End(now, Succeeded)
				}
			}
			if len(sent) == 0 {
				t.Fatal("the cold server gets no requests")
			}
			for i := range sent {
				in := 0
				for _, at := range sent[i:] {
					if at.Sub(sent[i]) < time.Second {
						in++
					}
				}
				if float64(in) > limit {
					t.Fatalf("%d requests in one second, limit %.1f", in, limit)
				}
			}
		})
	}
}

// After a broken connection the server may have restarted and be cold before its store
// entry says so.
func TestBrokenConnectionLimitsRate(t *testing.T) {
	c, list := New(), servers(1)
	r := Request{ColdRateLimit: 8, Self: "r0", Routers: names(1)}
	count := func(at time.Time) int {
		n := 0
		for {
			choice, ok := c.Choose(at, list, r)
			if !ok {
				return n
			}
			choice.End(at, Succeeded)
			n++
		}
	}
	warm := count(start)
	choice, ok := c.Choose(start.Add(2*time.Second), list, r)
	if !ok {
		t.Fatal("no choice")
	}
	choice.End(start.Add(2*time.Second), Unreachable)
	if cold := count(start.Add(4 * time.Second)); cold >= warm || cold == 0 {
		t.Errorf("%d requests in a second after the break, %d before", cold, warm)
	}
	if again := count(start.Add(10 * time.Second)); again != warm {
		t.Errorf("%d requests in a second once it is warm, want %d", again, warm)
	}
}

// All routers choose the same home server for a shared prompt without communication,
// and prompts are spread over the servers.
func TestRoutersAgreeOnHomeServer(t *testing.T) {
	list := servers(12)
	homes := make(map[string]int)
	for i := range 120 {
		prefixes := Prefixes("m", []string{fmt.Sprint("p", i), "own"}, []int{10_000, 100})
		r := Request{PromptTokens: 10_100, Prefixes: prefixes, ModelRank: 1, Routers: names(5)}
		first, ok := New().Choose(start, list, r)
		second, ok2 := New().Choose(start, list, r)
		if !ok || !ok2 || first.Server != second.Server {
			t.Fatalf("prompt %d: routers disagree", i)
		}
		homes[first.Server.ID]++
	}
	for id, n := range homes {
		if n > 24 {
			t.Errorf("%s is the home server of %d of 120 prompts", id, n)
		}
	}
}

// A popular prompt must not overload one server: once its queue costs more than
// processing the prompt again elsewhere, other servers are used.
func TestPopularPromptSpreads(t *testing.T) {
	c, list := New(), servers(6)
	used := make(map[string]int)
	for range 60 {
		prefixes := Prefixes("m", []string{"hot", "own"}, []int{10_000, 500})
		choice, ok := c.Choose(start, list, Request{PromptTokens: 10_500, Prefixes: prefixes, ModelRank: 1, Routers: names(1)})
		if !ok {
			t.Fatal("no choice")
		}
		used[choice.Server.ID]++
	}
	if len(used) < 4 {
		t.Errorf("60 requests at once use %d of 6 servers", len(used))
	}
}

// The server that has a prompt in its cache is preferred until the cache entry expires.
func TestCachedPromptIsPreferredUntilItExpires(t *testing.T) {
	c, list := New(), servers(8)
	prefixes := Prefixes("m", []string{"a", "own"}, []int{8000, 100})
	r := Request{PromptTokens: 8100, Prefixes: prefixes, ModelRank: 1, Routers: names(1)}
	first, _ := c.Choose(start, list, r)
	first.RecordFirstByte(start.Add(time.Second))
	first.End(start.Add(time.Second), Succeeded)
	again, _ := c.Choose(start.Add(2*time.Second), list, r)
	if again.Server != first.Server || again.UncachedTokens != 0 {
		t.Errorf("%s with %d uncached tokens, want %s with 0", again.Server.ID, again.UncachedTokens, first.Server.ID)
	}
	again.End(start.Add(2*time.Second), Cancelled)
	late, _ := c.Choose(start.Add(time.Minute), list, r)
	if late.UncachedTokens == 0 {
		t.Error("a prompt sent a minute ago still counts as cached")
	}
}

// A failing server is avoided for a limited time and then tried again.
func TestFailingServerIsAvoidedThenRetried(t *testing.T) {
	c, list := New(), servers(2)
	r := Request{Routers: names(1)}
	now := start
	pick := func(outcome Outcome) string {
		choice, ok := c.Choose(now, list, r)
		if !ok {
			t.Fatal("no choice")
		}
		choice.End(now, outcome)
		return choice.Server.ID
	}
	bad := pick(Unreachable)
	for range 10 {
		if pick(Succeeded) == bad {
			t.Fatal("the unreachable server is used again immediately")
		}
	}
	now = now.Add(availability.MaxAvoidance)
	r.Excluded = map[string]bool{"s0": bad != "s0", "s1": bad != "s1"}
	if pick(Succeeded) != bad {
		t.Error("the server is not tried again")
	}
}

// When all servers have failed, requests are still sent to one of them.
func TestAllAvoidedServersStillServe(t *testing.T) {
	c, list := New(), servers(3)
	for range 9 {
		choice, ok := c.Choose(start, list, Request{Routers: names(1)})
		if !ok {
			t.Fatal("no server is chosen because all are avoided")
		}
		choice.End(start, Unreachable)
	}
}

// The estimate adapts to observed times, so that the gateway does not escalate to the
// large model when its answer would be late.
func TestEstimateFollowsObservation(t *testing.T) {
	c, list := New(), servers(1)
	r := Request{Service: "svc", Model: "l", ModelRank: 1, PromptTokens: 10_000, Routers: names(1)}
	now := start
	for range 100 {
		choice, _ := c.Choose(now, list, r)
		now = now.Add(1500 * time.Millisecond)
		choice.RecordFirstByte(now)
		choice.End(now, Succeeded)
	}
	estimate, ok := c.Estimate(now, list, r)
	expected := estimate.FirstByte
	if !ok || expected < 1200*time.Millisecond || expected > 1800*time.Millisecond {
		t.Errorf("expected %s, observed 1.5 s", expected)
	}
}

// The baseline policies do what their names say: RoundRobin uses all servers in turn,
// LeastOutstanding the one with the fewest requests.
func TestBaselines(t *testing.T) {
	servers := []*topology.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	now := time.Unix(1_700_000_000, 0)
	c := New()
	c.Policy = RoundRobin
	var order string
	for range 6 {
		choice, ok := c.Choose(now, servers, Request{})
		if !ok {
			t.Fatal("no choice")
		}
		order += choice.Server.ID
	}
	if order != "abcabc" {
		t.Errorf("round robin: %s", order)
	}
	c = New()
	c.Policy = LeastOutstanding
	var choices []*Choice
	for range 3 {
		choice, _ := c.Choose(now, servers, Request{})
		choices = append(choices, choice)
	}
	choices[1].End(now, Succeeded)
	if choice, _ := c.Choose(now, servers, Request{}); choice.Server.ID != "b" {
		t.Errorf("least outstanding: %s", choice.Server.ID)
	}
	if _, err := ParsePolicy("random"); err == nil {
		t.Error("an unknown policy is accepted")
	}
}

// Of two servers with the same expected time, a long prompt goes to the one where it
// delays fewer requests. The requests of other routers count too.
func TestLongPromptAvoidsBusyServer(t *testing.T) {
	servers := []*topology.Server{{ID: "a"}, {ID: "b"}}
	now := time.Unix(1_700_000_000, 0)
	c := New()
	r := Request{Model: "l", ModelRank: 1, PromptTokens: 20_000}
	// Server a runs 20 streams of other routers. Server b has pending prompts that
	// delay the first byte by as much as those streams.
	prefill := 20 * delayPerRunning
	c.SetPeerWork(now, map[string]OutstandingWork{"a": {InFlight: 20}, "b": {PrefillTime: prefill}})
	if choice, _ := c.Choose(now, servers, r); choice.Server.ID != "b" {
		t.Errorf("a long prompt went to %s", choice.Server.ID)
	}
	c = New()
	c.SetPeerWork(now, map[string]OutstandingWork{"a": {InFlight: 2}, "b": {PrefillTime: 10 * time.Second}})
	if choice, _ := c.Choose(now, servers, r); choice.Server.ID != "a" {
		t.Error("a few running streams keep a long prompt from a server without pending prompts")
	}
}
