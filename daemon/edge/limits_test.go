package edge

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against servers that name a rate limit and get more: routers that do not go by it,
// or each alone. What the limit takes away must go to the other servers.
func TestNamedLimitHoldsOverAllRouters(t *testing.T) {
	const (
		perSecond = 2.0
		limited   = 3
		servers   = 5
		window    = 4 * time.Second
		allowed   = 1.5*perSecond*4 + 5
	)
	store := newMemoryStore()
	store.put("config", testConfig{1})
	var mu sync.Mutex
	arrivals := make(map[string][]time.Time)
	fleet := &engines{t: t, store: store}
	fleet.handler = func(id string, w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		arrivals[id] = append(arrivals[id], time.Now())
		mu.Unlock()
		if id <= fmt.Sprint("e", limited) {
			w.Header().Set("Limit", fmt.Sprint(perSecond))
		}
		streamEvents(w, 3, 50*time.Millisecond)
	}
	for range servers {
		fleet.start()
	}
	var edges []*testEdge
	for i := range 4 {
		edges = append(edges, startEngineEdge(t, store, fmt.Sprint("r", i)))
	}
	for _, e := range edges {
		eventually(t, waitTimeout, "all routers know each other", func() bool {
			return len(e.controller.peers()) == 3 && len(e.controller.loadAggregatorAddresses()) > 0
		})
	}
	var failed atomic.Int32
	var running sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < 8*time.Second; i++ {
		running.Go(func() {
			if status, _ := send(edges[i%len(edges)], fmt.Sprint("q", i), "first", fmt.Sprint("own", i)); status != http.StatusOK {
				failed.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	running.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d requests failed", n)
	}
	for id, times := range arrivals {
		from, _ := slices.BinarySearchFunc(times, began.Add(2*time.Second), time.Time.Compare)
		for first := from; first < len(times) && id <= fmt.Sprint("e", limited); first++ {
			last, _ := slices.BinarySearchFunc(times, times[first].Add(window), time.Time.Compare)
			if last-first > allowed {
				t.Fatalf("%s got %d requests in %s, allowed are %.0f", id, last-first, window, allowed)
			}
		}
		if len(times)-from < 2 {
			t.Errorf("%s got %d requests in 6 s: the end of its limit would not be noticed", id, len(times)-from)
		}
	}
}
