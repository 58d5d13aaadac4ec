package stats

import "math"

// Method is a family of sequential tests. Each is a mixture of non-negative
// supermartingales that start at 1, so by Ville's inequality the probability
// that one ever exceeds 1/level under its null hypothesis is at most level. All
// are functions of pooled counters alone: no look at an earlier time is stored.
type Method int

// Values of Method.
const (
	// EmpiricalBernstein adapts to the observed spread of the ratings. It is the zero value.
	EmpiricalBernstein Method = iota
	// Betting bounds the wealth of a fixed-fraction bettor from below by the chord
	// of the logarithm; it is exact for ratings of only 0 and 1.
	Betting
	// Hoeffding assumes the largest variance that ratings in [0,1] can have.
	Hoeffding
)

// String returns the name of the method.
func (m Method) String() string {
	return [...]string{"empirical-bernstein", "betting", "hoeffding"}[m]
}

const (
	// The bets form a geometric grid. Bets of a comparison on the base are smaller
	// by one of ratioCount factors, because the base usually has more ratings.
	smallestBet = 0.04
	betFactor   = 2.0
	betCount    = 5
	ratioFactor = 0.25
	ratioCount  = 4

	// The common mean of both versions is searched on a grid and then refined.
	coarseSteps = 20
	refineSteps = 16
)

var (
	bets     = makeBets(1)
	baseBets = makeBaseBets()
)

type bet struct {
	size float64
	// psi is -log(1-size)-size, the cumulant bound of the empirical Bernstein form.
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

// Stratum is a counter with the mean it is tested against.
type Stratum struct {
	Counter Counter
	Mean    float64
}

// Evidence is the state of a test.
type Evidence struct {
	// LogE is the natural logarithm of the e-value; 0 is neutral.
	LogE float64
	// Rejected is true when the null hypothesis is rejected.
	Rejected bool
}

// Sequential is a test that may be evaluated at any time and any number of times.
type Sequential struct {
	Method Method
	// Level bounds the probability that a test of a true null hypothesis ever fires.
	Level float64
	// Margin is the drop of the mean that is tolerated, in units of the rating.
	Margin float64
}

// Below tests that the ratings, each part against its own mean, are lower on
// average than these means less the margin.
func (s Sequential) Below(parts ...Stratum) Evidence {
	return s.evidence(s.Method.logBelow(parts, s.Margin))
}

// Worse tests that the candidate's mean is lower than that of base less the
// margin. The unknown mean of base is taken where it is least favourable.
func (s Sequential) Worse(candidate, base Counter) Evidence {
	if candidate.Count == 0 || base.Count == 0 {
		return Evidence{}
	}
	if candidate.Mean() >= base.Mean()-s.Margin {
		// At the mean of base neither part is above 1, so nothing can fire.
		return Evidence{}
	}
	return s.evidence(s.leastFavourable(candidate, base))
}

// WorseUpperBound returns an upper bound of the LogE of Worse at a small part of its
// cost: the evidence at one mean of base instead of the smallest over all.
func (s Sequential) WorseUpperBound(candidate, base Counter) float64 {
	if candidate.Count == 0 || base.Count == 0 || candidate.Mean() >= base.Mean()-s.Margin {
		return 0
	}
	weight := float64(candidate.Count) + float64(base.Count)
	pooled := (candidate.Sum + float64(candidate.Count)*s.Margin + base.Sum) / weight
	return s.worseAt(candidate, base.mirrored(), math.Max(s.Margin, math.Min(1, pooled)))
}

func (s Sequential) evidence(logE float64) Evidence {
	return Evidence{LogE: logE, Rejected: logE >= -math.Log(s.Level)}
}

// leastFavourable returns the smallest evidence over the mean m of base. For the
// true m the product of a bet on "candidate below m-margin" and one on "base
// above m" is a supermartingale under the null hypothesis, so the minimum of
// their mixture is a valid e-value. Mixing the products costs less evidence than
// multiplying two mixtures.
func (s Sequential) leastFavourable(candidate, base Counter) float64 {
	mirrored := base.mirrored()
	at := func(m float64) float64 { return s.worseAt(candidate, mirrored, m) }
	step := (1 - s.Margin) / coarseSteps
	best, bestValue := s.Margin, at(s.Margin)
	for i := 1; i <= coarseSteps; i++ {
		m := s.Margin + float64(i)*step
		if v := at(m); v < bestValue {
			best, bestValue = m, v
		}
	}
	low, high := math.Max(s.Margin, best-step), math.Min(1, best+step)
	return math.Min(bestValue, goldenMinimum(at, low, high))
}

// worseAt returns the evidence for the mean m of base.
func (s Sequential) worseAt(candidate, mirrored Counter, m float64) float64 {
	var scores [ratioCount * betCount]float64
	for j := range bets {
		below := s.Method.score(bets[j], candidate, m-s.Margin)
		for i := range baseBets {
			above := s.Method.score(baseBets[i][j], mirrored, 1-m)
			scores[i*betCount+j] = below + above
		}
	}
	return logMean(scores[:])
}

// goldenMinimum returns the smallest value that a golden-section search finds.
func goldenMinimum(f func(float64) float64, low, high float64) float64 {
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

// logBelow returns the logarithm of the mixture over all bets.
func (m Method) logBelow(parts []Stratum, margin float64) float64 {
	var scores [betCount]float64
	for i := range bets {
		for _, p := range parts {
			scores[i] += m.score(bets[i], p.Counter, p.Mean-margin)
		}
	}
	return logMean(scores[:])
}

// logMean returns the logarithm of the mean of exp(score).
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

// score returns the log wealth of one bet that the mean is below mean.
func (m Method) score(b bet, c Counter, mean float64) float64 {
	n := float64(c.Count)
	shortfall := n*mean - c.Sum
	switch m {
	case Betting:
		return c.Sum*math.Log1p(-b.size*(1-mean)) + (n-c.Sum)*math.Log1p(b.size*mean)
	case Hoeffding:
		return b.size*shortfall - n*b.size*b.size/8
	default:
		return b.size*shortfall - b.psi*c.squaresAround(mean)
	}
}
