package loadgen

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/daemon/emulate"
)

func testWorkload() Workload {
	return Workload{
		Workspaces: []Workspace{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
		Classes: []Class{
			{Name: "note", Weight: 1, Chat: &Chat{
				Model: "diary@1", Stream: true, PromptMin: 40, PromptMax: 80, Prefixes: 2, PrefixBytes: 30, Sessions: 3,
			}},
			{Name: "whole", Weight: 1, Workspaces: []string{"b"}, Chat: &Chat{Model: "diary@1", PromptMin: 1, PromptMax: 1}},
		},
		TimeoutMs: 30000,
	}
}

func startEngine(t *testing.T) *emulate.Engine {
	t.Helper()
	cfg := emulate.DefaultEngineConfig()
	cfg.StepUs, cfg.StepPerRequestUs, cfg.PrefillUs, cfg.StartWarm = 50, 1, 0.1, true
	// An engine that gets too little processor time must not crash from overload: that would show
	// as requests without an answer.
	cfg.MaxHeld = 1000
	e, err := emulate.StartEngine("127.0.0.1:0", cfg, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func testOptions(target string) Options {
	return Options{Targets: []string{target}, Rate: 400, Duration: 250 * time.Millisecond, Seed: 7, Workload: testWorkload()}
}

// The report must contain every request, and count complete responses as such.
func TestRunAgainstEngine(t *testing.T) {
	e := startEngine(t)
	r, err := Run(context.Background(), testOptions(e.URL()))
	if err != nil {
		t.Fatal(err)
	}
	if r.All.Requests == 0 || r.All.Codes[CodeOK] != r.All.Requests {
		t.Errorf("codes %v of %d requests", r.All.Codes, r.All.Requests)
	}
	if n := e.Totals().Completed; n != r.All.Requests || r.All.Served["diary@1"] != n {
		t.Errorf("engine completed %d, report %+v", n, r.All)
	}
	if r.Classes["whole"].Requests+r.Classes["note"].Requests != r.All.Requests {
		t.Errorf("classes %+v", r.Classes)
	}
}

// Truncated streams must be counted as incomplete.
func TestRunCountsTruncatedStreams(t *testing.T) {
	e := startEngine(t)
	limit := 1000
	if err := e.SetFaults(emulate.EngineFaults{ResetAfterBytes: &limit}); err != nil {
		t.Fatal(err)
	}
	o := testOptions(e.URL())
	o.Workload.Classes = o.Workload.Classes[:1]
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.All.Codes[CodeIncomplete] != r.All.Requests || r.InvalidResponses() != r.All.Requests {
		t.Errorf("codes %v of %d requests", r.All.Codes, r.All.Requests)
	}
}

// While an engine crashes, freezes and is overloaded, every request must have exactly
// one result, and the engine must neither lose a request nor count it twice.
func TestRunThroughCrashes(t *testing.T) {
	cfg := emulate.DefaultEngineConfig()
	cfg.StepUs, cfg.StepPerRequestUs, cfg.BatchLimit, cfg.MaxHeld, cfg.RestartMs = 300, 10, 4, 12, 5
	cfg.ColdMaxHeld = 6
	e, err := emulate.StartEngine("127.0.0.1:0", cfg, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	o := testOptions(e.URL())
	o.OnResult = func(r Result) {
		if r.Number%40 == 10 {
			e.Crash(3 * time.Millisecond)
		}
		if r.Number%40 == 30 {
			freeze := 5
			_ = e.SetFaults(emulate.EngineFaults{FreezeMs: &freeze})
		}
	}
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	var sum uint64
	for _, n := range r.All.Codes {
		sum += n
	}
	if sum != r.All.Requests || r.All.Codes[CodeWrongResponse] != 0 {
		t.Errorf("codes %v of %d requests", r.All.Codes, r.All.Requests)
	}
	// A request may end for the caller before the engine detects the closed connection.
	for range 2000 {
		if n := e.Totals(); n.Accepted == n.Completed+n.Cancelled {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("totals %+v: accepted requests are neither completed nor cancelled", e.Totals())
}

// Two schedules with the same seed must be equal.
func TestScheduleIsDeterministic(t *testing.T) {
	o := testOptions("http://x")
	a, b := newSchedule(&o), newSchedule(&o)
	for range 200 {
		p, q := a.next(), b.next()
		if !reflect.DeepEqual(p, q) {
			t.Fatalf("%+v differs from %+v", p, q)
		}
		if p.class.Name == "whole" && p.workspace.Name != "b" {
			t.Fatalf("workspace %s got a class that is not configured for it", p.workspace.Name)
		}
	}
}

// The generator must not wait for responses: all scheduled requests must start even
// if the server delays every response.
func TestRunIsOpenLoop(t *testing.T) {
	o := testOptions("")
	want := 0
	for s := newSchedule(&Options{Targets: []string{""}, Rate: o.Rate, Seed: o.Seed, Workload: o.Workload}); s.next().at < o.Duration; {
		want++
	}
	arrived := make(chan struct{}, want)
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	o.Targets = []string{srv.URL}
	go func() {
		for range want {
			<-arrived
		}
		close(release)
	}()
	r, err := Run(context.Background(), o)
	if err != nil || r.All.Codes["status_503"] != uint64(want) {
		t.Errorf("codes %v, want %d error responses: %v", r.All.Codes, want, err)
	}
}

// Result codes of a router, in error responses and in streams, must be counted under
// their own names.
func TestRunCountsCodes(t *testing.T) {
	event := `{"error":{"message":"m","code":"stream_broken","number":4002,"run":"unknown"}}`
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Kind") == "refused" {
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(strings.ReplaceAll(event, "stream_broken", "overloaded")))
			return
		}
		_, _ = w.Write([]byte("data: " + event + "\n\ndata: [DONE]\n\n"))
	}))
	defer srv.Close()
	o := testOptions(srv.URL)
	o.Workload.Classes[1] = o.Workload.Classes[0]
	o.Workload.Classes[1].Name, o.Workload.Classes[1].Kind = "refused", "refused"
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	for class, code := range map[string]string{"note": "stream_broken", "refused": "overloaded"} {
		if g := r.Classes[class]; g.Codes[code] != g.Requests {
			t.Errorf("%s: codes %v of %d", class, g.Codes, g.Requests)
		}
	}
}

// The checks must reject streams that are incomplete or belong to another request.
func TestStreamChecks(t *testing.T) {
	const (
		text   = `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
		finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
		usage  = `data: {"choices":[],"usage":{"completion_tokens":1}}` + "\n\n"
		done   = "data: [DONE]\n\n"
	)
	for name, c := range map[string]struct {
		body string
		want error
	}{
		"complete":        {text + finish + usage + done, nil},
		"no finish":       {text + usage + done, ErrIncomplete},
		"no usage":        {text + finish + done, ErrIncomplete},
		"no end":          {text + finish + usage, ErrIncomplete},
		"end is cut":      {text + finish + usage + "data: [DONE]\n", ErrIncomplete},
		"two finishes":    {text + finish + finish + usage + done, ErrWrongResponse},
		"text after end":  {text + finish + text + usage + done, ErrWrongResponse},
		"event after end": {text + finish + usage + done + text, ErrWrongResponse},
		"not JSON":        {"data: {\n\n" + done, ErrWrongResponse},
	} {
		a, err := readStream(strings.NewReader(c.body), func() {}, func() {})
		if err == nil {
			err = a.checkComplete()
		}
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if _, err := a.checkMarker("p"); !errors.Is(err, ErrWrongResponse) {
			t.Errorf("%s: a text without a marker was accepted", name)
		}
	}
}
