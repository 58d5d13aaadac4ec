package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// streaming answers of model l have events at an interval; those of other models have one and
// no confidence.
func streaming(events int, interval time.Duration) func(int, receivedRequest, net.Conn) bool {
	return func(_ int, a receivedRequest, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nConfidence: 0\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", a.head.Get("Id"))
		if a.head.Get("Model") != "l" {
			fmt.Fprint(c, "id: 0\ndata: s\n\n")
			return false
		}
		for i := range events {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: l\n\n", i); err != nil {
				return false
			}
			time.Sleep(interval)
		}
		return false
	}
}

// A stream that the deadline cuts must change what is expected of the next one: when only
// finished streams counted, the same escalation was tried until the deadline again and
// again.
func TestCutStreamIsObserved(t *testing.T) {
	a := newServer(t, "a", streaming(100, 60*time.Millisecond))
	route := topology.Route{Kind: topology.Stream, MaxAttempts: 1, Models: []string{"l"}, Timeout: 700 * time.Millisecond}
	r := newHarness(t, route, a)
	expected := func() time.Duration {
		x := &requestState{call: &Call{}, route: &route, service: &topology.Service{Name: "svc"}, view: r.view.Load()}
		estimate, _ := r.Chooser.Estimate(time.Now(), []*topology.Server{a.Server}, r.selectionRequest(x, "l", nil))
		return estimate.EventInterval
	}
	before := expected()
	if got := r.call(http.MethodPost, "/x", "p"); got.err == nil {
		t.Fatal("the stream was not cut")
	}
	if after := expected(); after >= before {
		t.Errorf("events every 60 ms: %s expected, %s before", after, before)
	}
}
