package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// Engines that crash break many requests at once. On scale-2 of petitspas-diary and
// mulaz-ticketing (seed 11) that condemned good versions, which had most of the
// engines that crashed. A version that breaks connections and lives on still counts.
func TestCrashIsNoEvidence(t *testing.T) {
	alive := false
	a := newServer(t, "a", func(n int, x arrival, c net.Conn) bool {
		return alive && whole(200, "ok")(n, x, c)
	})
	r := newRig(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, a)
	for range 3 {
		r.call(http.MethodGet, "/x", "")
	}
	if n := r.samples.Load(); n != 0 {
		t.Errorf("%d samples of a server that may have crashed", n)
	}
	alive = true
	if got := r.call(http.MethodGet, "/x", ""); got.status != http.StatusOK {
		t.Fatalf("got %d", got.status)
	}
	if n := r.samples.Load(); n != 4 {
		t.Errorf("%d samples, want three broken connections and an answer", n)
	}
}

// Guards against a sign of life that is older than the loss, against losses that
// wait for ever, and against samples of another server.
func TestLosses(t *testing.T) {
	var l losses
	now := time.Unix(1_700_000_000, 0)
	l.hold(now, "a", Sample{Failed: true})
	if got := l.release(now, "a", now.Add(-time.Second)); len(got) != 0 {
		t.Error("an answer to an earlier request releases")
	}
	if got := l.release(now, "b", now.Add(time.Second)); len(got) != 0 {
		t.Error("another server's answer releases")
	}
	if got := l.release(now.Add(time.Second), "a", now.Add(time.Second)); len(got) != 1 || l.waiting.Load() != 0 {
		t.Errorf("%d samples, %d waiting", len(got), l.waiting.Load())
	}
	l.hold(now, "a", Sample{Failed: true})
	l.hold(now.Add(2*lossAge), "b", Sample{Failed: true})
	if l.waiting.Load() != 1 || len(l.byServer) != 1 {
		t.Errorf("%d wait after their time", l.waiting.Load()-1)
	}
	if got := l.release(now.Add(4*lossAge), "b", now.Add(3*lossAge)); len(got) != 0 {
		t.Error("a loss counts long after")
	}
}
