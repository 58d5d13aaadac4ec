package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against waits that add up after a restore: an exponential backoff, and a long poll of
// the restored store, which has nothing to report because its revision has passed the router's
// again. The store is slow after its return.
func TestConfigurationAfterARestoreIsInForceInTime(t *testing.T) {
	for offset := range 10 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startVirtualFleet(t, 1, 0)
				for version := uint64(4); version < 9; version++ {
					f.store.put("config", testConfig{version})
				}
				before := f.store.copy()
				time.Sleep(3*time.Second + time.Duration(offset)*190*time.Millisecond)
				f.store.put("config", testConfig{11})
				time.Sleep(time.Second)
				f.links[0].set(linkRefuses)
				time.Sleep(2 * time.Second)
				f.restoreUnnoticed(before)
				f.links[0].setLatency(240 * time.Millisecond)
				f.links[0].set(linkWorks)
				time.Sleep(90 * time.Millisecond)
				f.store.put("config", testConfig{13})
				took := within(t, 4*time.Second, "version 13 is in force", func() bool { return f.version(0) == 13 })
				if took > 1810*time.Millisecond {
					t.Errorf("in force %s after it was acknowledged", took)
				}
			})
		})
	}
}

// Guards against a connection that hangs, and an answer that is slow, delaying the recovery:
// the calls of an outage are silent, the first listing is lost, and the store is slow.
func TestHungCallsDelayNoRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startVirtualFleet(t, 1, 0)
		before := f.store.copy()
		f.store.put("config", testConfig{11})
		time.Sleep(time.Second)
		f.links[0].set(linkSilent)
		time.Sleep(5 * time.Second)
		f.store.restore(before)
		f.store.put("config", testConfig{13})
		f.links[0].set(linkWorks)
		within(t, time.Second, "the store has answered", func() bool { return f.edges[0].controller.storeOutage() == 0 })
		f.links[0].set(linkSilent)
		f.links[0].setLatency(240 * time.Millisecond)
		f.links[0].set(linkWorks)
		within(t, 1300*time.Millisecond, "version 13 is in force", func() bool { return f.version(0) == 13 })
	})
}

// Guards against a long poll that a follower starts on a silent store after it has left its
// readers, so that it finds the return of the store only when the poll is late.
func TestFollowersFindTheReturnOfTheStore(t *testing.T) {
	for offset := range 12 {
		synctest.Test(t, func(t *testing.T) {
			f := startVirtualFleet(t, 4, 2)
			time.Sleep(3 * time.Second)
			for _, link := range f.links {
				link.set(linkSilent)
			}
			time.Sleep(1750*time.Millisecond + time.Duration(offset)*200*time.Millisecond)
			f.store.put("config", testConfig{13})
			for _, link := range f.links {
				link.set(linkWorks)
			}
			began := time.Now()
			for i := range f.links {
				within(t, 1000*time.Millisecond-time.Since(began), "version 13 is in force", func() bool { return f.version(i) == 13 })
			}
		})
	}
}

// Guards against more store calls on a quiet day than one long poll after the other takes.
func TestQuietDayTakesNoMoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startVirtualFleet(t, 4, 2)
		time.Sleep(20 * time.Second)
		for _, link := range f.links {
			link.callCount()
		}
		time.Sleep(time.Minute)
		calls := 0
		for _, link := range f.links {
			calls += link.callCount()
		}
		// Two readers poll for a second each time.
		if calls > 2*60 {
			t.Errorf("%d calls in a minute", calls)
		}
	})
}

// Guards against probes that take more than their share of the store's reads, and against a
// wait before the first call after a loss.
func TestCallSchedule(t *testing.T) {
	settings := &Settings{StoreReadsPerS: 2000}
	for _, routers := range []int{1, 5, 150, 1000} {
		now := time.Unix(1000, 0)
		s := callSchedule{interval: settings.probeInterval(routers), jitter: func() float64 { return 0 }}
		s.first(now, time.Minute)
		s.loseCall(now)
		if !s.due.Equal(now) {
			t.Errorf("first call after a loss at %s, want at once", s.due.Sub(now))
		}
		s.repeat(now)
		s.loseCall(now)
		wait := s.due.Sub(now)
		if perSecond := float64(routers) / wait.Seconds(); perSecond > 500.001 || routers < 150 && wait != maxProbeInterval {
			t.Errorf("%d routers: a probe every %s, %.0f a second", routers, wait, perSecond)
		}
	}
}
