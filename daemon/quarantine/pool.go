package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// reportTTL is how long the report of a router that sends no other one counts.
	reportTTL = 10 * time.Second
	// poolInterval is the minimum time between evaluations of the reports.
	poolInterval = 100 * time.Millisecond
)

// Pool sums the evidence of all routers. The zero value is ready for use.
type Pool struct {
	mu      sync.Mutex
	reports map[string]*report
	// cases are the crashes of all reports, with the keys that are in several of them.
	cases map[Incarnation]*crashCase
	// lastCrash is when a key was last in a crash; for the keys in several crashes.
	lastCrash map[Key]time.Time
	// sound holds the latest sound answers with the keys that the pool has asked about, and
	// askedAt since when it asks.
	sound   map[Key]Sound
	askedAt map[Key]time.Time
	// summedAt is when the evidence was last evaluated. It is evaluated again if it has changed,
	// and at evaluateAt, when more of it counts; zero for never.
	summedAt, evaluateAt time.Time
	crashesNew, soundNew bool
	// suspects and guilty are the results.
	suspects, guilty []Key
}

// report is the latest evidence of a router.
type report struct {
	at      time.Time
	digest  uint64
	crashes []Crash
}

// crashCase is one crash as all routers saw it.
type crashCase struct {
	at time.Time
	// knownAt is when the pool first heard of it.
	knownAt time.Time
	// settled is set once it counts.
	settled bool
	// keys holds what may have caused it.
	keys map[Key]Exposure
}

// Merge takes over the evidence of a router. Its times are those of the caller's clock. It returns
// the digest of the crashes that the pool knows from this router.
func (p *Pool) Merge(now time.Time, router string, evidence Evidence) (known uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergeSound(evidence.Sound)
	r := p.reports[router]
	switch {
	case evidence.Digest == 0:
		if r != nil {
			delete(p.reports, router)
			p.crashesNew = true
		}
		return 0
	case len(evidence.Crashes) == 0 && r == nil:
		return 0
	case r == nil:
		r = &report{}
		if p.reports == nil {
			p.reports = make(map[string]*report)
		}
		p.reports[router] = r
	}
	r.at = now
	if len(evidence.Crashes) > 0 && r.digest != evidence.Digest {
		r.digest, r.crashes = evidence.Digest, evidence.Crashes
		p.crashesNew = true
	}
	return r.digest
}

// Known returns the digest of the crashes that the pool knows from a router.
func (p *Pool) Known(router string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.reports[router]; r != nil {
		return r.digest
	}
	return 0
}

// mergeSound takes over sound answers with keys that the pool has asked about.
func (p *Pool) mergeSound(list []Sound) {
	for _, s := range list {
		if _, asked := p.askedAt[s.Key]; !asked {
			continue
		}
		if p.sound == nil {
			p.sound = make(map[Key]Sound)
		}
		before := p.sound[s.Key]
		after := before.join(s)
		p.sound[s.Key] = after
		// A later answer changes nothing once one has acquitted the key of its latest crash.
		p.soundNew = p.soundNew || after != before && p.lastCrash[s.Key].After(before.OutlivedAt)
	}
}

// Verdict returns the keys that are to be quarantined, and the most accused keys, about
// which the pool asks all routers.
func (p *Pool) Verdict(now time.Time) (guilty, suspects []Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.summedAt) < poolInterval {
		return p.guilty, p.suspects
	}
	p.summedAt = now
	p.dropOutdated(now)
	due := !p.evaluateAt.IsZero() && !now.Before(p.evaluateAt)
	if !p.crashesNew && !p.soundNew && !due {
		return p.guilty, p.suspects
	}
	if p.crashesNew {
		p.sum(now)
	}
	p.crashesNew, p.soundNew = false, false
	cases := p.inOrder(now)
	p.ask(now, cases)
	p.guilty = accusation{now: now, cases: cases, sound: p.sound, suspects: p.answered(now)}.findGuilty()
	return p.guilty, p.suspects
}

// dropOutdated drops the reports of routers that have fallen silent.
func (p *Pool) dropOutdated(now time.Time) {
	for router, r := range p.reports {
		if now.Sub(r.at) > reportTTL {
			delete(p.reports, router)
			p.crashesNew = true
		}
	}
}

// sum adds up the reports. Keys that are in one crash only are left out, because they can't be
// guilty yet.
func (p *Pool) sum(now time.Time) {
	before := p.cases
	p.cases, p.lastCrash = make(map[Incarnation]*crashCase), make(map[Key]time.Time)
	for _, r := range p.reports {
		for _, c := range r.crashes {
			p.addCrash(now, c, before[c.Server])
		}
	}
	counts := make(map[Key]int)
	for _, c := range p.cases {
		for key := range c.keys {
			counts[key]++
		}
	}
	for _, c := range p.cases {
		maps.DeleteFunc(c.keys, func(key Key, _ Exposure) bool { return counts[key] < 2 })
		for key := range c.keys {
			if c.at.After(p.lastCrash[key]) {
				p.lastCrash[key] = c.at
			}
		}
	}
}

// addCrash adds a crash that one router saw. before is the case as it was known before, or
// nil.
func (p *Pool) addCrash(now time.Time, c Crash, before *crashCase) {
	sum := p.cases[c.Server]
	if sum == nil {
		sum = &crashCase{at: c.At, knownAt: now, keys: make(map[Key]Exposure)}
		if before != nil {
			sum.knownAt = before.knownAt
		}
		p.cases[c.Server] = sum
	}
	if c.At.Before(sum.at) {
		sum.at = c.At
	}
	for _, e := range c.Exposures {
		if known, ok := sum.keys[e.Key]; ok {
			e = e.merge(known)
		}
		sum.keys[e.Key] = e
	}
}

// ask updates the suspects: the keys with the most crashes since their latest sound answer.
func (p *Pool) ask(now time.Time, cases []*crashCase) {
	counts := make(map[Key]int)
	for _, c := range cases {
		for key := range c.keys {
			// A key that is acquitted of all its crashes is asked about last.
			count := counts[key]
			if !p.sound[key].acquits(c.at) {
				count++
			}
			counts[key] = count
		}
	}
	list := slices.SortedFunc(maps.Keys(counts), func(a, b Key) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), p.compareAsked(a, b), cmp.Compare(a, b))
	})
	p.suspects = list[:min(len(list), maxSuspects)]
	askedAt := make(map[Key]time.Time, len(p.suspects))
	for _, key := range p.suspects {
		askedAt[key] = now
		if at, asked := p.askedAt[key]; asked {
			askedAt[key] = at
		}
		p.evaluateLater(now, askedAt[key].Add(settleTime))
	}
	p.askedAt = askedAt
	maps.DeleteFunc(p.sound, func(key Key, _ Sound) bool { _, counted := counts[key]; return !counted })
}

// compareAsked orders the keys about which the pool asks already before others.
func (p *Pool) compareAsked(a, b Key) int {
	_, askedA := p.askedAt[a]
	_, askedB := p.askedAt[b]
	switch {
	case askedA == askedB:
		return 0
	case askedA:
		return -1
	}
	return 1
}

// evaluateLater makes the pool evaluate the evidence again at a time, unless that is past.
func (p *Pool) evaluateLater(now, at time.Time) {
	if at.After(now) && (p.evaluateAt.IsZero() || at.Before(p.evaluateAt)) {
		p.evaluateAt = at
	}
}

// answered returns the suspects on which all routers have had time to report sound answers.
func (p *Pool) answered(now time.Time) map[Key]bool {
	keys := make(map[Key]bool, len(p.askedAt))
	for key, at := range p.askedAt {
		if now.Sub(at) >= settleTime {
			keys[key] = true
		}
	}
	return keys
}

// inOrder returns the cases in the order of time, and marks those that have been known for long
// enough to count.
func (p *Pool) inOrder(now time.Time) []*crashCase {
	p.evaluateAt = time.Time{}
	list := slices.SortedFunc(maps.Values(p.cases), func(a, b *crashCase) int { return a.at.Compare(b.at) })
	for _, c := range list {
		c.settled = now.Sub(c.knownAt) >= settleTime
		p.evaluateLater(now, c.knownAt.Add(settleTime))
		p.evaluateLater(now, c.at.Add(SurvivalWindow))
	}
	return list
}
