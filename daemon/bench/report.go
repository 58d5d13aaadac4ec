// Package bench measures the router against baselines. Each scenario returns a
// Report; cactusctl bench and the tests run the same scenarios.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Value is one measured figure.
type Value struct {
	Name string `json:"name"`
	// Unit is empty for ratios and counts.
	Unit  string  `json:"unit,omitempty"`
	Value float64 `json:"value"`
}

// Row holds the figures of one variant in one run.
type Row struct {
	Measure    string  `json:"measure"`
	Deployment string  `json:"deployment"`
	Variant    string  `json:"variant"`
	Seed       uint64  `json:"seed"`
	Values     []Value `json:"values"`
}

// Check compares the worst run of the product with a target from the design
// page.
type Check struct {
	Deployment string `json:"deployment"`
	// Target describes the bounded figure.
	Target   string  `json:"target"`
	Bound    float64 `json:"bound"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

// Report is the result of a scenario.
type Report struct {
	Scenario string  `json:"scenario"`
	Notes    string  `json:"notes"`
	Rows     []Row   `json:"rows"`
	Checks   []Check `json:"checks"`
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the median and the range over all seeds of each figure,
// then the checks.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s\n", r.Scenario, r.Notes)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "measure\tdeployment\tvariant\tfigure\tmedian\tmin\tmax\truns")
	for _, s := range r.Summary() {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%d\n",
			s.Measure, s.Deployment, s.Variant, s.figure(), s.Median, s.Min, s.Max, s.Runs)
	}
	for _, c := range r.Checks {
		fmt.Fprintf(out, "check\t%s\t%s\tbound %.4g\t%.4g\t\t\tmet=%v\n", c.Deployment, c.Target, c.Bound, c.Measured, c.Met)
	}
	return out.Flush()
}

// Summary is a figure of one variant over all seeds.
type Summary struct {
	Measure, Deployment, Variant, Name, Unit string
	Median, Min, Max                         float64
	Runs                                     int
}

func (s *Summary) figure() string {
	if s.Unit == "" {
		return s.Name
	}
	return s.Name + " [" + s.Unit + "]"
}

// Summary returns the figures in the order of their first rows.
func (r *Report) Summary() []Summary {
	var order []Summary
	values := make(map[Summary][]float64)
	for _, row := range r.Rows {
		for _, v := range row.Values {
			key := Summary{Measure: row.Measure, Deployment: row.Deployment, Variant: row.Variant, Name: v.Name, Unit: v.Unit}
			if _, ok := values[key]; !ok {
				order = append(order, key)
			}
			values[key] = append(values[key], v.Value)
		}
	}
	for i, key := range order {
		list := values[key]
		slices.Sort(list)
		order[i].Median, order[i].Min, order[i].Max = medianOfSorted(list), list[0], list[len(list)-1]
		order[i].Runs = len(list)
	}
	return order
}

// medianOfSorted returns the median of a sorted list.
func medianOfSorted(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// worstValue returns the largest value of a figure over all seeds.
func (r *Report) worstValue(deployment, variant, name string) float64 {
	out := math.Inf(-1)
	for _, s := range r.Summary() {
		if s.Deployment == deployment && s.Variant == variant && s.Name == name {
			out = math.Max(out, s.Max)
		}
	}
	return out
}

func (r *Report) checkAtMost(deployment, target string, bound, measured float64) {
	r.Checks = append(r.Checks, Check{deployment, target, bound, measured, measured <= bound})
}
