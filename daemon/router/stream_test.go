package router

import (
	"strings"
	"sync/atomic"
	"testing"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// TestFailurePoints guards against a wrong error code, a second effect of a booking
// or a repeated beginning of an answer when the stream from an agent fails at any
// point.
func TestFailurePoints(t *testing.T) {
	const part = `[{"index":0}]`
	broken, unknown := result.StreamBroken.Number, result.OutcomeUnknown.Number
	points := []struct {
		name      string
		behaviour behaviour
		// chat and book are the expected error codes, 0 for success.
		chat, book int
		// tries is how often an idempotent request is sent to an agent.
		tries    int64
		violated invariant.Name
	}{
		{"cut after the request", func(s *stream, _ *rpc.ExecuteRequest) { s.run(); s.cut() }, broken, unknown, 2, ""},
		{"cut after Admitted", func(s *stream, _ *rpc.ExecuteRequest) { s.run(); s.admit(); s.cut() }, broken, unknown, 2, ""},
		{"cut after a chunk", func(s *stream, _ *rpc.ExecuteRequest) { s.run(); s.admit(); s.chunk(0, part); s.cut() }, broken, unknown, 1, ""},
		{"stream ends before End", func(s *stream, _ *rpc.ExecuteRequest) { s.run(); s.admit(); s.chunk(0, part) }, broken, unknown, 1, ""},
		{"End with too many chunks", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.end(in, 2, result.Code{})
		}, broken, unknown, 1, ""},
		{"chunk repeated", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.chunk(0, part)
			s.end(in, 2, result.Code{})
		}, broken, unknown, 1, ""},
		{"chunk skipped", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.chunk(2, part)
			s.end(in, 3, result.Code{})
		}, broken, unknown, 1, ""},
		{"chunks out of order", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(1, part)
			s.chunk(0, part)
			s.end(in, 2, result.Code{})
		}, broken, unknown, 2, ""},
		{"chunk before Admitted", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.chunk(0, part)
			s.end(in, 1, result.Code{})
		}, broken, unknown, 2, ""},
		{"End before Admitted", func(s *stream, in *rpc.ExecuteRequest) { s.run(); s.end(in, 0, result.Code{}) }, broken, unknown, 2, ""},
		{"Admitted twice", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.admit()
			s.end(in, 1, result.Code{})
		}, broken, unknown, 1, ""},
		{"End of another request", func(s *stream, _ *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.end(&rpc.ExecuteRequest{RequestId: make([]byte, 16)}, 1, result.Code{})
		}, broken, unknown, 1, invariantOtherAnswer},
		{"oversized event", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, strings.Repeat("x", maxEventBytes+1))
			s.end(in, 1, result.Code{})
		}, broken, unknown, 2, ""},
		{"refused after Admitted", func(s *stream, _ *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.refuse(result.AgentFull)
		}, broken, unknown, 1, invariantNotRunAfterAnswer},
		{"not run after Admitted", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.end(in, 1, result.BackendDown)
		}, broken, unknown, 1, invariantNotRunAfterAnswer},
		{"complete", func(s *stream, in *rpc.ExecuteRequest) {
			s.run()
			s.admit()
			s.chunk(0, part)
			s.end(in, 1, result.Code{})
		}, 0, 0, 1, ""},
	}
	for _, p := range points {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			chat := newHarness(t, p.behaviour)
			got := chat.streamed(nil)
			if got.number != p.chat || strings.Contains(got.body, "[DONE]") != (p.chat == 0) {
				t.Errorf("chat: code %d, want %d: %s", got.number, p.chat, got.body)
			}
			if n := strings.Count(got.body, part); n > 1 {
				t.Errorf("the caller received the first chunk %d times", n)
			}
			// A new retry budget allows one retry.
			chat.wantOutcome(got, p.tries, p.violated)

			booking := newHarness(t, runOnce(p.behaviour))
			got = booking.book("")
			if got.number != p.book {
				t.Errorf("booking: code %d, want %d", got.number, p.book)
			}
			booking.wantOutcome(got, 1, p.violated)
		})
	}
}

// runOnce uses a for the first call and reports an unknown outcome for later ones,
// as an agent does from its records after a failure.
func runOnce(a behaviour) behaviour {
	var seen atomic.Bool
	return func(s *stream, in *rpc.ExecuteRequest) {
		if seen.Swap(true) {
			s.end(in, 0, result.OutcomeUnknown)
			return
		}
		a(s, in)
	}
}

// wantOutcome checks the effects, calls, charges and invariant violations after an
// answer.
func (h *harness) wantOutcome(got answer, effects int64, violated invariant.Name) {
	h.t.Helper()
	if n := h.effects(); n != effects {
		h.t.Errorf("%d effects, want %d", n, effects)
	}
	if sent := h.metrics.attempts.Get(); h.calls() > int64(sent) {
		h.t.Errorf("%d calls for %d attempts: the transport repeated calls", h.calls(), sent)
	}
	if got.run == string(result.NotRun) && h.effects() > 0 {
		h.t.Error("reported not run after an effect")
	}
	lines := 0
	if got.number == 0 {
		lines = 1
	}
	h.wantCharges(lines)
	counts := h.Checker.Counts()
	if violated == "" && len(counts) != 0 || violated != "" && counts[violated] == 0 {
		h.t.Errorf("violations %v, want %q", counts, violated)
	}
}

// TestUnreachableAgent guards against wrong error codes for an agent that refuses
// connections or fails the TLS handshake: a key created for the call has not run,
// but a key from the caller may have run earlier.
func TestUnreachableAgent(t *testing.T) {
	for name, breakAgent := range map[string]func(*harness){
		"refuses": func(h *harness) { h.agents[0].address = closedAddress(t) },
		"TLS fails": func(h *harness) {
			other := newHarness(t, succeed)
			h.agents[0].address = other.agents[0].address
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, succeed)
			breakAgent(h)
			h.publish()
			deadline := map[string]string{headerDeadline: "100"}
			for what, got := range map[string]answer{
				"chat":    h.chat(deadline),
				"booking": h.call("POST", "/v1/services/tickets/book", `{}`, deadline),
			} {
				if got.run != string(result.NotRun) {
					t.Errorf("%s: code %d, run %q", what, got.number, got.run)
				}
			}
			if got := h.book(h.keyAt(1)); got.number != result.OutcomeUnknown.Number {
				t.Errorf("caller's key: code %d", got.number)
			}
			h.wantOutcome(answer{number: 1}, 0, "")
		})
	}
}

// TestTransportRepeatsNothing guards against a call that the HTTP/2 transport
// repeats by itself when the server closes a reused connection.
func TestTransportRepeatsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*fakeAgent)
		want int
	}{
		"connection is lost": {func(a *fakeAgent) { a.server.CloseClientConnections() }, result.OutcomeUnknown.Number},
		"server closes gracefully": {func(a *fakeAgent) {
			a.server.Config.SetKeepAlivesEnabled(false)
			a.server.Config.SetKeepAlivesEnabled(true)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(s *stream, in *rpc.ExecuteRequest) {
				if s.agent.calls.Load() > 1 {
					c.end(s.agent)
				}
				succeed(s, in)
			})
			if got := h.book(""); got.status != 200 {
				t.Fatalf("first: code %d", got.number)
			}
			for range 3 {
				if got := h.book(""); got.number != c.want {
					t.Errorf("code %d, want %d", got.number, c.want)
				}
			}
			if calls, attempts := h.calls(), int64(h.metrics.attempts.Get()); calls != attempts {
				t.Errorf("%d calls of %d attempts", calls, attempts)
			}
		})
	}
}
