package edge

import (
	"maps"
	"testing"
	"time"

	"cactusknot.example/coord/kv"
)

// storeCopy is a copy of the store's content.
type storeCopy struct {
	revision kv.Revision
	entries  map[string]kv.Entry
}

func (s *memoryStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, entries: maps.Clone(s.entries)}
}

// restore replaces the content by an older copy and begins a new era. What was written
// since is gone, its history too, and its revisions are given out again.
func (s *memoryStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.entries = c.revision, maps.Clone(c.entries)
	s.history, s.compactedAt = nil, c.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against changes that are dropped because the store, restored from an older copy,
// gives out their revisions a second time.
func TestChangesAfterARestoreAreApplied(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", testServer{Service: "svc"})
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "the server is usable", func() bool { return e.usableServers() == "a" })
	before := store.copy()
	for version := uint64(2); version < 6; version++ {
		store.put("config", testConfig{version})
	}
	eventually(t, waitTimeout, "the configuration is applied", func() bool { return e.configVersion() == 5 })
	store.restore(before)
	store.put("servers/b", testServer{Service: "svc"})
	store.put("config", testConfig{6})
	eventually(t, 2*time.Second, "the new configuration is applied", func() bool { return e.configVersion() == 6 })
	eventually(t, 2*time.Second, "the new server is usable", func() bool { return e.usableServers() == "a b" })
}

// Guards against a reader that hands on the content of an era that is over, and against
// listings of all keys over and over, when readers and followers notice a restore at
// different moments.
func TestFollowersEnterANewEra(t *testing.T) {
	f := startFollowedFleet(t, 4)
	before := f.store.copy()
	f.store.put("config", testConfig{2})
	f.wantVersion(t, 2*time.Second, 2)
	f.readers[0].client.hanging.Store(true)
	f.store.restore(before)
	calls := f.calls()
	f.store.put("config", testConfig{3})
	for _, e := range append(f.followers, f.readers[1]) {
		eventually(t, 2*time.Second, "a router of the data centre applies the configuration", func() bool { return e.configVersion() == 3 })
	}
	f.readers[0].client.hanging.Store(false)
	f.wantVersion(t, 2*time.Second, 3)
	// A watch of the test store makes two calls in 200 ms, for each of six routers at most.
	if n := f.calls() - calls; n > 6*2*5*6 {
		t.Errorf("%d calls of the store", n)
	}
}
