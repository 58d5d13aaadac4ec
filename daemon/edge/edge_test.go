package edge

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/topology"
)

// waitTimeout is how long tests wait for a change to take effect.
const waitTimeout = 3 * time.Second

// minAnswersAlone and minBadAnswersAlone are the numbers of responses and of bad
// responses that a single router needs to complete or to revert a rollout.
const (
	minAnswersAlone    = 16
	minBadAnswersAlone = 4
)

// serverOfVersion returns a backend server of service svc in data centre dc1.
func serverOfVersion(version string) testServer {
	return testServer{Service: "svc", Version: version, DataCentre: "dc1"}
}

// Draining servers, servers in an evacuated data centre and servers whose entry cannot
// be decoded are not in the view.
func TestViewFollowsStore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", testServer{Service: "svc", DataCentre: "dc2"})
	store.put("servers/c", []byte("{not json"))
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "both servers are used", func() bool { return e.usableServers() == "a b" })
	store.put("evacuate/dc2", struct{}{})
	eventually(t, waitTimeout, "dc2 is evacuated", func() bool { return e.usableServers() == "a" })
	store.remove("evacuate/dc2")
	eventually(t, waitTimeout, "the evacuation of dc2 ends", func() bool { return e.usableServers() == "a b" })
	draining := serverOfVersion("v1")
	draining.Draining = true
	store.put("servers/a", draining)
	eventually(t, waitTimeout, "a is draining", func() bool { return e.usableServers() == "b" })
	store.remove("servers/b")
	eventually(t, waitTimeout, "b is removed", func() bool { return e.usableServers() == "" })
	store.put("servers/d", serverOfVersion("v1"))
	eventually(t, waitTimeout, "d is added", func() bool { return e.usableServers() == "d" })
	store.put("servers/d", []byte("spoilt"))
	never(t, 300*time.Millisecond, "an invalid entry removes a known server", func() bool { return e.usableServers() != "d" })
}

// An older configuration, or one that cannot be decoded, does not replace the current
// one.
func TestConfigurationNeverReverts(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{7})
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "version 7", func() bool { return e.configVersion() == 7 })
	store.put("config", testConfig{3})
	store.put("config", []byte("garbage"))
	never(t, 300*time.Millisecond, "the configuration reverts", func() bool { return e.configVersion() != 7 })
	store.put("config", testConfig{8})
	eventually(t, waitTimeout, "version 8", func() bool { return e.configVersion() == 8 })
}

// After a compaction of the store history, all keys are read again, so that no change
// is missed.
func TestCompactedHistory(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", serverOfVersion("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "both servers are used", func() bool { return e.usableServers() == "a b" })
	e.client.unavailable.Store(true)
	time.Sleep(300 * time.Millisecond)
	store.remove("servers/b")
	store.put("config", testConfig{2})
	store.compact()
	e.client.unavailable.Store(false)
	eventually(t, 2*waitTimeout, "the missed changes are read", func() bool { return e.configVersion() == 2 && e.usableServers() == "a" })
}

// Servers whose entries expire during a store outage stay in use until live servers
// have had time to write their entries again. Those still missing then are removed.
func TestExpiredEntriesAfterStoreOutage(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", serverOfVersion("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "both servers are used", func() bool { return e.usableServers() == "a b" })
	e.client.unavailable.Store(true)
	time.Sleep(400 * time.Millisecond)
	store.remove("servers/a")
	store.remove("servers/b")
	e.client.unavailable.Store(false)
	never(t, time.Second, "a server is removed as soon as the store is available", func() bool { return e.usableServers() != "a b" })
	store.put("servers/a", serverOfVersion("v1"))
	eventually(t, reregistrationGrace+waitTimeout, "b is removed", func() bool { return e.usableServers() == "a" })
	never(t, reregistrationGrace, "a is removed although its entry was written again", func() bool { return e.usableServers() != "a" })
}

// Without a store outage, a removal takes effect at once.
func TestRemovalWithoutStoreOutage(t *testing.T) {
	store := newMemoryStore()
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", serverOfVersion("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "both servers are used", func() bool { return e.usableServers() == "a b" })
	store.remove("servers/a")
	eventually(t, 500*time.Millisecond, "a is removed", func() bool { return e.usableServers() == "b" })
}

// A router that cannot reach the store receives changes from its peers within seconds,
// whether store calls fail or hang.
func TestPeersSupplyChangesDuringStoreOutage(t *testing.T) {
	for _, fault := range []string{"refused", "silent"} {
		t.Run(fault, func(t *testing.T) {
			store := newMemoryStore()
			store.put("config", testConfig{1})
			store.put("servers/a", serverOfVersion("v1"))
			connected := startEdge(t, store, "r1")
			partitioned := startEdge(t, store, "r2")
			eventually(t, waitTimeout, "both know each other", func() bool {
				return len(connected.controller.peers()) == 1 && len(partitioned.controller.peers()) == 1 && partitioned.configVersion() == 1
			})
			if fault == "refused" {
				partitioned.client.unavailable.Store(true)
			} else {
				partitioned.client.hanging.Store(true)
			}
			store.put("config", testConfig{2})
			store.remove("servers/a")
			eventually(t, 6*time.Second, "the change arrives through a peer", func() bool {
				return partitioned.configVersion() == 2 && partitioned.usableServers() == ""
			})
		})
	}
}

// A router that starts without access to the store finds its peers through the seeds.
func TestStartWithoutStore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{4})
	connected := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "version 4", func() bool { return connected.configVersion() == 4 })
	partitioned := startEdge(t, store, unavailableFromStart+"r2", connected.settings.PeerAddress)
	eventually(t, 2*waitTimeout, "the configuration arrives from a seed peer", func() bool { return partitioned.configVersion() == 4 })
}

// The process is ready only with a configuration, and not during shutdown.
func TestReadiness(t *testing.T) {
	store := newMemoryStore()
	e := startEdge(t, store, "r1")
	ready := func() int {
		w := httptest.NewRecorder()
		e.readyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return w.Code
	}
	if code := ready(); code != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %d", code)
	}
	store.put("config", testConfig{1})
	eventually(t, waitTimeout, "ready", func() bool { return ready() == http.StatusOK })
	e.stopping.Store(true)
	if code := ready(); code != http.StatusServiceUnavailable {
		t.Errorf("during shutdown: %d", code)
	}
	w := httptest.NewRecorder()
	e.readyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !strings.Contains(w.Body.String(), "cactusknot_config_version 1") {
		t.Errorf("metrics: %s", w.Body.String())
	}
}

// A router whose entry has expired still counts for a while: it may be cut off from
// the store and still use its share of the fleet's limits.
func TestExpiredRoutersStillCount(t *testing.T) {
	store := newMemoryStore()
	e := startEdge(t, store, "r1")
	store.put(routerPrefix+"r2", []byte("10.0.0.2:1"))
	store.put(routerPrefix+"r3", []byte("10.0.0.3:1"))
	count := func() int {
		if v := e.view.Load(); v != nil {
			return len(v.Routers)
		}
		return 0
	}
	eventually(t, waitTimeout, "three routers", func() bool { return count() == 3 })
	store.remove(routerPrefix + "r2")
	never(t, 600*time.Millisecond, "the expired router no longer counts", func() bool { return count() != 3 })
	tracker := newRouters(e.Edge)
	tracker.expired["r2"] = time.Now()
	if names := tracker.names(time.Now().Add(2 * expiredRouterRetention)); len(names) != 1 {
		t.Errorf("%d routers after the retention time", len(names))
	}
}

// Servers are treated as cold after a start, after an evacuation and when they report
// it.
func TestColdServers(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/old", serverOfVersion("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "old is used", func() bool { return e.usableServers() == "old" })
	cold := func(id string) bool {
		for _, s := range e.view.Load().Servers["svc"] {
			if s.ID == id {
				return time.Now().Before(s.ColdUntil)
			}
		}
		return false
	}
	if cold("old") {
		t.Error("a server that was known from the start is cold")
	}
	store.put("servers/new", serverOfVersion("v1"))
	eventually(t, waitTimeout, "the new server is cold", func() bool { return cold("new") })
	again := serverOfVersion("v1")
	again.Started = 5
	store.put("servers/old", again)
	eventually(t, waitTimeout, "the restarted server is cold", func() bool { return cold("old") })
	eventually(t, 2*waitTimeout, "both are warm", func() bool { return !cold("old") && !cold("new") })
	store.put("evacuate/dc1", struct{}{})
	eventually(t, waitTimeout, "dc1 is evacuated", func() bool { return e.usableServers() == "" })
	store.remove("evacuate/dc1")
	eventually(t, waitTimeout, "servers are cold after the evacuation", func() bool { return cold("old") })
}

// In a rollout across several routers, each phase is committed once, the evidence of
// all routers counts, and a bad version is reverted on all of them.
func TestRollout(t *testing.T) {
	for _, c := range []struct {
		name, status string
		bad          bool
	}{{"good", "v2 completed", false}, {"bad", "v2 reverted", true}} {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			store.put("config", testConfig{1})
			store.put("servers/a", serverOfVersion("v1"))
			store.put("servers/b", serverOfVersion("v2"))
			edges := []*testEdge{startEdge(t, store, "r1"), startEdge(t, store, "r2"), startEdge(t, store, "r3")}
			edges[1].client.dropResponses.Store(true)
			eventually(t, waitTimeout, "all routers are known", func() bool { return len(edges[0].controller.peers()) == 2 })
			store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: 6 * time.Second})
			eventually(t, waitTimeout, "the order is applied", func() bool {
				return edges[0].phase("svc") == "none" && edges[2].phase("svc") == "none"
			})
			never(t, 2*time.Second, "the new version gets requests in the first half", func() bool { return edges[0].phase("svc") != "none" })
			status := func() string {
				store.mu.Lock()
				defer store.mu.Unlock()
				return string(store.entries["status/svc"].Value)
			}
			// No single router has enough evidence for the next phase.
			remaining := 3 * (minAnswersAlone - 1)
			if c.bad {
				remaining = 3 * (minBadAnswersAlone - 1)
			}
			eventually(t, 10*time.Second, "the rollout ends as "+c.status, func() bool {
				e := edges[remaining%len(edges)]
				if p := e.phase("svc"); remaining > 0 && (p == "part" || p == "full") {
					e.observeResponses("v2", c.bad, 1)
					e.observeResponses("v1", false, 1)
					remaining--
				}
				time.Sleep(20 * time.Millisecond)
				return status() == c.status
			})
			want := "final"
			if c.bad {
				want = "none"
			}
			for _, e := range edges {
				eventually(t, waitTimeout, "every router applies the result", func() bool { return e.phase("svc") == want })
			}
			store.mu.Lock()
			defer store.mu.Unlock()
			if n := store.commits["status/svc"]; n != 2 {
				t.Errorf("the status was written %d times, want 2: at the start and at the end", n)
			}
		})
	}
}

// Guards against reverting a bad version too late. In the scenario trouble-3 of
// mulaz-ticketing, two routers knew of the failure 0.5 s before an 8 s store outage but
// had to wait 1.2 s and 1.6 s by rank, so the rollout missed its deadline.
func TestRevertDelayIsShort(t *testing.T) {
	const rank, maxDelay = 4, 450 * time.Millisecond
	if d := commitDelay(rollout.Reverted, rank); d > maxDelay {
		t.Errorf("the fifth router reverts after %s", d)
	}
	if commitDelay(rollout.Completed, 1) <= commitDelay(rollout.Reverted, 1) {
		t.Error("completing is not slower than reverting")
	}
}

// A router that starts during a rollout continues with the stored state.
func TestRestartDuringRollout(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", serverOfVersion("v2"))
	first := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "ready", func() bool { return first.configVersion() == 1 })
	store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: 4 * time.Second})
	eventually(t, 2*waitTimeout, "the new version gets requests", func() bool { return first.phase("svc") == "part" })
	second := startEdge(t, store, "r2")
	eventually(t, time.Second, "the new router applies the stored state at once", func() bool { return second.phase("svc") == "part" })
}

// Guards against requests to a version that was reverted, while its servers leave and the next
// version is rolled out; also by a router that starts then.
func TestRevertedVersionGetsNothingInTheNextRollout(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	for id, version := range map[string]string{"a": "v1", "b": "v2", "c": "v3"} {
		store.put("servers/"+id, serverOfVersion(version))
	}
	first := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "ready", first.ready)
	store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: 3 * time.Second})
	eventually(t, waitTimeout, "v2 gets requests", func() bool { return first.phase("svc") == "part" })
	first.observeResponses("v2", true, 3*minBadAnswersAlone)
	eventually(t, waitTimeout, "v2 is reverted", func() bool { return first.phase("svc") == "none" })
	rejected := func(e *testEdge) bool {
		split := e.view.Load().Splits["svc"]
		return split.Target == "v2" || slices.Contains(split.Rejected, "v2")
	}
	store.put("order/svc", topology.RolloutOrder{Target: "v3", Duration: 3 * time.Second})
	never(t, time.Second, "v2 may be used", func() bool { return !rejected(first) })
	second := startEdge(t, store, "r2")
	eventually(t, waitTimeout, "ready", second.ready)
	never(t, 2*time.Second, "v2 may be used by one of the routers", func() bool { return !rejected(first) || !rejected(second) })
}
