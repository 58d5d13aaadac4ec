package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["registration"] = registration }

// Figures of the service: cold_per_s, and what the rule allows a cold engine in one second.
const (
	coldPerS    = 9.1
	coldAllowed = coldPerS*1.5 + 5
	coldTime    = 3 * time.Second
	// lateBy is how much later than the call a lost write is executed; the pages say 1 to 6 s.
	lateBy = 3 * time.Second
)

// restart stops a process as the platform does, and starts it again.
func (h *harness) restart(e *edge) {
	h.note("platform: SIGTERM to %s", e.name)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(8 * time.Second):
		e.kill()
	}
	h.note("platform: %s has ended and is started again", e.name)
	h.start(e)
	h.awaitReady(e, 10*time.Second)
}

// sentRequest is when a client sent a request.
type sentRequest struct {
	mu sync.Mutex
	at map[string]time.Time
}

// registration: two of three processes are restarted in turn while the store loses some answers to
// writes, which it executes late. Later the only engine of a service is replaced.
func registration(h *harness) bool {
	h.store.seen = func(what string) { h.note("%s", what) }
	service := map[string]any{"name": "lm", "health_check_path": "/healthz", "max_connections": 370, "cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerS}
	h.config(1, []map[string]any{route("read", "safe", "lm", 800, 2)}, []map[string]any{service})
	old := h.newEngine("i-old", "lm", "z1", 64, 20*time.Millisecond, 0)
	for _, zone := range []string{"z1", "z2", "z3"} {
		h.newEdge("edge-"+zone+"-1", zone)
	}
	h.startAll()
	time.Sleep(time.Second)
	var writes, lost atomic.Int64
	var once sync.Map
	if h.trouble {
		// The first registration of each process that starts again is lost.
		end := time.Time{}
		h.store.setLose(func(path string, keys []string) time.Duration {
			if end.IsZero() {
				end = time.Now().Add(4500 * time.Millisecond)
				h.note("store: for 4.5 s it loses the answers to some writes")
			}
			if time.Now().After(end) {
				return 0
			}
			writes.Add(1)
			if len(keys) != 1 || !strings.Contains(keys[0], "routers/") {
				return 0
			}
			if _, known := once.LoadOrStore(keys[0], true); known {
				return 0
			}
			lost.Add(1)
			return lateBy
		})
	}
	for _, e := range h.edges[:2] {
		h.restart(e)
	}
	time.Sleep(5 * time.Second)
	h.store.setLose(nil)
	h.note("store: answers to %d of %d writes lost", lost.Load(), writes.Load())
	// The leases of the processes last 15 s.
	time.Sleep(40 * time.Second)

	sent := &sentRequest{at: make(map[string]time.Time)}
	arrived := make(map[string]time.Time)
	var mu sync.Mutex
	stop := make(chan struct{})
	var running sync.WaitGroup
	var served, failed atomic.Int64
	for _, e := range h.edges {
		for range 2 {
			running.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
				for tick := time.Tick(200 * time.Millisecond); ; {
					select {
					case <-stop:
						return
					case <-tick:
					}
					o := sent.send(h, client, e)
					if o.whole {
						served.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	h.note("before the release: %d requests served and %d not", served.Load(), failed.Load())
	fresh := h.newEngine("i-new", "lm", "z1", 64, 20*time.Millisecond, coldTime)
	fresh.setRan(func(id string) {
		mu.Lock()
		defer mu.Unlock()
		arrived[id] = time.Now()
	})
	h.note("operator: release of service lm: engine i-new starts, cold for %s", coldTime)
	time.Sleep(500 * time.Millisecond)
	close(old.stop)
	h.store.put("servers/i-old", map[string]any{
		"backend": "lm", "address": old.address, "zone": "z1", "version": "v1", "capacity_slots": 64, "state": "draining", "cold_remaining_ms": 0, "sequence": 99, "born": time.Now().Add(-time.Minute).UnixMilli(),
	})
	h.note("engine i-old: draining")
	time.Sleep(5 * time.Second)
	close(stop)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	sent.mu.Lock()
	defer sent.mu.Unlock()
	most, at := 0, time.Time{}
	for _, from := range sent.at {
		n := 0
		for id, arrival := range arrived {
			began := sent.at[id]
			if !began.Before(from) && arrival.Sub(from) <= time.Second && arrival.Before(fresh.coldUntil) {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	h.note("engine i-new got %d requests while it was cold, at most %d in one second (from %.3f); allowed are %.2f", len(arrived), most, at.Sub(h.began).Seconds(), coldAllowed)
	return float64(most) > coldAllowed
}

func (s *sentRequest) send(h *harness, client *http.Client, e *edge) outcome {
	began := time.Now()
	o := h.send(client, e, "GET", "/read/x", "key-of-t1", "", 1500*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[o.id] = began
	return o
}
