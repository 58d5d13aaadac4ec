package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// confident answers with a confidence per model; the body names the model.
func confident(confidence map[string]int) func(int, arrival, net.Conn) bool {
	return func(_ int, a arrival, c net.Conn) bool {
		model := a.head.Get("Model")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nConfidence: %d\r\nContent-Length: %d\r\n\r\n%s",
			a.head.Get("Id"), confidence[model], len(model), model)
		return true
	}
}

// The smallest model's answer is kept when it is confident; a doubtful one is
// dropped for the largest model's before the caller got any of it.
func TestCascade(t *testing.T) {
	route := topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3, Models: []string{"s", "m", "l"}}
	// The rig's calls state no prompt, so the largest model has next to nothing to read.
	bound := timelyConfidence + cheapBonus(25*time.Millisecond, timelyConfidence)
	for _, c := range []struct {
		confidence int
		want       string
	}{{90, "s"}, {bound, "s"}, {bound - 1, "l"}, {timelyConfidence, "l"}, {0, "l"}} {
		a := newServer(t, "a", confident(map[string]int{"s": c.confidence, "l": 1}))
		r := newRig(t, route, a)
		if got := r.call(http.MethodPost, "/x", "p"); got.body != c.want {
			t.Errorf("confidence %d: answer of %q, want %q", c.confidence, got.body, c.want)
		}
	}
}

// Every run counts as an attempt: with one attempt there is no second model, and a
// request that may run once is never answered twice.
func TestCascadeKeepsToAttempts(t *testing.T) {
	for _, route := range []topology.Route{
		{Kind: topology.Stream, Resumable: true, MaxAttempts: 1, Models: []string{"s", "l"}},
		{Kind: topology.Stream, MaxAttempts: 3, Models: []string{"s", "l"}},
	} {
		a := newServer(t, "a", confident(map[string]int{"s": 0}))
		r := newRig(t, route, a)
		if got := r.call(http.MethodPost, "/x", "p"); got.body != "s" || len(a.seen()) != 1 {
			t.Errorf("answer of %q after %d runs", got.body, len(a.seen()))
		}
	}
}

// Waiting for the largest model is worth less the later its answer comes.
func TestEnough(t *testing.T) {
	second := time.Second
	cases := []struct {
		expected, answer, toTarget, left time.Duration
		want                             int
	}{
		{second, second, 2 * second, 10 * second, timelyConfidence},
		{4 * second, second, 2 * second, 10 * second, lateConfidence},
		{second, second, -second, 10 * second, lateConfidence},
		{9 * second, 2 * second, 2 * second, 10 * second, 0},
		// A long answer would be cut by the deadline although it begins in time.
		{second, 10 * second, 2 * second, 10 * second, 0},
	}
	for _, c := range cases {
		if got := enough(c.expected, c.answer, c.toTarget, c.left); got != c.want {
			t.Errorf("enough(%s, %s, %s, %s) = %d, want %d", c.expected, c.answer, c.toTarget, c.left, got, c.want)
		}
	}
	last := timelyConfidence
	for expected := second; expected < 4*second; expected += second / 10 {
		got := enough(expected, second, 2*second, 20*second)
		if got > last {
			t.Fatalf("a later answer needs more confidence: %d after %d", got, last)
		}
		last = got
	}
}

// The answer of a doubtful small model is dropped more readily where the largest
// model has little to read: on days with many short prompts that costs the others
// next to nothing. A long prompt needs more doubt, and one that would end too late is
// never read.
func TestCheapEscalation(t *testing.T) {
	last := timelyConfidence + cheapConfidence + 1
	for _, reading := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 799 * time.Millisecond} {
		got := timelyConfidence + cheapBonus(reading, timelyConfidence)
		if got >= last || got < timelyConfidence {
			t.Errorf("reading for %s: %d after %d", reading, got, last)
		}
		last = got
	}
	if got := cheapBonus(cheapReading, timelyConfidence); got != 0 {
		t.Errorf("a long prompt adds %d", got)
	}
	if got := cheapBonus(0, 0); got != 0 {
		t.Errorf("an answer past the deadline adds %d", got)
	}
}

// A session's set only grows with the share, so that it never changes back.
func TestSessionsJoinOnce(t *testing.T) {
	in := 0
	for i := range 2000 {
		session := fmt.Sprint("s", i)
		was := false
		for share := 0.0; share <= 1; share += 0.05 {
			now := InTarget("v2", session, share)
			if was && !now {
				t.Fatalf("%s left the target at share %.2f", session, share)
			}
			was = now
		}
		if InTarget("v2", session, 0.1) {
			in++
		}
	}
	if in < 150 || in > 250 {
		t.Errorf("%d of 2000 sessions at a share of 0.1", in)
	}
}

// A session must not be exposed to an unproven version because the old one has no
// server, nor stay without one because the new one has none.
func TestVersionServers(t *testing.T) {
	old, target := &topology.Server{ID: "o", Version: "v1"}, &topology.Server{ID: "t", Version: "v2"}
	split := topology.TrafficSplit{Target: "v2", Share: 0}
	if got := versionServers([]*topology.Server{target}, split, "s"); len(got) != 0 {
		t.Error("a share of 0 reached the target")
	}
	split.Share = 1
	if got := versionServers([]*topology.Server{old}, split, "s"); len(got) != 1 {
		t.Error("no server although the old version has one")
	}
	split.Final = true
	if got := versionServers([]*topology.Server{old, target}, split, "s"); len(got) != 1 || got[0] != target {
		t.Error("the old version is used after the end")
	}
}

// Many users at once: the more prompts wait, the fewer answers are asked for a
// second time, so that streams beside them keep their pace.
func TestEscalationFallsUnderLoad(t *testing.T) {
	last := timelyConfidence + 1
	for backlog := time.Duration(0); backlog < 5*time.Second; backlog += 500 * time.Millisecond {
		got := underLoad(backlog, timelyConfidence)
		if got >= last {
			t.Fatalf("backlog %s: confidence %d, %d with less", backlog, got, last)
		}
		last = got
	}
	if underLoad(0, timelyConfidence) != timelyConfidence {
		t.Error("idle servers change the decision")
	}
}

// A small model's answer must not be dropped when no server may take the request
// again: on scale-1 of petitspas-diary a caller was refused that way although an
// answer had begun (request 4838673d1f7f8564).
func TestAnswerIsKeptWhenNoServerMayTakeTheNext(t *testing.T) {
	a := newServer(t, "a", confident(map[string]int{"s": 0}))
	route := topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3, Models: []string{"s", "l"}}
	r := newRig(t, route, a)
	// A cold server that bears one request in a second.
	a.Server.ColdUntil = time.Now().Add(time.Minute)
	r.view.Load().Config.Services["svc"].ColdRateLimit = 1
	r.ColdFactor = 1
	if got := r.call(http.MethodPost, "/x", "p"); got.status != http.StatusOK || got.body != "s" {
		t.Errorf("got %d %q", got.status, got.body)
	}
}

// A request must not reach a region that its route or its workspace does not allow;
// where both name some, both bind.
func TestRegions(t *testing.T) {
	a, b := &topology.Server{ID: "a", Region: "north"}, &topology.Server{ID: "b", Region: "south"}
	all := []*topology.Server{a, b}
	cases := []struct {
		route, workspace []string
		want             int
	}{{nil, nil, 2}, {[]string{"north"}, nil, 1}, {nil, []string{"south"}, 1}, {[]string{"north"}, []string{"south"}, 0}}
	for _, c := range cases {
		if got := inRegions(all, c.route, c.workspace); len(got) != c.want {
			t.Errorf("route %v, workspace %v: %d servers, want %d", c.route, c.workspace, len(got), c.want)
		}
	}
}

// Guards against baselines that escalate, or that ask another model than named.
func TestModelBaselines(t *testing.T) {
	route := topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3, Models: []string{"s", "m", "l"}}
	for name, want := range map[string]string{"smallest": "s", "middle": "m", "largest": "l"} {
		a := newServer(t, "a", confident(map[string]int{"s": 0, "m": 0, "l": 0}))
		r := newRig(t, route, a)
		policy, err := ParseModelPolicy(name)
		if err != nil {
			t.Fatal(err)
		}
		r.Gateway.ModelPolicy = policy
		if got := r.call(http.MethodPost, "/x", "1"); got.body != want || len(a.seen()) != 1 {
			t.Errorf("%s: answer of %q after %d attempts", name, got.body, len(a.seen()))
		}
	}
	if _, err := ParseModelPolicy("best"); err == nil {
		t.Error("an unknown policy is accepted")
	}
}
