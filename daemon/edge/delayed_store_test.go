package edge

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/quarantine"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/topology"
)

// history returns the values that the store has held under a prefix, in order.
func history[T any](t *testing.T, store *memoryStore, prefix string) []T {
	t.Helper()
	store.mu.Lock()
	defer store.mu.Unlock()
	var values []T
	for _, change := range store.history {
		if !strings.HasPrefix(change.Key, prefix) || change.Deleted {
			continue
		}
		var v T
		if err := json.Unmarshal(change.Value, &v); err != nil {
			t.Fatal(err)
		}
		values = append(values, v)
	}
	return values
}

// Guards against orders that go out twice, or back, when the store executes writes later
// and in another order than they were sent, and their responses are lost: several routers
// then try to write the same phase.
func TestDelayedWritesAdvanceARolloutOnce(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", serverOfVersion("v2"))
	edges := []*testEdge{startEdge(t, store, "r1"), startEdge(t, store, "r2"), startEdge(t, store, "r3")}
	eventually(t, waitTimeout, "all routers are known", func() bool { return len(edges[0].controller.peers()) == 2 })
	for _, e := range edges {
		e.client.delayCommits.Store(true)
	}
	store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: 8 * time.Second})
	phases := func() []rollout.Phase {
		var list []rollout.Phase
		for _, state := range history[rollout.State](t, store, statePrefix+"svc") {
			list = append(list, state.Phase)
		}
		return list
	}
	eventually(t, 14*time.Second, "the rollout completes", func() bool {
		for _, e := range edges {
			if p := e.phase("svc"); p == "part" || p == "full" {
				e.observeResponses("v2", false, 1)
				e.observeResponses("v1", false, 1)
			}
		}
		time.Sleep(20 * time.Millisecond)
		return slices.Contains(phases(), rollout.Completed)
	})
	// Writes that are still on their way must have no effect.
	time.Sleep(time.Second)
	want := []rollout.Phase{rollout.Hold, rollout.Canary, rollout.Wide, rollout.Full, rollout.Completed}
	if got := phases(); !slices.Equal(got, want) {
		t.Errorf("phases %v, want %v", got, want)
	}
}

// Guards against two trials of a quarantined part, or a part that is released and
// quarantined again, by writes that the store executes later.
func TestDelayedWritesGrantNoTrialTwice(t *testing.T) {
	const part quarantine.Key = 7
	store := newMemoryStore()
	store.put("config", testConfig{1})
	edges := []*testEdge{startEdge(t, store, "r1"), startEdge(t, store, "r2"), startEdge(t, store, "r3")}
	eventually(t, waitTimeout, "all routers are known", func() bool { return len(edges[0].controller.peers()) == 2 })
	for _, e := range edges {
		e.client.delayCommits.Store(true)
		e.controller.quarantines.judge(time.Now(), []quarantine.Key{part}, true)
	}
	records := func() []quarantine.Record { return history[quarantine.Record](t, store, quarantinePrefix) }
	eventually(t, waitTimeout, "the quarantine is stored", func() bool { return len(records()) > 0 })
	for _, e := range edges {
		e.gateway.Quarantine.RecordSound([]quarantine.Key{part})
	}
	eventually(t, waitTimeout, "all routers release the part", func() bool {
		return !slices.ContainsFunc(edges, func(e *testEdge) bool { return e.gateway.Quarantine.Size() > 0 })
	})
	time.Sleep(time.Second)
	if got := records(); !slices.Equal(got, []quarantine.Record{{}, {Released: true}}) {
		t.Errorf("records %+v", got)
	}
}
