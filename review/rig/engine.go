package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has reached an engine.
type arrival struct {
	at     time.Time
	engine string
	ran    bool
}

// arrivals holds the requests that have reached the engines, by their id.
type arrivals struct {
	mu   sync.Mutex
	byID map[string][]arrival
}

func (a *arrivals) add(id string, one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = append(a.byID[id], one)
}

// engine is a stand-in of an engine of a plain service. It registers in the store and beats.
type engine struct {
	id, service, zone string
	work              time.Duration
	listener          net.Listener
	store             *store
	arrivals          *arrivals
	born              int64

	// deadlyPath crashes the engine when it begins to run a request to that path; empty for none. It is
	// back after down, as another engine.
	deadlyPath string
	crashed    func(e *engine, id string)

	mu       sync.Mutex
	sequence int
	left     bool
	conns    map[net.Conn]bool
}

const beat = 1200 * time.Millisecond

func (r *rig) newEngine(id, service, zone string, work time.Duration, s *store, a *arrivals) *engine {
	e := &engine{id: id, service: service, zone: zone, work: work, listener: listen(), store: s, arrivals: a, born: time.Now().UnixMilli(), conns: make(map[net.Conn]bool)}
	e.serveAll()
	return e
}

func (e *engine) serveAll() {
	go e.accept()
	e.beat()
	go func() {
		for range time.Tick(beat) {
			e.beat()
		}
	}()
}

// crash resets all connections. The entry is removed after three intervals of silence.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if e.left {
		e.mu.Unlock()
		return
	}
	e.left = true
	e.listener.Close()
	for c := range e.conns {
		reset(c.(*net.TCPConn))
	}
	e.mu.Unlock()
	time.AfterFunc(3*beat, func() { e.store.drop("servers/" + e.id) })
	e.crashed(e, id)
}

func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left {
		return
	}
	if e.sequence++; e.sequence > 1 {
		// The entry changes only when more than sequence does.
		return
	}
	e.store.put("servers/"+e.id, map[string]any{
		"backend": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "capacity_slots": 64,
		"state": "available", "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	})
}

// leave removes the entry, as engines do that never report that they drain. The engine goes on serving.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
	e.store.drop("servers/" + e.id)
}

// exit ends the engine with its connections.
func (e *engine) exit() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
	for c := range e.conns {
		c.Close()
	}
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
			e.arrivals.add(id, arrival{at: time.Now(), engine: e.id})
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.id)
			continue
		}
		e.arrivals.add(id, arrival{at: time.Now(), engine: e.id, ran: true})
		if e.deadlyPath != "" && request.URL.Path == e.deadlyPath {
			e.crash(id)
			return
		}
		time.Sleep(e.work)
		body := "done " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Instance-Id: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, e.id, id, e.id, len(body), body); err != nil {
			return
		}
	}
}
