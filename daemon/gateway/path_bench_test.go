package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"cactusknot.example/daemon/topology"
)

// BenchmarkPath measures a request on a persistent connection to a backend server that
// answers at once, including both ends of the loopback connections.
func BenchmarkPath(b *testing.B) {
	s := newServer(b, "a", respond(http.StatusOK, "0123456789"))
	r := newHarness(b, topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, s)
	c, err := net.Dial("tcp", r.frontend.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q%d\r\n\r\n", i)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := reader.Discard(int(response.ContentLength)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLine measures the log line of a request.
func BenchmarkLine(b *testing.B) {
	r := newHarness(b, topology.Route{Kind: topology.Idempotent}, newServer(b, "a", closeWithoutAnswer))
	x := &requestState{call: &Call{ID: "9c41d07be2a35f68"}, view: r.view.Load(), servers: []string{"i-1"}}
	b.ReportAllocs()
	for b.Loop() {
		r.logLimit = logLimiter{}
		r.recordRequest(x, nil)
	}
}
