package gateway

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// Guards against requests that pile up at a full server in the order of their arrival, and
// against a waiting request that nothing wakes when the server gets room.
func TestWaitsForRoomByClass(t *testing.T) {
	release := make(chan struct{}, 100)
	s := newServer(t, "s1", func(n int, r receivedRequest, c net.Conn) bool {
		<-release
		return respond(200, "ok")(n, r, c)
	})
	s.Slots = 1
	r := newHarness(t, topology.Route{LatencyTarget: 10 * time.Second, Timeout: 30 * time.Second}, s)
	r.keys = map[string]*topology.Workspace{
		"low":  {Name: "low", HasUrgency: true, Urgency: 2},
		"high": {Name: "high", HasUrgency: true, Urgency: 0},
	}
	r.publish(topology.Route{LatencyTarget: 10 * time.Second, Timeout: 30 * time.Second}, s)
	var calls sync.WaitGroup
	call := func(id, key string) {
		calls.Add(1)
		go func() {
			defer calls.Done()
			if a := r.call("GET", "/", "", "Id", id, "Key", key); a.status != 200 {
				t.Errorf("%s: status %d, %v", id, a.status, a.err)
			}
		}()
	}
	const places = 4 // maxQueueFactor of selection times one slot
	for range places {
		call("first", "low")
	}
	eventually(t, 2*time.Second, "the server is full", func() bool { return totalRequests(s) == places })
	waiting := func(n int32) func() bool {
		return func() bool { return r.serviceQueue("svc", "").waiting.Load() == n }
	}
	call("low", "low")
	eventually(t, 2*time.Second, "one waits", waiting(1))
	call("high", "high")
	eventually(t, 2*time.Second, "two wait", waiting(2))
	release <- struct{}{}
	eventually(t, 2*time.Second, "one was sent", func() bool { return totalRequests(s) == places+1 })
	if last := s.requests()[places].head.Get("Id"); last != "high" {
		t.Errorf("request %q was sent first, not the more urgent one", last)
	}
	for range places + 1 {
		release <- struct{}{}
	}
	calls.Wait()
	if !strings.Contains(r.logs.String(), "waited for room") {
		t.Error("the wait was not logged")
	}
}

// Guards against a request that is held although it can't end before its deadline, and against
// a refusal after which the caller has no time to return.
func TestRefusedAtOnce(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, "s1", func(n int, r receivedRequest, c net.Conn) bool {
		<-release
		return respond(200, "ok")(n, r, c)
	})
	s.Slots = 1
	r := newHarness(t, topology.Route{LatencyTarget: 10 * time.Second, Timeout: 30 * time.Second}, s)
	var calls sync.WaitGroup
	const places, waiting = 4, 8
	for range places + waiting {
		calls.Go(func() { r.call("GET", "/", "") })
	}
	eventually(t, 2*time.Second, "requests wait", func() bool { return r.serviceQueue("svc", "").waiting.Load() == waiting })
	began := time.Now()
	a := r.call("GET", "/", "", "Id", "hopeless", "Wait", "400")
	if took := time.Since(began); a.status != 503 || took > 300*time.Millisecond {
		t.Errorf("status %d after %s", a.status, took)
	}
	if wait, err := time.ParseDuration(a.header.Get("Retry-After")); err != nil || wait > 134*time.Millisecond {
		t.Errorf("Retry-After %q, want at most a third of 400 ms", a.header.Get("Retry-After"))
	}
	close(release)
	calls.Wait()
	for _, request := range s.requests() {
		if request.head.Get("Id") == "hopeless" {
			t.Error("the refused request was sent")
		}
	}
	if n := totalRequests(s); n != places+waiting {
		t.Errorf("%d requests were sent, want %d", n, places+waiting)
	}
	if !strings.Contains(r.logs.String(), `"end":"cannot_end"`) {
		t.Error("the refusal was not logged")
	}
}

// Guards against allocations in the queue for requests that find room.
func TestNoAllocationWithRoom(t *testing.T) {
	q := (&Gateway{}).serviceQueue("svc", "")
	now := time.Now()
	if n := testing.AllocsPerRun(1000, func() { q.arrive(now, "w", time.Millisecond) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Guards against a request that waits behind, or is refused because of, requests for servers
// that it does not use: here those of the other version in a rollout.
func TestFullVersionDelaysNoOther(t *testing.T) {
	release := make(chan struct{})
	old := newServer(t, "old", func(n int, r receivedRequest, c net.Conn) bool {
		<-release
		return respond(200, "old")(n, r, c)
	})
	target := newServer(t, "target", respond(200, "target"))
	old.Slots, target.Version = 1, "v2"
	r := newHarness(t, topology.Route{LatencyTarget: 10 * time.Second, Timeout: 30 * time.Second}, old, target)
	view := *r.view.Load()
	view.Splits = map[string]topology.TrafficSplit{"svc": {Target: "v2", Share: 0.5}}
	r.view.Store(&view)
	var calls sync.WaitGroup
	reached := false
	for i := range 40 {
		id := strings.Repeat("x", i+1)
		if !InRolloutShare("v2", id, 0.5) {
			calls.Go(func() { r.call("GET", "/", "", "Id", id) })
			continue
		}
		if reached = r.serviceQueue("svc", "old").waiting.Load() >= 4; reached {
			if a := r.call("GET", "/", "", "Id", id, "Wait", "300"); a.body != "target" {
				t.Errorf("%s: status %d", id, a.status)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	close(release)
	calls.Wait()
	if !reached {
		t.Error("no request was sent to the target while others waited")
	}
}
