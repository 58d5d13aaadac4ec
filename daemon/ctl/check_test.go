package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/cputime"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/platform"

	"github.com/cockroachdb/datadriven"
	"github.com/tidwall/sjson"
)

// TestCheck guards against rules that miss their fault, report a sane configuration or give
// the wrong place or exit code, and against a check that differs from what processes log.
// The commands are config, against (the configuration that later ones are compared with),
// change (replacements in that configuration, which are checked as the next version) and
// settings (checked together with the latest configuration).
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		dir := t.TempDir()
		var against, config string
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			file := filepath.Join(dir, d.Cmd)
			input := d.Input
			if d.Cmd == "settings" {
				input = edgeSettings + input + "\n"
			}
			err := os.WriteFile(file, []byte(input), 0o600)
			if err != nil {
				t.Fatal(err)
			}
			var args []string
			switch d.Cmd {
			case "against":
				against = file
				return ""
			case "change":
				if input, err = changeFile(against, file, input); err != nil {
					d.Fatalf(t, "%v", err)
				}
				fallthrough
			case "config":
				config = file
				args = []string{"-config", file}
				if against != "" {
					args = append(args, "-against", against)
				}
				compareWithProcess(t, d.Pos, input, file)
			case "settings":
				args = []string{"-settings", file}
				if config != "" {
					args = append(args, "-config", config)
				}
			}
			if d.HasArg("strict") {
				args = append(args, "-strict")
			}
			if d.HasArg("json") {
				args = append(args, "-json")
			}
			code, out, errs := runCommand(runCheck, args...)
			if strings.Contains(out+errs, "secret") {
				t.Errorf("%s: the output contains an API key", d.Pos)
			}
			return strings.ReplaceAll(out+errs, dir+"/", "") + fmt.Sprintf("exit %d\n", code)
		})
	})
}

// changeFile applies replacements, one "old => new" a line, to the text of a file and writes
// the result to another file.
func changeFile(from, to, replacements string) (string, error) {
	raw, err := os.ReadFile(from)
	if err != nil {
		return "", err
	}
	text := string(raw)
	for line := range strings.Lines(replacements) {
		old, next, ok := strings.Cut(strings.TrimSpace(line), " => ")
		if !ok || !strings.Contains(text, old) {
			return "", fmt.Errorf("replacement %q does not apply", line)
		}
		text = strings.Replace(text, old, next, 1)
	}
	return text, os.WriteFile(to, []byte(text), 0o600)
}

// compareWithProcess compares the findings of the check with the problems that a process
// logs for the same configuration.
func compareWithProcess(t *testing.T, pos, input, file string) {
	t.Helper()
	config, err := platform.DecodeConfig([]byte(input))
	if err != nil {
		return
	}
	_, out, _ := runCommand(runCheck, "-json", "-config", file)
	var report checkReport
	if err := json.Unmarshal([]byte(out), &report); err != nil {
		t.Fatalf("%s: %v: %s", pos, err, out)
	}
	problems := config.Problems()
	if len(problems) != len(report.Findings) {
		t.Fatalf("%s: the process logs %q, the check reports %v", pos, problems, report.Findings)
	}
	for i, f := range report.Findings {
		if !strings.HasSuffix(problems[i], f.Reason) {
			t.Errorf("%s: the process logs %q, the check reports %q", pos, problems[i], f.Reason)
		}
	}
}

// Guards against a comparison with the version in force that reads another key of the
// store, and against a check that uses the network without being asked.
func TestCheckAgainstStore(t *testing.T) {
	calls := 0
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		if r.URL.Path != "/kv-range" || r.URL.Query().Get("prefix") != "op/config" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"at": 9, "entries": []map[string]any{
			{"key": "op/config", "revision": 9, "value": []byte(`{"version":1,"routes":[{"name":"r1","hostname":"h","prefix":"/a/","backend":"b1"}],"backends":[{"name":"b1"}]}`)},
		}})
	}))
	defer store.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(`{"version":2}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errs := runCommand(runCheck, "-store", store.URL, "-config", file); code != ExitOK || calls != 0 {
		t.Errorf("code %d, %d calls: %s%s", code, calls, out, errs)
	}
	code, out, errs := runCommand(runCheck, "-store", store.URL, "-in-force", "-config", file)
	if code != ExitOK || calls != 1 || !strings.Contains(out, `for example h/a/: route "r1" -> none`) {
		t.Errorf("code %d, %d calls: %s%s", code, calls, out, errs)
	}
	store.Close()
	if code, _, _ := runCommand(runCheck, "-store", store.URL, "-in-force", "-config", file); code != ExitUnavailable {
		t.Errorf("code %d with a store that does not respond", code)
	}
}

// Guards against a bundle whose exit code does not tell errors, warnings and neither apart.
func TestCheckBundle(t *testing.T) {
	env := newTestEnv(t)
	raw, err := os.ReadFile(filepath.Join(env.dir, "base.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path, value, args string
		code              int
		want              string
	}{
		{"vms", `[]`, "-strict", ExitOK, "valid"},
		{"workspaces.0.allowed", `["absent"]`, "", ExitUsage, `error: workspaces[0].allowed[0]: model "absent" does not exist [bundle-invalid]`},
		{"workspaces.0.allowed", `["absent"]`, "-json", ExitUsage, `"path": "workspaces[0].allowed[0]"`},
		{"workspaces.0.key_hashes", `[]`, "", ExitOK, "warning: workspaces[0].key_hashes: never used"},
		{"workspaces.0.key_hashes", `[]`, "-strict", ExitFailed, "warning: workspaces[0].key_hashes: never used"},
	} {
		changed, err := sjson.SetRawBytes(raw, c.path, []byte(c.value))
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(env.dir, "changed.json")
		if err := os.WriteFile(file, changed, 0o600); err != nil {
			t.Fatal(err)
		}
		code, out, errs := runCommand(runCheck, append(strings.Fields(c.args), file)...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%s %s %s: code %d: %s%s", c.args, c.path, c.value, code, out, errs)
		}
	}
}

// Guards against a check whose time grows faster than the number of routes. The bound of 1 s
// is generous for a whole run with a comparison, so that it holds on a busy machine.
func TestCheckOf10000RoutesWithinASecond(t *testing.T) {
	dir := t.TempDir()
	for version := 1; version <= 2; version++ {
		var routes []string
		for i := range 10_000 {
			routes = append(routes, fmt.Sprintf(`{"name":"r%d","hostname":"h%d","prefix":"/p%d/","backend":"b","timeout_ms":%d}`, i, i%10, i, version*100))
		}
		text := fmt.Sprintf(`{"version":%d,"backends":[{"name":"b"}],"routes":[%s]}`, version, strings.Join(routes, ","))
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprint(version)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var code int
	var out, errs string
	took, err := cputime.Of(func() {
		code, out, errs = runCommand(runCheck, "-strict", "-against", filepath.Join(dir, "1"), "-config", filepath.Join(dir, "2"))
	})
	// On an idle machine the time that passes is no more, as the check waits for nothing.
	if err != nil || took > time.Second {
		t.Errorf("took %s, %v", took, err)
	}
	if n := strings.Count(out, "timeout: 100ms -> 200ms"); code != ExitOK || n != 10_000 {
		t.Errorf("code %d, %d differences: %s", code, n, errs)
	}
}

// FuzzCheck guards against a panic of the check on any file.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"version":7,"routes":[{"name":"r1","hostname":"h","prefix":"/a/","traffic_split":[{"backend":"b1","weight":1}],"sizes":["m"],"allowed_regions":["eu"]}],`+
		`"backends":[{"name":"b1","engine_type":{"stride":1}}],"tenants":[{"name":"t","api_keys":["k"],"priority_class":1}],"limits":{"max_body_bytes":1}}`),
		[]byte(`{"version":8,"routes":[{"name":"r1","hostname":"h","prefix":"","backend":"b1","timeout_ms":1e300,"anonymous":true}],"tenants":[]}`), []byte(edgeSettings))
	base, err := os.ReadFile("testdata/base.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{}`), base, []byte(edgeSettings))
	f.Fuzz(func(_ *testing.T, old, next, settings []byte) {
		report := checkReport{}
		a, errOld := platform.DecodeConfig(old)
		b, errNext := platform.DecodeConfig(next)
		if errNext != nil {
			report.add("next", decodeFinding(next, errNext))
		} else {
			report.add("next", b.Findings()...)
			_ = b.Problems()
			if errOld == nil {
				report.Differences = topology.Compare(a, b)
			}
		}
		if b, err := bundle.Decode(bytes.NewReader(next)); err == nil {
			_ = b.Validate()
			_ = b.Warnings()
		}
		if s, err := platform.DecodeSettings("settings", settings); err != nil {
			report.add("settings", platform.SettingsFinding("settings", err))
		} else {
			report.add("settings", platform.CheckSettings(s, b)...)
		}
		report.finish()
		inv := newInvocation(Env{}, "check", "", "")
		for _, inv.json = range []bool{false, true} {
			var out strings.Builder
			inv.env.Stdout = &out
			inv.print(&report, report.writeText)
		}
	})
}
