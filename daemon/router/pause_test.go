package router

import (
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/balance"
)

// pauseAll publishes a view in which the servers of all agents pause for a time.
func (h *harness) pauseAll(pauses ...time.Duration) {
	h.publish()
	v := *h.view.Load()
	agents := append([]balance.Agent(nil), v.servers.Agents()...)
	for i := range agents {
		agents[i].PausedUntil = h.Clock.Now().Add(pauses[i])
	}
	v.servers = balance.NewSnapshot(balance.Config{Check: h.Checker}, agents, balance.Exclusion{})
	h.view.Store(&v)
}

// Guards against callers who wait for their deadline, or are told to return too early, while all
// servers pause, and against requests to servers that do.
func TestCallersAreRefusedAtOnceWhileAllServersPause(t *testing.T) {
	h := newHarness(t, succeed, succeed)
	h.pauseAll(5*time.Second, 2200*time.Millisecond)
	started := time.Now()
	for what, got := range map[string]answer{"chat": h.chat(nil), "stream": h.streamed(nil), "booking": h.book("")} {
		if got.status != 503 || got.run != "not_run" || got.header.Get("Retry-After") != "3" {
			t.Errorf("%s: status %d, run %q, Retry-After %q", what, got.status, got.run, got.header.Get("Retry-After"))
		}
	}
	if took := time.Since(started); took > time.Second || h.calls() != 0 {
		t.Errorf("%d calls of agents; took %s", h.calls(), took)
	}
	h.pauseAll(5*time.Second, 0)
	for range 5 {
		if got := h.chat(nil); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
	}
	if n := h.agents[0].calls.Load(); n != 0 {
		t.Errorf("%d requests to a server that pauses", n)
	}
	if why := h.explainServers("diary@1"); len(why) != 2 || why[0].Reason != "paused" || why[1].Reason != "candidate" {
		t.Errorf("explained as %+v", why)
	}
	h.pauseAll(100*time.Millisecond, 150*time.Millisecond)
	if got := h.chat(nil); got.status != 200 {
		t.Errorf("status %d after a short pause, %s", got.status, strings.TrimSpace(got.body))
	}
}
