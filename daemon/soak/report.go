package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxLogged is the number of violations per check that are reported with log
// lines.
const maxLogged = 10

// Report is the result of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Duration string        `json:"duration"`
	Actions  []Action      `json:"actions"`
	Checks   []CheckResult `json:"checks"`
	// Outcomes counts the calls by class and outcome.
	Outcomes map[string]map[string]int `json:"outcomes"`
	// RecoveryS is the time from the end of the last fault until requests were
	// served again, in seconds.
	RecoveryS  float64     `json:"recovery_s"`
	Calls      int         `json:"calls"`
	Charges    int         `json:"charges"`
	Versions   int         `json:"versions"`
	Violations []Violation `json:"violations"`
}

// CheckResult is the result of one check.
type CheckResult struct {
	Name      string `json:"name"`
	Guarantee int    `json:"guarantee"`
	// Checked is the number of items checked.
	Checked    int `json:"checked"`
	Violations int `json:"violations"`
}

// report runs all checks and builds the report.
func (r *run) report(actions []Action) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &r.history
	out := &Report{
		Seed: r.options.Seed, Duration: r.options.Duration.String(), Actions: actions, Outcomes: outcomes(h),
		RecoveryS: h.recovery().Seconds(), Calls: len(h.Calls), Charges: len(h.Ledger.Stored), Versions: len(h.Configurations),
		Violations: []Violation{},
	}
	for _, c := range Checks() {
		found, checked := c.run(h)
		out.Checks = append(out.Checks, CheckResult{c.Name, c.Guarantee, checked, len(found)})
		for i := range found {
			if i < maxLogged && found[i].Request != "" && found[i].Log == nil {
				found[i].Log = r.logLines(found[i].Request)
			}
		}
		out.Violations = append(out.Violations, found...)
	}
	return out
}

// outcomes counts the calls by class and outcome; errors count under their
// result code.
func outcomes(h *History) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, c := range h.Calls {
		if out[c.Class] == nil {
			out[c.Class] = make(map[string]int)
		}
		name := string(c.Outcome)
		if c.Code != "" {
			name = c.Code
		}
		out[c.Class][name]++
	}
	return out
}

// Print writes the report as text. The last line is the number of violations.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %s of faults, %d actions, %d calls, %d charges, %d configurations, recovery %.0f s\n\n",
		r.Seed, r.Duration, len(r.Actions), r.Calls, r.Charges, r.Versions, r.RecoveryS)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\toutcomes")
	for _, class := range sortedKeys(r.Outcomes) {
		var parts []string
		for _, name := range sortedKeys(r.Outcomes[class]) {
			parts = append(parts, fmt.Sprintf("%s %d", name, r.Outcomes[class][name]))
		}
		fmt.Fprintf(table, "%s\t%s\n", class, strings.Join(parts, ", "))
	}
	fmt.Fprintln(table, "\ncheck\tguarantee\tchecked\tviolations")
	for _, c := range r.Checks {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", c.Name, c.Guarantee, c.Checked, c.Violations)
	}
	_ = table.Flush()
	for _, v := range r.Violations {
		fmt.Fprintf(w, "\n%s: %s\n  request %s\n", v.Check, v.Detail, v.Request)
		for _, line := range v.Log {
			fmt.Fprintf(w, "  %s\n", line)
		}
	}
	fmt.Fprintf(w, "\nseed %d\ninvariant violations: %d\n", r.Seed, len(r.Violations))
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// lastLines returns the last lines of a log.
func lastLines(log string) []string {
	const most = 6
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[max(0, len(lines)-most):]
}
