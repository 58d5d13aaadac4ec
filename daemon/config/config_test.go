package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSettings guards against settings that are accepted although a field is unknown,
// missing or of the wrong type, and against errors that span more than one line or lack
// the file, the field's path or the reason. The input replaces fields of a valid file;
// null removes a field.
func TestSettings(t *testing.T) {
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		file := filepath.Join(dir, d.Cmd+".json")
		data := []byte(d.Input)
		if !d.HasArg("raw") {
			data = patched(t, "testdata/"+d.Cmd+".json", d.Input)
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		var err error
		if d.Cmd == "router" {
			_, err = LoadRouter(file)
		} else {
			_, err = LoadAgent(file)
		}
		if err == nil {
			return "ok\n"
		}
		text := strings.ReplaceAll(err.Error(), dir, "DIR")
		if strings.Contains(text, "\n") {
			t.Errorf("%s: more than one line: %q", d.Pos, text)
		}
		return text + "\n"
	})
}

// patched returns the file's JSON object with the members in input merged into it.
func patched(t *testing.T, file, input string) []byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var base, change map[string]any
	if err := json.Unmarshal(text, &base); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte("{"+input+"}"), &change); err != nil {
		t.Fatalf("%s: %v", input, err)
	}
	merge(base, change)
	out, err := json.Marshal(base)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func merge(base, change map[string]any) {
	for name, value := range change {
		inner, isObject := value.(map[string]any)
		old, wasObject := base[name].(map[string]any)
		switch {
		case value == nil:
			delete(base, name)
		case isObject && wasObject:
			merge(old, inner)
		default:
			base[name] = value
		}
	}
}
