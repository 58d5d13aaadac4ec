package edge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// deadlyBody is the body of the requests that crash their engines.
const deadlyBody = "deadly"

// crashingEngine is an engine that crashes a while after it has begun to run a request with
// deadlyBody: all connections to it are closed, and another engine takes its place.
type crashingEngine struct {
	fleet   *crashingFleet
	id      string
	crashed chan struct{}
	once    sync.Once
}

// crashingFleet is a set of such engines.
type crashingFleet struct {
	engines
	// head is set if an engine sends the head of its answer before it crashes, delay is the
	// time until then.
	head  bool
	delay time.Duration

	crashMu  sync.Mutex
	byID     map[string]*crashingEngine
	arrivals []time.Time
	crashes  []time.Time
}

func startCrashingFleet(t *testing.T, store *memoryStore, count int, head bool, delay time.Duration) *crashingFleet {
	f := &crashingFleet{engines: engines{t: t, store: store}, head: head, delay: delay, byID: make(map[string]*crashingEngine)}
	f.handler = f.serve
	for range count {
		f.start()
	}
	return f
}

func (f *crashingFleet) engine(id string) *crashingEngine {
	f.crashMu.Lock()
	defer f.crashMu.Unlock()
	e := f.byID[id]
	if e == nil {
		e = &crashingEngine{fleet: f, id: id, crashed: make(chan struct{})}
		f.byID[id] = e
	}
	return e
}

func (f *crashingFleet) serve(id string, w http.ResponseWriter, r *http.Request) {
	e := f.engine(id)
	body, _ := io.ReadAll(r.Body)
	if string(body) == deadlyBody {
		f.crashMu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.crashMu.Unlock()
		time.AfterFunc(f.delay, e.crash)
	}
	if f.head {
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
	}
	select {
	case <-e.crashed:
		panic(http.ErrAbortHandler)
	case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
	}
	if string(body) == deadlyBody {
		<-e.crashed
		panic(http.ErrAbortHandler)
	}
	if f.head {
		fmt.Fprint(w, "id: 0\ndata: x\n\n")
	}
}

func (e *crashingEngine) crash() {
	e.once.Do(func() {
		e.fleet.crashMu.Lock()
		e.fleet.crashes = append(e.fleet.crashes, time.Now())
		e.fleet.crashMu.Unlock()
		e.fleet.store.remove("servers/" + e.id)
		close(e.crashed)
		time.AfterFunc(500*time.Millisecond, e.fleet.start)
	})
}

// lateArrivals returns how many deadly requests arrived later than 3 s after the third crash.
func (f *crashingFleet) lateArrivals() int {
	f.crashMu.Lock()
	defer f.crashMu.Unlock()
	if len(f.crashes) < 3 {
		return 0
	}
	bound := f.crashes[2].Add(3 * time.Second)
	return len(slices.DeleteFunc(slices.Clone(f.arrivals), func(at time.Time) bool { return at.Before(bound) }))
}

// startThreeEdges starts three routers that know each other.
func startThreeEdges(t *testing.T, store *memoryStore) []*testEdge {
	edges := []*testEdge{startEngineEdge(t, store, "r0"), startEngineEdge(t, store, "r1"), startEngineEdge(t, store, "r2")}
	for _, e := range edges {
		eventually(t, waitTimeout, "all routers know each other", func() bool {
			return len(e.controller.peers()) == 2 && len(e.controller.loadAggregatorAddresses()) > 0
		})
	}
	return edges
}

// Guards against a request whose retries crash all engines of a service within milliseconds, so
// that their crashes count as one, and which comes again only some seconds later.
func TestCrashesWithinMillisecondsCountSeparately(t *testing.T) {
	t.Parallel()
	store := newMemoryStore()
	store.put("config", testConfig{1})
	fleet := startCrashingFleet(t, store, 3, false, 0)
	edges := startThreeEdges(t, store)
	for call := range 4 {
		// A client sends a request that failed once more, to another router.
		for try := range 2 {
			status, _ := sendTo(edges[(call+try)%len(edges)], "/check/", deadlyBody, fmt.Sprint("d", call, try))
			if status == http.StatusServiceUnavailable {
				break
			}
		}
		time.Sleep(3500 * time.Millisecond)
	}
	if n := fleet.lateArrivals(); n > 3 {
		t.Errorf("the request reached engines %d times later than 3 s after its third crash of %d", n, len(fleet.crashes))
	}
}

// Guards against one request that, repeated by its caller at any router, crashes one engine
// after the other: of a plain service before any answer, of a model late in its answer.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		parts []string
		head  bool
		delay time.Duration
	}{
		"non-idempotent, before the head": {path: "/book/", delay: 30 * time.Millisecond},
		"idempotent, before the head":     {path: "/check/", delay: 30 * time.Millisecond},
		"stream, late":                    {path: "/", parts: []string{"first", "own"}, head: true, delay: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newMemoryStore()
			store.put("config", testConfig{1})
			fleet := startCrashingFleet(t, store, 6, c.head, c.delay)
			edges := startThreeEdges(t, store)
			var served, failed, refused atomic.Int32
			var running sync.WaitGroup
			for began, i := time.Now(), 0; time.Since(began) < 8*time.Second; i++ {
				running.Go(func() {
					e := edges[rand.IntN(len(edges))]
					if i%8 == 0 {
						sendTo(e, c.path, deadlyBody, fmt.Sprint("d", i), c.parts...)
						return
					}
					status, header := sendTo(e, c.path, fmt.Sprint("body", i), fmt.Sprint("s", i), c.parts...)
					switch {
					case time.Since(began) < 4*time.Second:
					case status == http.StatusOK:
						served.Add(1)
					case status == http.StatusServiceUnavailable && header.Get("Retry-After") != "":
						refused.Add(1)
					default:
						failed.Add(1)
					}
				})
				time.Sleep(25 * time.Millisecond)
			}
			running.Wait()
			if n := fleet.lateArrivals(); n > 3 {
				t.Errorf("the request reached engines %d times later than 3 s after its third crash of %d", n, len(fleet.crashes))
			}
			if served.Load() < 20*(failed.Load()+refused.Load()) || served.Load() == 0 {
				t.Errorf("%d other requests served, %d failed, %d refused", served.Load(), failed.Load(), refused.Load())
			}
		})
	}
}
