package rollout

import (
	"math"
	"time"
)

const (
	// paceBuckets is the number of buckets of a Pace, paceBase the upper bound of the first
	// one. The bounds of neighbours differ by a factor of the square root of 2.
	paceBuckets = 24
	paceBase    = 2 * time.Millisecond
)

const (
	// minPaceSamples is the number of answers of each version from which their paces are
	// compared.
	minPaceSamples = 6
	// slowerChance and slowerDeviations are the chance that an answer of the target is
	// slower than one of the old version, and its deviation from an even chance in standard
	// deviations, from which the target is slower.
	slowerChance     = 0.6
	slowerDeviations = 2.0
	// fitChance is the chance up to which the target may get all requests. While it gets a
	// small share, its servers have less to do than those of the old version, so a sound
	// target is the faster one.
	fitChance = 0.55
)

// Pace counts the answers of a version by the time between their first events. It shows a
// slow version sooner than the count of late answers: a request that takes long delays all
// that run beside it on the same server. Paces are comparable only if both versions answered
// at the same time, because they depend on the load.
type Pace [paceBuckets]int

// Record adds an answer with a mean time between events.
func (p *Pace) Record(interval time.Duration) {
	bucket := 0
	if interval > paceBase {
		bucket = int(math.Ceil(2 * math.Log2(float64(interval)/float64(paceBase))))
	}
	p[min(bucket, paceBuckets-1)]++
}

// Add returns the sum of p and o.
func (p Pace) Add(o Pace) Pace {
	for i, n := range o {
		p[i] += n
	}
	return p
}

// Total returns the number of answers.
func (p Pace) Total() int {
	total := 0
	for _, n := range p {
		total += n
	}
	return total
}

// compare returns the chance that an answer of p is slower than one of o, and how many
// standard deviations that is above an even chance (the Mann-Whitney test with ties).
func (p Pace) compare(o Pace) (chance, deviations float64) {
	n, m := float64(p.Total()), float64(o.Total())
	if n == 0 || m == 0 {
		return 0.5, 0
	}
	wins, below, ties := 0.0, 0.0, 0.0
	for i := range p {
		mine, others := float64(p[i]), float64(o[i])
		wins += mine * (below + others/2)
		below += others
		ties += math.Pow(mine+others, 3) - (mine + others)
	}
	all := n + m
	variance := n * m / 12 * (all + 1 - ties/(all*(all-1)))
	if variance <= 0 {
		return wins / (n * m), 0
	}
	return wins / (n * m), (wins - n*m/2) / math.Sqrt(variance)
}

// paceFit reports whether the target's pace allows it to get all requests. Where the old
// version sends streams, those of the target must have been compared with them.
func (e Evidence) paceFit() bool {
	if e.BasePace.Total() < minPaceSamples {
		return true
	}
	chance, _ := e.TargetPace.compare(e.BasePace)
	return e.TargetPace.Total() >= minPaceSamples && chance <= fitChance
}

// TargetSlower reports whether the target's answers come more slowly than those of the old
// version.
func (e Evidence) TargetSlower() bool {
	if e.TargetPace.Total() < minPaceSamples || e.BasePace.Total() < minPaceSamples {
		return false
	}
	chance, deviations := e.TargetPace.compare(e.BasePace)
	return chance >= slowerChance && deviations >= slowerDeviations
}
