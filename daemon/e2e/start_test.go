package e2e

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/result"
)

func readLog(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(deployment.LogFile(name))
	must(t, err)
	return text
}

// TestStartWithoutStoreAndPeers guards against a router that reports ready, or serves
// requests, without a verified configuration, and against one that does not become
// ready by itself once the store has a configuration.
func TestStartWithoutStoreAndPeers(t *testing.T) {
	alone := newSpec(t.TempDir())
	alone.ToolPath, alone.DaemonPath = spec.ToolPath, spec.DaemonPath
	alone.Routers, alone.Agents = alone.Routers[:1], alone.Agents[2:3]
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	f, err := fleet.New(ctx, alone)
	must(t, err)
	defer f.Close()
	must(t, f.StartDaemons())
	vm := alone.Routers[0].VM
	eventually(t, "the router is live", func() bool {
		return do(ctx, http.MethodGet, f.AdminURL(vm)+"/livez", nil, nil).status == http.StatusOK
	})
	for range 5 {
		for _, url := range []string{f.AdminURL(vm) + "/readyz", f.CallerURL(vm) + "/readyz", f.AdminURL(alone.Agents[0].VM) + "/readyz"} {
			if a := do(ctx, http.MethodGet, url, nil, nil); a.status == http.StatusOK {
				t.Errorf("%s without a configuration: %s", url, a)
			}
		}
		bookOn(ctx, f, vm, "early", "").want(t, result.NotReady)
	}
	must(t, f.StartPlatform())
	eventually(t, "the store accepts the configuration", func() bool { return f.ProposeBundle(ctx) == nil })
	must(t, f.WaitReady(ctx))
	eventually(t, "bookings are possible", func() bool {
		return bookOn(ctx, f, vm, "later", "").status == http.StatusCreated
	})
}

// TestCheckSettings guards against settings that pass -check although the daemon
// would ignore some of them, and against error messages of more than one line.
func TestCheckSettings(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join(spec.Dir, "router-a.json"))
	must(t, err)
	for _, c := range []struct {
		old, new, reason string
		code             int
	}{
		{"", "", "", 0},
		{`"max_requests":`, `"max_request":`, "max_request: unknown field", 2},
		{`"tls": {`, `"tls": {"extra": 1,`, "tls.extra: unknown field", 2},
		{`"drain_delay_ms": `, `"drain_delay_ms": "x", "n": `, "n: unknown field", 2},
		{`"fatal_invariants": true`, `"fatal_invariants": "yes"`, "fatal_invariants: string where bool is expected", 2},
		{`"vm": "router-a"`, `"vm": ""`, "vm: is required", 2},
	} {
		file := filepath.Join(t.TempDir(), "settings.json")
		must(t, os.WriteFile(file, bytes.Replace(valid, []byte(c.old), []byte(c.new), 1), 0o600))
		var errs bytes.Buffer
		check := exec.CommandContext(t.Context(), spec.DaemonPath, "router", "-config", file, "-check")
		check.Stderr = &errs
		_ = check.Run()
		want := ""
		if c.code != 0 {
			want = file + ": " + c.reason + "\n"
		}
		if code := check.ProcessState.ExitCode(); code != c.code || errs.String() != want {
			t.Errorf("%s: exit code %d, %q", c.new, code, errs.String())
		}
	}
}
