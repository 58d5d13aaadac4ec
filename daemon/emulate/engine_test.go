package emulate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// fastEngine returns the settings of an engine whose batch steps take microseconds.
func fastEngine() EngineConfig {
	cfg := DefaultEngineConfig()
	cfg.StepUs, cfg.StepPerRequestUs, cfg.PrefillUs = 50, 1, 0.1
	cfg.LoadReportMs, cfg.CacheEventDelayMs, cfg.OrderMs, cfg.RestartMs = 1, 0, 1, 10
	cfg.StartWarm = true
	return cfg
}

func startEngine(t *testing.T, cfg EngineConfig) *Engine {
	t.Helper()
	e, err := StartEngine("127.0.0.1:0", cfg, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func post(t *testing.T, url string, body any) (int, string, error) {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

func chatBody(prompt string, stream bool) map[string]any {
	return map[string]any{
		"model": "diary@1", "stream": stream, "stream_options": map[string]bool{"include_usage": true},
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}
}

// waitFor polls cond. The time limit only ends a test that would otherwise hang.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for range 2000 {
		if cond() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func streamText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	sc := bufio.NewScanner(strings.NewReader(body))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var a chatResponse
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			t.Fatal(err)
		}
		if len(a.Choices) > 0 {
			text.WriteString(a.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// Streamed and plain responses must have the same text, a usage, an end and a
// marker that matches the prompt.
func TestEngineResponsesAreCompleteAndEqual(t *testing.T) {
	e := startEngine(t, fastEngine())
	_, streamed, err := post(t, e.URL()+"/v1/chat/completions", chatBody("hello", true))
	if err != nil || !strings.HasSuffix(streamed, "data: [DONE]\n\n") || !strings.Contains(streamed, `"usage"`) {
		t.Fatalf("stream: %v %q", err, streamed)
	}
	_, body, err := post(t, e.URL()+"/v1/chat/completions", chatBody("hello", false))
	var a chatResponse
	if err != nil || json.Unmarshal([]byte(body), &a) != nil {
		t.Fatalf("body: %v %q", err, body)
	}
	text := streamText(t, streamed)
	if text != a.Choices[0].Message.Content {
		t.Fatalf("stream %q, body %q", text, a.Choices[0].Message.Content)
	}
	m, err := ParseResponse(text)
	if err != nil || m.Prompt != PromptHash("hello") || m.Model != "diary@1" {
		t.Fatalf("marker %+v: %v", m, err)
	}
	if _, err := ParseResponse(text[1:]); err == nil {
		t.Fatal("an altered response was accepted")
	}
}

// An overloaded engine must crash instead of rejecting requests, and must restart
// cold with an empty cache.
func TestEngineCrashesOnOverloadAndRestartsCold(t *testing.T) {
	cfg := fastEngine()
	cfg.BatchLimit, cfg.MaxHeld, cfg.ColdMaxHeld = 1, 2, 1
	cfg.StepUs = 1e6
	e := startEngine(t, cfg)
	results := make(chan error, 3)
	for range 3 {
		go func() {
			_, _, err := post(t, e.URL()+"/v1/chat/completions", chatBody("x", true))
			results <- err
		}()
	}
	for range 3 {
		if err := <-results; err == nil {
			t.Error("a request completed despite the crash")
		}
	}
	waitFor(t, "restart", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.epoch == 2 && e.coldFractionLocked() == 1 && e.cache.order.Len() == 0
	})
	if got := e.Totals(); got.Overloads == 0 {
		t.Errorf("totals %+v", got)
	}
}

// The engine must cancel a request whose caller has closed the connection.
func TestEngineCancelsOnClosedConnection(t *testing.T) {
	cfg := fastEngine()
	cfg.StepUs = 1e9
	e := startEngine(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	b, _ := json.Marshal(chatBody("x", true))
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/v1/chat/completions", bytes.NewReader(b))
	go func() { _, _ = http.DefaultClient.Do(req) }()
	waitFor(t, "request accepted", func() bool { return e.Totals().Accepted == 1 })
	cancel()
	waitFor(t, "request cancelled", func() bool { return e.Totals().Cancelled == 1 })
}

// A configured list of models must replace the default list, so that its entries do
// not inherit fields of the default model. Unknown settings must be rejected.
func TestEngineConfigReplacesModels(t *testing.T) {
	cfg := DefaultEngineConfig()
	if err := DecodeStrict(strings.NewReader(`{"models":[{"id":"x@1"}]}`), &cfg); err != nil {
		t.Fatal(err)
	}
	if m := cfg.Models[0]; len(cfg.Models) != 1 || m.Loaded || m.Quality != 0 || cfg.BatchLimit == 0 {
		t.Errorf("settings %+v", cfg)
	}
	if err := DecodeStrict(strings.NewReader(`{"modles":[]}`), &cfg); err == nil {
		t.Error("an unknown setting was accepted")
	}
}

// Waiting requests must enter the batch by priority, then by arrival.
func TestEngineFillsByPriority(t *testing.T) {
	e := &Engine{cfg: EngineConfig{BatchLimit: 2}}
	for i, p := range []int{5, 1, 3, 1} {
		e.waiting = append(e.waiting, &sequence{priority: p, arrival: uint64(i)})
	}
	e.fillBatchLocked()
	if e.running[0].arrival != 1 || e.running[1].arrival != 3 || len(e.waiting) != 2 {
		t.Fatalf("running %v %v", e.running[0], e.running[1])
	}
}

func intPtr(n int) *int { return &n }

// Each injected fault must take effect.
func TestEngineFaults(t *testing.T) {
	e := startEngine(t, fastEngine())
	url := e.URL() + "/v1/chat/completions"
	one := 1.0
	if err := e.SetFaults(EngineFaults{ErrorRate: &one}); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := post(t, url, chatBody("x", true)); status != http.StatusInternalServerError {
		t.Errorf("error share: status %d", status)
	}
	zero := 0.0
	_ = e.SetFaults(EngineFaults{ErrorRate: &zero, ResetAfterBytes: intPtr(100), Quality: map[string]float64{"diary@1": 0.1}})
	if _, text, err := post(t, url, chatBody("x", true)); err == nil || len(text) > 100 {
		t.Errorf("reset: %v after %d bytes", err, len(text))
	}
	_ = e.SetFaults(EngineFaults{ResetAfterBytes: intPtr(-1)})
	_, text, err := post(t, url, chatBody("x", true))
	if m, perr := ParseResponse(streamText(t, text)); err != nil || perr != nil || m.Quality != 0.1 {
		t.Errorf("quality: %v %v %+v", err, perr, m)
	}
	if status, _, _ := post(t, e.URL()+"/faults", map[string]int{"frees_ms": 1}); status != http.StatusBadRequest {
		t.Errorf("unknown fault: status %d", status)
	}
}

// Each violation of the protocol must reach the client, and end with the fault.
func TestEngineViolations(t *testing.T) {
	e := startEngine(t, fastEngine())
	url := e.URL() + "/v1/chat/completions"
	for _, violation := range []string{ViolationEndlessHead, ViolationEndlessBody, ViolationStall} {
		if err := e.SetFaults(EngineFaults{Violation: &violation}); err != nil {
			t.Fatal(err)
		}
		raw, _ := json.Marshal(chatBody("x", true))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_, err = io.ReadAll(io.LimitReader(response.Body, 1<<20))
			response.Body.Close()
		}
		cancel()
		if headEnded := violation != ViolationEndlessHead; err == nil != (violation == ViolationEndlessBody) || headEnded != (response != nil) {
			t.Errorf("%s: response %v, error %v", violation, response != nil, err)
		}
	}
	none, unknown := "", "other"
	if err := e.SetFaults(EngineFaults{Violation: &unknown}); err == nil {
		t.Error("an unknown violation is accepted")
	}
	_ = e.SetFaults(EngineFaults{Violation: &none})
	if status, _, err := post(t, url, chatBody("x", true)); err != nil || status != http.StatusOK {
		t.Errorf("after the fault: %d %v", status, err)
	}
}

// A paused engine must accept no request, and must continue when the fault ends.
func TestEngineFreezeAndStopReading(t *testing.T) {
	e := startEngine(t, fastEngine())
	const hour = 3600 * 1000
	for _, f := range []EngineFaults{{FreezeMs: intPtr(hour)}, {StopReadingMs: intPtr(hour)}} {
		before := e.Totals().Accepted
		_ = e.SetFaults(f)
		done := make(chan error, 1)
		go func() {
			_, _, err := post(t, e.URL()+"/v1/chat/completions", chatBody("x", false))
			done <- err
		}()
		time.Sleep(20 * time.Millisecond)
		if got := e.Totals().Accepted; got != before {
			t.Errorf("%+v: a request was read", f)
		}
		_ = e.SetFaults(EngineFaults{FreezeMs: intPtr(0), StopReadingMs: intPtr(0)})
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Orders with an old fencing token must be rejected in enforce mode only, and
// accepted orders must take effect.
func TestEngineOrders(t *testing.T) {
	for mode, want := range map[FenceMode]int{FenceEnforce: http.StatusConflict, FenceIgnore: http.StatusAccepted} {
		cfg := fastEngine()
		cfg.Fence, cfg.UnlistedQuality = mode, 0.5
		e := startEngine(t, cfg)
		if status, text, _ := post(t, e.URL()+"/orders", Order{Fence: 7, Kind: OrderLoad, Model: "diary@2"}); status != http.StatusAccepted {
			t.Fatalf("order: %d %s", status, text)
		}
		if status, _, _ := post(t, e.URL()+"/orders", Order{Fence: 6, Kind: OrderRole, Role: RoleDecode}); status != want {
			t.Errorf("%s: old fence got %d", mode, status)
		}
		waitFor(t, "version loaded", func() bool {
			r, err := http.Get(e.URL() + "/load")
			if err != nil {
				return false
			}
			defer r.Body.Close()
			var l LoadReport
			return json.NewDecoder(r.Body).Decode(&l) == nil && len(l.Loaded) == 2
		})
	}
}

// Dropped cache events must leave a gap, delayed events must stay hidden, and the
// cache must not exceed its capacity.
func TestPrefixCache(t *testing.T) {
	p, now := newPrefixCache(2), time.Unix(0, 0)
	p.dropEvents = 1
	for _, h := range []string{"a", "b", "b", "c"} {
		p.touch(h, now)
	}
	if p.touch("a", now) || p.order.Len() != 2 {
		t.Error("the oldest entry was kept")
	}
	events := p.eventsAfter(0, now, 0)
	if len(events) == 0 || events[0].Seq != 2 {
		t.Errorf("events %+v, want the first to be missing", events)
	}
	if late := p.eventsAfter(0, now, time.Second); len(late) != 0 {
		t.Errorf("events %+v came before their delay", late)
	}
}
