package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// faultyServers answer each request with the next fault of a random series, on connections
// that are kept where the fault allows it.
type faultyServers struct {
	mu     sync.Mutex
	random *rand.Rand
	// ran counts by request ID how often a server began to run it.
	ran map[string]int
}

const (
	wholeStream = 6
	longBody    = 100_000
	errorText   = "internal failure of the server"
)

// refusal returns the refusal of a request; an empty ID leaves the request unnamed.
func refusal(id string) string {
	head := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// head returns the head of an answer.
func head(id string, status int, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nMark: m\r\n%s\r\n\r\n", status, id, strings.Join(fields, "\r\n"))
}

// answer writes a faulty or a sound answer and tells whether the connection stays open.
func (f *faultyServers) answer(_ int, a receivedRequest, c net.Conn) bool {
	id := a.head.Get("Id")
	f.mu.Lock()
	fault, cut := f.random.IntN(9), f.random.IntN(1000)
	if fault > 1 {
		f.ran[id]++
	}
	f.mu.Unlock()
	stream, from := strings.HasPrefix(a.line, "POST /s"), 1
	if _, err := fmt.Sscan(a.head.Get("After"), &from); err != nil || from < 0 {
		from = 0
	}
	sound := head(id, 200, fmt.Sprintf("Content-Length: %d", longBody)) + strings.Repeat("b", longBody)
	if stream {
		sound = head(id, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		for i := from + 1; i <= wholeStream; i++ {
			sound += chunk(event(i))
		}
		sound += "0\r\n\r\n"
	}
	failure := head(id, 500, fmt.Sprintf("Content-Length: %d", len(errorText))) + errorText
	switch fault {
	case 0:
		fmt.Fprint(c, refusal(id))
		return true
	case 1: // The connection ends before the request is run.
		return false
	case 2:
		fmt.Fprint(c, failure)
		return true
	case 3: // The head is cut.
		whole := strings.Index(sound, "\r\n\r\n")
		fmt.Fprint(c, sound[:cut*whole/1000])
		return false
	case 4: // The body is cut.
		fmt.Fprint(c, sound[:len(sound)*cut/1000])
		return false
	case 5: // An error that is not retried.
		fmt.Fprint(c, strings.Replace(failure, " 500 ", " 404 ", 1))
		return true
	case 6: // A refusal of this request follows its answer.
		fmt.Fprint(c, sound)
		time.Sleep(time.Duration(cut%3) * time.Millisecond)
		fmt.Fprint(c, refusal(id))
		return true
	case 7: // An unnamed one does.
		fmt.Fprint(c, sound)
		time.Sleep(time.Duration(cut%3) * time.Millisecond)
		fmt.Fprint(c, refusal(""))
		return true
	}
	fmt.Fprint(c, sound)
	return true
}

// Guards against the text of an error in a stream that had begun, a stream or a body that is
// short and looks complete, and a refusal for a request that has run or a second run of it:
// the troubles that other operators reported, several in a row and on kept connections.
func TestSeriesOfFaultyAnswers(t *testing.T) {
	routes := map[string]topology.Route{
		"/s": {Kind: topology.Stream, Resumable: true, MaxAttempts: 4},
		"/i": {Kind: topology.Idempotent, MaxAttempts: 4},
		"/n": {Kind: topology.NonIdempotent, MaxAttempts: 4},
	}
	var events string
	for i := 1; i <= wholeStream; i++ {
		events += event(i)
	}
	for path, route := range routes {
		f := &faultyServers{random: rand.New(rand.NewPCG(1, 27)), ran: make(map[string]int)}
		var servers []*server
		for i := range 4 {
			servers = append(servers, newServer(t, fmt.Sprint("s", i), f.answer))
		}
		r := newHarness(t, route, servers...)
		complete := 0
		for i := range 300 {
			id := fmt.Sprint(path, i)
			got := r.call(http.MethodPost, path, "prompt", "Id", id)
			whole := got.err == nil && got.status == http.StatusOK
			want := strings.Repeat("b", longBody)
			if path == "/s" {
				want = events
			}
			if whole {
				complete++
			}
			f.mu.Lock()
			ran := f.ran[id]
			f.mu.Unlock()
			switch {
			case whole && got.body != want:
				t.Fatalf("%s: a complete answer of %d bytes: %.200q", id, len(got.body), got.body)
			case got.status == http.StatusOK && !strings.HasPrefix(want, got.body):
				t.Fatalf("%s: not a part of the answer: %.200q", id, got.body)
			case path == "/n" && ran > 1:
				t.Fatalf("%s ran %d times", id, ran)
			case path == "/n" && ran > 0 && slices.Contains([]int{408, 421, 429, 503}, got.status):
				t.Fatalf("%s ran and was answered %d", id, got.status)
			}
		}
		if complete < 60 {
			t.Errorf("%s: %d of 300 requests answered completely", path, complete)
		}
	}
}
