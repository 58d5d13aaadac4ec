package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
)

// Guards against an emulator that does not print its address, fails to stop
// cleanly or does not start with its default settings.
func TestEmulateStartsAndStops(t *testing.T) {
	for _, k := range emulatorKinds {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var out, errs bytes.Buffer
		if code := runEmulate(ctx, Env{Stdout: &out, Stderr: &errs}, []string{k.name}); code != ExitOK {
			t.Errorf("%s: code %d: %s", k.name, code, errs.String())
		}
		var line struct{ Listen string }
		if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Listen == "" {
			t.Errorf("%s: address line %q: %v", k.name, out.String(), err)
		}
	}
	for _, args := range [][]string{{}, {"enigne"}, {"engine", "-lisen", "x"}, {"engine", "-config", "no-such-file"}} {
		var out, errs bytes.Buffer
		if code := runEmulate(context.Background(), Env{Stdout: &out, Stderr: &errs}, args); code != ExitUsage {
			t.Errorf("%v: code %d, want %d", args, code, ExitUsage)
		}
	}
}
