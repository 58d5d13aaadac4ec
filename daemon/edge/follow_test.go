package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// followedFleet is a data centre of two readers and some followers.
type followedFleet struct {
	store              *memoryStore
	readers, followers []*testEdge
}

// startFollowedFleet starts the routers and waits until each follower polls a reader.
func startFollowedFleet(t *testing.T, followers int) *followedFleet {
	t.Helper()
	f := &followedFleet{store: newMemoryStore()}
	f.store.put("config", testConfig{Version: 1})
	for i := range 2 + followers {
		settings := &Settings{VM: fmt.Sprintf("r%d", i), DataCentre: "dc1", StoreReaders: 2, Cores: 0.1}
		if i < 2 {
			settings.Cores = 0.8
		}
		e := startEdgeWith(t, f.store, settings)
		if i < 2 {
			f.readers = append(f.readers, e)
		} else {
			f.followers = append(f.followers, e)
		}
	}
	for _, e := range f.followers {
		eventually(t, 5*time.Second, "a follower polls a reader", func() bool { return e.reader() != "" })
	}
	return f
}

// reader returns the name of the reader that the router polls.
func (e *testEdge) reader() string {
	if name := e.controller.currentReader.Load(); name != nil {
		return *name
	}
	return ""
}

// wantVersion fails the test unless all routers apply the configuration within a time.
func (f *followedFleet) wantVersion(t *testing.T, within time.Duration, version uint64) {
	t.Helper()
	for _, e := range append(append([]*testEdge(nil), f.readers...), f.followers...) {
		eventually(t, within, fmt.Sprintf("%s applies version %d", e.settings.VM, version), func() bool { return e.configVersion() == version })
	}
}

func (f *followedFleet) calls() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.calls
}

// Followers get changes without a call to the store, so that its load does not grow with
// the number of routers.
func TestFollowersDoNotCallTheStore(t *testing.T) {
	f := startFollowedFleet(t, 8)
	time.Sleep(watchWait)
	before, began := f.calls(), time.Now()
	for version := uint64(2); version < 5; version++ {
		f.store.put("config", testConfig{Version: version})
		f.wantVersion(t, time.Second, version)
	}
	time.Sleep(time.Second)
	// The test store's watches end after 200 ms and make two calls each.
	perReader := 2*int(time.Since(began)/(200*time.Millisecond)) + 2*3
	if n := f.calls() - before; n > 2*perReader+10 {
		t.Errorf("%d calls, want those of two readers: at most %d", n, 2*perReader+10)
	}
}

// A reader that is frozen, cut off from the store, or gone is left in bounded time, and its
// silence is never taken for "no changes".
func TestSickReaderDelaysNoChange(t *testing.T) {
	const bound = 2 * time.Second
	faults := map[string]func(*testEdge){
		"frozen":                 func(e *testEdge) { e.frozen.Store(true) },
		"refused by the store":   func(e *testEdge) { e.client.unavailable.Store(true) },
		"store calls hang":       func(e *testEdge) { e.client.hanging.Store(true) },
		"frozen, store refusing": func(e *testEdge) { e.frozen.Store(true); e.client.unavailable.Store(true) },
	}
	for name, fault := range faults {
		for sick := 1; sick <= 2; sick++ {
			t.Run(fmt.Sprintf("%s/%d", name, sick), func(t *testing.T) {
				t.Parallel()
				f := startFollowedFleet(t, 4)
				for _, e := range f.readers[:sick] {
					fault(e)
				}
				f.store.put("config", testConfig{Version: 2})
				for _, e := range f.followers {
					eventually(t, bound, "a follower applies the configuration", func() bool { return e.configVersion() == 2 })
				}
			})
		}
	}
}

// A follower returns to a reader that is well again, also after an outage of the store that
// all have seen.
func TestFollowersReturn(t *testing.T) {
	f := startFollowedFleet(t, 3)
	for _, e := range append(f.readers, f.followers...) {
		e.client.unavailable.Store(true)
	}
	for _, e := range f.followers {
		eventually(t, 5*time.Second, "a follower leaves its reader", func() bool { return e.reader() == "" })
	}
	for _, e := range append(f.readers, f.followers...) {
		e.client.unavailable.Store(false)
	}
	for _, e := range f.followers {
		eventually(t, 15*time.Second, "a follower polls a reader again", func() bool { return e.reader() != "" })
	}
	f.store.put("config", testConfig{Version: 2})
	f.wantVersion(t, time.Second, 2)
}

// Guards against readers that count as receiving because the store refuses their calls, each with
// an answer: followers must leave them as soon as their copies are old.
func TestRefusedReadersDelayNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startVirtualFleet(t, 5, 2)
		for i, e := range f.edges {
			if e.controller.isReader() {
				f.links[i].set(linkRefuses)
			}
		}
		f.store.put("config", testConfig{2})
		for i, e := range f.edges {
			if !e.controller.isReader() {
				within(t, maxReaderAge+followWait, "a follower applies the configuration", func() bool { return f.version(i) == 2 })
			}
		}
	})
}
