package queueing

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax and histogramDigits are the maximum value and the precision of
	// the HDR histograms, whose unit is the microsecond.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// record collects the outcomes of one run.
type record struct {
	started        int
	ended          int
	unresolved     int
	attempts       int
	refusals       int
	budgetRefusals int
	duplicates     int
	outcomes       [4]int
	samples        []sample
	// dispatches holds the times of all attempts.
	dispatches []time.Duration
	admissions []admission
}

// admission is one admitted request.
type admission struct {
	at time.Duration
	dc int
}

// sample holds the latencies and the outcome of one request.
type sample struct {
	arrivedAt  time.Duration
	firstToken time.Duration
	total      time.Duration
	outcome    outcome
	// server is the index of the server of the last attempt, or -1 when there was no
	// attempt.
	server int
}

func newRecord() *record { return &record{} }

func (r *record) end(q *request, o outcome) {
	r.ended++
	r.outcomes[o]++
	if q.answers > 1 {
		r.duplicates++
	}
	server := -1
	if q.current != nil {
		server = q.current.server.index
	}
	r.samples = append(r.samples, sample{
		server:     server,
		arrivedAt:  q.arrivedAt,
		firstToken: q.firstToken,
		total:      q.router.cluster.loop.now - q.arrivedAt,
		outcome:    o,
	})
}

// Percentiles holds latency percentiles of answered requests.
type Percentiles struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
}

// Counts holds the requests that arrived in an interval by outcome.
type Counts struct {
	Requests int
	// InTime counts answers that were complete within the deadline.
	InTime int
	// Refused, Broken and TimedOut count the requests without a complete answer.
	Refused  int
	Broken   int
	TimedOut int
}

// percentiles returns first-token and total latencies of the answered requests
// that arrived in [from, to).
func (r *record) percentiles(from, to time.Duration) (first, total Percentiles) {
	f := hdrhistogram.New(1, histogramMax, histogramDigits)
	t := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, s := range r.samples {
		if s.arrivedAt < from || s.arrivedAt >= to || s.outcome != outcomeDone {
			continue
		}
		_ = f.RecordValue(s.firstToken.Microseconds())
		_ = t.RecordValue(s.total.Microseconds())
	}
	return quantiles(f), quantiles(t)
}

// tailShare returns the share of the slowest 1% of the answered requests that
// arrived in [from, to) which the given server answered.
func (r *record) tailShare(server int, from, to time.Duration) float64 {
	var answered []sample
	for _, s := range r.samples {
		if s.arrivedAt >= from && s.arrivedAt < to && s.outcome == outcomeDone {
			answered = append(answered, s)
		}
	}
	slices.SortFunc(answered, func(a, b sample) int { return cmp.Compare(b.total, a.total) })
	tail := answered[:len(answered)/100]
	count := 0
	for _, s := range tail {
		if s.server == server {
			count++
		}
	}
	return float64(count) / float64(max(len(tail), 1))
}

func quantiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

func (r *record) counts(from, to time.Duration) Counts {
	var c Counts
	for _, s := range r.samples {
		if s.arrivedAt < from || s.arrivedAt >= to {
			continue
		}
		c.Requests++
		switch s.outcome {
		case outcomeDone:
			c.InTime++
		case outcomeRefused:
			c.Refused++
		case outcomeBroken:
			c.Broken++
		case outcomeTimeout:
			c.TimedOut++
		}
	}
	return c
}

// p99WithFailures returns the p99 total latency of the requests that ended in
// [from, to). A request that was not answered counts as slower than any other.
func (r *record) p99WithFailures(from, to time.Duration) time.Duration {
	const failed = time.Hour
	var all []time.Duration
	for _, s := range r.samples {
		if ended := s.arrivedAt + s.total; ended < from || ended >= to {
			continue
		}
		if s.outcome != outcomeDone {
			all = append(all, failed)
			continue
		}
		all = append(all, s.total)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

// Summary is the median and the range of a figure over all seeds.
type Summary struct {
	Median float64
	Min    float64
	Max    float64
}

// Summarize returns the summary of the values; it is zero when there are none.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Summary{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// admittedIn counts the admissions in a data centre during [from, to).
func (r *record) admittedIn(dc int, from, to time.Duration) int {
	count := 0
	for _, a := range r.admissions {
		if a.dc == dc && a.at >= from && a.at < to {
			count++
		}
	}
	return count
}

// worstAmplification returns the largest ratio of attempts to arrivals of all
// windows of recoveryWindow in [from, to).
func (r *record) worstAmplification(from, to time.Duration) float64 {
	worst := 0.0
	for at := from; at+recoveryWindow <= to; at += recoveryWindow {
		attempts := 0
		for _, d := range r.dispatches {
			if d >= at && d < at+recoveryWindow {
				attempts++
			}
		}
		arrivals := r.counts(at, at+recoveryWindow).Requests
		worst = max(worst, float64(attempts)/float64(max(arrivals, 1)))
	}
	return worst
}
