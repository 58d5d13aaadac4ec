package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

// attempted returns a request with a failed attempt, 40 events of answer and the given time
// left, at a gateway that knows the pace of the largest model's streams at two servers.
func attempted(t *testing.T, left time.Duration, intervals ...time.Duration) (*harness, *requestState) {
	route := topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3, Models: []string{"s", "l"}}
	answer := streaming(2, time.Millisecond)
	r := newHarness(t, route, newServer(t, "a", answer), newServer(t, "b", answer))
	view := r.view.Load()
	x := &requestState{
		call: &Call{PromptTokens: 100, AnswerTokens: 160}, view: view, route: &route, service: &topology.Service{Name: "svc", EventTokens: 4},
		model: "l", lastEvent: -1, servers: []string{"c"}, excluded: map[string]bool{"c": true}, deadline: time.Now().Add(left),
	}
	for range 60 {
		for i, interval := range intervals {
			choice, ok := r.Chooser.Choose(time.Now(), view.Servers["svc"][i:i+1], r.selectionRequest(x, "l", nil))
			if !ok {
				t.Fatal("no server")
			}
			choice.RecordEvents(time.Now(), 10, 10*interval)
			choice.End(time.Now(), selection.Succeeded)
		}
	}
	return r, x
}

// A further attempt must not run until the deadline at a server that can't end it, if another
// one can, and not with the largest model if only the smaller one can. A stream goes on with
// its model, unless it can't end by far: then an engine would work until the deadline for
// nothing.
func TestFurtherAttemptEndsInTime(t *testing.T) {
	slow, fast := 200*time.Millisecond, 50*time.Millisecond
	for name, c := range map[string]struct {
		left      time.Duration
		intervals []time.Duration
		first     bool
		started   bool
		lastEvent int64
		server    string
		model     string
		failed    bool
	}{
		"the faster server":            {6 * time.Second, []time.Duration{slow, fast}, false, false, -1, "b", "l", false},
		"the smaller model":            {4 * time.Second, []time.Duration{slow, slow}, false, false, -1, "any", "s", false},
		"first attempt":                {6 * time.Second, []time.Duration{fast, fast}, true, false, -1, "", "l", false},
		"neither":                      {500 * time.Millisecond, []time.Duration{slow, slow}, false, false, -1, "", "l", false},
		"stream at the faster server":  {6 * time.Second, []time.Duration{slow, fast}, false, true, 3, "b", "l", false},
		"stream that may not end":      {4 * time.Second, []time.Duration{slow, slow}, false, true, 3, "", "l", false},
		"stream that can't end by far": {time.Second, []time.Duration{slow, slow}, false, true, 3, "", "l", true},
		"rest of a stream":             {time.Second, []time.Duration{slow, slow}, false, true, 38, "any", "l", false},
	} {
		r, x := attempted(t, c.left, c.intervals...)
		x.started, x.lastEvent = c.started, c.lastEvent
		if c.first {
			x.servers = nil
		}
		choice, err := r.chooseInTime(x)
		server := ""
		if choice != nil {
			server = choice.Server.ID
		}
		if (server != c.server && (server == "" || c.server != "any")) || x.model != c.model || (err != nil) != c.failed {
			t.Errorf("%s: server %q, model %q, %v; want %q, %q, failure %t", name, server, x.model, err, c.server, c.model, c.failed)
		}
		if err != nil && err.Code != result.DeadlinePassed.With("").Code {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A small model's answer must be kept if the larger model's would not end before the
// deadline, however low the confidence: the caller would get neither.
func TestEscalationThatCannotEndIsNoOption(t *testing.T) {
	for interval, want := range map[time.Duration]string{20 * time.Millisecond: "data: l", 400 * time.Millisecond: "data: s"} {
		r, _ := attempted(t, time.Second, interval, interval)
		if got := r.call(http.MethodPost, "/x", "p"); got.err != nil || !strings.Contains(got.body, want) {
			t.Errorf("%s between events: answer %q (%v), want %q", interval, got.body, got.err, want)
		}
	}
}

// A service without load reports, or with reports that can't be used, must not cost a log
// line for each answer.
func TestLoadProblemsAreLoggedOnceAMinute(t *testing.T) {
	r, x := attempted(t, time.Second)
	choice, _ := r.Chooser.Choose(time.Now(), r.view.Load().Servers["svc"], r.selectionRequest(x, "l", nil))
	for _, problem := range []LoadProblem{LoadAbsent, LoadUnreadable, LoadAbsurd, NoLoadProblem} {
		for range 50 {
			r.recordLoad(&attempt{requestState: x, choice: choice, reply: ResponseInfo{LoadProblem: problem}})
		}
	}
	if n := strings.Count(r.logs.String(), "load report of backend server"); n != 3 {
		t.Errorf("%d lines on 150 reports with 3 problems", n)
	}
	var out strings.Builder
	r.WriteMetrics(&out)
	for _, problem := range []LoadProblem{LoadAbsent, LoadUnreadable, LoadAbsurd} {
		if want := `cactusknot_load_reports_not_used_total{reason="` + problem.String() + `"} 50`; !strings.Contains(out.String(), want) {
			t.Errorf("metrics without %s", want)
		}
	}
	if now := time.Now(); !r.loadProblems.due(now.Add(loadProblemInterval), "svc", LoadAbsent) || r.loadProblems.due(now, "svc", LoadAbsent) {
		t.Error("a line is due at another time than after a minute")
	}
}
