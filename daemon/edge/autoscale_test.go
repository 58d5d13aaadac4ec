package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/topology"
)

// scaleOrder is a call of scaleAPI.
type scaleOrder struct {
	by         DutyCaller
	dataCentre string
	count      int
}

// scaleAPI is an API that records the scaling orders. Calls fail with err if it is set.
type scaleAPI struct {
	mu     sync.Mutex
	orders []scaleOrder
	err    error
}

func (*scaleAPI) ReportUsage(context.Context, DutyCaller, int64, map[string]uint64) error { return nil }

func (a *scaleAPI) SetDesiredCount(_ context.Context, by DutyCaller, _, dataCentre string, count int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orders = append(a.orders, scaleOrder{by, dataCentre, count})
	return a.err
}

func (a *scaleAPI) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

// of returns the orders for a data centre.
func (a *scaleAPI) of(dataCentre string) []scaleOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(a.orders), func(o scaleOrder) bool { return o.dataCentre != dataCentre })
}

// startScaleEdges starts two routers with the duty and a service with two servers of ten slots.
// The function that is returned sets the requests in flight at each server.
func startScaleEdges(t *testing.T, store *memoryStore, api CloudAPI, bounds *topology.Autoscaling) (edges []*testEdge, setLoad func(uint32)) {
	t.Helper()
	store.put("config", scaledConfig{1, bounds})
	for i := range 2 {
		store.put(fmt.Sprintf("servers/s%d", i), testServer{Service: "svc", DataCentre: fmt.Sprintf("dc%d", i), Slots: 10})
		e := startEdgeWith(t, store, &Settings{VM: fmt.Sprintf("r%d", i), Cores: float64(2 - i), CloudAPI: api, Duties: DutySettings{
			Names: []string{AutoscaleDuty}, LeaseDuration: 600 * time.Millisecond, CallsPerSecond: 50,
		}})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		e.duties.start(ctx)
		go e.exchangeFacts(ctx)
		edges = append(edges, e)
		if i == 0 && bounds != nil {
			eventually(t, 3*waitTimeout, "the first router owns the duty", func() bool { return e.duties.owns(AutoscaleDuty) })
		}
	}
	var mu sync.Mutex
	var load uint32
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	// Both may be the aggregator.
	go func() {
		for ; ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
			mu.Lock()
			report := &rpc.LoadReport{Router: "other", Servers: []*rpc.ServerLoad{{Server: "s0", InFlight: load}, {Server: "s1", InFlight: load}}}
			mu.Unlock()
			for _, e := range edges {
				e.load.exchange(time.Now(), report.GetRouter(), decodeLoad(report.GetServers()))
			}
		}
	}()
	return edges, func(n uint32) {
		mu.Lock()
		defer mu.Unlock()
		load = n
	}
}

// Guards against load of other routers that is not counted, an order that is repeated by the same
// or the next owner, and a next owner that does not know the orders.
func TestAutoscaleOrdersOnceAcrossOwners(t *testing.T) {
	t.Parallel()
	store, api := newMemoryStore(), &scaleAPI{}
	edges, setLoad := startScaleEdges(t, store, api, &topology.Autoscaling{MinReplicas: 1, MaxReplicas: 4, BootTime: time.Second})
	never(t, 2*time.Second, "ordered without load", func() bool { return len(api.of("dc0")) > 0 })
	setLoad(100)
	eventually(t, waitTimeout, "both data centres have the highest count", func() bool {
		for _, dc := range []string{"dc0", "dc1"} {
			if orders := api.of(dc); len(orders) == 0 || orders[len(orders)-1].count != 4 {
				return false
			}
		}
		return true
	})
	for _, key := range []string{"dc0", "dc1"} {
		eventually(t, waitTimeout, "the next owner knows the order", func() bool {
			w := edges[1].duties.autoscale
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.last[scaleSubject{"svc", key}].Count == 4
		})
	}
	before := len(api.of("dc0"))
	edges[0].stopping.Store(true)
	edges[0].duties.release()
	eventually(t, 3*waitTimeout, "another router owns the duty", func() bool { return edges[1].duties.owns(AutoscaleDuty) })
	never(t, 3*time.Second, "order repeated", func() bool { return len(api.of("dc0")) > before })
	orders := api.of("dc0")
	for i, o := range orders {
		if o.by.Holder != "r0" || o.by.Token == 0 || i > 0 && o.count == orders[i-1].count {
			t.Errorf("orders %+v", orders)
		}
	}
}

// Guards against a newer order while an older one may still be executed, and against an order
// without an answer that is forgotten when the demand has fallen.
func TestAutoscaleOrderWithoutAnswer(t *testing.T) {
	t.Parallel()
	store, api := newMemoryStore(), &scaleAPI{err: ErrAPIUnknownOutcome}
	_, setLoad := startScaleEdges(t, store, api, &topology.Autoscaling{MinReplicas: 1, MaxReplicas: 4, BootTime: time.Second})
	setLoad(100)
	eventually(t, waitTimeout, "ordered", func() bool { return len(api.of("dc0")) == 1 })
	at := time.Now()
	setLoad(1)
	api.fail(nil)
	eventually(t, apiLateTime+waitTimeout, "ordered again", func() bool { return len(api.of("dc0")) == 2 })
	if waited := time.Since(at); waited < apiLateTime-500*time.Millisecond {
		t.Errorf("ordered again after %s", waited)
	}
	never(t, 2*time.Second, "ordered a third time", func() bool { return len(api.of("dc0")) > 2 })
	if o := api.of("dc0"); o[0].count != o[1].count {
		t.Errorf("orders %+v", o)
	}
}

// Guards against orders for a service without autoscaling, and against a duty that is not named.
func TestNoAutoscaling(t *testing.T) {
	t.Parallel()
	store, api := newMemoryStore(), &scaleAPI{}
	edges, setLoad := startScaleEdges(t, store, api, nil)
	setLoad(100)
	never(t, 6*time.Second, "ordered, or owned without need", func() bool {
		return len(api.of("dc0"))+len(api.of("dc1")) > 0 || edges[0].duties.owns(AutoscaleDuty)
	})
	e := New(&Settings{
		VM: "r9", CloudAPI: api, Decoder: testDecoder{}, Store: &storeClient{store: store},
		Duties: DutySettings{Names: []string{UsageDuty}, LeaseDuration: time.Second, CallsPerSecond: 1, ReportWindow: time.Second},
	}, Reload{}, zerolog.Nop())
	if e.duties.autoscale != nil || len(e.duties.roles) != 1 {
		t.Error("the duty is taken part in without being named")
	}
}
