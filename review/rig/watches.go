package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// appConfig is the operator's configuration of a plain service with a safe and an unsafe route.
func appConfig(version int) map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "app.example", "prefix": "/" + name + "/", "backend": "app",
			"route_type": kind, "timeout_ms": 4000, "target_latency_ms": 300, "priority_class": 1, "max_attempts": 2, "anonymous": false,
		}
	}
	return map[string]any{
		"version": version, "routes": []any{route("check", "safe"), route("book", "unsafe")},
		"backends": []any{map[string]any{"name": "app", "health_check_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls_enabled": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"key1"}, "priority_class": 1}},
	}
}

// watches: the store cuts watches that wait, and engines that never report that they drain leave.
func watches(r *rig) bool {
	const (
		drainTimeout = 2 * time.Second
		// serveOn is for how long an engine goes on after its entry is removed: the drain timeout and a
		// little longer.
		serveOn = 2250 * time.Millisecond
		leavers = 8
	)
	s, seen := newStore(r.record), &arrivals{byID: make(map[string][]arrival)}
	s.put("op/config", appConfig(3))
	var engines []*engine
	for i := range 3 + leavers {
		engines = append(engines, r.newEngine(fmt.Sprintf("i-%d", i+1), "app", fmt.Sprintf("z%d", i%3+1), 60*time.Millisecond, s, seen))
	}
	r.newEdges(s, smallBounds, smallMachines)
	for _, e := range r.edges {
		eventually(9*time.Second, e.name+" is ready", e.isReady)
	}
	time.Sleep(time.Until(r.record.start.Add(10 * time.Second)))
	s.setCutWatches(r.trouble)
	c, stop := &clients{}, make(chan struct{})
	var loads, requests sync.WaitGroup
	for _, e := range r.edges {
		loads.Go(func() { c.load(e, "book", http.MethodPost, 20*time.Millisecond, 4*time.Second, stop, &requests) })
		loads.Go(func() { c.load(e, "check", http.MethodGet, 20*time.Millisecond, 4*time.Second, stop, &requests) })
	}
	time.Sleep(3 * time.Second)
	left := make(map[string]time.Time)
	for _, e := range engines[:leavers] {
		e.leave()
		left[e.id] = time.Now()
		r.record.add("the store has acknowledged the removal of the entry of engine %s", e.id)
		time.Sleep(serveOn)
		e.exit()
		r.record.add("engine %s exits", e.id)
		time.Sleep(1370 * time.Millisecond)
	}
	close(stop)
	loads.Wait()
	requests.Wait()
	late, lost, latest := make(map[string]int), 0, time.Duration(0)
	total := 0
	r.record.add("requests: id route: machine and time, engine and time of arrival, status and time of the end of the answer")
	for _, one := range c.list {
		for _, a := range seen.byID[one.id] {
			r.record.request(one, a, false)
			if at, ok := left[a.engine]; ok && a.at.Sub(at) > drainTimeout {
				total++
				late[a.engine]++
				latest = max(latest, a.at.Sub(at))
				if one.route == "book" && one.status != http.StatusOK {
					lost++
				}
			}
		}
	}
	r.keepLogs("vanished backend server", "backend server removed")
	summary := fmt.Sprintf("%d requests sent, %d watches cut; %d requests reached an engine later than %s after the removal of its entry (%v), the last after %s; %d bookings among them have no answer that says whether they were made",
		len(c.list), s.cuts, total, drainTimeout, late, latest.Round(time.Millisecond), lost)
	r.record.add("%s", summary)
	fmt.Println(summary)
	return total > 0
}
