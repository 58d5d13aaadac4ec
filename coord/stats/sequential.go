package stats

import "math"

// Method is a family of sequential tests. The e-value of each test is a mixture of
// non-negative supermartingales that start at 1. By Ville's inequality, the probability
// that it ever exceeds 1/level under the null hypothesis is at most level. The e-value
// depends on the pooled counters only; no earlier evaluation is stored.
type Method int

// Values of Method.
const (
	// EmpiricalBernstein adapts to the observed variance of the ratings. It is the zero
	// value.
	EmpiricalBernstein Method = iota
	// Betting uses the wealth of a bettor who stakes a fixed fraction. It bounds the
	// logarithm of the wealth from below by a chord, which is exact if every rating is
	// 0 or 1.
	Betting
	// Hoeffding assumes the largest possible variance of ratings in [0,1].
	Hoeffding
)

// String returns the name of the method.
func (m Method) String() string {
	return [...]string{"empirical-bernstein", "betting", "hoeffding"}[m]
}

const (
	// The bet sizes form a geometric grid. In a comparison, the bets on the base are
	// smaller by one of ratioCount factors, because the base usually has more ratings.
	smallestBet = 0.04
	betFactor   = 2.0
	betCount    = 5
	ratioFactor = 0.25
	ratioCount  = 4

	// The least favourable mean is searched on a grid, then by golden-section search.
	coarseSteps = 20
	refineSteps = 16
)

var (
	bets     = makeBets(1)
	baseBets = makeBaseBets()
)

type bet struct {
	size float64
	// psi is -log(1-size)-size, the bound of the cumulant in the empirical Bernstein
	// test.
	psi float64
}

func makeBets(scale float64) [betCount]bet {
	var out [betCount]bet
	size := smallestBet * scale
	for i := range out {
		out[i] = bet{size: size, psi: -math.Log1p(-size) - size}
		size *= betFactor
	}
	return out
}

func makeBaseBets() [ratioCount][betCount]bet {
	var out [ratioCount][betCount]bet
	scale := 1.0
	for i := range out {
		out[i] = makeBets(scale)
		scale *= ratioFactor
	}
	return out
}

// Stratum is a group of ratings with its own reference mean in a test.
type Stratum struct {
	Counter Counter
	// Mean is the reference mean that the ratings are tested against.
	Mean float64
}

// Evidence is the result of evaluating a test.
type Evidence struct {
	// LogE is the natural logarithm of the e-value. Positive values are evidence
	// against the null hypothesis.
	LogE float64
	// Rejected reports whether the null hypothesis is rejected at the level of the test.
	Rejected bool
}

// Sequential is a test that may be evaluated at any time and any number of times.
type Sequential struct {
	Method Method
	// Level bounds the probability that a true null hypothesis is ever rejected.
	Level float64
	// Margin is the tolerated drop of the mean, in units of the rating.
	Margin float64
}

// Below tests whether the ratings are lower on average than their reference means minus
// the margin. Each stratum has its own reference mean.
func (s Sequential) Below(strata ...Stratum) Evidence {
	return s.evidence(s.Method.logBelow(strata, s.Margin))
}

// Worse tests whether the candidate's mean is lower than the mean of base minus the
// margin. The mean of base is unknown, so the test uses the least favourable one.
func (s Sequential) Worse(candidate, base Counter) Evidence {
	if candidate.Count == 0 || base.Count == 0 {
		return Evidence{}
	}
	if candidate.Mean() >= base.Mean()-s.Margin {
		// For the observed mean of base, neither factor of the e-value exceeds 1, so the
		// null hypothesis can't be rejected.
		return Evidence{}
	}
	return s.evidence(s.leastFavourable(candidate, base))
}

// WorseUpperBound returns an upper bound of the LogE of Worse. It is much cheaper,
// because it computes the evidence for one mean of base instead of the minimum over all.
func (s Sequential) WorseUpperBound(candidate, base Counter) float64 {
	if candidate.Count == 0 || base.Count == 0 || candidate.Mean() >= base.Mean()-s.Margin {
		return 0
	}
	weight := float64(candidate.Count) + float64(base.Count)
	pooled := (candidate.Sum + float64(candidate.Count)*s.Margin + base.Sum) / weight
	return s.worseLogE(candidate, base.complement(), math.Max(s.Margin, math.Min(1, pooled)))
}

func (s Sequential) evidence(logE float64) Evidence {
	return Evidence{LogE: logE, Rejected: logE >= -math.Log(s.Level)}
}

// leastFavourable returns the smallest log e-value over all means m of base. For the true
// m, the product of a bet on "candidate below m-margin" and one on "base above m" is a
// supermartingale under the null hypothesis. The minimum over m of a mixture of such
// products is therefore a valid e-value. A mixture of products loses less evidence than
// a product of two mixtures.
func (s Sequential) leastFavourable(candidate, base Counter) float64 {
	complement := base.complement()
	at := func(m float64) float64 { return s.worseLogE(candidate, complement, m) }
	step := (1 - s.Margin) / coarseSteps
	best, bestValue := s.Margin, at(s.Margin)
	for i := 1; i <= coarseSteps; i++ {
		m := s.Margin + float64(i)*step
		if v := at(m); v < bestValue {
			best, bestValue = m, v
		}
	}
	low, high := math.Max(s.Margin, best-step), math.Min(1, best+step)
	return math.Min(bestValue, goldenSectionMinimum(at, low, high))
}

// worseLogE returns the log e-value if the mean of base is m.
func (s Sequential) worseLogE(candidate, baseComplement Counter, m float64) float64 {
	var scores [ratioCount * betCount]float64
	for j := range bets {
		below := s.Method.score(bets[j], candidate, m-s.Margin)
		for i := range baseBets {
			above := s.Method.score(baseBets[i][j], baseComplement, 1-m)
			scores[i*betCount+j] = below + above
		}
	}
	return logMean(scores[:])
}

// goldenSectionMinimum returns the minimum of f that a golden-section search finds.
func goldenSectionMinimum(f func(float64) float64, low, high float64) float64 {
	const ratio = 0.6180339887498949
	a, b := high-ratio*(high-low), low+ratio*(high-low)
	fa, fb := f(a), f(b)
	for range refineSteps {
		if fa < fb {
			high, b, fb = b, a, fa
			a = high - ratio*(high-low)
			fa = f(a)
			continue
		}
		low, a, fa = a, b, fb
		b = low + ratio*(high-low)
		fb = f(b)
	}
	return math.Min(fa, fb)
}

// logBelow returns the log e-value of Below, a mixture over all bets.
func (m Method) logBelow(strata []Stratum, margin float64) float64 {
	var scores [betCount]float64
	for i := range bets {
		for _, p := range strata {
			scores[i] += m.score(bets[i], p.Counter, p.Mean-margin)
		}
	}
	return logMean(scores[:])
}

// logMean returns the logarithm of the mean of exp(score) over the scores.
func logMean(scores []float64) float64 {
	top := scores[0]
	for _, s := range scores {
		top = math.Max(top, s)
	}
	total := 0.0
	for _, s := range scores {
		total += math.Exp(s - top)
	}
	return top + math.Log(total/float64(len(scores)))
}

// score returns the log wealth of the bet b that the mean of c is below mean.
func (m Method) score(b bet, c Counter, mean float64) float64 {
	n := float64(c.Count)
	shortfall := n*mean - c.Sum
	switch m {
	case Betting:
		return c.Sum*math.Log1p(-b.size*(1-mean)) + (n-c.Sum)*math.Log1p(b.size*mean)
	case Hoeffding:
		return b.size*shortfall - n*b.size*b.size/8
	default:
		return b.size*shortfall - b.psi*c.sumSquaredDeviations(mean)
	}
}
