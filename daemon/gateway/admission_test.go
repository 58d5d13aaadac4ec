package gateway

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// fullServerPlaces is maxQueueFactor of selection times one slot.
const fullServerPlaces = 4

// fullServer returns a gateway with one server that is full of requests with the given key. A
// request at the server ends when release gets a value.
func fullServer(t *testing.T, workspaces map[string]*topology.Workspace, key string) (r *harness, s *server, release chan struct{}, calls *sync.WaitGroup) {
	t.Helper()
	release = make(chan struct{}, 100)
	s = newServer(t, "s1", func(n int, r receivedRequest, c net.Conn) bool {
		<-release
		return respond(200, "ok")(n, r, c)
	})
	s.Slots = 1
	route := topology.Route{LatencyTarget: 10 * time.Second, Timeout: 30 * time.Second}
	r, calls = newHarness(t, route, s), new(sync.WaitGroup)
	r.keys = workspaces
	r.publish(route, s)
	for range fullServerPlaces {
		r.callInBackground(t, calls, key)
	}
	eventually(t, 2*time.Second, "the server is full", func() bool { return totalRequests(s) == fullServerPlaces })
	return r, s, release, calls
}

// callInBackground sends a request with a key, which must be answered.
func (r *harness) callInBackground(t *testing.T, calls *sync.WaitGroup, key string) {
	calls.Go(func() {
		if a := r.call("GET", "/", "", "Id", key, "Key", key); a.status != 200 {
			t.Errorf("%s: status %d, %v", key, a.status, a.err)
		}
	})
}

// Guards against requests that pile up at a full server in the order of their arrival, against
// one that is held although it can't end before its deadline, and against a refusal after which
// the caller has no time to return.
func TestFullServer(t *testing.T) {
	const waiting = 8
	r, s, release, calls := fullServer(t, map[string]*topology.Workspace{"low": {Name: "low", HasUrgency: true, Urgency: 2}, "high": {Name: "high", HasUrgency: true}}, "low")
	call := func(key string, waiting int32) {
		r.callInBackground(t, calls, key)
		eventually(t, 2*time.Second, "the request waits", func() bool {
			return r.serviceQueue("svc", "").waiting.Load() == waiting && totalRequests(s) == fullServerPlaces
		})
	}
	for n := range int32(waiting) {
		call("low", n+1)
	}
	began := time.Now()
	a := r.call("GET", "/", "", "Id", "hopeless", "Key", "low", "Wait", "400")
	if took := time.Since(began); a.status != 503 || took > 300*time.Millisecond {
		t.Errorf("status %d after %s", a.status, took)
	}
	if wait, err := time.ParseDuration(a.header.Get("Retry-After")); err != nil || wait > 134*time.Millisecond {
		t.Errorf("Retry-After %q, want at most a third of 400 ms", a.header.Get("Retry-After"))
	}
	call("high", waiting+1)
	release <- struct{}{}
	eventually(t, 2*time.Second, "one was sent", func() bool { return totalRequests(s) == fullServerPlaces+1 })
	if last := s.requests()[fullServerPlaces].head.Get("Id"); last != "high" {
		t.Errorf("request %q was sent first, not the more urgent one", last)
	}
	close(release)
	calls.Wait()
	if n := totalRequests(s); n != fullServerPlaces+waiting+1 {
		t.Errorf("%d requests were sent, want %d", n, fullServerPlaces+waiting+1)
	}
	if logs := r.logs.String(); !strings.Contains(logs, `"end":"cannot_end"`) || !strings.Contains(logs, `"end":"room"`) {
		t.Error("the waits were not logged")
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

// Guards against priorities out of the range of the queue's classes: the first such request
// that had to wait panicked with the queue locked, and all later ones of the service hung.
func TestPrioritiesOutOfRangeWait(t *testing.T) {
	r, _, release, calls := fullServer(t, map[string]*topology.Workspace{
		"usual":   {Name: "usual"},
		"below":   {Name: "below", HasUrgency: true, Urgency: -1},
		"largest": {Name: "largest", HasUrgency: true, Urgency: 12},
	}, "usual")
	r.callInBackground(t, calls, "below")
	r.callInBackground(t, calls, "largest")
	eventually(t, 2*time.Second, "both wait", func() bool { return r.serviceQueue("svc", "").waiting.Load() == 2 })
	close(release)
	calls.Wait()
}
