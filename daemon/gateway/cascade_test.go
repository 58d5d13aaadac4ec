package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// confident answers with a confidence per model; the body is the model's name.
func confident(confidence map[string]int) func(int, receivedRequest, net.Conn) bool {
	return func(_ int, a receivedRequest, c net.Conn) bool {
		model := a.head.Get("Model")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nConfidence: %d\r\nContent-Length: %d\r\n\r\n%s",
			a.head.Get("Id"), confidence[model], len(model), model)
		return true
	}
}

// The smallest model's answer is kept if the model is confident; otherwise it is
// discarded for the largest model's before the caller got any of it.
func TestCascade(t *testing.T) {
	route := topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3, Models: []string{"s", "m", "l"}}
	// The test's calls state no prompt, so the largest model's prefill time is close to 0.
	threshold := onTimeThreshold + shortPromptBonus(25*time.Millisecond, onTimeThreshold)
	for _, c := range []struct {
		confidence int
		want       string
	}{{90, "s"}, {threshold, "s"}, {threshold - 1, "l"}, {onTimeThreshold, "l"}, {0, "l"}} {
		a := newServer(t, "a", confident(map[string]int{"s": c.confidence, "l": 1}))
		r := newHarness(t, route, a)
		if got := r.call(http.MethodPost, "/x", "p"); got.body != c.want {
			t.Errorf("confidence %d: answer of %q, want %q", c.confidence, got.body, c.want)
		}
	}
}

// Each model's run counts as an attempt: a route with one attempt never asks a second
// model, and a request that may not be repeated runs only once.
func TestCascadeKeepsToAttempts(t *testing.T) {
	for _, route := range []topology.Route{
		{Kind: topology.Stream, Resumable: true, MaxAttempts: 1, Models: []string{"s", "l"}},
		{Kind: topology.Stream, MaxAttempts: 3, Models: []string{"s", "l"}},
	} {
		a := newServer(t, "a", confident(map[string]int{"s": 0}))
		r := newHarness(t, route, a)
		if got := r.call(http.MethodPost, "/x", "p"); got.body != "s" || len(a.requests()) != 1 {
			t.Errorf("answer of %q after %d runs", got.body, len(a.requests()))
		}
	}
}

// The later the largest model's answer comes, the less confidence it takes to keep the
// small model's answer.
func TestKeepThreshold(t *testing.T) {
	second := time.Second
	cases := []struct {
		expected, answer, toTarget, left time.Duration
		want                             int
	}{
		{second, second, 2 * second, 10 * second, onTimeThreshold},
		{4 * second, second, 2 * second, 10 * second, defaultLateThreshold},
		{second, second, -second, 10 * second, defaultLateThreshold},
		{9 * second, 2 * second, 2 * second, 10 * second, 0},
		// A long answer would be cut by the deadline although it begins in time.
		{second, 10 * second, 2 * second, 10 * second, 0},
	}
	for _, c := range cases {
		if got := keepThreshold(c.expected, c.answer, c.toTarget, c.left, lateThreshold(0)); got != c.want {
			t.Errorf("keepThreshold(%s, %s, %s, %s) = %d, want %d", c.expected, c.answer, c.toTarget, c.left, got, c.want)
		}
	}
	last := onTimeThreshold
	for expected := second; expected < 4*second; expected += second / 10 {
		got := keepThreshold(expected, second, 2*second, 20*second, lateThreshold(0))
		if got > last {
			t.Fatalf("a later answer raises the threshold: %d after %d", got, last)
		}
		last = got
	}
}

// The less a late answer is worth, the less confidence it takes to keep the small model's
// answer instead. The default value must not change which requests escalate.
func TestLateAnswerValue(t *testing.T) {
	for value, want := range map[float64]int{0: 20, 0.1: 7, DefaultLateAnswerValue: 20, 0.5: 29, 1: onTimeThreshold} {
		if got := lateThreshold(value); got != want {
			t.Errorf("value %g: threshold %d, want %d", value, got, want)
		}
	}
}

// The confidence threshold is higher if the largest model's prefill is short, because
// that hardly delays other requests: it matters on days with many short prompts. A long
// prompt gets no bonus, nor does an answer that would miss the deadline.
func TestShortPromptBonus(t *testing.T) {
	last := onTimeThreshold + maxShortPromptBonus + 1
	for _, prefill := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 799 * time.Millisecond} {
		got := onTimeThreshold + shortPromptBonus(prefill, onTimeThreshold)
		if got >= last || got < onTimeThreshold {
			t.Errorf("prefill of %s: %d after %d", prefill, got, last)
		}
		last = got
	}
	if got := shortPromptBonus(maxShortPromptTime, onTimeThreshold); got != 0 {
		t.Errorf("a long prompt adds %d", got)
	}
	if got := shortPromptBonus(0, 0); got != 0 {
		t.Errorf("an answer past the deadline adds %d", got)
	}
}

// A session in the rollout's share must stay in it as the share grows.
func TestSessionStaysInRolloutShare(t *testing.T) {
	in := 0
	for i := range 2000 {
		session := fmt.Sprint("s", i)
		was := false
		for share := 0.0; share <= 1; share += 0.05 {
			now := InRolloutShare("v2", session, share)
			if was && !now {
				t.Fatalf("%s left the target at share %.2f", session, share)
			}
			was = now
		}
		if InRolloutShare("v2", session, 0.1) {
			in++
		}
	}
	if in < 150 || in > 250 {
		t.Errorf("%d of 2000 sessions at a share of 0.1", in)
	}
}

// A session must not be exposed to an unproven version because the old one has no
// server, nor be refused because the new one has none.
func TestServersForSession(t *testing.T) {
	old, target := &topology.Server{ID: "o", Version: "v1"}, &topology.Server{ID: "t", Version: "v2"}
	split := topology.TrafficSplit{Target: "v2", Share: 0}
	if got := serversForSession([]*topology.Server{target}, split, "s"); len(got) != 0 {
		t.Error("a share of 0 reached the target")
	}
	split.Share = 1
	if got := serversForSession([]*topology.Server{old}, split, "s"); len(got) != 1 {
		t.Error("no server although the old version has one")
	}
	split.Final = true
	rejected := topology.TrafficSplit{Target: "v3", Rejected: []string{target.Version}}
	if got := serversForSession([]*topology.Server{old, target}, rejected, "s"); len(got) != 1 || got[0] != old {
		t.Errorf("servers of a rejected version: %v", got)
	}
	if got := serversForSession([]*topology.Server{old, target}, split, "s"); len(got) != 1 || got[0] != target {
		t.Error("the old version is used after the end")
	}
}

// The larger the prefill backlog, the fewer answers are asked for a second time, so
// that concurrent streams keep their pace.
func TestEscalationFallsUnderLoad(t *testing.T) {
	last := onTimeThreshold + 1
	for backlog := time.Duration(0); backlog < 5*time.Second; backlog += 500 * time.Millisecond {
		got := thresholdUnderLoad(backlog, onTimeThreshold)
		if got >= last {
			t.Fatalf("backlog %s: threshold %d, but %d with a smaller one", backlog, got, last)
		}
		last = got
	}
	if thresholdUnderLoad(0, onTimeThreshold) != onTimeThreshold {
		t.Error("idle servers change the threshold")
	}
}

// A small model's answer must not be discarded if no server may take the request again.
// On scale-1 of petitspas-diary, a caller was refused that way although an answer had
// begun (request 4838673d1f7f8564).
func TestAnswerIsKeptWhenNoServerMayTakeTheEscalation(t *testing.T) {
	a := newServer(t, "a", confident(map[string]int{"s": 0}))
	route := topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3, Models: []string{"s", "l"}}
	r := newHarness(t, route, a)
	// A cold server is limited to one request per second.
	a.Server.ColdUntil = time.Now().Add(time.Minute)
	r.view.Load().Config.Services["svc"].ColdRateLimit = 1
	r.ColdFactor = 1
	if got := r.call(http.MethodPost, "/x", "p"); got.status != http.StatusOK || got.body != "s" {
		t.Errorf("got %d %q", got.status, got.body)
	}
}

// A request must not reach a region that its route or its workspace does not allow; if
// both restrict the regions, both restrictions apply.
func TestRegions(t *testing.T) {
	a, b := &topology.Server{ID: "a", Region: "north"}, &topology.Server{ID: "b", Region: "south"}
	all := []*topology.Server{a, b}
	cases := []struct {
		route, workspace []string
		want             int
	}{{nil, nil, 2}, {[]string{"north"}, nil, 1}, {nil, []string{"south"}, 1}, {[]string{"north"}, []string{"south"}, 0}}
	for _, c := range cases {
		if got := serversInRegions(all, c.route, c.workspace); len(got) != c.want {
			t.Errorf("route %v, workspace %v: %d servers, want %d", c.route, c.workspace, len(got), c.want)
		}
	}
}

// Guards against baseline policies that escalate or that ask another model than the
// named one.
func TestModelBaselines(t *testing.T) {
	route := topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3, Models: []string{"s", "m", "l"}}
	for name, want := range map[string]string{"smallest": "s", "middle": "m", "largest": "l"} {
		a := newServer(t, "a", confident(map[string]int{"s": 0, "m": 0, "l": 0}))
		r := newHarness(t, route, a)
		policy, err := ParseModelPolicy(name)
		if err != nil {
			t.Fatal(err)
		}
		r.Gateway.ModelPolicy = policy
		if got := r.call(http.MethodPost, "/x", "1"); got.body != want || len(a.requests()) != 1 {
			t.Errorf("%s: answer of %q after %d attempts", name, got.body, len(a.requests()))
		}
	}
	if _, err := ParseModelPolicy("best"); err == nil {
		t.Error("an unknown policy is accepted")
	}
}
