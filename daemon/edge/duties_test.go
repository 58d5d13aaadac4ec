package edge

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"
)

// recordedCall is a call of the API as the fake one has received it.
type recordedCall struct {
	by     DutyCaller
	window int64
	counts map[string]uint64
}

// fakeAPI checks what the platform forbids.
type fakeAPI struct {
	t        *testing.T
	mu       sync.Mutex
	calls    []recordedCall
	reported map[int64]map[string]uint64
	highest  uint64
	holders  map[uint64]string
	err      error
}

func newFakeAPI(t *testing.T) *fakeAPI {
	return &fakeAPI{t: t, reported: make(map[int64]map[string]uint64), holders: make(map[uint64]string)}
}

func (a *fakeAPI) ReportUsage(_ context.Context, by DutyCaller, window int64, counts map[string]uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		return a.err
	}
	if by.Token < a.highest {
		return ErrTokenRefused
	}
	a.highest = by.Token
	if holder, ok := a.holders[by.Token]; ok && holder != by.Holder {
		a.t.Errorf("token %d of %s and %s", by.Token, holder, by.Holder)
	}
	a.holders[by.Token] = by.Holder
	if before, ok := a.reported[window]; ok && !maps.Equal(before, counts) {
		a.t.Errorf("window %d reported as %v and %v", window, before, counts)
	}
	a.reported[window] = counts
	a.calls = append(a.calls, recordedCall{by, window, counts})
	return nil
}

func (a *fakeAPI) SetDesiredCount(context.Context, DutyCaller, string, string, int) error { return nil }

// sum returns the reported number of requests of a workspace.
func (a *fakeAPI) sum(workspace string) (n uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, counts := range a.reported {
		n += counts[workspace]
	}
	return n
}

// windows returns the number of windows reported and the holder of the latest call.
func (a *fakeAPI) windows() (n int, holder string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.calls) == 0 {
		return 0, ""
	}
	return len(a.reported), a.calls[len(a.calls)-1].by.Holder
}

// startDutyEdges starts routers with the usage duty; the first has the most processor share.
func startDutyEdges(t *testing.T, store *memoryStore, api CloudAPI, n int) (edges []*testEdge, stop []context.CancelFunc) {
	t.Helper()
	store.put("config", testConfig{1})
	for i := range n {
		e := startEdgeWith(t, store, &Settings{
			VM: fmt.Sprintf("r%d", i), Cores: float64(n - i), CloudAPI: api,
			Duties: DutySettings{
				Names: []string{UsageDuty}, LeaseDuration: 600 * time.Millisecond, CallsPerSecond: 50,
				ReportWindow: time.Second, ReportDelay: 4 * time.Second,
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		e.duties.start(ctx)
		go e.exchangeFacts(ctx)
		edges, stop = append(edges, e), append(stop, cancel)
		if i == 0 {
			eventually(t, 3*waitTimeout, "the first router owns the duty", func() bool { return e.duties.owns(UsageDuty) })
		}
	}
	for _, e := range edges {
		eventually(t, waitTimeout, "the routers know each other", func() bool { return len(e.duties.members().ranked) == n && len(e.controller.peers()) == n-1 })
	}
	return edges, stop
}

// Guards against counts that are lost or doubled on the way from the routers by the first
// aggregator and the store to the API, and against an owner other than the first aggregator.
func TestUsageOfAllRoutersIsReportedOnce(t *testing.T) {
	t.Parallel()
	store, api := newMemoryStore(), newFakeAPI(t)
	edges, _ := startDutyEdges(t, store, api, 3)
	eventually(t, 3*waitTimeout, "the first window is reported", func() bool { n, _ := api.windows(); return n > 0 })
	for i := range 300 {
		edges[i%3].duties.usage.count("creche", time.Now(), 1)
	}
	eventually(t, 3*waitTimeout, "all requests are reported", func() bool { return api.sum("creche") == 300 })
	_, holder := api.windows()
	if holder != "r0" {
		t.Errorf("reported by %s", holder)
	}
}

// Guards against an owner that keeps the duty while it stops, and against windows that are
// reported twice with different counts across the change.
func TestUsageDutyMovesAtAPlannedStop(t *testing.T) {
	t.Parallel()
	store, api := newMemoryStore(), newFakeAPI(t)
	edges, _ := startDutyEdges(t, store, api, 3)
	// Routers that have just started wait for late calls of their earlier processes.
	eventually(t, 3*waitTimeout, "some windows are reported", func() bool { n, _ := api.windows(); return n > 5 })
	edges[0].stopping.Store(true)
	edges[0].duties.release()
	owner := awaitOwner(t, edges[1:])
	if edges[0].duties.owns(UsageDuty) {
		t.Error("the router that stops owns the duty")
	}
	before, _ := api.windows()
	eventually(t, 3*waitTimeout, "the new owner reports", func() bool { n, holder := api.windows(); return n > before+1 && holder == owner })
}

// awaitOwner returns the name of the router that owns the usage duty, which one of them must
// within a second. The rank of a candidate decides only when it tries: a stall of the process by
// more than the delay between two ranks lets the next one be first.
func awaitOwner(t *testing.T, edges []*testEdge) (owner string) {
	t.Helper()
	eventually(t, time.Second, "another router owns the duty", func() bool {
		for _, e := range edges {
			if e.duties.owns(UsageDuty) {
				owner = e.settings.VM
			}
		}
		return owner != ""
	})
	return owner
}

// Guards against counts of the owner that are lost when it crashes before it has settled them.
func TestUsageOutlivesTheOwner(t *testing.T) {
	t.Parallel()
	store, api := newMemoryStore(), newFakeAPI(t)
	edges, stop := startDutyEdges(t, store, api, 3)
	eventually(t, 3*waitTimeout, "some windows are reported", func() bool { n, _ := api.windows(); return n > 5 })
	edges[0].client.unavailable.Store(true)
	for range 100 {
		edges[0].duties.usage.count("creche", time.Now(), 1)
	}
	time.Sleep(usageInterval + 3*loadInterval)
	stop[0]()
	edges[0].frozen.Store(true)
	store.remove(routerPrefix + "r0")
	store.remove(dutyPrefix + UsageDuty)
	eventually(t, 3*waitTimeout, "the requests are reported by another router", func() bool { _, holder := api.windows(); return holder != "r0" && api.sum("creche") == 100 })
}

// Guards against a duty that nobody takes up after a restore of the store, and against windows
// of the time before it that are reported with two sums or, though nothing is in doubt, not at all.
func TestUsageAfterARestore(t *testing.T) {
	t.Parallel()
	store, api := newMemoryStore(), newFakeAPI(t)
	edges, _ := startDutyEdges(t, store, api, 3)
	eventually(t, 3*waitTimeout, "some windows are reported", func() bool { n, _ := api.windows(); return n > 5 })
	before := store.copy()
	eventually(t, 3*waitTimeout, "more windows are reported", func() bool { n, _ := api.windows(); return n > 7 })
	for _, e := range edges {
		e.client.unavailable.Store(true)
	}
	for range 100 {
		edges[1].duties.usage.count("creche", time.Now(), 1)
	}
	time.Sleep(2 * time.Second)
	store.restore(before)
	for _, e := range edges {
		e.client.unavailable.Store(false)
	}
	time.Sleep(200 * time.Millisecond)
	store.remove(dutyPrefix + UsageDuty) // its lease ends
	eventually(t, 6*waitTimeout, "the requests of the outage are reported", func() bool { return api.sum("creche") == 100 })
	api.mu.Lock()
	defer api.mu.Unlock()
	if token := api.highest; token>>40 != 1 {
		t.Errorf("token %d is not of the new era", token)
	}
}
