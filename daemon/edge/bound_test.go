package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// noticedOutage is how long a silent outage must last for the bound to hold: a shorter one may
// be over long before the long poll that it has broken is late. After such a one, or a restore
// that breaks no call, the configuration must be in force when the router counts as in touch.
const noticedOutage = 1100 * time.Millisecond

// Guards against waits that add up, over random interleavings of loss, return, restore, dropped
// history, long poll, refusal of a single router, slowness and a second loss: the newest
// configuration must be in force within the bound, and a removed server must not be used once
// the router counts as in touch.
func TestRecoveryIsBounded(t *testing.T) {
	seeds := uint64(400)
	var longest time.Duration
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { longest = max(longest, runRecovery(t, rand.New(rand.NewPCG(seed, 0)))) })
		})
	}
	t.Logf("the longest recovery took %s", longest)
}

// runRecovery plays one interleaving and returns the longest time from the return of the store
// until the configuration was in force.
func runRecovery(t *testing.T, random *rand.Rand) (longest time.Duration) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	chance := func(percent int) bool { return random.IntN(100) < percent }
	f := startVirtualFleet(t, 1+random.IntN(4), 2*random.IntN(2))
	before := f.store.copy()
	time.Sleep(upTo(6 * time.Second))
	f.store.put("config", testConfig{11})
	time.Sleep(upTo(3 * time.Second))

	// outage takes the store away from some routers and returns when it is back.
	ends := make([]time.Time, len(f.links))
	bound := f.edges[0].settings.recoveryBound()
	outage := func(links []*storeLink, restored bool) {
		fault, length := linkRefuses, 10*time.Millisecond+upTo(4*time.Second)
		switch kind := random.IntN(100); {
		case kind < 40:
			fault, length = linkSilent, noticedOutage+upTo(4*time.Second)
		case kind < 50:
			fault, length, bound = linkSilent, upTo(noticedOutage), DefaultContact
		case kind < 60:
			// A restore that breaks no call.
			fault, length, bound = linkWorks, upTo(noticedOutage), DefaultContact
		}
		for _, link := range links {
			link.set(fault)
		}
		time.Sleep(length)
		if restored && chance(70) {
			f.restoreUnnoticed(before)
		} else if restored {
			f.store.restore(before)
		} else if chance(30) {
			f.store.compact()
		}
		for i, link := range links {
			link.setLatency([]time.Duration{4, 60, 240}[random.IntN(3)] * time.Millisecond)
			link.set(linkWorks)
			ends[i] = time.Now()
		}
	}
	outage(f.links, chance(60))
	if chance(40) {
		time.Sleep(upTo(1500 * time.Millisecond))
		outage(f.links, chance(30))
	}
	if chance(50) {
		time.Sleep(upTo(500 * time.Millisecond))
		outage(f.links[:1], false)
	}
	time.Sleep(upTo(time.Second))
	f.store.put("config", testConfig{13})
	acknowledged := time.Now()
	time.Sleep(upTo(time.Second))
	f.store.remove("servers/a")
	removed := time.Now()

	inForce := make([]time.Time, len(f.links))
	for time.Since(removed) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
		now := time.Now()
		for i := range f.links {
			if inForce[i].IsZero() && f.version(i) == 13 {
				inForce[i] = now
				longest = max(longest, now.Sub(latest(ends[i], acknowledged)))
			}
			if inForce[i].IsZero() && now.Sub(latest(ends[i], acknowledged)) > bound {
				t.Fatalf("router %d does not go by the configuration %s after it could know it", i, bound)
			}
			if now.Sub(ends[i]) >= DefaultContact && now.Sub(removed) >= DefaultConfigApply && f.uses(i, "a") {
				t.Fatalf("router %d is in touch since %s and uses a server that was removed %s ago", i, now.Sub(ends[i])-DefaultContact, now.Sub(removed))
			}
		}
	}
	return longest
}
