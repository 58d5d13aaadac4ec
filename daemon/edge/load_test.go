package edge

import (
	"testing"
	"time"

	"cactusknot.example/daemon/selection"
)

// Guards against an idle router that exchanges its load at the full rate, against a
// router that reports late that it has become idle or busy, and against an idle
// interval so long that the load of the other routers expires.
func TestLoadSchedule(t *testing.T) {
	var s loadSchedule
	now := time.Unix(1_700_000_000, 0)
	exchanges := func(busy bool, steps int) int {
		n := 0
		for range steps {
			now = now.Add(loadInterval)
			if s.due(now, busy) {
				n++
			}
		}
		return n
	}
	if n := exchanges(true, 10); n != 10 {
		t.Errorf("busy: %d of 10 exchanges", n)
	}
	if n := exchanges(false, 1); n != 1 {
		t.Error("becoming idle was not reported")
	}
	if n := exchanges(false, 20); n != 4 {
		t.Errorf("idle: %d exchanges in 4 s, want 4", n)
	}
	if n := exchanges(true, 1); n != 1 {
		t.Error("becoming busy was not reported")
	}
	if idleLoadInterval+loadInterval >= selection.MaxPeerWorkAge {
		t.Error("the load of the other routers expires between two exchanges of an idle router")
	}
}

// Guards against a total that includes the load of the requesting router or of a router
// that has stopped reporting.
func TestLoadAggregator(t *testing.T) {
	var l loadAggregator
	now := time.Unix(1_700_000_000, 0)
	work := func(n int) map[string]selection.OutstandingWork {
		return map[string]selection.OutstandingWork{"a": {InFlight: n}}
	}
	l.exchange(now, "r1", work(1))
	l.exchange(now, "r2", work(2))
	if sum := l.exchange(now, "r3", work(4)); sum["a"].InFlight != 3 {
		t.Errorf("sum %v, want 3", sum)
	}
	now = now.Add(loadReportMaxAge + time.Millisecond)
	l.exchange(now, "r1", work(1))
	if sum := l.exchange(now, "r3", work(4)); sum["a"].InFlight != 1 {
		t.Errorf("sum %v, want that of r1 only", sum)
	}
}
