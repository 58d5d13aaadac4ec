package failuredetector

import (
	"testing"
	"time"
)

var bounds = Config{MinTimeout: time.Second, MaxTimeout: 10 * time.Second}

// Guards against suspicion of a peer that is regular, a peer that is never
// suspected, and a timeout that one outage leaves at its upper bound.
func TestTimeoutFollowsIntervals(t *testing.T) {
	d, err := New(bounds)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	regular := func(n int, interval time.Duration) {
		for range n {
			now = now.Add(interval)
			if level := d.SuspicionLevel("a", now); level >= SuspicionThreshold {
				t.Fatalf("regular peer suspected at level %v", level)
			}
			d.Observe("a", now)
		}
	}
	d.Observe("a", now)
	regular(100, 100*time.Millisecond)
	if got := d.Timeout("a"); got != bounds.MinTimeout {
		t.Errorf("timeout of a fast peer: %v", got)
	}
	if level := d.SuspicionLevel("a", now.Add(bounds.MinTimeout)); level < SuspicionThreshold {
		t.Errorf("silent peer at level %v", level)
	}
	now = now.Add(time.Hour)
	d.Observe("a", now)
	regular(30, 100*time.Millisecond)
	if got := d.Timeout("a"); got != bounds.MinTimeout {
		t.Errorf("timeout 30 replies after an outage: %v", got)
	}
	regular(100, 800*time.Millisecond)
	if got := d.Timeout("a"); got < bounds.MinTimeout || got > 2*time.Second {
		t.Errorf("timeout of a slower peer: %v", got)
	}
}

// Guards against harm by a clock that steps back and by unknown peers.
func TestStepBackAndUnknownPeers(t *testing.T) {
	d, _ := New(bounds)
	now := time.Unix(100, 0)
	d.Observe("a", now)
	d.Observe("a", now.Add(-time.Hour))
	if level := d.SuspicionLevel("a", now.Add(-time.Hour)); level != 0 {
		t.Errorf("level after a step back: %v", level)
	}
	if level := d.SuspicionLevel("b", now); level != 0 {
		t.Errorf("level of an unknown peer: %v", level)
	}
	d.Remove("a")
	if level := d.SuspicionLevel("a", now.Add(time.Hour)); level != 0 {
		t.Errorf("level of a forgotten peer: %v", level)
	}
	if _, err := New(Config{MinTimeout: 2, MaxTimeout: 1}); err == nil {
		t.Error("bad bounds accepted")
	}
}

// Guards against suspicion of all peers after a pause of the observer, against a
// timeout that learns the pause, and against a pause that clears the suspicion of
// a silent peer or delays it by more than one timeout.
func TestPauseOfTheObserver(t *testing.T) {
	d, _ := New(bounds)
	const tick = 100 * time.Millisecond
	now := time.Unix(0, 0)
	run := func(n int, peers ...string) {
		for range n {
			now = now.Add(tick)
			d.Tick(now)
			for _, name := range peers {
				d.Observe(name, now)
			}
		}
	}
	run(100, "live", "dead")
	run(20, "live")
	before := d.SuspicionLevel("dead", now)
	if before < SuspicionThreshold {
		t.Fatalf("dead peer at level %v", before)
	}
	now = now.Add(time.Hour)
	d.Tick(now)
	if level := d.SuspicionLevel("live", now); level >= SuspicionThreshold {
		t.Errorf("level %v of a live peer after the pause", level)
	}
	if level := d.SuspicionLevel("dead", now); level < SuspicionThreshold {
		t.Errorf("dead peer at level %v after the pause", level)
	}
	d.Observe("live", now)
	if got := d.Timeout("live"); got != bounds.MinTimeout {
		t.Errorf("timeout %v after the pause", got)
	}
	run(int(bounds.MinTimeout / tick))
	if level := d.SuspicionLevel("live", now); level < SuspicionThreshold {
		t.Errorf("peer silent since the pause at level %v", level)
	}
}
