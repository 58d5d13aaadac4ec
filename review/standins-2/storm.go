package main

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["8"] = storm }

// Figures of the case: the store is slow 60 times for 4.5 s, and 25 versions come 80 ms apart.
const (
	slowFactor, slowTime = 60, 4500 * time.Millisecond
	versions, gap        = 25, 80 * time.Millisecond
	configApply          = 2 * time.Second
	drainTimeout         = 2 * time.Second
)

// storm: versions of a large configuration come in quick succession while the store is slow.
func storm(h *harness) bool {
	size := 960_000
	if text := os.Getenv("SIZE"); text != "" {
		size, _ = strconv.Atoi(text)
	}
	var routes []map[string]any
	routes = append(routes, route("read", "safe", "app", 800, 2))
	backends := []map[string]any{{"name": "app", "health_check_path": "/healthz", "max_connections": 110}}
	for total := 2000; total < size; {
		r := route(sprintf("idle-%05d", len(routes)), "safe", "app", 800, 2)
		raw, _ := json.Marshal(r)
		total += len(raw) + 1
		routes = append(routes, r)
	}
	h.config(1, routes, backends)
	h.note("operator: a configuration of %d routes and %d bytes", len(routes), h.store.size("op/config"))
	var list []*engine
	for _, zone := range []string{"z1", "z2"} {
		list = append(list, h.newEngine("i-"+zone, "app", zone, 6, 5*time.Millisecond, 0))
		h.newEdge("edge-"+zone+"-1", zone)
	}
	h.startAll()
	time.Sleep(3 * time.Second)
	if h.trouble {
		h.note("store: answers take %d times as long, for %s", slowFactor, slowTime)
		h.store.setSlow(slowFactor * usual)
	}
	began := time.Now()
	time.Sleep(300 * time.Millisecond)
	keys := []string{"key-of-t2"}
	for n := range versions {
		if n == versions-1 {
			routes, keys = append(routes, route("new", "safe", "app", 800, 2)), nil
		}
		routes[1]["timeout_ms"] = 700 + n
		h.configWithKeys(2+n, routes, backends, keys)
		time.Sleep(gap)
	}
	// The answer to the operator takes as long as others.
	acknowledged := time.Now().Add(slowFactor * usual)
	h.note("operator: %d versions sent; the last one has the route new, and no longer the key of tenant t2", versions)
	time.Sleep(time.Until(began.Add(slowTime)))
	h.store.setSlow(0)
	h.note("store: as usual again")
	// The machines are in touch from now on.
	time.Sleep(contact)
	if since := time.Since(acknowledged); since < configApply {
		time.Sleep(configApply - since)
	}
	h.note("the machines are in touch; engine %s: draining", list[1].id)
	leaves := list[1]
	close(leaves.stop)
	h.store.put("servers/"+leaves.id, map[string]any{
		"backend": "app", "address": leaves.address, "zone": "z2", "version": "v1", "capacity_slots": 6, "state": "draining", "cold_remaining_ms": 0, "sequence": 99, "born": leaves.born,
	})
	drainedAt := time.Now()
	var served, refused, dropped, late atomic.Int64
	leaves.setRan(func(string) {
		if time.Since(drainedAt) > drainTimeout {
			late.Add(1)
		}
	})
	var wg sync.WaitGroup
	for _, e := range h.edges {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
				switch o := h.send(client, e, "GET", "/new/x", "key-of-t1", "", 1500*time.Millisecond); {
				case o.whole:
					served.Add(1)
				case o.status == http.StatusNotFound:
					refused.Add(1)
				}
				if h.send(client, e, "GET", "/read/x", "key-of-t2", "", 1500*time.Millisecond).whole {
					dropped.Add(1)
				}
			}
		})
	}
	wg.Wait()
	h.note("CONFIG: %d requests on the new route served, %d answered 404; %d requests served with the key that was dropped", served.Load(), refused.Load(), dropped.Load())
	h.note("DRAIN: %d requests reached the engine later than %s after it was draining", late.Load(), drainTimeout)
	return refused.Load()+dropped.Load() > 0
}

func (s *store) setSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}
