package bench

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14
)

// figureKey identifies the figures that are compared in one plot.
type figureKey struct{ measure, deployment, name, unit string }

// WritePlots writes SVG files to dir: for each figure of the report with at
// least two variants, a bar chart of the medians by variant.
func (r *Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	groups := make(map[figureKey][]Summary)
	var order []figureKey
	for _, s := range r.Summary() {
		key := figureKey{s.Measure, s.Deployment, s.Name, s.Unit}
		if _, ok := groups[key]; !ok {
			order = append(order, key)
		}
		groups[key] = append(groups[key], s)
	}
	for _, key := range order {
		if len(groups[key]) < 2 {
			continue
		}
		file := filepath.Join(dir, fileName(r.Scenario, key)+".svg")
		if err := writeBars(file, key, groups[key]); err != nil {
			return fmt.Errorf("plot %s: %w", file, err)
		}
	}
	return nil
}

func writeBars(file string, key figureKey, variants []Summary) error {
	p := plot.New()
	p.Title.Text = key.measure + ", " + key.deployment
	p.Y.Label.Text = key.name
	if key.unit != "" {
		p.Y.Label.Text += " [" + key.unit + "]"
	}
	var medians plotter.Values
	var names []string
	for _, s := range variants {
		medians = append(medians, s.Median)
		names = append(names, s.Variant)
	}
	bars, err := plotter.NewBarChart(medians, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = color.RGBA{R: 70, G: 120, B: 170, A: 255}
	ranges, err := plotter.NewYErrorBars(spans(variants))
	if err != nil {
		return err
	}
	p.Add(bars, ranges)
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, file)
}

// medianSpans holds medians with their distances to the smallest and largest
// values, for error bars.
type medianSpans struct {
	plotter.XYs
	plotter.YErrors
}

func spans(variants []Summary) medianSpans {
	var out medianSpans
	for i, s := range variants {
		out.XYs = append(out.XYs, plotter.XY{X: float64(i), Y: s.Median})
		out.YErrors = append(out.YErrors, struct{ Low, High float64 }{s.Median - s.Min, s.Max - s.Median})
	}
	return out
}

// fileName returns a file name in which all characters of the key except ASCII
// letters, digits and hyphens are replaced by underscores.
func fileName(scenario string, key figureKey) string {
	name := strings.Join([]string{scenario, key.deployment, key.measure, key.name}, "-")
	return strings.Map(func(c rune) rune {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-':
			return c
		}
		return '_'
	}, name)
}
