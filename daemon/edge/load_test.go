package edge

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// Guards against a router that waits for a frozen aggregator at each exchange.
func TestFailedAggregatorIsAskedLast(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := aggregatorFailures{"a": now}
	if got := f.order(now, []string{"a", "b"}); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("after a failure of a: %v", got)
	}
	if got := f.order(now.Add(aggregatorAvoidance), []string{"a", "b"}); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("later: %v", got)
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

// The running sum must stay the sum of the routers' latest reports, while they change,
// fall silent and return, or it would drift and steer requests for good.
func TestLoadSumMatchesReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var l loadAggregator
		latest := make(map[string]loadReport)
		var expiredAt time.Time
		for range rapid.IntRange(1, 60).Draw(t, "exchanges") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			router := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "router")
			report := make(map[string]selection.OutstandingWork)
			for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"s1", "s2", "s3"}), rapid.ID).Draw(t, "servers") {
				report[id] = selection.OutstandingWork{InFlight: rapid.IntRange(1, 9).Draw(t, "in flight"), PrefillTime: time.Duration(rapid.IntRange(0, 9).Draw(t, "prefill"))}
			}
			if now.Sub(expiredAt) >= loadInterval {
				expiredAt = now
				maps.DeleteFunc(latest, func(_ string, r loadReport) bool { return now.Sub(r.at) > loadReportMaxAge })
			}
			want := make(map[string]selection.OutstandingWork)
			for name, r := range latest {
				for id, work := range r.servers {
					if name != router {
						want[id] = want[id].Add(work)
					}
				}
			}
			latest[router] = loadReport{at: now, servers: report}
			got := l.exchange(now, router, report)
			if !maps.Equal(got, want) {
				t.Fatalf("sum %v, want %v", got, want)
			}
		}
	})
}

// One aggregator serves hundreds of routers on a small VM: the cost of an exchange must
// not grow with their number.
func BenchmarkLoadExchange(b *testing.B) {
	for _, routers := range []int{25, 100, 400} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			var l loadAggregator
			now := time.Unix(1000, 0)
			report := make(map[string]selection.OutstandingWork)
			for i := range 100 {
				report[fmt.Sprint("s", i)] = selection.OutstandingWork{InFlight: 1, PrefillTime: 1}
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(loadInterval / time.Duration(routers))
				l.exchange(now, fmt.Sprint("r", i%routers), report)
			}
		})
	}
}
