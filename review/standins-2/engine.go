package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of an engine of a plain service, or of one that streams.
type engine struct {
	h                        *harness
	id, service, zone        string
	address                  string
	slots                    int
	work                     time.Duration
	stop                     chan struct{}
	born                     int64
	mu                       sync.Mutex
	running, waiting, served int
	free                     chan struct{}
	coldUntil                time.Time
	// arrivals are the times of the requests that were not rejected with 421.
	arrivals []time.Time
	// answer replaces the usual answer; nil for that.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool
	ran    func(id string)
}

// newEngine starts an engine and lets it write its entry in the store.
func (h *harness) newEngine(id, service, zone string, slots int, work, cold time.Duration) *engine {
	e := &engine{h: h, id: id, service: service, zone: zone, slots: slots, work: work, stop: make(chan struct{}), free: make(chan struct{}, slots)}
	for range slots {
		e.free <- struct{}{}
	}
	l, err := listen(h.host())
	h.must(err)
	e.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: e}).Serve(l) }()
	if cold > 0 {
		e.coldUntil = time.Now().Add(cold)
	}
	e.born = time.Now().UnixMilli()
	go e.beat(e.born)
	return e
}

func (e *engine) setRan(ran func(id string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran = ran
}

// beat writes the entry every heartbeat_interval_ms.
func (e *engine) beat(born int64) {
	for sequence := 1; ; sequence++ {
		e.h.store.put("servers/"+e.id, map[string]any{
			"backend": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity_slots": e.slots, "state": "available",
			"cold_remaining_ms": max(0, time.Until(e.coldUntil).Milliseconds()), "sequence": sequence, "born": born,
		})
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-e.stop:
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	e.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	full := e.waiting >= 4*e.slots
	e.waiting++
	e.mu.Unlock()
	left := func() { e.mu.Lock(); e.waiting--; e.mu.Unlock() }
	if id == "" || full {
		left()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.NewTimer(deadline)
	defer end.Stop()
	select {
	case <-e.free:
		left()
	case <-end.C:
		left()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		left()
		return
	}
	defer func() { e.free <- struct{}{} }()
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() { e.mu.Lock(); e.running--; e.served++; e.mu.Unlock() }()
	if r.Header.Get("X-Model") == "" {
		// The case that names models in its requests counts them.
		e.h.note("engine %s runs %s", e.id, id)
	}
	e.mu.Lock()
	ran := e.ran
	e.mu.Unlock()
	if ran != nil {
		ran(id)
	}
	if e.answer != nil && e.answer(w, r, body) {
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	e.seal(w, id)
	_, _ = io.WriteString(w, answerOf(id))
}

func (e *engine) seal(w http.ResponseWriter, id string) {
	e.mu.Lock()
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots))
	e.mu.Unlock()
	w.Header().Set("X-Server-Seal", "seal."+id)
}

// answerOf is the whole body of the answer to a request.
func answerOf(id string) string { return strings.Repeat(id+".", 800/(len(id)+1)) }
