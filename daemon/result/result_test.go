package result

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestTable guards against a table in docs/ERRORS.md that differs from the codes.
// Callers rely on what it states about whether a request was run and may be retried.
func TestTable(t *testing.T) {
	text, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) != 9 || !strings.HasPrefix(cells[2], " `") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if cells[7] == "" {
			t.Errorf("%s: the column on what to do is empty", cells[2])
		}
		rows = append(rows, strings.Join(cells[1:7], "|"))
	}
	numbers, names := map[int]bool{}, map[string]bool{}
	for i, c := range All() {
		retry := "no"
		if c.Retry {
			retry = "yes"
		}
		want := fmt.Sprintf("%d|`%s`|%d|%s|%s|%s", c.Number, c.Name, c.Status, c.Run, retry, c.Meaning)
		if i >= len(rows) || rows[i] != want {
			t.Errorf("row %d: want %s, got %q", i+1, want, rows[i:min(i+1, len(rows))])
		}
		if numbers[c.Number] || names[c.Name] || ByNumber(c.Number) != c {
			t.Errorf("%d %s is not unique", c.Number, c.Name)
		}
		numbers[c.Number], names[c.Name] = true, true
	}
	if len(rows) != len(All()) {
		t.Errorf("%d rows for %d codes", len(rows), len(All()))
	}
}
