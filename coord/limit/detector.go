package limit

import (
	"math"
	"time"
)

const (
	// binsPerOctave divides each power of two of concurrency; a whole octave mixed
	// engines with and without waiting requests in one baseline.
	binsPerOctave = 4
	// concurrencyBins covers concurrency up to 2^15; the last bin holds the rest.
	concurrencyBins = 15 * binsPerOctave
	// slowDeviations is the number of mean deviations above the baseline that a
	// slow sample also needs. Waiting for a place in the batch makes first-token
	// times vary by far more than the factor.
	slowDeviations = 3
	// promptOffsetTokens makes first-token times of short and long prompts
	// comparable: time grows with (tokens + offset).
	promptOffsetTokens = 256
	// baselineWeight is the weight of a new sample in a baseline. About 50
	// samples replace the baseline.
	baselineWeight = 0.04
	// baselineMinSamples is the number of samples a bin needs before it is used.
	baselineMinSamples = 8
	// cacheExpectedTokens is the smallest expected hit that counts as evidence.
	cacheExpectedTokens = 64
	// cacheHitFraction is the part of the expected tokens below which a lookup
	// counts as a miss.
	cacheHitFraction = 0.1
)

// FirstTokenSample describes a first token.
type FirstTokenSample struct {
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// ExpectedCached and Cached are prompt tokens that the agent expected in the
	// prefix cache and that the engine reports as found there. Leave both zero
	// when unknown.
	ExpectedCached int
	Cached         int
}

// detector infers a cold start from first tokens. Baselines are kept by
// concurrency, so that load alone does not look like a cold
// start.
type detector struct {
	bins     [concurrencyBins]baseline
	slow     int
	misses   int
	smoothed float64
	// interval is the smoothed time between tokens in ns.
	interval  float64
	slowLimit int
	factor    float64
}

type baseline struct {
	nsPerToken float64
	deviation  float64
	samples    int
}

// normalised returns the time of s in ns per token that was not cached.
func normalised(s FirstTokenSample) float64 {
	tokens := max(s.PromptTokens-s.Cached, 0) + promptOffsetTokens
	return float64(s.FirstToken) / float64(tokens)
}

func binOf(running int) int {
	bin := int(math.Log2(float64(max(running, 1))) * binsPerOctave)
	return min(bin, concurrencyBins-1)
}

// expected returns the baseline of the bin, or nil while it has few samples. A
// neighbouring bin is no substitute: just above the batch limit of the engine,
// waiting multiplies first-token times.
func (d *detector) expected(running int) *baseline {
	b := &d.bins[binOf(running)]
	if b.samples < baselineMinSamples {
		return nil
	}
	return b
}

// healthy tells whether s is near the baseline; true without a baseline.
func (d *detector) healthy(s FirstTokenSample, running int) bool {
	b := d.expected(running)
	if b == nil {
		return true
	}
	x := normalised(s)
	return x <= b.nsPerToken*d.factor || x <= b.nsPerToken+slowDeviations*b.deviation
}

// observe takes a sample and returns a reason when the evidence for a cold start
// is complete.
func (d *detector) observe(s FirstTokenSample, running int, learn bool) (ColdReason, bool) {
	d.smooth(s)
	if d.lostCache(s) {
		return ColdCacheLost, true
	}
	if !d.healthy(s, running) {
		d.slow++
		if d.slow >= d.slowLimit {
			return ColdFirstToken, true
		}
		return "", false
	}
	// One healthy sample cancels one slow one, so that a few outliers among many
	// healthy samples never add up.
	d.slow = max(d.slow-1, 0)
	if learn {
		d.learn(s, running)
	}
	return "", false
}

// lostCache counts misses of prefixes that were expected to be cached. A hit
// clears the count.
func (d *detector) lostCache(s FirstTokenSample) bool {
	if s.ExpectedCached < cacheExpectedTokens {
		return false
	}
	if float64(s.Cached) >= cacheHitFraction*float64(s.ExpectedCached) {
		d.misses = 0
		return false
	}
	d.misses++
	// A miss of an expected prefix is stronger evidence than a slow first token.
	return d.misses >= (d.slowLimit+1)/2
}

func (d *detector) learn(s FirstTokenSample, running int) {
	b := &d.bins[binOf(running)]
	b.samples++
	weight := max(baselineWeight, 1/float64(b.samples))
	x := normalised(s)
	b.deviation += weight * (math.Abs(x-b.nsPerToken) - b.deviation)
	b.nsPerToken += weight * (x - b.nsPerToken)
}

// smooth keeps the first-token time that is reported to routers.
func (d *detector) smooth(s FirstTokenSample) {
	d.smoothed = smoothed(d.smoothed, float64(s.FirstToken))
}

// smoothed moves a reported mean towards a sample; the first sample replaces it.
func smoothed(mean, sample float64) float64 {
	const weight = 0.05
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

func (d *detector) clearEvidence() {
	d.slow = 0
	d.misses = 0
}
