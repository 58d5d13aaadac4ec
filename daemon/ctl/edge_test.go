package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cactusknot.example/daemon/edge"
	"cactusknot.example/daemon/rollout"
)

func runCommand(run func(context.Context, Env, []string) int, args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), Env{Stdin: strings.NewReader(""), Stdout: &stdout, Stderr: &stderr}, args)
	return code, stdout.String(), stderr.String()
}

// Guards against a command that ignores a process that does not respond, and
// against output that omits why a server is not used.
func TestStateOfProcesses(t *testing.T) {
	state := edge.State{
		VM: "edge-1", Ready: true, ConfigVersion: 7, ConfigAgeMS: 1200, LoadReportAgeMS: -1,
		Servers:     []edge.ServerState{{ID: "i-1", Service: "svc", State: edge.ServerEvacuated, AvoidedMS: 300, Violation: "stalled", ViolationAgeMS: 2500}},
		StoreReader: "edge-7", StoreReaders: []string{"edge-7", "edge-8"},
		Waiting:  []edge.WaitingState{{Service: "svc", Class: 2, OnTime: 3, Late: 4, WorkMS: 900, ExpectedWaitMS: 450}},
		Rollouts: []edge.RolloutState{{Service: "svc", Target: "v2", Phase: rollout.Canary, Rejected: true}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/state" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(state)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	code, out, _ := runCommand(runState, address)
	for _, want := range []string{"edge-1", "7, 1.2s ago", "never", "i-1", "evacuated", "300 ms", "stalled 2.5s ago", "changes from edge-7", "edge-7 edge-8", "canary", "condemned true", "waiting for svc", "3 in time", "expected wait 450 ms"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in\n%s", want, out)
		}
	}
	if code != ExitOK {
		t.Errorf("code %d", code)
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	defer gone.Close()
	code, out, _ = runCommand(runState, "-json", address, gone.Listener.Addr().String())
	var results []stateResult
	if err := json.Unmarshal([]byte(out), &results); err != nil || len(results) != 2 || results[1].Error == "" || results[0].State.VM != "edge-1" {
		t.Errorf("%v: %s", err, out)
	}
	if code != ExitFailed {
		t.Errorf("code %d, want %d: a process did not respond", code, ExitFailed)
	}
}

const edgeSettings = `node_name = "edge-1"
ip_address = "10.1.0.40"
zone = "z1"
internal_port_range = [7340, 7355]
[listen_addresses]
frontend = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[platform]
address = "10.200.1.7:8223"
`

// Guards against an invalid settings file that passes the check, and against an
// error that does not name the file, the field and the value.
func TestDecodeSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "edge.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(edgeSettings)
	code, out, errs := runCommand(runDecodeSettings, file)
	if code != ExitOK || !strings.Contains(out, `"vm": "edge-1"`) || !strings.Contains(out, `"grace_ms": 8000`) {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
	write(edgeSettings + "[bounds]\ngrace_period_s = -1\n")
	code, _, errs = runCommand(runDecodeSettings, file)
	for _, want := range []string{"edge.toml", "bounds.grace_period_s", "-1"} {
		if code != ExitUsage || !strings.Contains(errs, want) {
			t.Errorf("code %d, %q is missing in %s", code, want, errs)
		}
	}
}

// Guards against a renamed field of a service that changes the JSON output, which
// programs read.
func TestDecodeConfigKeepsFieldNames(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(`{"version":7,"backends":[{"name":"b1"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, errs := runCommand(runDecodeConfig, "-json", file)
	for _, name := range []string{"Name", "ColdPerSecond", "ColdStart", "EventTokens"} {
		if code != ExitOK || !strings.Contains(out, `"`+name+`":`) {
			t.Errorf("code %d, field %s is missing: %s%s", code, name, out, errs)
		}
	}
}

// Guards against a configuration whose unusable parts go unnoticed until requests
// fail, and against API keys of workspaces in the output.
func TestDecodeConfig(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	config := func(backend string) string {
		return `{"version":7,"routes":[{"name":"r1","hostname":"h","prefix":"/a/","route_type":"safe","backend":"` + backend +
			`","timeout_ms":900,"max_attempts":2}],"backends":[{"name":"b1"}],"tenants":[{"name":"t1","api_keys":["secret-key"]}]}`
	}
	for _, c := range []struct {
		text string
		code int
		want string
	}{
		{config("b1"), ExitOK, "900ms"},
		{config("b2"), ExitFailed, `problem: route "r1": service "b2" is not configured`},
		{"{spoilt", ExitUsage, ""},
	} {
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		code, out, errs := runCommand(runDecodeConfig, file)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("code %d, want %d with %q: %s%s", code, c.code, c.want, out, errs)
		}
		if strings.Contains(out+errs, "secret-key") {
			t.Error("the output contains the API key of a workspace")
		}
	}
}
