package edge

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// limitedServer serves on a loopback port with limits that a test may change.
func limitedServer(t *testing.T, first topology.Limits) (address string, limits *atomic.Pointer[topology.Limits]) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits = &atomic.Pointer[topology.Limits]{}
	limits.Store(&first)
	server := frontServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	go func() { _ = server.Serve(limitedListener{l, func() topology.Limits { return *limits.Load() }}) }()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String(), limits
}

// closedAfter waits until the server closes the connection.
func closedAfter(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the connection stays open")
	}
	return time.Since(began)
}

func dialled(t *testing.T, address, send string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprint(c, send)
	return c
}

// Guards against a caller who keeps a connection by sending headers slowly, and
// against an idle connection that is closed before or long after its time: callers
// use one again until shortly before the limit that the configuration states.
func TestTimesOfTheConfiguration(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	address, limits := limitedServer(t, topology.Limits{HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 700 * time.Millisecond})
	slow := dialled(t, address, "GET / HTTP/1.1\r\nHo")
	if took := closedAfter(t, slow); took < 200*time.Millisecond || took > 650*time.Millisecond {
		t.Errorf("slow headers ended after %s, want 300 ms", took)
	}
	idle := dialled(t, address, whole)
	reader := bufio.NewReader(idle)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatal(response, err)
		}
		// Four fifths of the limit, and longer than the headers may take.
		time.Sleep(560 * time.Millisecond)
		fmt.Fprint(idle, whole)
	}
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Fatal(err)
	}
	if took := closedAfter(t, idle); took < 600*time.Millisecond || took > 1200*time.Millisecond {
		t.Errorf("idle connection ended after %s, want 700 ms", took)
	}
	limits.Store(&topology.Limits{HeaderTimeout: time.Second, IdleTimeout: 100 * time.Millisecond})
	idle = dialled(t, address, whole)
	if _, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil {
		t.Fatal(err)
	}
	if took := closedAfter(t, idle); took > 500*time.Millisecond {
		t.Errorf("idle connection ended after %s, want 100 ms of the new configuration", took)
	}
}
