package edge

import (
	"testing"
	"time"

	"cactusknot.example/daemon/selection"
)

// Guards against exchanges of an idle router at the full rate, against a router that
// does not say at once that it has become idle or busy, and against a pause after
// which the others' work counts as unknown.
func TestLoadPace(t *testing.T) {
	var p loadPace
	now := time.Unix(1_700_000_000, 0)
	exchanges := func(busy bool, steps int) int {
		n := 0
		for range steps {
			now = now.Add(loadInterval)
			if p.due(now, busy) {
				n++
			}
		}
		return n
	}
	if n := exchanges(true, 10); n != 10 {
		t.Errorf("busy: %d of 10 exchanges", n)
	}
	if n := exchanges(false, 1); n != 1 {
		t.Error("the end of the work was not reported")
	}
	if n := exchanges(false, 20); n != 4 {
		t.Errorf("idle: %d exchanges in 4 s, want 4", n)
	}
	if n := exchanges(true, 1); n != 1 {
		t.Error("new work was not reported")
	}
	if idleLoadInterval+loadInterval >= selection.MaxPeerWorkAge {
		t.Error("an idle router forgets the others' work between two exchanges")
	}
}

// Guards against a sum with the asking router's own work in it, and against work of
// a router that has gone.
func TestLoadSums(t *testing.T) {
	var l loadSums
	now := time.Unix(1_700_000_000, 0)
	work := func(n int) map[string]selection.OutstandingWork {
		return map[string]selection.OutstandingWork{"a": {InFlight: n}}
	}
	l.exchange(now, "r1", work(1))
	l.exchange(now, "r2", work(2))
	if sum := l.exchange(now, "r3", work(4)); sum["a"].InFlight != 3 {
		t.Errorf("sum %v, want 3", sum)
	}
	now = now.Add(loadAge + time.Millisecond)
	l.exchange(now, "r1", work(1))
	if sum := l.exchange(now, "r3", work(4)); sum["a"].InFlight != 1 {
		t.Errorf("sum %v, want that of r1 only", sum)
	}
}
