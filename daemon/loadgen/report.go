package loadgen

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	minLatencyUs  = 1
	maxLatencyUs  = int64(time.Hour / time.Microsecond)
	latencyDigits = 3
)

// Latency summarizes a latency histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Group holds the results of a group of requests, such as a class.
type Group struct {
	// Requests counts all scheduled requests, including those not sent.
	Requests uint64 `json:"requests"`
	// Codes counts the results by Result.Code.
	Codes map[string]uint64 `json:"codes"`
	// Served counts complete responses by model@version.
	Served map[string]uint64 `json:"served,omitempty"`
	// Quality is the mean nominal quality of the complete responses with a marker;
	// 0 when there are none.
	Quality float64 `json:"quality,omitempty"`
	// FirstToken covers complete streamed responses, and Total all complete
	// responses. Both are measured from the intended start.
	FirstToken Latency `json:"first_token"`
	Total      Latency `json:"total"`
}

// Report holds the results of a run.
type Report struct {
	Targets []string `json:"targets"`
	Rate    float64  `json:"rate"`
	// DurationS is the configured time during which requests start, and ElapsedS
	// the time until the last response, both in seconds.
	DurationS  float64           `json:"duration_s"`
	ElapsedS   float64           `json:"elapsed_s"`
	Seed       uint64            `json:"seed"`
	All        Group             `json:"all"`
	Classes    map[string]*Group `json:"classes"`
	Workspaces map[string]*Group `json:"workspaces"`
}

// InvalidResponses returns the number of responses that were incomplete, altered or
// meant for another request, and that did not report an error.
func (r *Report) InvalidResponses() uint64 {
	return r.All.Codes[CodeIncomplete] + r.All.Codes[CodeWrongResponse]
}

// accumulator collects the results of a group.
type accumulator struct {
	requests uint64
	codes    map[string]uint64
	served   map[string]uint64
	quality  float64
	first    *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
}

func newAccumulator() *accumulator {
	return &accumulator{
		codes:  map[string]uint64{},
		served: map[string]uint64{},
		first:  hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits),
		total:  hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits),
	}
}

func (t *accumulator) add(r Result) {
	t.requests++
	t.codes[r.Code]++
	if r.Code != CodeOK {
		return
	}
	recordLatency(t.total, r.Total)
	if r.FirstToken > 0 {
		recordLatency(t.first, r.FirstToken)
	}
	if r.Model != "" {
		t.served[r.Model]++
		t.quality += r.Quality
	}
}

// recordLatency records d, clamped to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), minLatencyUs), maxLatencyUs)
	// RecordValue fails only for values outside the range.
	_ = h.RecordValue(us)
}

func (t *accumulator) group() *Group {
	g := &Group{
		Requests:   t.requests,
		Codes:      t.codes,
		Served:     t.served,
		FirstToken: summarize(t.first),
		Total:      summarize(t.total),
	}
	var withMarker uint64
	for _, n := range t.served {
		withMarker += n
	}
	if withMarker > 0 {
		g.Quality = t.quality / float64(withMarker)
	}
	return g
}

func summarize(h *hdrhistogram.Histogram) Latency {
	const usPerMs = 1000
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / usPerMs }
	return Latency{
		Count: h.TotalCount(),
		Mean:  h.Mean() / usPerMs,
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   float64(h.Max()) / usPerMs,
	}
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	all        *accumulator
	classes    map[string]*accumulator
	workspaces map[string]*accumulator
}

func newRecorder() *recorder {
	return &recorder{all: newAccumulator(), classes: map[string]*accumulator{}, workspaces: map[string]*accumulator{}}
}

func (r *recorder) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(res)
	accumulatorFor(r.classes, res.Class).add(res)
	accumulatorFor(r.workspaces, res.Workspace).add(res)
}

func accumulatorFor(m map[string]*accumulator, name string) *accumulator {
	t := m[name]
	if t == nil {
		t = newAccumulator()
		m[name] = t
	}
	return t
}

func (r *recorder) report(o Options, elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Report{
		Targets:    o.Targets,
		Rate:       o.Rate,
		DurationS:  o.Duration.Seconds(),
		ElapsedS:   elapsed.Seconds(),
		Seed:       o.Seed,
		All:        *r.all.group(),
		Classes:    groups(r.classes),
		Workspaces: groups(r.workspaces),
	}
}

func groups(m map[string]*accumulator) map[string]*Group {
	out := make(map[string]*Group, len(m))
	for name, t := range m {
		out[name] = t.group()
	}
	return out
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, rate %g/s, %g s, %d requests in %.1f s\n", r.Seed, r.Rate, r.DurationS, r.All.Requests, r.ElapsedS)
	r.All.print(w, "all")
	for _, name := range sortedNames(r.Classes) {
		r.Classes[name].print(w, "class "+name)
	}
	for _, name := range sortedNames(r.Workspaces) {
		r.Workspaces[name].print(w, "workspace "+name)
	}
}

func (g *Group) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s: %d requests\n", name, g.Requests)
	for _, code := range sortedNames(g.Codes) {
		fmt.Fprintf(w, "  %-24s %d\n", code, g.Codes[code])
	}
	for _, id := range sortedNames(g.Served) {
		fmt.Fprintf(w, "  served by %-14s %d\n", id, g.Served[id])
	}
	g.FirstToken.print(w, "first token")
	g.Total.print(w, "total")
}

func (l Latency) print(w io.Writer, name string) {
	if l.Count == 0 {
		return
	}
	fmt.Fprintf(w, "  %-12s p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms (%d)\n", name, l.P50, l.P95, l.P99, l.Max, l.Count)
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
