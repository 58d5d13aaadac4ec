package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxLogged bounds the violations of a check that get log lines.
const maxLogged = 10

// Report is the result of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Duration string        `json:"duration"`
	Actions  []Action      `json:"actions"`
	Checks   []CheckResult `json:"checks"`
	// Outcomes counts the calls by class and outcome.
	Outcomes map[string]map[string]int `json:"outcomes"`
	// RecoveryS is the time from the last fault until requests were served, in
	// seconds.
	RecoveryS  float64     `json:"recovery_s"`
	Calls      int         `json:"calls"`
	Charges    int         `json:"charges"`
	Versions   int         `json:"versions"`
	Violations []Violation `json:"violations"`
}

// CheckResult is the row of one check.
type CheckResult struct {
	Name      string `json:"name"`
	Guarantee int    `json:"guarantee"`
	// Checked is the number of things that the check looked at.
	Checked    int `json:"checked"`
	Violations int `json:"violations"`
}

// report runs all checks.
func (r *run) report(actions []Action) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.evidence
	out := &Report{
		Seed: r.options.Seed, Duration: r.options.Duration.String(), Actions: actions, Outcomes: outcomes(e),
		RecoveryS: e.recovery().Seconds(), Calls: len(e.Calls), Charges: len(e.Ledger.Stored), Versions: len(e.Accepted),
		Violations: []Violation{},
	}
	for _, c := range Checks() {
		found, checked := c.run(e)
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

func outcomes(e *Evidence) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, c := range e.Calls {
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

// Print writes the report as text; the last line has the number of violations.
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
