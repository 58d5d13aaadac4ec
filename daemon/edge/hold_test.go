package edge

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against the use of a server whose entry was removed while the store had refused only
// this router: the store served the others, so the servers could renew their entries.
func TestNoHoldWhileTheStoreServedOthers(t *testing.T) {
	for offset := range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := startVirtualFleet(t, 2, 0)
			time.Sleep(3 * time.Second)
			f.links[0].set(linkRefuses)
			time.Sleep(4*time.Second + time.Duration(offset)*70*time.Millisecond)
			f.links[0].set(linkWorks)
			time.Sleep(400 * time.Millisecond)
			f.store.remove("servers/a")
			within(t, time.Second, "the server is not used", func() bool { return !f.uses(0, "a") })
		})
	}
}

// Guards against a hold that goes on when the router counts as in touch, because it has noticed
// the end of the disruption late: an answer was lost, and the long poll ended much later.
func TestHoldEndsBeforeTheRouterCountsAsInTouch(t *testing.T) {
	for offset := range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := startVirtualFleet(t, 1, 0)
			time.Sleep(3*time.Second + time.Duration(offset)*90*time.Millisecond)
			f.links[0].set(linkSilent)
			time.Sleep(200 * time.Millisecond)
			f.links[0].set(linkWorks)
			ended := time.Now()
			time.Sleep(500 * time.Millisecond)
			f.store.remove("servers/a")
			within(t, DefaultContact-time.Since(ended), "the server is not used", func() bool { return !f.uses(0, "a") })
		})
	}
}

// Guards against a hold that ends with the next tick of the control loop instead of on time,
// and against one that ends before live servers have had time to write their entries again.
func TestHoldEndsOnTime(t *testing.T) {
	for offset := range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := startVirtualFleet(t, 1, 0)
			f.links[0].set(linkRefuses)
			time.Sleep(5*time.Second + time.Duration(offset)*37*time.Millisecond)
			f.store.remove("servers/a")
			f.store.remove("servers/b")
			f.links[0].set(linkWorks)
			returned := time.Now()
			time.Sleep(2 * time.Second)
			f.store.put("servers/b", testServer{Service: "svc"})
			if !f.uses(0, "a") || !f.uses(0, "b") {
				t.Error("a server is not used 2 s after the return of the store")
			}
			within(t, time.Second, "the server that is gone is not used", func() bool { return !f.uses(0, "a") })
			if late := time.Since(f.edges[0].controller.contact.hold()); late < 0 || late > 10*time.Millisecond {
				t.Errorf("the server was dropped %s after the end of the hold, %s after the return of the store", late, time.Since(returned))
			}
			if !f.uses(0, "b") {
				t.Error("a server that has written its entry again is not used")
			}
		})
	}
}

// Guards against a hold that is lifted because another router has reached the store a moment
// earlier: the servers have not had time to write their entries again.
func TestHoldAfterAnOutageForAll(t *testing.T) {
	for offset := range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := startVirtualFleet(t, 2, 0)
			for _, link := range f.links {
				link.set(linkRefuses)
			}
			time.Sleep(5 * time.Second)
			f.store.remove("servers/a")
			f.links[1].set(linkWorks)
			time.Sleep(time.Duration(offset) * 150 * time.Millisecond)
			f.links[0].set(linkWorks)
			for range 190 - 15*offset {
				time.Sleep(10 * time.Millisecond)
				if !f.uses(0, "a") {
					t.Fatalf("offset %d: the server is not used", offset)
				}
			}
			f.store.put("servers/a", testServer{Service: "svc"})
			time.Sleep(3 * time.Second)
			if !f.uses(0, "a") {
				t.Error("the server is not used after it has written its entry again")
			}
		})
	}
}

// Guards against a hold that is too short after a silent outage, because the calls that were
// not answered are forgotten when the first answer names a new era.
func TestHoldAfterASilentOutageAndARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startVirtualFleet(t, 1, 0)
		before := f.store.copy()
		f.store.put("servers/c", testServer{Service: "svc"})
		time.Sleep(time.Second)
		f.links[0].set(linkSilent)
		time.Sleep(6 * time.Second)
		f.store.restore(before)
		f.links[0].set(linkWorks)
		time.Sleep(2 * time.Second)
		if !f.uses(0, "c") {
			t.Error("a server that the copy lacks is not used 2 s after the return of the store")
		}
	})
}
