package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/topology"
)

const streamHead = "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: p%d\n\n", id, id) }

// respondStream sends events from to to and then end, which is the final chunk of a
// complete stream.
func respondStream(from, to int, end string) func(int, receivedRequest, net.Conn) bool {
	return func(_ int, _ receivedRequest, c net.Conn) bool {
		fmt.Fprint(c, streamHead)
		for i := from; i <= to; i++ {
			fmt.Fprint(c, chunk(event(i)))
		}
		fmt.Fprint(c, end)
		return end == "0\r\n\r\n"
	}
}

// A stream that breaks within an event is resumed on another server after the last
// whole event. No event may be missing, repeated or joined from two servers.
func TestStreamResumesAfterBreak(t *testing.T) {
	calls := 0
	first := func(n int, a receivedRequest, c net.Conn) bool {
		calls++
		if a.head.Get("After") == "-1" {
			return respondStream(1, 3, chunk("id: 4\nda"))(n, a, c)
		}
		var after int
		_, _ = fmt.Sscan(a.head.Get("After"), &after)
		return respondStream(after+1, 6, "0\r\n\r\n")(n, a, c)
	}
	a, b := newServer(t, "a", first), newServer(t, "b", first)
	r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3}, a, b)
	got := r.call(http.MethodPost, "/s", "prompt")
	want := event(1) + event(2) + event(3) + event(4) + event(5) + event(6)
	if got.err != nil || got.body != want {
		t.Errorf("got %v %q", got.err, got.body)
	}
	if totalRequests(a, b) != 2 {
		t.Errorf("%d requests, want 2", totalRequests(a, b))
	}
}

// Events that a server repeats after a resumption must not reach the caller twice.
func TestRepeatedEventsAreDropped(t *testing.T) {
	answer := func(n int, a receivedRequest, c net.Conn) bool {
		if a.head.Get("After") == "-1" {
			return respondStream(1, 3, "")(n, a, c)
		}
		return respondStream(2, 5, "0\r\n\r\n")(n, a, c)
	}
	a, b := newServer(t, "a", answer), newServer(t, "b", answer)
	r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3}, a, b)
	got := r.call(http.MethodPost, "/s", "prompt")
	if want := event(1) + event(2) + event(3) + event(4) + event(5); got.body != want {
		t.Errorf("got %q", got.body)
	}
}

// A broken stream that may not be resumed must not look complete to the caller.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	a := newServer(t, "a", respondStream(1, 3, ""))
	b := newServer(t, "b", respondStream(1, 3, ""))
	r := newHarness(t, topology.Route{Kind: topology.Stream, MaxAttempts: 3}, a, b)
	if got := r.call(http.MethodPost, "/s", "prompt"); got.err == nil {
		t.Errorf("the caller saw a complete answer %q", got.body)
	}
	if totalRequests(a, b) != 1 {
		t.Errorf("%d requests, want 1", totalRequests(a, b))
	}
}

// Bytes that are not valid events must not be passed on.
func TestInvalidStream(t *testing.T) {
	answer := func(n int, a receivedRequest, c net.Conn) bool {
		if a.head.Get("After") == "-1" {
			fmt.Fprint(c, streamHead+chunk(event(1))+chunk("id: x?\n\n"))
			return false
		}
		return respondStream(2, 3, "0\r\n\r\n")(n, a, c)
	}
	a, b := newServer(t, "a", answer), newServer(t, "b", answer)
	r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3}, a, b)
	if got := r.call(http.MethodPost, "/s", "p"); got.body != event(1)+event(2)+event(3) {
		t.Errorf("got %q", got.body)
	}
}

// respondOnceWith sends a bad response to the first request and a good one to the
// following ones. It closes the connection after the bad response unless then ends in
// "+".
func respondOnceWith(bad string, then string) func(int, receivedRequest, net.Conn) bool {
	return func(n int, a receivedRequest, c net.Conn) bool {
		if n == 1 {
			fmt.Fprint(c, strings.ReplaceAll(bad, "ID", a.head.Get("Id")))
			return strings.HasSuffix(then, "+")
		}
		return respond(200, "good")(n, a, c)
	}
}

// Responses that are incomplete, invalid or not the backend server's to this request
// are replaced by another attempt's if the request may be repeated, and never passed on
// as a success.
func TestInvalidAnswers(t *testing.T) {
	cases := map[string]string{
		"cut":                          "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\nContent-Length: 10\r\n\r\nhalf",
		"cut chunks":                   "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"not HTTP":                     "garbage\r\n\r\n",
		"without the mark":             "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nno",
		"of another request":           "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 2\r\n\r\nno",
		"unframed, of another request": "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\n\r\nno",
		"nothing":                      "",
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			a := newServer(t, "a", respondOnceWith(bad, ""))
			b := newServer(t, "b", respond(200, "good"))
			r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, a, b)
			for range 4 {
				if got := r.call(http.MethodGet, "/x", ""); got.status != 200 || got.body != "good" {
					t.Errorf("idempotent: got %d %q", got.status, got.body)
				}
			}
			c := newServer(t, "c", respondOnceWith(bad, ""))
			r = newHarness(t, topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 2}, c)
			if got := r.call(http.MethodPost, "/x", "1"); got.status != http.StatusBadGateway || len(c.requests()) != 1 {
				t.Errorf("non-idempotent: got %d %q, %d requests", got.status, got.body, len(c.requests()))
			}
		})
	}
}

// A late response to an earlier request, received where the awaited one is expected, is
// skipped.
func TestLateAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	a := newServer(t, "a", func(n int, x receivedRequest, c net.Conn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: earlier\r\nMark: m\r\nContent-Length: 5\r\n\r\nwrong")
		return respond(200, "right")(n, x, c)
	})
	r := newHarness(t, topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, a)
	if got := r.call(http.MethodPost, "/x", "1"); got.body != "right" {
		t.Errorf("got %q", got.body)
	}
}

// Bytes after a complete response belong to no request: the connection must be closed.
func TestExtraBytesAreNotTheNextAnswer(t *testing.T) {
	a := newServer(t, "a", func(n int, x receivedRequest, c net.Conn) bool {
		respond(200, fmt.Sprintf("answer %d", n))(n, x, c)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nContent-Length: 5\r\n\r\nextra", x.head.Get("Id"))
		return true
	})
	r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, a)
	for i := 1; i <= 5; i++ {
		if got := r.call(http.MethodGet, "/x", ""); got.body != fmt.Sprintf("answer %d", i) {
			t.Errorf("call %d got %q", i, got.body)
		}
	}
}

// A stream on which data arrives without events is ended and resumed on another server,
// whatever the data. A sound stream may pause for longer than that.
func TestStalledStreamIsResumed(t *testing.T) {
	// speed is how much faster than real time the pool's clock runs.
	const speed, pause = 100, 20 * time.Millisecond
	stalls := map[string]string{
		"comments":        ": wait\n\n",
		"blank lines":     "\n",
		"bytes of a line": "x",
		"repeated events": event(1),
	}
	for name, noise := range stalls {
		t.Run(name, func(t *testing.T) {
			answer := func(n int, a receivedRequest, c net.Conn) bool {
				if a.head.Get("After") != "-1" {
					return respondStream(3, 3, "0\r\n\r\n")(n, a, c)
				}
				respondStream(1, 2, "")(n, a, c)
				for {
					time.Sleep(pause)
					if _, err := fmt.Fprint(c, chunk(noise)); err != nil {
						return false
					}
				}
			}
			a, b := newServer(t, "a", answer), newServer(t, "b", answer)
			r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3}, a, b)
			r.Pool.Now = fastClock(speed)
			began := time.Now()
			got := r.call(http.MethodPost, "/s", "prompt")
			if events := strings.Join(regexp.MustCompile("id: .\n").FindAllString(got.body, -1), ""); got.err != nil || events != "id: 1\nid: 2\nid: 3\n" {
				t.Errorf("got %v %q", got.err, got.body)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %s", took)
			}
			if log := r.logs.String(); !strings.Contains(log, `"violation":"stalled"`) {
				t.Errorf("the log does not name the reason: %s", log)
			}
		})
	}
	t.Run("repeats all events after a resumption", func(t *testing.T) {
		answer := func(n int, a receivedRequest, c net.Conn) bool {
			if a.head.Get("After") == "-1" {
				return respondStream(1, 8, "")(n, a, c)
			}
			fmt.Fprint(c, streamHead)
			for i := 1; i <= 9; i++ {
				time.Sleep(pause)
				fmt.Fprint(c, chunk(event(i)))
			}
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		a, b := newServer(t, "a", answer), newServer(t, "b", answer)
		r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 2}, a, b)
		r.Pool.Now = fastClock(speed)
		if got := r.call(http.MethodPost, "/s", "prompt"); got.err != nil || !strings.HasSuffix(got.body, event(8)+event(9)) {
			t.Errorf("got %v %q", got.err, got.body)
		}
	})
	t.Run("slow but sound", func(t *testing.T) {
		a := newServer(t, "a", func(_ int, _ receivedRequest, c net.Conn) bool {
			fmt.Fprint(c, streamHead)
			for i := 1; i <= 5; i++ {
				time.Sleep(5 * pause)
				fmt.Fprint(c, chunk(event(i)))
			}
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		})
		r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3}, a)
		r.Pool.Now = fastClock(speed)
		if got := r.call(http.MethodPost, "/s", "prompt"); got.err != nil || !strings.HasSuffix(got.body, event(5)) || totalRequests(a) != 1 {
			t.Errorf("got %v %q after %d requests", got.err, got.body, totalRequests(a))
		}
	})
}

// fastClock returns a clock that runs faster than real time.
func fastClock(speed int) func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Duration(speed) * time.Since(start)) }
}

// FuzzEventReader checks that events are split without losing a byte of one and without
// joining two.
func FuzzEventReader(f *testing.F) {
	for _, s := range []string{event(1) + event(2), ": c\n\n" + event(1), "\n\n\n", "id: x\n\n", "id:7\r\ndata\r\n\r\n", "data", strings.Repeat("x", 9000) + "\n\n", "id: -1\n\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		reader := newEventReader(bytes.NewReader(body), &reservation{budget: &httplimit.Budget{Max: maxEventBytes}})
		var all []byte
		for {
			next, err := reader.next()
			if err != nil {
				break
			}
			if inner := strings.TrimRight(string(next.raw), "\r\n"); inner == "" || strings.Contains(inner, "\n\n") {
				t.Errorf("%q is not one event", next.raw)
			}
			all = append(all, next.raw...)
		}
		if strip := strings.NewReplacer("\r", "", "\n", ""); !strings.HasPrefix(strip.Replace(string(body)), strip.Replace(string(all))) {
			t.Errorf("events %q of %q", all, body)
		}
	})
}

// A response without a length ends with its connection: it is complete after a close,
// but not after a reset.
func TestUnframedAnswer(t *testing.T) {
	unframed := func(reset bool) func(int, receivedRequest, net.Conn) bool {
		return func(_ int, a receivedRequest, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\n\r\nbody", a.head.Get("Id"))
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		}
	}
	a := newServer(t, "a", unframed(false))
	r := newHarness(t, topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, a)
	if got := r.call(http.MethodPost, "/x", "1"); got.status != 200 || got.body != "body" {
		t.Errorf("closed: got %d %q", got.status, got.body)
	}
	b := newServer(t, "b", unframed(true))
	r = newHarness(t, topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, b)
	if got := r.call(http.MethodPost, "/x", "1"); got.status == 200 && got.err == nil {
		t.Errorf("reset: got %d %q", got.status, got.body)
	}
}

// A response that is too long to be buffered is passed on as it arrives, and must not
// look complete to the caller when it breaks.
func TestLongAnswer(t *testing.T) {
	long := strings.Repeat("x", maxBufferedAnswer+5000)
	a := newServer(t, "a", respond(200, long))
	r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, a)
	if got := r.call(http.MethodGet, "/x", ""); got.err != nil || got.body != long {
		t.Errorf("whole: %v, %d bytes", got.err, len(got.body))
	}
	b := newServer(t, "b", func(_ int, x receivedRequest, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nContent-Length: %d\r\n\r\n%s", x.head.Get("Id"), len(long)+1, long)
		return false
	})
	r = newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, b)
	if got := r.call(http.MethodGet, "/x", ""); got.err == nil {
		t.Error("cut: the caller saw a complete answer")
	}
}

// A server may respond before it has read a long body. The connection then still holds
// the rest of that body and must not carry another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- struct{}{}
			go func() {
				buffer := make([]byte, 2000)
				for {
					if _, err := c.Read(buffer); err != nil {
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 2\r\n\r\nok")
					<-make(chan struct{})
				}
			}()
		}
	}()
	s := &server{Server: &topology.Server{ID: "a", Service: "svc", Address: l.Addr().String()}}
	r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, s)
	r.view.Load().Config.Limits.MaxBodyBytes = 64 << 20
	body := strings.Repeat("x", 16<<20)
	for range 2 {
		if got := r.call(http.MethodPost, "/x", body); got.body != "ok" {
			t.Fatalf("got %d %q", got.status, got.body)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections, want 2", len(conns))
	}
}

// Guards against a stream without length or chunks that breaks off and counts as complete:
// within an event, before the first one, or by a reset. A close between events ends it.
func TestUnframedStreamEnds(t *testing.T) {
	for name, c := range map[string]struct {
		tail    string
		events  int
		reset   bool
		resumed bool
	}{
		"closed between events": {events: 3},
		"closed in an event":    {events: 3, tail: "id: 4\nda", resumed: true},
		"closed before events":  {resumed: true},
		"reset between events":  {events: 3, reset: true, resumed: true},
		"reset before events":   {reset: true, resumed: true},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32
			answer := func(_ int, a receivedRequest, conn net.Conn) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n", a.head.Get("Id"))
				if attempts.Add(1) > 1 {
					for id := c.events + 1; id <= 5; id++ {
						fmt.Fprint(conn, event(id))
					}
					return false
				}
				for id := 1; id <= c.events; id++ {
					fmt.Fprint(conn, event(id))
				}
				fmt.Fprint(conn, c.tail)
				time.Sleep(50 * time.Millisecond)
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			}
			r := newHarness(t, topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 3}, newServer(t, "a", answer), newServer(t, "b", answer))
			got := r.call(http.MethodPost, "/s", "prompt")
			want := ""
			for id := 1; id <= 5 && (c.resumed || id <= c.events); id++ {
				want += event(id)
			}
			if got.err != nil || got.body != want {
				t.Errorf("got %v %q, want %q", got.err, got.body, want)
			}
			// A stream that may not be repeated must not look complete.
			attempts.Store(0)
			r = newHarness(t, topology.Route{Kind: topology.Stream, MaxAttempts: 3}, newServer(t, "a", answer))
			if got := r.call(http.MethodPost, "/s", "prompt"); c.resumed && got.err == nil && got.status == http.StatusOK {
				t.Errorf("not resumable: got %d %q", got.status, got.body)
			}
		})
	}
}
