package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/daemon/upstream"
)

// testCodec is a HeaderCodec with a minimal set of headers.
type testCodec struct{}

func (testCodec) Decode(r *http.Request) *Call {
	c := &Call{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host,
		Header: r.Header, APIKey: r.Header.Get("Key"), ResumeAfter: -1,
	}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	return c
}

func (testCodec) Encode(call *Call, d AttemptOptions) http.Header {
	h := http.Header{"Id": {call.ID}, "Server": {d.ServerID}, "Left": {strconv.FormatInt(d.Remaining.Milliseconds(), 10)}}
	h.Set("Model", d.Model)
	h.Set("Workspace", d.Workspace)
	h.Set("After", strconv.FormatInt(d.ResumeAfter, 10))
	return h
}

func (testCodec) Owner(call *Call, h http.Header) upstream.Owner {
	switch h.Get("Id") {
	case call.ID:
		return upstream.Own
	case "":
		return upstream.Unidentified
	}
	return upstream.Foreign
}

func (testCodec) ParseResponse(_ int, h http.Header) ResponseInfo {
	confidence, err := strconv.Atoi(h.Get("Confidence"))
	if err != nil {
		confidence = -1
	}
	return ResponseInfo{
		NotRun: h.Get("Not-Run") != "", Sealed: h.Get("Mark") != "", Confidence: confidence,
		EventStream: h.Get("Content-Type") == "text/event-stream",
	}
}

func (testCodec) Stays(string, int, http.Header) bool { return false }

func (testCodec) ResponseHeader(_ *Call, h http.Header) http.Header {
	out := http.Header{"Mark": h["Mark"]}
	out.Set("Content-Type", h.Get("Content-Type"))
	return out
}

func (testCodec) ErrorHeader(_ *Call, retryAfter time.Duration) http.Header {
	h := http.Header{}
	if retryAfter > 0 {
		h.Set("Retry-After", retryAfter.String())
	}
	return h
}

// receivedRequest is a request as a backend server received it.
type receivedRequest struct {
	head http.Header
	line string
	body string
	conn int
}

// server is a scripted backend server on raw TCP connections.
type server struct {
	*topology.Server
	listener net.Listener
	mu       sync.Mutex
	received []receivedRequest
	conns    int
	// answer writes the response to the nth request; the server closes the connection
	// if it returns false.
	answer func(n int, a receivedRequest, c net.Conn) bool
}

// newServer starts a backend server on a loopback port.
func newServer(t testing.TB, id string, answer func(n int, a receivedRequest, c net.Conn) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, answer: answer, Server: &topology.Server{ID: id, Service: "svc", Address: l.Addr().String(), Version: "v1", Slots: 8}}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		n := s.conns
		s.mu.Unlock()
		go s.serve(c, n)
	}
}

func (s *server) serve(c net.Conn, conn int) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := receivedRequest{head: r.Header, line: r.Method + " " + r.RequestURI, body: string(body), conn: conn}
		s.mu.Lock()
		s.received = append(s.received, a)
		n := len(s.received)
		s.mu.Unlock()
		if !s.answer(n, a, c) {
			return
		}
	}
}

// requests returns the requests that the server has received.
func (s *server) requests() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.received...)
}

// respond answers with a body and its Content-Length.
func respond(status int, body string) func(int, receivedRequest, net.Conn) bool {
	return func(_ int, a receivedRequest, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nMark: m\r\nContent-Length: %d\r\n\r\n%s", status, a.head.Get("Id"), len(body), body)
		return true
	}
}

// refuseNotRun states that the request was not run.
func refuseNotRun(_ int, a receivedRequest, c net.Conn) bool {
	fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", a.head.Get("Id"))
	return true
}

// closeWithoutAnswer closes the connection without a response.
func closeWithoutAnswer(int, receivedRequest, net.Conn) bool { return false }

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// harness is a gateway behind an HTTP server, with a view of scripted backend servers.
type harness struct {
	*Gateway
	logs     lockedBuffer
	view     atomic.Pointer[topology.View]
	frontend *httptest.Server
	samples  atomic.Int32
	slow     atomic.Int32
	keys     map[string]*topology.Workspace
}

// newHarness starts a gateway with one route to the servers.
func newHarness(t testing.TB, route topology.Route, servers ...*server) *harness {
	t.Helper()
	r := &harness{}
	r.Gateway = New(Config{
		Name: "r1", Codec: testCodec{}, View: r.view.Load, Observe: r.observe,
		LimitBacklog: true, Retries: limit.RetryConfig{Ratio: 0.9, Extra: 50, Window: 10 * time.Second}, Log: zerolog.New(&r.logs),
	})
	r.publish(route, servers...)
	r.frontend = httptest.NewServer(r.Gateway)
	t.Cleanup(r.frontend.Close)
	return r
}

func (r *harness) observe(s Sample) {
	r.samples.Add(1)
	if s.Slow {
		r.slow.Add(1)
	}
}

// publish installs a view with one route and the servers.
func (r *harness) publish(route topology.Route, servers ...*server) {
	if route.Prefix == "" {
		route.Prefix = "/"
	}
	route.Host = "127.0.0.1"
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	if route.LatencyTarget == 0 {
		route.LatencyTarget = time.Second
	}
	route.Shares = []topology.Share{{Service: "svc", Weight: 1}}
	var list []*topology.Server
	for _, s := range servers {
		list = append(list, s.Server)
	}
	config := topology.NewConfig(1, []*topology.Route{&route}, []*topology.Service{{Name: "svc"}}, r.keys,
		topology.Limits{MaxBodyBytes: 1 << 20})
	r.view.Store(&topology.View{Config: config, Servers: map[string][]*topology.Server{"svc": list}, Routers: []string{"r1"}})
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *harness) call(method, path, body string, headers ...string) reply {
	request, err := http.NewRequestWithContext(context.Background(), method, r.frontend.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Id", "q1")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(raw), err}
}

// totalRequests returns the number of requests that the servers received.
func totalRequests(servers ...*server) int {
	n := 0
	for _, s := range servers {
		n += len(s.requests())
	}
	return n
}

// eventually fails the test unless the condition holds within a time.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", within, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
