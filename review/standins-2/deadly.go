package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = deadly }

// away is how long an engine that has crashed is away at least: some seconds.
const away = 2 * time.Second

// mortal is an engine that crashes when it begins to run a request to the path /letter/deadly, and is
// back some seconds later under its id and at its address.
type mortal struct {
	h        *harness
	id, zone string
	address  string
	runs     atomic.Int64

	mu      sync.Mutex
	server  *http.Server
	engine  *engine
	crashes []time.Time
	// down is set while it is away, ended at the end of the case.
	down, ended bool
}

func (h *harness) newMortal(id, zone string) *mortal {
	m := &mortal{h: h, id: id, zone: zone, address: h.host() + ":8080"}
	m.start()
	return m
}

func (m *mortal) start() {
	l, err := net.Listen("tcp", m.address)
	m.h.must(err)
	e := &engine{h: m.h, id: m.id, service: "app", zone: m.zone, address: m.address, slots: 16, work: 20 * time.Millisecond, stop: make(chan struct{}), free: make(chan struct{}, 16)}
	for range e.slots {
		e.free <- struct{}{}
	}
	e.answer = func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
		if r.URL.Path != "/letter/deadly" {
			return false
		}
		m.crash(r.Header.Get("X-Attempt-Id"), string(body))
		panic(http.ErrAbortHandler)
	}
	server := &http.Server{Handler: e}
	m.mu.Lock()
	m.engine, m.server, m.down = e, server, false
	m.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go e.beat(time.Now().UnixMilli())
}

func (m *mortal) crash(id, body string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return
	}
	m.down = true
	m.crashes = append(m.crashes, time.Now())
	m.h.note("engine %s begins to run %s (%s) and crashes", m.id, id, body)
	close(m.engine.stop)
	server := m.server
	go func() {
		_ = server.Close()
		time.Sleep(away + rand.N(300*time.Millisecond))
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		if !ended {
			m.start()
			m.h.note("engine %s is back", m.id)
		}
	}()
}

// deadly: a request that crashes the engine that runs it comes again and again.
func deadly(h *harness) bool {
	engines, beating := 1, 20
	if text := os.Getenv("ENGINES"); text != "" {
		engines, _ = strconv.Atoi(text)
	}
	if text := os.Getenv("BEATING"); text != "" {
		beating, _ = strconv.Atoi(text)
	}
	h.config(1, []map[string]any{route("read", "safe", "app", 800, 2), route("letter", "unsafe", "app", 1500, 1), route("other", "safe", "other", 800, 2)},
		[]map[string]any{{"name": "app", "health_check_path": "/healthz", "max_connections": 370}, {"name": "other", "health_check_path": "/healthz", "max_connections": 370}})
	var list []*mortal
	for n := range engines {
		list = append(list, h.newMortal(sprintf("i-app-%d", n+1), sprintf("z%d", n%3+1)))
	}
	for n := range beating {
		h.newEngine(sprintf("i-other-%d", n+1), "other", sprintf("z%d", n%3+1), 6, 20*time.Millisecond, 0)
		time.Sleep(1200 * time.Millisecond / time.Duration(beating))
	}
	for _, zone := range []string{"z1", "z2"} {
		h.newEdge("edge-"+zone+"-1", zone)
	}
	h.startAll()
	stop := make(chan struct{})
	var running sync.WaitGroup
	var served, failed atomic.Int64
	for _, e := range h.edges {
		for n := range 4 {
			running.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				for tick := time.Tick(200 * time.Millisecond); ; {
					select {
					case <-stop:
						return
					case <-tick:
					}
					if h.send(client, e, "GET", "/read/"+newID(), "key-of-t1", "", 1500*time.Millisecond).whole {
						served.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	h.note("before: %d requests of other clients served and %d not", served.Load(), failed.Load())
	for n := range 20 {
		var sending sync.WaitGroup
		for at, e := range h.edges {
			// With several engines, it comes at both machines at once.
			if h.trouble && (engines > 1 || at == n%len(h.edges)) {
				sending.Go(func() {
					h.once(e, "POST", "/letter/deadly", "key-of-t2", "the deadly request", 1500*time.Millisecond)
				})
			}
		}
		sending.Wait()
		time.Sleep(2600*time.Millisecond + rand.N(800*time.Millisecond))
	}
	close(stop)
	running.Wait()
	var crashes []time.Time
	for _, m := range list {
		m.mu.Lock()
		m.ended = true
		crashes = append(crashes, m.crashes...)
		m.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	if len(crashes) >= 3 {
		third := crashes[2]
		for _, at := range crashes {
			if at.Sub(third) > contact {
				late++
			}
		}
	}
	h.note("%d crashes; the request reached engines %d times later than %s after the third one; allowed are 3", len(crashes), late, contact)
	h.note("%d requests of other clients served and %d not", served.Load(), failed.Load())
	return late > 3
}
