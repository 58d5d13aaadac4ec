package failuredetector

import (
	"testing"
	"time"
)

var testConfig = Config{MinTimeout: time.Second, MaxTimeout: 10 * time.Second}

// A peer that replies regularly must not be suspected, a silent peer must be, and the
// timeout must recover after an outage instead of remaining at MaxTimeout.
func TestTimeoutFollowsIntervals(t *testing.T) {
	d, err := New(testConfig)
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
	if got := d.Timeout("a"); got != testConfig.MinTimeout {
		t.Errorf("timeout of a fast peer: %v", got)
	}
	if level := d.SuspicionLevel("a", now.Add(testConfig.MinTimeout)); level < SuspicionThreshold {
		t.Errorf("silent peer at level %v", level)
	}
	now = now.Add(time.Hour)
	d.Observe("a", now)
	regular(30, 100*time.Millisecond)
	if got := d.Timeout("a"); got != testConfig.MinTimeout {
		t.Errorf("timeout 30 replies after an outage: %v", got)
	}
	regular(100, 800*time.Millisecond)
	if got := d.Timeout("a"); got < testConfig.MinTimeout || got > 2*time.Second {
		t.Errorf("timeout of a slower peer: %v", got)
	}
}

// A clock that is set back and unknown peers must not cause suspicions.
func TestClockStepBackAndUnknownPeers(t *testing.T) {
	d, _ := New(testConfig)
	now := time.Unix(100, 0)
	d.Observe("a", now)
	d.Observe("a", now.Add(-time.Hour))
	if level := d.SuspicionLevel("a", now.Add(-time.Hour)); level != 0 {
		t.Errorf("level after the clock was set back: %v", level)
	}
	if level := d.SuspicionLevel("b", now); level != 0 {
		t.Errorf("level of an unknown peer: %v", level)
	}
	d.Remove("a")
	if level := d.SuspicionLevel("a", now.Add(time.Hour)); level != 0 {
		t.Errorf("level of a removed peer: %v", level)
	}
	if _, err := New(Config{MinTimeout: 2, MaxTimeout: 1}); err == nil {
		t.Error("invalid configuration accepted")
	}
}

// After a pause of the observing process, live peers must not be suspected, the pause
// must not affect their timeouts, and silent peers must remain suspected or become
// suspected within one timeout.
func TestObserverPause(t *testing.T) {
	d, _ := New(testConfig)
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
	if got := d.Timeout("live"); got != testConfig.MinTimeout {
		t.Errorf("timeout %v after the pause", got)
	}
	run(int(testConfig.MinTimeout / tick))
	if level := d.SuspicionLevel("live", now); level < SuspicionThreshold {
		t.Errorf("peer silent since the pause at level %v", level)
	}
}
