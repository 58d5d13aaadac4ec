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
	reports map[string]report
	// cases are the crashes of all reports at summedAt, and sound their sound answers.
	cases    map[Incarnation]*crashCase
	sound    map[Key]time.Time
	summedAt time.Time
	// suspects and guilty are the results for cases and sound.
	suspects, guilty []Key
}

// report is the latest evidence of a router.
type report struct {
	at       time.Time
	evidence Evidence
}

// crashCase is one crash as all routers saw it.
type crashCase struct {
	at time.Time
	// knownAt is when the pool first heard of it.
	knownAt time.Time
	// settled is set once it counts.
	settled bool
	// keys holds what may have caused it.
	keys map[Key]exposure
}

// exposure tells of a key that was at a server when it crashed.
type exposure struct {
	// position is the position of the key in its prompt.
	position int
	// sentAt is when the first request with the key was sent there; zero if that is not known.
	sentAt time.Time
	// whole is set for the key of a request as a whole, which is the last of its keys.
	whole bool
}

// Merge replaces the evidence of a router. Its times are those of the caller's clock.
func (p *Pool) Merge(now time.Time, router string, evidence Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(evidence.Crashes)+len(evidence.Sound) == 0 {
		delete(p.reports, router)
		return
	}
	if p.reports == nil {
		p.reports = make(map[string]report)
	}
	p.reports[router] = report{at: now, evidence: evidence}
}

// Verdict returns the keys that are to be quarantined, and the most accused keys, about
// which the pool asks all routers.
func (p *Pool) Verdict(now time.Time) (guilty, suspects []Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.summedAt) >= poolInterval {
		p.summedAt = now
		p.sum(now)
		p.suspects = mostAccused(p.cases)
		p.guilty = findGuilty(inOrder(now, p.cases), p.sound)
	}
	return p.guilty, p.suspects
}

// sum adds up the reports and drops the outdated ones.
func (p *Pool) sum(now time.Time) {
	before := p.cases
	p.cases, p.sound = make(map[Incarnation]*crashCase), make(map[Key]time.Time)
	for router, r := range p.reports {
		if now.Sub(r.at) > reportTTL {
			delete(p.reports, router)
			continue
		}
		for _, c := range r.evidence.Crashes {
			p.addCrash(now, c, before[c.Server])
		}
		for _, s := range r.evidence.Sound {
			if s.At.After(p.sound[s.Key]) {
				p.sound[s.Key] = s.At
			}
		}
	}
}

// addCrash adds a crash that one router saw. before is the case as it was known before, or
// nil.
func (p *Pool) addCrash(now time.Time, c Crash, before *crashCase) {
	sum := p.cases[c.Server]
	if sum == nil {
		sum = &crashCase{at: c.At, knownAt: now, keys: make(map[Key]exposure)}
		if before != nil {
			sum.knownAt = before.knownAt
		}
		p.cases[c.Server] = sum
	}
	if c.At.Before(sum.at) {
		sum.at = c.At
	}
	for position, key := range c.Keys {
		e, known := sum.keys[key]
		if !known || c.SentAt.Before(e.sentAt) {
			e.sentAt = c.SentAt
		}
		e.position, e.whole = position, position == len(c.Keys)-1
		sum.keys[key] = e
	}
}

// mostAccused returns the keys in the crashes, the most frequent first.
func mostAccused(cases map[Incarnation]*crashCase) []Key {
	counts := make(map[Key]int)
	for _, c := range cases {
		for key := range c.keys {
			counts[key]++
		}
	}
	list := slices.SortedFunc(maps.Keys(counts), func(a, b Key) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxSuspects)]
}

// inOrder returns the cases in the order of time, and marks those that have been known for long
// enough to count.
func inOrder(now time.Time, cases map[Incarnation]*crashCase) []*crashCase {
	list := slices.SortedFunc(maps.Values(cases), func(a, b *crashCase) int { return a.at.Compare(b.at) })
	for _, c := range list {
		c.settled = now.Sub(c.knownAt) >= settleTime
	}
	return list
}
