package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const traceLog = `collector text {"request":"q1","vm":"v1","time":"2026-01-01T00:00:02Z","message":"request","outcome":"agent_full"}
{"request":"q2","vm":"v1","time":"2026-01-01T00:00:01Z","message":"request","outcome":"ok"}
not a line
{"request":"q1","vm":"v1","time":"2026-01-01T00:00:01Z","message":"attempt failed","server":"i-1"}
{"service":"s1","target":"v2","vm":"v1","time":"2026-01-01T00:00:03Z","message":"rollout phase changed","phase":"canary"}
`

func traceOf(args ...string) (code int, out string) {
	var stdout, stderr bytes.Buffer
	env := Env{Stdin: strings.NewReader(traceLog), Stdout: &stdout, Stderr: &stderr}
	return runTrace(context.Background(), env, args), stdout.String()
}

// Guards against a trace with lines out of order or of other requests, and against
// failing on lines that are not JSON or have a prefix.
func TestTrace(t *testing.T) {
	code, out := traceOf("-request", "q1")
	if code != ExitOK || strings.Contains(out, "q2") || strings.Index(out, "attempt failed") > strings.Index(out, "agent_full") {
		t.Errorf("code %d:\n%s", code, out)
	}
	if code, out := traceOf("-rollout", "s1"); code != ExitOK || !strings.Contains(out, "canary") {
		t.Errorf("code %d:\n%s", code, out)
	}
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, []byte(traceLog), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := traceOf("-json", "-request", "q2", file); code != ExitOK || strings.Count(out, "\n") != 1 {
		t.Errorf("code %d:\n%s", code, out)
	}
	for _, args := range [][]string{{}, {"-request", "a", "-rollout", "b"}, {"-request", "absent"}, {"-request", "a", "/absent"}} {
		if code, _ := traceOf(args...); code == ExitOK {
			t.Errorf("%v is accepted", args)
		}
	}
}
