package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/topology"
)

const soon = 3 * time.Second

// leastAlone and leastBadAlone are the answers and the bad ones that a router would
// need by itself to complete or to revert a roll-out.
const (
	leastAlone    = 16
	leastBadAlone = 4
)

func svc(version string) testServer {
	return testServer{Service: "svc", Version: version, DataCentre: "dc1"}
}

// A server that leaves, a data centre that is evacuated and an entry that can't be
// read name no server to use.
func TestViewFollowsTheStore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", svc("v1"))
	store.put("servers/b", testServer{Service: "svc", DataCentre: "dc2"})
	store.put("servers/c", []byte("{not json"))
	e := startEdge(t, store, "r1")
	eventually(t, soon, "both servers are used", func() bool { return e.usable() == "a b" })
	store.put("evacuate/dc2", struct{}{})
	eventually(t, soon, "dc2 is out", func() bool { return e.usable() == "a" })
	store.remove("evacuate/dc2")
	eventually(t, soon, "dc2 is back", func() bool { return e.usable() == "a b" })
	draining := svc("v1")
	draining.Draining = true
	store.put("servers/a", draining)
	eventually(t, soon, "a leaves", func() bool { return e.usable() == "b" })
	store.remove("servers/b")
	eventually(t, soon, "b is gone", func() bool { return e.usable() == "" })
	store.put("servers/d", svc("v1"))
	eventually(t, soon, "d has come", func() bool { return e.usable() == "d" })
	store.put("servers/d", []byte("spoilt"))
	never(t, 300*time.Millisecond, "a spoilt entry removes a server that is known", func() bool { return e.usable() != "d" })
}

// An older or unreadable configuration leaves the present one in force.
func TestConfigurationNeverReverts(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{7})
	e := startEdge(t, store, "r1")
	eventually(t, soon, "version 7", func() bool { return e.version() == 7 })
	store.put("config", testConfig{3})
	store.put("config", []byte("garbage"))
	never(t, 300*time.Millisecond, "the configuration reverts", func() bool { return e.version() != 7 })
	store.put("config", testConfig{8})
	eventually(t, soon, "version 8", func() bool { return e.version() == 8 })
}

// A history that is gone needs a full read: changes in the gap must not be missed.
func TestCompactedHistory(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", svc("v1"))
	store.put("servers/b", svc("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, soon, "both servers are used", func() bool { return e.usable() == "a b" })
	e.client.refused.Store(true)
	time.Sleep(300 * time.Millisecond)
	store.remove("servers/b")
	store.put("config", testConfig{2})
	store.compact()
	e.client.refused.Store(false)
	eventually(t, 2*soon, "the gap is read", func() bool { return e.version() == 2 && e.usable() == "a" })
}

// Entries that lapsed while the store was away stay in use until live servers have
// had time to write them again; one that is still missing then is gone.
func TestLapsedEntriesAfterAnOutage(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", svc("v1"))
	store.put("servers/b", svc("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, soon, "both servers are used", func() bool { return e.usable() == "a b" })
	e.client.refused.Store(true)
	time.Sleep(400 * time.Millisecond)
	store.remove("servers/a")
	store.remove("servers/b")
	e.client.refused.Store(false)
	never(t, time.Second, "a server is given up at the store's return", func() bool { return e.usable() != "a b" })
	store.put("servers/a", svc("v1"))
	eventually(t, lapseGrace+soon, "b is gone", func() bool { return e.usable() == "a" })
	never(t, lapseGrace, "a is given up although it is back", func() bool { return e.usable() != "a" })
}

// A removal outside of an outage takes effect at once.
func TestRemovalWithoutOutage(t *testing.T) {
	store := newMemoryStore()
	store.put("servers/a", svc("v1"))
	store.put("servers/b", svc("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, soon, "both servers are used", func() bool { return e.usable() == "a b" })
	store.remove("servers/a")
	eventually(t, 500*time.Millisecond, "a is gone", func() bool { return e.usable() == "b" })
}

// A router that the store turns away learns of changes from the others in seconds,
// also when its connection is silent.
func TestPeersTellWhenTheStoreTurnsARouterAway(t *testing.T) {
	for _, fault := range []string{"refused", "silent"} {
		t.Run(fault, func(t *testing.T) {
			store := newMemoryStore()
			store.put("config", testConfig{1})
			store.put("servers/a", svc("v1"))
			well := startEdge(t, store, "r1")
			cut := startEdge(t, store, "r2")
			eventually(t, soon, "both know each other", func() bool {
				return len(well.control.peers()) == 1 && len(cut.control.peers()) == 1 && cut.version() == 1
			})
			if fault == "refused" {
				cut.client.refused.Store(true)
			} else {
				cut.client.silent.Store(true)
			}
			store.put("config", testConfig{2})
			store.remove("servers/a")
			eventually(t, 6*time.Second, "the change arrives by way of a peer", func() bool {
				return cut.version() == 2 && cut.usable() == ""
			})
		})
	}
}

// A router that starts while the store turns it away finds the others by the seeds.
func TestStartWithoutTheStore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{4})
	well := startEdge(t, store, "r1")
	eventually(t, soon, "version 4", func() bool { return well.version() == 4 })
	cut := startEdge(t, store, refusedFromStart+"r2", well.settings.PeerAddress)
	eventually(t, 2*soon, "the configuration comes from a seed", func() bool { return cut.version() == 4 })
}

// The process is ready only with a configuration, and not while it stops.
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
	eventually(t, soon, "ready", func() bool { return ready() == http.StatusOK })
	e.stopping.Store(true)
	if code := ready(); code != http.StatusServiceUnavailable {
		t.Errorf("while stopping: %d", code)
	}
	w := httptest.NewRecorder()
	e.readyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !strings.Contains(w.Body.String(), "cactusknot_config_version 1") {
		t.Errorf("metrics: %s", w.Body.String())
	}
}

// Routers that lapse still count for a while: one that is cut off from the store
// goes on using its share of the fleet's bounds.
func TestLapsedRoutersStillCount(t *testing.T) {
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
	eventually(t, soon, "three routers", func() bool { return count() == 3 })
	store.remove(routerPrefix + "r2")
	never(t, 600*time.Millisecond, "the lapsed router no longer counts", func() bool { return count() != 3 })
	apart := newRouters(e.Edge)
	apart.lapsed["r2"] = time.Now()
	if names := apart.names(time.Now().Add(2 * routerMemory)); len(names) != 1 {
		t.Errorf("%d routers long after", len(names))
	}
}

// Servers that start, return from an evacuation or say so are treated as cold.
func TestColdServers(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/old", svc("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, soon, "old is used", func() bool { return e.usable() == "old" })
	cold := func(id string) bool {
		for _, s := range e.view.Load().Servers["svc"] {
			if s.ID == id {
				return time.Now().Before(s.ColdUntil)
			}
		}
		return false
	}
	if cold("old") {
		t.Error("a server that was there before is cold")
	}
	store.put("servers/new", svc("v1"))
	eventually(t, soon, "the new server is cold", func() bool { return cold("new") })
	again := svc("v1")
	again.Started = 5
	store.put("servers/old", again)
	eventually(t, soon, "the server that started again is cold", func() bool { return cold("old") })
	eventually(t, 2*soon, "both are warm", func() bool { return !cold("old") && !cold("new") })
	store.put("evacuate/dc1", struct{}{})
	eventually(t, soon, "dc1 is out", func() bool { return e.usable() == "" })
	store.remove("evacuate/dc1")
	eventually(t, soon, "servers are cold after the evacuation", func() bool { return cold("old") })
}

// Roll-outs of several routers: each step is written once, evidence is pooled, and
// a bad version ends as reverted everywhere.
func TestRollout(t *testing.T) {
	for _, c := range []struct {
		name, status string
		bad          bool
	}{{"good", "v2 completed", false}, {"bad", "v2 reverted", true}} {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			store.put("config", testConfig{1})
			store.put("servers/a", svc("v1"))
			store.put("servers/b", svc("v2"))
			edges := []*testEdge{startEdge(t, store, "r1"), startEdge(t, store, "r2"), startEdge(t, store, "r3")}
			edges[1].client.loseAnswers.Store(true)
			eventually(t, soon, "all routers are known", func() bool { return len(edges[0].control.peers()) == 2 })
			store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: 6 * time.Second})
			eventually(t, soon, "the order is taken up", func() bool {
				return edges[0].phase("svc") == "none" && edges[2].phase("svc") == "none"
			})
			never(t, 2*time.Second, "a session moves in the first half", func() bool { return edges[0].phase("svc") != "none" })
			status := func() string {
				store.mu.Lock()
				defer store.mu.Unlock()
				return string(store.entries["status/svc"].Value)
			}
			// No router alone has the evidence that is needed for the next step.
			left := 3 * (leastAlone - 1)
			if c.bad {
				left = 3 * (leastBadAlone - 1)
			}
			eventually(t, 10*time.Second, "the roll-out ends as "+c.status, func() bool {
				e := edges[left%len(edges)]
				if p := e.phase("svc"); left > 0 && (p == "part" || p == "full") {
					e.feed("v2", c.bad, 1)
					e.feed("v1", false, 1)
					left--
				}
				time.Sleep(20 * time.Millisecond)
				return status() == c.status
			})
			want := "final"
			if c.bad {
				want = "none"
			}
			for _, e := range edges {
				eventually(t, soon, "every router follows", func() bool { return e.phase("svc") == want })
			}
			store.mu.Lock()
			defer store.mu.Unlock()
			if n := store.commits["status/svc"]; n != 2 {
				t.Errorf("the status was written %d times, want once at the start and once at the end", n)
			}
		})
	}
}

// A bad version is given up soon by whichever router knows: on trouble-3 of
// mulaz-ticketing two routers knew 0.5 s before the store went silent for 8 s, but
// their turn came after 1.2 s and 1.6 s, and the roll-out missed its deadline.
func TestRevertingIsUrgent(t *testing.T) {
	const rank, left = 4, 450 * time.Millisecond
	if d := turn(rollout.Reverted, rank); d > left {
		t.Errorf("the fifth router gives up a version after %s", d)
	}
	if turn(rollout.Completed, 1) <= turn(rollout.Reverted, 1) {
		t.Error("completing is as urgent as giving up")
	}
}

// A router that restarts in the middle of a roll-out goes on with the plan.
func TestRestartDuringRollout(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", svc("v1"))
	store.put("servers/b", svc("v2"))
	first := startEdge(t, store, "r1")
	eventually(t, soon, "ready", func() bool { return first.version() == 1 })
	store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: 4 * time.Second})
	eventually(t, 2*soon, "sessions move", func() bool { return first.phase("svc") == "part" })
	second := startEdge(t, store, "r2")
	eventually(t, time.Second, "the new router follows at once", func() bool { return second.phase("svc") == "part" })
}
