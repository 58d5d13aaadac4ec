package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// A flood of refusals must not turn into a flood of lines; what was left out is
// counted.
func TestLinesAreBounded(t *testing.T) {
	b := &lineBudget{}
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for range 5000 {
		if write, _ := b.take(now); write {
			written++
		}
	}
	if written != maxLines {
		t.Errorf("%d lines in a second, want %d", written, maxLines)
	}
	if write, left := b.take(now.Add(time.Second)); !write || left != 5000-maxLines {
		t.Errorf("after a second: written %v, %d left out, want %d", write, left, 5000-maxLines)
	}
}

// The lines that docs/OPERATIONS.md names lead from a request's id to its cause,
// for one that was refused, one that was late and one that was cut. No line holds
// a key or a body.
func TestLinesExplainFailedRequests(t *testing.T) {
	explained := func(route topology.Route, wait string, answer ...*server) string {
		r := newRig(t, route, answer...)
		r.call(http.MethodPost, "/x", "private body", "Key", "private key", "Wait", wait)
		eventually(t, time.Second, "the request's line", func() bool { return strings.Contains(r.out.String(), `"message":"request"`) })
		if strings.Contains(r.out.String(), "private") {
			t.Errorf("a line holds a key or a body: %s", r.out.String())
		}
		return r.out.String()
	}
	must := func(kind, lines string, parts ...string) {
		t.Helper()
		for _, part := range append(parts, `"request":"q1"`) {
			if !strings.Contains(lines, part) {
				t.Errorf("%s: no %s in\n%s", kind, part, lines)
			}
		}
	}
	refused := explained(topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, "3000", newServer(t, "a", refuse))
	must("refused", refused, `"message":"attempt failed"`, `"server":"a"`, `"outcome":"agent_full"`, `"code":3001`, `"view_age_ms"`, `"attempts":1`)
	silent := newServer(t, "b", func(_ int, _ arrival, c net.Conn) bool { _, _ = c.Read(make([]byte, 1)); return false })
	late := explained(topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, "200", silent)
	must("late", late, `"outcome":"deadline_passed"`, `"expected_ms"`, `"took_ms":2`, `"server":"b"`)
	cut := explained(topology.Route{Kind: topology.Stream, MaxAttempts: 1}, "3000", newServer(t, "c", stream(1, 3, "")))
	must("cut", cut, `"outcome":"stream_broken"`, `"last_event":3`, `"server":"c"`, fmt.Sprintf(`"code":%d`, 4002))
}
