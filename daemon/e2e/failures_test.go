package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/result"
)

// agentSpec returns the spec of the agent on a VM, or an empty one if there is none.
func agentSpec(vm string) fleet.AgentSpec {
	for _, a := range spec.Agents {
		if a.VM == vm {
			return a
		}
	}
	return fleet.AgentSpec{}
}

func routerSpec(vm string) fleet.RouterSpec {
	for _, r := range spec.Routers {
		if r.VM == vm {
			return r
		}
	}
	return fleet.RouterSpec{}
}

// restart starts the exited daemon of a VM again and waits until it is ready.
func restart(t *testing.T, vm string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if a := agentSpec(vm); a.VM != "" {
		must(t, deployment.StartAgent(a))
	} else {
		must(t, deployment.StartRouter(routerSpec(vm)))
	}
	must(t, deployment.WaitReadyVM(ctx, vm))
}

// TestEngineBreaksBeforeAnswer guards against an idempotent request that fails
// although its caller has received nothing yet and another engine could answer it.
func TestEngineBreaksBeforeAnswer(t *testing.T) {
	waitIdle(t)
	for _, vm := range engines()[1:] {
		fault(t, deployment.BackendURL(vm), object{"reset_after_bytes": 0}, object{"reset_after_bytes": -1})
	}
	// Each try uses a new prompt, because requests with the same prompt prefer the
	// engine that answered it before.
	tries := 0
	eventually(t, "a request is answered after a reset", func() bool {
		tries++
		before := cancelledRequests(t)
		a := chat(t.Context(), "router-a", refusingWorkspace, streamed("small@1", fmt.Sprint("retry ", tries)))
		return strings.HasSuffix(string(a.body), "data: [DONE]\n\n") && cancelledRequests(t) > before
	})
}

// cancelledRequests returns the number of requests that the engines with an injected
// fault have cancelled.
func cancelledRequests(t *testing.T) (n uint64) {
	t.Helper()
	for _, vm := range engines()[1:] {
		n += engineTotals(t, vm).Cancelled
	}
	return n
}

// TestEngineKilledMidStream guards against a cut answer that looks complete, and
// against a retry that repeats the answer from its start within the same stream.
func TestEngineKilledMidStream(t *testing.T) {
	waitIdle(t)
	slowEngines(t)
	s := openStream(t, t.Context(), "router-a", refusingWorkspace, streamed("large", "killed"))
	for range 2 {
		if !s.next() {
			t.Fatalf("no first token: %v", s.err)
		}
	}
	vm := servingVM(t)
	must(t, deployment.Kill(t.Context(), fleet.BackendName(vm)))
	s.readAll()
	must(t, deployment.StartBackend(agentSpec(vm)))
	eventually(t, "the engine is in service again", func() bool {
		return do(t.Context(), http.MethodGet, deployment.BackendURL(vm)+"/load", nil, nil).status == http.StatusOK
	})
	if r := refusalOf([]byte(s.last())).Error; r.Number != result.StreamBroken.Number || r.Run != string(result.Unknown) {
		t.Errorf("last event %q", s.last())
	}
	for _, event := range s.events {
		if event == "[DONE]" {
			t.Error("a cut answer contains [DONE]")
		}
	}
}

// TestAgentKilledMidStream is TestEngineKilledMidStream for the agent.
func TestAgentKilledMidStream(t *testing.T) {
	waitIdle(t)
	slowEngines(t)
	s := openStream(t, t.Context(), "router-b", refusingWorkspace, streamed("large", "agent killed"))
	if !s.next() {
		t.Fatalf("no first token: %v", s.err)
	}
	vm := servingVM(t)
	must(t, deployment.Kill(t.Context(), vm))
	s.readAll()
	restart(t, vm)
	if r := refusalOf([]byte(s.last())).Error; r.Number != result.StreamBroken.Number {
		t.Errorf("last event %q", s.last())
	}
	waitIdle(t)
}

// startBooking sends a booking in the background and waits until an agent of a
// tickets service runs it.
func startBooking(t *testing.T, router, ref, idempotencyKey string) (vm string, done chan answer) {
	t.Helper()
	done = make(chan answer, 1)
	go func() { done <- book(context.Background(), router, ref, idempotencyKey) }()
	eventually(t, "an agent runs the booking", func() bool {
		for _, vm = range []string{"tickets-a", "tickets-b"} {
			if metric(t, vm, "cactusknot_agent_running_requests") > 0 {
				return true
			}
		}
		return false
	})
	return vm, done
}

// TestRouterKilledMidBooking guards against a second booking when a caller
// repeats a request whose router was killed.
func TestRouterKilledMidBooking(t *testing.T) {
	slowTickets(t, time.Second)
	k := newKey(t, "router-a")
	_, done := startBooking(t, "router-a", "router killed", k)
	must(t, deployment.Kill(t.Context(), "router-a"))
	if a := <-done; a.err == nil {
		t.Errorf("answer from a killed router: %s", a)
	}
	a := book(t.Context(), "router-b", "router killed", k)
	restart(t, "router-a")
	if a.status != http.StatusCreated || effects(t, "router killed") != 1 {
		t.Errorf("%s, %d effects", a, effects(t, "router killed"))
	}
	again := book(t.Context(), "router-a", "router killed", k)
	eventually(t, "the restarted router knows the key's home", func() bool {
		again = book(t.Context(), "router-a", "router killed", k)
		return again.status == http.StatusCreated
	})
	if string(again.body) != string(a.body) || effects(t, "router killed") != 1 {
		t.Errorf("replay %s differs from %s", again, a)
	}
}

// TestAgentKilledMidBooking guards against reporting a booking as not run when its
// agent was killed, and against a second run under its key.
func TestAgentKilledMidBooking(t *testing.T) {
	slowTickets(t, time.Second)
	k := newKey(t, "router-a")
	vm, done := startBooking(t, "router-a", "agent killed", k)
	must(t, deployment.Kill(t.Context(), vm))
	(<-done).want(t, result.OutcomeUnknown)
	// The outcome stays unknown while the agent is down, while it starts and after that.
	for _, router := range []string{"router-a", "router-b"} {
		book(t.Context(), router, "agent killed", k).want(t, result.OutcomeUnknown)
	}
	must(t, deployment.StartAgent(agentSpec(vm)))
	for range 20 {
		for _, router := range []string{"router-a", "router-b", "router-c"} {
			book(t.Context(), router, "agent killed", k).want(t, result.OutcomeUnknown)
		}
		time.Sleep(50 * time.Millisecond)
	}
	restarted, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	must(t, deployment.WaitReadyVM(restarted, vm))
	if n := effects(t, "agent killed"); n > 1 {
		t.Errorf("%d effects", n)
	}
}

// TestAgentFrozenMidBooking guards against a second booking and a false "not run"
// when an agent is suspended during a booking and resumed later.
func TestAgentFrozenMidBooking(t *testing.T) {
	slowTickets(t, time.Second)
	k := newKey(t, "router-a")
	vm, done := startBooking(t, "router-a", "frozen", k)
	must(t, deployment.Signal(vm, syscall.SIGSTOP))
	t.Cleanup(func() { _ = deployment.Signal(vm, syscall.SIGCONT) })
	(<-done).want(t, result.OutcomeUnknown)
	book(t.Context(), "router-b", "frozen", k).want(t, result.OutcomeUnknown)
	// Other bookings still succeed meanwhile.
	eventually(t, "another agent books", func() bool {
		return book(t.Context(), "router-a", "while frozen", "").status == http.StatusCreated
	})
	must(t, deployment.Signal(vm, syscall.SIGCONT))
	eventually(t, "the outcome is known", func() bool {
		a := book(t.Context(), "router-b", "frozen", k)
		return a.status == http.StatusCreated || a.number() == result.OutcomeUnknown.Number && effects(t, "frozen") > 0
	})
	if n := effects(t, "frozen"); n != 1 {
		t.Errorf("%d effects", n)
	}
}
