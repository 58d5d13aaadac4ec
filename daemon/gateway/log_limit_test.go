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

// Guards against a burst of refusals that writes as many log lines; the suppressed
// lines are counted.
func TestLinesAreBounded(t *testing.T) {
	b := &logLimiter{}
	now := time.Unix(1_700_000_000, 0)
	allowed := 0
	for range 5000 {
		if ok, _ := b.allow(now); ok {
			allowed++
		}
	}
	if allowed != maxLogLinesPerSecond {
		t.Errorf("%d lines in a second, want %d", allowed, maxLogLinesPerSecond)
	}
	if ok, suppressed := b.allow(now.Add(time.Second)); !ok || suppressed != 5000-maxLogLinesPerSecond {
		t.Errorf("after a second: allowed %v, %d suppressed, want %d", ok, suppressed, 5000-maxLogLinesPerSecond)
	}
}

// The log lines that docs/OPERATIONS.md describes must lead from a request ID to the
// cause of its failure: a refusal, a passed deadline and a broken stream. No line may
// contain a key or a body.
func TestLinesExplainFailedRequests(t *testing.T) {
	logsOf := func(route topology.Route, wait string, answer ...*server) string {
		r := newHarness(t, route, answer...)
		r.call(http.MethodPost, "/x", "private body", "Key", "private key", "Wait", wait)
		eventually(t, time.Second, "the request's log line", func() bool { return strings.Contains(r.logs.String(), `"message":"request"`) })
		if strings.Contains(r.logs.String(), "private") {
			t.Errorf("a log line contains a key or a body: %s", r.logs.String())
		}
		return r.logs.String()
	}
	mustContain := func(kind, lines string, parts ...string) {
		t.Helper()
		for _, part := range append(parts, `"request":"q1"`) {
			if !strings.Contains(lines, part) {
				t.Errorf("%s: no %s in\n%s", kind, part, lines)
			}
		}
	}
	refused := logsOf(topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, "3000", newServer(t, "a", refuseNotRun))
	mustContain("refused", refused, `"message":"attempt failed"`, `"server":"a"`, `"outcome":"agent_full"`, `"code":3001`, `"view_age_ms"`, `"attempts":1`)
	silent := newServer(t, "b", func(_ int, _ receivedRequest, c net.Conn) bool { _, _ = c.Read(make([]byte, 1)); return false })
	late := logsOf(topology.Route{Kind: topology.NonIdempotent, MaxAttempts: 1}, "200", silent)
	mustContain("late", late, `"outcome":"deadline_passed"`, `"expected_ms"`, `"took_ms":2`, `"server":"b"`)
	cut := logsOf(topology.Route{Kind: topology.Stream, MaxAttempts: 1}, "3000", newServer(t, "c", respondStream(1, 3, "")))
	mustContain("cut", cut, `"outcome":"stream_broken"`, `"last_event":3`, `"server":"c"`, fmt.Sprintf(`"code":%d`, 4002))
}
