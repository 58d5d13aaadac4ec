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

// Guards against the use of a server whose entry was removed while the store only cuts long polls:
// it answers all other calls, so no entry can have lapsed.
func TestNoHoldAfterCutPolls(t *testing.T) {
	for _, readers := range []int{0, 2} {
		for offset := range 10 {
			synctest.Test(t, func(t *testing.T) {
				f := startVirtualFleet(t, 4, readers)
				for _, link := range f.links {
					link.set(linkCutsPolls)
				}
				time.Sleep(3*time.Second + time.Duration(offset)*37*time.Millisecond)
				f.store.remove("servers/a")
				removed := time.Now()
				for i := range f.edges {
					within(t, time.Second-time.Since(removed), "the server is not used", func() bool { return !f.uses(i, "a") })
				}
			})
		}
	}
}

// Guards against a hold that is left out because cut polls announced an outage.
func TestHoldAfterAnOutageThatBeginsWithCutPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startVirtualFleet(t, 1, 0)
		f.links[0].set(linkCutsPolls)
		time.Sleep(3 * time.Second)
		f.links[0].set(linkRefuses)
		time.Sleep(5 * time.Second)
		f.store.remove("servers/a")
		f.links[0].set(linkWorks)
		time.Sleep(2 * time.Second)
		if !f.uses(0, "a") {
			t.Error("a server is not used 2 s after the return of the store")
		}
	})
}

// Guards against an outage that counts as a cut poll, so that entries which lapsed in it are taken
// for servers that are gone.
func TestResumedOnlyIfNothingCanHaveLapsed(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		lost, answered int
		play           func(*storeContact)
		want           bool
	}{
		"answered at once":             {lost: 500, answered: 505, want: true},
		"answered late":                {lost: 500, answered: 700},
		"long after the answer before": {lost: 2395, answered: 2400},
		"lost twice":                   {lost: 500, answered: 505, play: func(s *storeContact) { s.cut(at(502), at(501)) }},
		"an older call without answer": {lost: 500, answered: 505, play: func(s *storeContact) { s.lost(at(504), at(100)) }},
		"after an outage that goes on": {lost: 2000, answered: 2005, play: func(s *storeContact) { s.lost(at(2001), at(500)) }},
		"a second cut after an answer": {lost: 900, answered: 905, want: true, play: func(s *storeContact) { s.resumed(at(901)); s.responded(at(901)); s.cut(at(904), at(901)) }},
	} {
		s := storeContact{bound: DefaultContact, minLapse: 2 * DefaultServerHeartbeat, respondedAt: at(0)}
		s.cut(at(c.lost), at(0))
		if c.play != nil {
			c.play(&s)
		}
		got := s.resumed(at(c.answered))
		s.responded(at(c.answered))
		if held := at(c.answered).Before(s.hold()); got != c.want || held == c.want {
			t.Errorf("%s: resumed %v, vanished entries held %v", name, got, held)
		}
	}
}
