package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// A crash of an engine breaks many requests at once, which once condemned good versions
// that had most of the crashed engines (scale-2 of petitspas-diary and mulaz-ticketing,
// seed 11). Broken connections count only if their server answers again.
func TestCrashIsNoEvidence(t *testing.T) {
	var alive atomic.Bool
	a := newServer(t, "a", func(n int, x receivedRequest, c net.Conn) bool {
		return alive.Load() && respond(200, "ok")(n, x, c)
	})
	r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, a)
	for range 3 {
		r.call(http.MethodGet, "/x", "")
	}
	if n := r.samples.Load(); n != 0 {
		t.Errorf("%d samples from a server that may have crashed", n)
	}
	alive.Store(true)
	if got := r.call(http.MethodGet, "/x", ""); got.status != http.StatusOK {
		t.Fatalf("got %d", got.status)
	}
	if n := r.samples.Load(); n != 4 {
		t.Errorf("%d samples, want 4: three broken connections and one answer", n)
	}
}

// Guards against broken connections that are released by an answer to an earlier
// request or by another server, and against ones that stay pending for ever.
func TestPendingFailures(t *testing.T) {
	var l pendingFailures
	now := time.Unix(1_700_000_000, 0)
	l.add(now, "a", Sample{Failed: true})
	if got := l.release(now, "a", now.Add(-time.Second)); len(got) != 0 {
		t.Error("an answer to an earlier request releases the failure")
	}
	if got := l.release(now, "b", now.Add(time.Second)); len(got) != 0 {
		t.Error("another server's answer releases the failure")
	}
	if got := l.release(now.Add(time.Second), "a", now.Add(time.Second)); len(got) != 1 || l.count.Load() != 0 {
		t.Errorf("%d samples, %d pending", len(got), l.count.Load())
	}
	l.add(now, "a", Sample{Failed: true})
	l.add(now.Add(2*pendingFailureTimeout), "b", Sample{Failed: true})
	if l.count.Load() != 1 || len(l.byServer) != 1 {
		t.Errorf("%d still pending after the timeout", l.count.Load()-1)
	}
	if got := l.release(now.Add(4*pendingFailureTimeout), "b", now.Add(3*pendingFailureTimeout)); len(got) != 0 {
		t.Error("a failure is released after its timeout")
	}
}
