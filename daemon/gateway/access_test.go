package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// Before the first configuration is known, a request is refused with a retryable
// status: callers would take a 404 as final.
func TestNoConfigurationIsNotNotFound(t *testing.T) {
	r := newHarness(t, topology.Route{})
	r.view.Store(nil)
	if got := r.call(http.MethodGet, "/x", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
}

// The API key decides the workspace, not the header that the caller sends. Guards against a final
// refusal of what a newer configuration, known and not yet received, may allow.
func TestKeys(t *testing.T) {
	a := newServer(t, "a", respond(200, "ok"))
	r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, a)
	r.keys = map[string]*topology.Workspace{"k1": {Name: "w1"}}
	r.publish(topology.Route{Kind: topology.Idempotent, MaxAttempts: 1, Prefix: "/a/"}, a)
	cases := []struct {
		path, key string
		want      int
	}{{"/a/x", "k1", 200}, {"/a/x", "k2", 401}, {"/a/x", "", 401}, {"/b/x", "k1", 404}}
	for _, c := range cases {
		if got := r.call(http.MethodGet, c.path, "", "Key", c.key, "Workspace", "other"); got.status != c.want {
			t.Errorf("%s with %q: got %d, want %d", c.path, c.key, got.status, c.want)
		}
	}
	behind := *r.view.Load()
	behind.ConfigBehind = true
	r.view.Store(&behind)
	for _, c := range cases[1:] {
		if got := r.call(http.MethodGet, c.path, "", "Key", c.key); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s with %q while a newer configuration is on its way: got %d", c.path, c.key, got.status)
		}
	}
	if requests := a.requests(); len(requests) != 1 || requests[0].head.Get("Workspace") != "w1" {
		t.Errorf("requests %+v", a.requests())
	}
	r.publish(topology.Route{Kind: topology.Idempotent, MaxAttempts: 1, Anonymous: true}, a)
	if got := r.call(http.MethodGet, "/x", ""); got.status != 200 {
		t.Errorf("anonymous: got %d", got.status)
	}
}

// The longest matching prefix of the host wins, whatever the order of the routes.
func TestLongestPrefix(t *testing.T) {
	routes := []*topology.Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "H", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/b/c/"},
	}
	c := topology.NewConfig(1, routes, nil, nil, topology.Limits{})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b/c/x": "long"} {
		if r := c.Match("h", path); r == nil || r.Name != want {
			t.Errorf("%s: got %v, want %s", path, r, want)
		}
	}
	if c.Match("h", "/a") != nil || c.Match("x", "/a/x") != nil {
		t.Error("a path outside all prefixes matched")
	}
}

// A body over the limit is refused before it is read whole.
func TestTooLargeBody(t *testing.T) {
	a := newServer(t, "a", respond(200, "ok"))
	r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, a)
	r.view.Load().Config.Limits.MaxBodyBytes = 100
	if got := r.call(http.MethodPost, "/x", strings.Repeat("x", 101)); got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d", got.status)
	}
	if len(a.requests()) != 0 {
		t.Error("the request reached a backend server")
	}
}

// Headers over the configuration's limit are refused; headers below it are not.
func TestTooLargeHeaders(t *testing.T) {
	a := newServer(t, "a", respond(200, "ok"))
	r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, a)
	r.view.Load().Config.Limits.MaxHeaderBytes = 2000
	if got := r.call(http.MethodGet, "/x", "", "Filler", strings.Repeat("x", 2000)); got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %d", got.status)
	}
	if len(a.requests()) != 0 {
		t.Error("the request reached a backend server")
	}
	if got := r.call(http.MethodGet, "/x", "", "Filler", strings.Repeat("x", 1500)); got.status != http.StatusOK {
		t.Errorf("below the limit: got %d", got.status)
	}
}

// exchangeRaw sends bytes on one connection and returns the status codes of the
// responses. It reads one response more than expected, to catch extra ones.
func exchangeRaw(t *testing.T, r *harness, raw string, answers int) []int {
	t.Helper()
	c, err := net.Dial("tcp", r.frontend.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprint(c, raw)
	reader := bufio.NewReader(c)
	var statuses []int
	for i := range answers + 1 {
		if i == answers {
			// No further response may arrive.
			_ = c.SetDeadline(time.Now().Add(150 * time.Millisecond))
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, _ = reader.Discard(int(response.ContentLength))
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

// Requests with unusual framing must reach the backend server once and with their own
// body, and no request may be smuggled inside another's body.
func TestFraming(t *testing.T) {
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: 127.0.0.1\r\nId: s\r\n\r\n"
	cases := map[string]struct {
		raw    string
		bodies []string
	}{
		"chunked with extension": {
			"POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nTrailer: t\r\n\r\n",
			[]string{"abc"},
		},
		"request inside a body": {
			fmt.Sprintf("POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled),
			[]string{smuggled},
		},
		"pipelined": {
			"POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q\r\nContent-Length: 1\r\n\r\n1" +
				"POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q2\r\nContent-Length: 1\r\n\r\n2",
			[]string{"1", "2"},
		},
		"expect": {
			"POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
			[]string{"ab"},
		},
		"both framings": {
			"POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			nil,
		},
		"two lengths": {
			"POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
			nil,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := newServer(t, "a", respond(200, "ok"))
			r := newHarness(t, topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, a)
			exchangeRaw(t, r, c.raw, max(1, len(c.bodies)))
			requests := a.requests()
			if c.bodies != nil && len(requests) != len(c.bodies) {
				t.Fatalf("%d requests, want %d", len(requests), len(c.bodies))
			}
			for i, x := range requests {
				if !strings.HasPrefix(x.line, "POST /x") || i < len(c.bodies) && x.body != c.bodies[i] {
					t.Errorf("request %d: %q %q", i, x.line, x.body)
				}
			}
			if len(requests) > max(1, len(c.bodies)) {
				t.Errorf("one request arrived %d times", len(requests))
			}
		})
	}
}

// A body that never arrives whole must not keep its connection open past the deadline.
// The response says that the request was not run.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	a := newServer(t, "a", respond(200, "ok"))
	r := newHarness(t, topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1, Timeout: 300 * time.Millisecond}, a)
	began := time.Now()
	got := exchangeRaw(t, r, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q\r\nContent-Length: 10\r\n\r\nhalf", 1)
	if len(got) != 1 || got[0] != http.StatusRequestTimeout || time.Since(began) > time.Second {
		t.Errorf("got %v after %s", got, time.Since(began))
	}
	if len(a.requests()) != 0 {
		t.Error("half a request reached a backend server")
	}
}

// A caller that does not read must not hold memory or an engine past the deadline.
func TestSlowReaderIsDisconnected(t *testing.T) {
	released := make(chan struct{})
	big := strings.Repeat("x", 60_000)
	a := newServer(t, "a", func(_ int, x receivedRequest, c net.Conn) bool {
		defer close(released)
		fmt.Fprint(c, streamHead)
		for i := 1; ; i++ {
			if _, err := fmt.Fprint(c, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, big))); err != nil {
				return false
			}
		}
	})
	r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 1, Timeout: 500 * time.Millisecond}, a)
	c, err := net.Dial("tcp", r.frontend.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q1\r\nContent-Length: 1\r\n\r\n1")
	select {
	case <-released:
	case <-time.After(2 * time.Second):
		t.Error("the engine still sends to a caller that doesn't read")
	}
}

// A persistent connection serves requests after a stream whose write deadline has
// passed in the meantime.
func TestConnectionAfterAStream(t *testing.T) {
	a := newServer(t, "a", respondStream(1, 2, "0\r\n\r\n"))
	r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 1, Timeout: 200 * time.Millisecond}, a)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for range 3 {
		request, err := http.NewRequest(http.MethodPost, r.frontend.URL+"/x", strings.NewReader("1"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Id", "q1")
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || string(body) != event(1)+event(2) {
			t.Errorf("got %q %v", body, err)
		}
		time.Sleep(600 * time.Millisecond)
	}
}

// Guards against a request that a stopping process takes and then cuts off: it is refused as not
// run if it may last longer than the process, and at once if it may not be repeated.
func TestLateRequestsAreRefusedBeforeAStop(t *testing.T) {
	for _, c := range []struct {
		kind            topology.Kind
		repeatableUntil time.Duration
		refused         bool
	}{
		{topology.NonIdempotent, 0, true},
		{topology.NonIdempotent, time.Second, true},
		{topology.Idempotent, 0, true},
		{topology.Idempotent, time.Second, false},
	} {
		a := newServer(t, "a", respond(200, "answer"))
		r := newHarness(t, topology.Route{Kind: c.kind, MaxAttempts: 1}, a)
		r.StopAt(time.Now().Add(2*time.Second), time.Now().Add(c.repeatableUntil))
		got := r.call(http.MethodPost, "/x", "1")
		refused := got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && len(a.requests()) == 0
		if refused != c.refused {
			t.Errorf("%s, allowed 5 s: %d, Retry-After %q, %d requests to the server", c.kind, got.status, got.header.Get("Retry-After"), len(a.requests()))
		}
		if got := r.call(http.MethodPost, "/x", "1", "Wait", "1000"); got.status != http.StatusOK {
			t.Errorf("%s, allowed 1 s: %d", c.kind, got.status)
		}
	}
}

// Guards against callers that learn nothing of their requests when the process ends: a closed
// connection does not tell whether a request that may not be repeated has run.
func TestStopAnswersEveryCaller(t *testing.T) {
	const untilStop = 400 * time.Millisecond
	for kind, want := range map[topology.Kind]int{
		topology.NonIdempotent: http.StatusGatewayTimeout, topology.Idempotent: http.StatusBadGateway, topology.Stream: http.StatusGatewayTimeout,
	} {
		silent := newServer(t, "a", func(int, receivedRequest, net.Conn) bool {
			time.Sleep(4 * time.Second)
			return false
		})
		r := newHarness(t, topology.Route{Kind: kind, MaxAttempts: 2}, silent)
		time.AfterFunc(untilStop/2, func() { r.StopAt(time.Now().Add(untilStop/2), time.Now()) })
		began := time.Now()
		got := r.call(http.MethodPost, "/x", "1")
		if got.err != nil || got.status != want || time.Since(began) > 2*untilStop {
			t.Errorf("%s: %d %v after %s, want %d", kind, got.status, got.err, time.Since(began), want)
		}
	}
}

// Guards against a request that waits for a server when a stop begins and is sent then, although
// the process may not live to answer it.
func TestWaitingRequestIsRefusedAtAStop(t *testing.T) {
	a := newServer(t, "a", respond(200, "answer"))
	r := newHarness(t, topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, a)
	r.Chooser.Announcements.ObservePause(time.Now(), a.Server, 200*time.Millisecond, "q")
	time.AfterFunc(50*time.Millisecond, func() { r.StopAt(time.Now().Add(2*time.Second), time.Now().Add(time.Second)) })
	if got := r.call(http.MethodPost, "/x", "1"); got.status != http.StatusServiceUnavailable || len(a.requests()) > 0 {
		t.Errorf("status %d, %d requests to the server", got.status, len(a.requests()))
	}
}
