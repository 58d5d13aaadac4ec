package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// deadly: a safe request crashes each engine that begins to run it, and comes again now and then. Its
// client sends it once more, to another machine, when it fails.
func deadly(r *rig) bool {
	const (
		contact = 3 * time.Second
		allowed = 3
		path    = "dead"
		down    = 2 * time.Second
		again   = 15 * time.Second
		times   = 4
	)
	s, seen := newStore(r.record), &arrivals{byID: make(map[string][]arrival)}
	s.put("op/config", appConfig(3))
	var mu sync.Mutex
	var crashes []time.Time
	lives := 0
	var start func(zone string)
	start = func(zone string) {
		mu.Lock()
		lives++
		id := fmt.Sprintf("i-%d", lives)
		mu.Unlock()
		e := &engine{
			id: id, service: "app", zone: zone, work: 60 * time.Millisecond, listener: listen(), store: s, arrivals: seen,
			born: time.Now().UnixMilli(), conns: make(map[net.Conn]bool), deadlyPath: "/check/" + path,
		}
		e.crashed = func(e *engine, id string) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			r.record.add("engine %s crashes as it begins to run %s (crash %d)", e.id, id, len(crashes))
			mu.Unlock()
			time.AfterFunc(down, func() { start(zone) })
		}
		e.serveAll()
	}
	for i := range 3 {
		time.Sleep(beat / 3)
		start(fmt.Sprintf("z%d", i+1))
	}
	r.newEdges(s, smallBounds, smallMachines)
	for _, e := range r.edges {
		eventually(9*time.Second, e.name+" is ready", e.isReady)
	}
	time.Sleep(time.Until(r.record.start.Add(10 * time.Second)))
	c, stop := &clients{}, make(chan struct{})
	var loads, requests sync.WaitGroup
	for _, e := range r.edges {
		// 2.5 requests a second at each machine: 12.7 in all on the sheet.
		loads.Go(func() { c.load(e, "book", http.MethodPost, 700*time.Millisecond, 4*time.Second, stop, &requests) })
		loads.Go(func() { c.load(e, "check", http.MethodGet, 950*time.Millisecond, 4*time.Second, stop, &requests) })
	}
	time.Sleep(3 * time.Second)
	bad := make(map[string]bool)
	for n := range times {
		for try := range 2 {
			if !r.trouble {
				break
			}
			e := r.edges[(n+try)%len(r.edges)]
			one := c.call(newClient(), e, call{route: "check", method: http.MethodGet, deadline: 4 * time.Second, path: path})
			bad[one.id] = true
			r.record.add("deadly request %s at %s: answer %d after %.3f s, error %v", one.id, e.name, one.status, one.ended.Sub(one.at).Seconds(), one.err)
			if one.status == http.StatusServiceUnavailable {
				// The answer says when to come back; that is not before this client's next call.
				break
			}
		}
		time.Sleep(again)
	}
	close(stop)
	loads.Wait()
	requests.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, failed, total := 0, 0, 0
	r.record.add("requests: id route: machine and time, engine and time of arrival, status and time of the end of the answer")
	for _, one := range c.list {
		for _, a := range seen.byID[one.id] {
			r.record.request(one, a, bad[one.id])
			if bad[one.id] && len(crashes) >= 3 && a.at.Sub(crashes[2]) > contact {
				late++
			}
		}
		if !bad[one.id] {
			if total++; one.status != http.StatusOK {
				failed++
			}
		}
	}
	r.keepLogs("quarantine")
	summary := fmt.Sprintf("%d crashes of engines by one request; it reached engines %d times later than %s after the third crash (%d allowed); %d of %d other requests failed",
		len(crashes), late, contact, allowed, failed, total)
	r.record.add("%s", summary)
	fmt.Println(summary)
	return late > allowed
}
