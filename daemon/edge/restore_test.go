package edge

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/topology"
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

// startExchangingEdge starts an Edge that exchanges facts with its peers.
func startExchangingEdge(t *testing.T, store *memoryStore, name string) *testEdge {
	t.Helper()
	e := startEdge(t, store, name)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.exchangeFacts(ctx)
	return e
}

// Guards against a configuration that is acknowledged and then, because the store was
// restored from an older copy, no longer in force: at routers that start or that reach the
// store first, before the operators' tool has written it again.
func TestAcknowledgedConfigurationOutlivesARestore(t *testing.T) {
	t.Run("small", func(t *testing.T) {
		acknowledgedConfigurationOutlivesARestore(t, func(version uint64) any { return testConfig{version} })
	})
	t.Run("large", func(t *testing.T) {
		acknowledgedConfigurationOutlivesARestore(t, func(version uint64) any { return largeConfig(version, 200*int(version)) })
	})
}

func acknowledgedConfigurationOutlivesARestore(t *testing.T, config func(version uint64) any) {
	t.Helper()
	store := newMemoryStore()
	store.put("config", config(1))
	edges := []*testEdge{startExchangingEdge(t, store, "r1"), startExchangingEdge(t, store, "r2")}
	eventually(t, waitTimeout, "the routers know each other", func() bool { return len(edges[0].controller.peers()) == 1 })
	before := store.copy()
	store.put("config", config(2))
	for _, e := range edges {
		eventually(t, waitTimeout, "the configuration is applied", func() bool { return e.configVersion() == 2 })
	}
	store.restore(before)
	for i := range 3 {
		e := startExchangingEdge(t, store, fmt.Sprint("started-", i))
		edges = append(edges, e)
		eventually(t, waitTimeout, "a router that starts is ready", e.ready)
		eventually(t, 50*time.Millisecond, "it goes by the acknowledged configuration", func() bool { return e.configVersion() == 2 })
	}
	never(t, 500*time.Millisecond, "a router goes back", func() bool {
		return slices.ContainsFunc(edges, func(e *testEdge) bool { return e.configVersion() != 2 })
	})
	store.put("config", config(3))
	for _, e := range edges {
		eventually(t, waitTimeout, "the next configuration is applied", func() bool { return e.configVersion() == 3 })
	}
}

// Guards against the loss of an acknowledged configuration that only a router has heard of
// which does not aggregate facts. The configuration is large, so that it is fetched by its name.
func TestAggregatorLearnsTheConfigurationOfARouter(t *testing.T) {
	store := newMemoryStore()
	store.put("config", largeConfig(1, 200))
	aggregator, other := startExchangingEdge(t, store, "r1"), startExchangingEdge(t, store, "r2")
	eventually(t, waitTimeout, "the routers know each other", func() bool { return len(other.controller.peers()) == 1 })
	before := store.copy()
	aggregator.client.hanging.Store(true)
	store.put("config", largeConfig(2, 400))
	eventually(t, waitTimeout, "one router has heard of the configuration", func() bool { return other.configVersion() == 2 })
	store.restore(before)
	aggregator.client.hanging.Store(false)
	eventually(t, 4*time.Second, "the other one learns it", func() bool { return aggregator.configVersion() == 2 })
}

// Guards against routers that are missing in the membership, and so in the shares of bounds
// and among the readers, because a restored store has lost their entries with their leases.
func TestRoutersRegisterAgainAfterARestore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	before := store.copy()
	e := startEdge(t, store, "r1")
	registered := func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		_, ok := store.entries[routerPrefix+"r1"]
		return ok
	}
	eventually(t, waitTimeout, "the router is registered", registered)
	eventually(t, waitTimeout, "the router has a view", e.ready)
	store.restore(before)
	eventually(t, 2*time.Second, "the router is registered again", registered)
}

// Guards against a rollout that falls back after it has ended, or starts anew, because the
// restored store holds an older phase and the operators' order is written again.
func TestEndedRolloutOutlivesARestore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", serverOfVersion("v2"))
	edges := []*testEdge{startEdge(t, store, "r1"), startEdge(t, store, "r2")}
	eventually(t, waitTimeout, "the routers know each other", func() bool { return len(edges[0].controller.peers()) == 1 })
	without := store.copy()
	order := topology.RolloutOrder{Target: "v2", Duration: 4 * time.Second}
	store.put("order/svc", order)
	eventually(t, waitTimeout, "the new version gets requests", func() bool { return edges[0].phase("svc") == "part" })
	exposed := store.copy()
	edges[0].observeResponses("v2", true, 3*minBadAnswersAlone)
	status := func() string {
		store.mu.Lock()
		defer store.mu.Unlock()
		return string(store.entries["status/svc"].Value)
	}
	eventually(t, waitTimeout, "the version is reverted", func() bool { return status() == "v2 reverted" })
	for _, copied := range []storeCopy{exposed, without} {
		for _, e := range edges {
			eventually(t, waitTimeout, "every router has reverted", func() bool { return e.phase("svc") == "none" })
		}
		store.restore(copied)
		store.put("order/svc", order)
		eventually(t, 2*time.Second, "the status is written again", func() bool { return status() == "v2 reverted" })
		never(t, time.Second, "the version gets requests or the rollout starts anew", func() bool {
			return edges[0].phase("svc") != "none" || edges[1].phase("svc") != "none" || status() != "v2 reverted"
		})
	}
	started := startEdge(t, store, "r3")
	eventually(t, waitTimeout, "a router that starts is ready", started.ready)
	never(t, time.Second, "a router that starts rolls out anew", func() bool {
		return started.phase("svc") != "none" || status() != "v2 reverted"
	})
	store.put("order/svc", order)
	eventually(t, waitTimeout, "an order that the operators repeat starts anew", func() bool { return status() == "v2 hold" })
}

// Guards against an evacuation that ends, or begins again, because the restored store does not
// have the operators' latest word on it.
func TestEvacuationOutlivesARestore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", testServer{Service: "svc", DataCentre: "dc1"})
	store.put("servers/b", testServer{Service: "svc", DataCentre: "dc2"})
	store.put("evacuate/dc1", struct{}{})
	before := store.copy()
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "dc1 is evacuated", func() bool { return e.usableServers() == "b" })
	store.remove("evacuate/dc1")
	store.put("evacuate/dc2", struct{}{})
	eventually(t, waitTimeout, "dc2 is evacuated instead", func() bool { return e.usableServers() == "a" })
	store.restore(before)
	never(t, reregistrationGrace/2, "the evacuations are those of the copy", func() bool { return e.usableServers() != "a" })
	store.remove("evacuate/dc1")
	store.put("evacuate/dc2", struct{}{})
	never(t, reregistrationGrace, "the evacuations change", func() bool { return e.usableServers() != "a" })
	store.restore(before)
	eventually(t, reregistrationGrace+time.Second, "what nobody writes again is given up", func() bool { return e.usableServers() == "b" })
}

// Guards against requests to servers that have left or are about to, and against giving up
// servers that have come, because the restored store does not have the latest entries.
func TestServersAfterARestore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	for _, id := range []string{"draining", "gone", "kept"} {
		store.put("servers/"+id, testServer{Service: "svc"})
	}
	before := store.copy()
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "all servers are usable", func() bool { return e.usableServers() == "draining gone kept" })
	store.put("servers/draining", testServer{Service: "svc", Draining: true})
	store.remove("servers/gone")
	store.put("servers/lost", testServer{Service: "svc"})
	store.put("servers/new", testServer{Service: "svc"})
	eventually(t, waitTimeout, "servers leave and come", func() bool { return e.usableServers() == "kept lost new" })
	store.restore(before)
	never(t, reregistrationGrace/2, "the servers are those of the copy", func() bool { return e.usableServers() != "kept lost new" })
	store.put("servers/new", testServer{Service: "svc"})
	store.put("servers/draining", testServer{Service: "svc", Draining: true})
	eventually(t, reregistrationGrace+time.Second, "a server that does not come back is given up", func() bool { return e.usableServers() == "kept new" })
	never(t, time.Second, "the server that has left is used", func() bool { return e.usableServers() != "kept new" })
	store.put("servers/gone", testServer{Service: "svc", Started: 5})
	eventually(t, time.Second, "it is used once it has written its entry", func() bool { return e.usableServers() == "gone kept new" })
}
