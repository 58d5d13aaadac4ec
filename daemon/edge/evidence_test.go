package edge

import (
	"testing"
	"time"

	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/topology"
)

// Guards against lost evidence when no peer accepts a report: evidence that one router
// writes to the store must reach the others unchanged.
func TestEvidenceFallbackThroughStore(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{1})
	first, second := startEdge(t, store, "r1"), startEdge(t, store, "r2")
	store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: time.Hour})
	eventually(t, waitTimeout, "the order is known", func() bool { return len(second.state(t).Rollouts) == 1 })
	store.mu.Lock()
	order := uint64(store.entries["order/svc"].Revision)
	store.mu.Unlock()
	err := first.controller.rollouts.storeEvidence(t.Context(), &rpc.EvidenceReport{Router: "r1", Services: []*rpc.ServiceEvidence{
		{Service: "svc", OrderRevision: order, TargetGood: 2, TargetBad: 3, BaseGood: 7, BaseBad: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	want := rollout.Evidence{Target: rollout.Counts{Good: 2, Bad: 3}, Base: rollout.Counts{Good: 7, Bad: 1}}
	eventually(t, waitTimeout, "the other router receives the evidence", func() bool { return second.state(t).Rollouts[0].Evidence == want })
}
