package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// newEngineHarness returns an agent for an emulated engine whose ramp starts at 2 requests.
func newEngineHarness(t *testing.T) (*harness, *emulate.Engine) {
	t.Helper()
	settings := emulate.DefaultEngineConfig()
	settings.StepUs, settings.StepPerRequestUs, settings.StartWarm = 50, 1, true
	e, err := emulate.StartEngine("127.0.0.1:0", settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	h := newHarness(t, config.BackendEngine, e.URL(), func(s *config.Agent) { s.Backend.ColdConcurrent = 2 })
	return h, e
}

// announce sets what the engine announces.
func announce(t *testing.T, e *emulate.Engine, leaving bool, retryAfter ...string) {
	t.Helper()
	if err := e.SetFaults(emulate.EngineFaults{AnnouncementFaults: emulate.AnnouncementFaults{Leaving: &leaving, RetryAfter: &retryAfter}}); err != nil {
		t.Fatal(err)
	}
}

// wantCode sends a chat request and checks the result code; the zero code is that of an answer.
func (r *harness) wantCode(want result.Code) {
	r.t.Helper()
	in := chat("1")
	in.Body = []byte(`{"messages":[{"role":"user","content":"x"}]}`)
	if got := r.execute(r.t.Context(), in).code; got != want {
		r.t.Fatalf("%d %s, want %d %s", got.Number, got.Name, want.Number, want.Name)
	}
}

// Guards against requests to a server that has announced that it leaves, and against a server that
// gets none although it stays or has started again.
func TestServerThatAnnouncesToLeaveGetsNoRequests(t *testing.T) {
	h, e := newEngineHarness(t)
	last := h.probeOnce(t.Context(), probeReport{})
	h.wantCode(result.Code{})
	announce(t, e, true)
	h.wantCode(result.Code{})
	h.publish()
	for range 10 {
		h.wantCode(result.AgentLeaving)
	}
	if n := e.Totals().Accepted; n != 2 {
		t.Errorf("%d requests reached the engine, want 2", n)
	}
	if phase := h.state().GetPhase(); phase != rpc.Phase_PHASE_LEAVING {
		t.Errorf("routers are told the phase %s", phase)
	}
	last = h.probeOnce(t.Context(), last)
	announce(t, e, false)
	h.clock.Advance(departureDoubt - time.Second)
	last = h.probeOnce(t.Context(), last)
	h.publish()
	h.wantCode(result.AgentLeaving)
	h.clock.Advance(time.Second)
	last = h.probeOnce(t.Context(), last)
	h.publish()
	h.Syncer.RecordContact("dc1", h.clock.Now())
	h.wantCode(result.Code{})

	announce(t, e, true)
	h.wantCode(result.Code{})
	e.Crash(0)
	if err := e.Reopen(); err != nil {
		t.Fatal(err)
	}
	h.probeOnce(t.Context(), last)
	h.publish()
	h.wantCode(result.Code{})
	h.wantSettled(1) // all requests have the same ID
}

// Guards against requests in a pause that the server has asked for, against a pause that ends
// with the shorter one of two or never, and against a rush at its end.
func TestServerThatAsksForAPauseGetsNoRequests(t *testing.T) {
	h, e := newEngineHarness(t)
	announce(t, e, false, "1.5", "2.5")
	h.wantCode(result.AgentFull)
	announce(t, e, false, "0.5", "soon")
	h.observeResponse(http.StatusServiceUnavailable, http.Header{"Retry-After": {"0.5"}}) // to a request sent before
	for range 10 {
		h.wantCode(result.AgentPaused)
	}
	h.clock.Advance(2400 * time.Millisecond)
	h.wantCode(result.AgentPaused)
	if ms := h.state().GetPausedMs(); ms != 100 {
		t.Errorf("routers are told a pause of %d ms, want 100", ms)
	}
	if n := e.TurnedAway(); n != 1 {
		t.Errorf("%d requests reached the engine, want 1", n)
	}
	h.clock.Advance(100 * time.Millisecond)
	if s := h.state(); s.GetPausedMs() != 0 || s.GetPermitLimit() != 2 {
		t.Errorf("%d requests are allowed after the pause, want 2", s.GetPermitLimit())
	}
	h.wantCode(result.AgentFull) // turned away again
	h.wantCode(result.AgentPaused)
	announce(t, e, false)
	h.clock.Advance(500 * time.Millisecond)
	h.wantCode(result.Code{})
	h.wantSettled(1)
}

// Guards against a call that may not be repeated and is sent in a pause, or is said to have run.
func TestBookingInAPause(t *testing.T) {
	s := newFaultyServer(t, func(conn net.Conn, s *faultyServer) {
		defer conn.Close()
		s.readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")
	})
	h := newHarness(t, config.BackendService, s.url, nil)
	first := h.execute(t.Context(), h.booking(h.key()))
	if first.status != 503 {
		t.Errorf("status %d, code %d", first.status, first.code.Number)
	}
	key := h.key()
	if got := h.execute(t.Context(), h.booking(key)); got.code != result.AgentPaused || got.code.Run != result.NotRun {
		t.Errorf("code %d in the pause", got.code.Number)
	}
	if n := s.effects.Load(); n != 1 {
		t.Errorf("%d calls reached the service, want 1", n)
	}
	h.clock.Advance(3 * time.Second)
	if got := h.execute(t.Context(), h.booking(key)); got.status != 503 || s.effects.Load() != 2 {
		t.Errorf("status %d, code %d after the pause", got.status, got.code.Number)
	}
}
