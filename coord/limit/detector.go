package limit

import (
	"math"
	"time"
)

const (
	// binsPerOctave is the number of bins per doubling of concurrency. With one bin
	// per doubling, one baseline mixed samples with and without queueing in the
	// engine.
	binsPerOctave = 4
	// concurrencyBins covers concurrency up to 2^15; the last bin takes everything
	// above.
	concurrencyBins = 15 * binsPerOctave
	// slowDeviations is the number of mean absolute deviations by which a slow
	// sample must also exceed the baseline. Queueing for the engine's batch makes the
	// time to first token vary by far more than the cold factor.
	slowDeviations = 3
	// promptOffsetTokens makes times to first token of short and long prompts
	// comparable: the time is modelled as proportional to tokens + offset.
	promptOffsetTokens = 256
	// baselineWeight is the weight of a new sample in the moving average of a
	// baseline. About 50 samples replace the baseline.
	baselineWeight = 0.04
	// baselineMinSamples is the number of samples a bin needs before it is used.
	baselineMinSamples = 8
	// cacheExpectedTokens is the smallest number of expected cached tokens for which
	// a cache lookup counts as evidence.
	cacheExpectedTokens = 64
	// cacheHitFraction is the fraction of the expected tokens below which a lookup
	// counts as a miss.
	cacheHitFraction = 0.1
)

// FirstTokenSample describes the first token of one request.
type FirstTokenSample struct {
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// ExpectedCached is the number of prompt tokens that the agent expected in the
	// prefix cache; Cached is the number that the engine found there. Both are zero
	// when unknown.
	ExpectedCached int
	Cached         int
}

// detector infers a cold start from slow first tokens and from prefix cache misses.
// It keeps a baseline per bin of concurrency, so that load alone does not look like
// a cold start.
type detector struct {
	bins [concurrencyBins]baseline
	// slowScore is the number of slow samples less the number of healthy ones, at
	// least 0.
	slowScore int
	// misses counts the cache misses since the last hit.
	misses int
	// firstToken is the smoothed time to first token in ns.
	firstToken float64
	// tokenInterval is the smoothed time between tokens in ns.
	tokenInterval float64
	// slowLimit and factor are ColdSamples and ColdFactor of AdmissionConfig.
	slowLimit int
	factor    float64
}

// baseline is the moving average of normalised samples.
type baseline struct {
	nsPerToken float64
	// deviation is the moving average of the absolute deviation from nsPerToken.
	deviation float64
	samples   int
}

// normalised returns the time to first token of s in ns per uncached prompt token.
func normalised(s FirstTokenSample) float64 {
	tokens := max(s.PromptTokens-s.Cached, 0) + promptOffsetTokens
	return float64(s.FirstToken) / float64(tokens)
}

func binOf(running int) int {
	bin := int(math.Log2(float64(max(running, 1))) * binsPerOctave)
	return min(bin, concurrencyBins-1)
}

// baselineFor returns the baseline for the concurrency, or nil while it has too few
// samples. A neighbouring bin can't replace it: just above the engine's batch limit,
// queueing multiplies the time to first token.
func (d *detector) baselineFor(running int) *baseline {
	b := &d.bins[binOf(running)]
	if b.samples < baselineMinSamples {
		return nil
	}
	return b
}

// withinBaseline reports whether s is not slow compared with the baseline. It returns
// true while there is no baseline.
func (d *detector) withinBaseline(s FirstTokenSample, running int) bool {
	b := d.baselineFor(running)
	if b == nil {
		return true
	}
	x := normalised(s)
	return x <= b.nsPerToken*d.factor || x <= b.nsPerToken+slowDeviations*b.deviation
}

// observe records a sample and reports whether the samples indicate a cold start, with
// the reason. If updateBaseline is set, a healthy sample also updates the baseline.
func (d *detector) observe(s FirstTokenSample, running int, updateBaseline bool) (ColdReason, bool) {
	d.recordFirstToken(s)
	if d.recordCacheResult(s) {
		return ColdCacheLost, true
	}
	if !d.withinBaseline(s, running) {
		d.slowScore++
		if d.slowScore >= d.slowLimit {
			return ColdFirstToken, true
		}
		return "", false
	}
	// One healthy sample cancels one slow sample, so that outliers among many healthy
	// samples do not add up.
	d.slowScore = max(d.slowScore-1, 0)
	if updateBaseline {
		d.updateBaseline(s, running)
	}
	return "", false
}

// recordCacheResult counts misses of prefixes that were expected in the cache and
// reports whether they indicate that the cache was lost. A hit resets the count.
func (d *detector) recordCacheResult(s FirstTokenSample) bool {
	if s.ExpectedCached < cacheExpectedTokens {
		return false
	}
	if float64(s.Cached) >= cacheHitFraction*float64(s.ExpectedCached) {
		d.misses = 0
		return false
	}
	d.misses++
	// A miss of an expected prefix is stronger evidence than a slow first token, so
	// half as many are enough.
	return d.misses >= (d.slowLimit+1)/2
}

func (d *detector) updateBaseline(s FirstTokenSample, running int) {
	b := &d.bins[binOf(running)]
	b.samples++
	weight := max(baselineWeight, 1/float64(b.samples))
	x := normalised(s)
	b.deviation += weight * (math.Abs(x-b.nsPerToken) - b.deviation)
	b.nsPerToken += weight * (x - b.nsPerToken)
}

// recordFirstToken updates the time to first token that is reported to routers.
func (d *detector) recordFirstToken(s FirstTokenSample) {
	d.firstToken = ewma(d.firstToken, float64(s.FirstToken))
}

// ewma returns the exponentially weighted moving average after one more sample. The
// first sample is taken as it is.
func ewma(mean, sample float64) float64 {
	const weight = 0.05
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

func (d *detector) resetEvidence() {
	d.slowScore = 0
	d.misses = 0
}
