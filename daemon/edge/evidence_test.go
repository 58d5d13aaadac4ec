package edge

import (
	"testing"
	"time"

	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/topology"
)

// Guards against evidence that is lost where no router takes a report: what one router
// writes to the store in its place is what another one pools.
func TestEvidenceByWayOfTheStore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	first, second := startEdge(t, store, "r1"), startEdge(t, store, "r2")
	store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: time.Hour})
	eventually(t, soon, "the order is known", func() bool { return len(second.state(t).Rollouts) == 1 })
	store.mu.Lock()
	order := uint64(store.entries["order/svc"].Revision)
	store.mu.Unlock()
	err := first.control.rollouts.storeEvidence(t.Context(), &rpc.EvidenceReport{Router: "r1", Services: []*rpc.ServiceEvidence{
		{Service: "svc", OrderRevision: order, TargetGood: 2, TargetBad: 3, BaseGood: 7, BaseBad: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	want := rollout.Evidence{Target: rollout.Counts{Good: 2, Bad: 3}, Base: rollout.Counts{Good: 7, Bad: 1}}
	eventually(t, soon, "the other router pools it", func() bool { return second.state(t).Rollouts[0].Evidence == want })
}
