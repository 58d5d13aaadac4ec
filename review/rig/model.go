package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelEngines are the stand-ins of a service's model engines and what they have seen.
type modelEngines struct {
	record   *record
	store    *store
	service  string
	arrivals *arrivals
	// deadlyPart crashes each engine that begins to write an answer on it; empty for none. down is for
	// how long the engine is away then.
	deadlyPart string
	down       time.Duration
	// headFirst is set if the head of such an answer is sent before the crash, and an event after
	// beforeCrash.
	headFirst   bool
	beforeCrash time.Duration
	// events is the number of events of an answer, and eventTime the time between them.
	events    int
	eventTime time.Duration

	mu      sync.Mutex
	crashes []time.Time
	starts  int
}

// modelEngine is one life of a model engine.
type modelEngine struct {
	all      *modelEngines
	place    int
	id, zone string
	listener net.Listener
	started  time.Time

	mu       sync.Mutex
	sequence int
	crashed  bool
	conns    map[*net.TCPConn]bool
}

const (
	prefillTime = 80 * time.Millisecond
	coldTime    = 3 * time.Second
)

func (m *modelEngines) start(place int, zone string, cold bool) {
	m.mu.Lock()
	m.starts++
	e := &modelEngine{all: m, place: place, zone: zone, id: fmt.Sprintf("i-%d-%d", place, m.starts), listener: listen(), started: time.Now(), conns: make(map[*net.TCPConn]bool)}
	m.mu.Unlock()
	if !cold {
		e.started = e.started.Add(-coldTime)
	}
	go e.accept()
	e.beat()
	go func() {
		for range time.Tick(beat) {
			if !e.beat() {
				return
			}
		}
	}()
}

// beat writes the entry of the engine. It returns false once the engine has crashed.
func (e *modelEngine) beat() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return false
	}
	e.sequence++
	e.all.store.put("servers/"+e.id, map[string]any{
		"backend": e.all.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "capacity_slots": 64,
		"state": "available", "cold_remaining_ms": max(0, time.Until(e.started.Add(coldTime)).Milliseconds()), "sequence": e.sequence, "born": e.started.UnixMilli(),
	})
	return true
}

// crash ends this life of the engine. Its entry is removed after three intervals of silence, and another
// life begins after some seconds.
func (e *modelEngine) crash(id string) {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.listener.Close()
	for c := range e.conns {
		reset(c)
	}
	e.mu.Unlock()
	e.all.mu.Lock()
	e.all.crashes = append(e.all.crashes, time.Now())
	e.all.record.add("engine %s crashes as it begins to write the answer to %s (crash %d)", e.id, id, len(e.all.crashes))
	e.all.mu.Unlock()
	time.AfterFunc(3*beat, func() { e.all.store.drop("servers/" + e.id) })
	time.AfterFunc(e.all.down, func() { e.all.start(e.place, e.zone, true) })
}

func (e *modelEngine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c.(*net.TCPConn))
	}
}

func (e *modelEngine) serve(c *net.TCPConn) {
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
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !e.answer(c, request) {
			return
		}
	}
}

// answer runs a request. It returns false if the connection ends.
func (e *modelEngine) answer(c *net.TCPConn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	head := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Instance-Load: 1,0,64\r\n", id, e.id)
	if r.Header.Get("X-Expected-Instance") != e.id || r.Header.Get("X-Model") == "*" {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return true
	}
	e.all.arrivals.add(id, arrival{at: time.Now(), engine: e.id, ran: true})
	deadly := false
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		name, _, _ := strings.Cut(part, ":")
		deadly = deadly || name != "" && name == e.all.deadlyPart
	}
	time.Sleep(prefillTime)
	if deadly && !e.all.headFirst {
		e.crash(id)
		return false
	}
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Server-Seal: %s.%s\r\nX-Confidence: 90\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head, e.id, id); err != nil {
		return false
	}
	if deadly {
		time.Sleep(e.all.beforeCrash)
	}
	for i := first; i <= e.all.events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if deadly {
			time.Sleep(5 * time.Millisecond)
			e.crash(id)
			return false
		}
		time.Sleep(e.all.eventTime)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
