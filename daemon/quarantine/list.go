package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstHold is the time from the beginning of a quarantine to its first trial. It
	// doubles with each trial that fails, up to maxHold.
	firstHold = 30 * time.Second
	maxHold   = 8 * time.Minute
	// RecordMargin is how long the stored record of a quarantine outlives its hold. A part
	// for which nobody asks in this time is forgotten.
	RecordMargin = time.Minute
	// trialTTL is how long a router that may make a trial waits for a request for it.
	trialTTL = 10 * time.Second
	// peerNoticeTTL is how long a part that the pool has found guilty is held while its
	// record is not in the store.
	peerNoticeTTL = 30 * time.Second
	// maxQuarantined bounds the parts that a router holds.
	maxQuarantined = 1024
)

// Record is a quarantine as the routers store it.
type Record struct {
	// Trials is the number of trials that routers have taken.
	Trials int `json:"trials"`
	// Released is set when a trial was sound.
	Released bool `json:"released,omitempty"`
}

// Hold returns the time from the writing of the record to the next trial.
func (r Record) Hold() time.Duration {
	const maxDoublings = 8
	return min(maxHold, firstHold<<max(0, min(r.Trials, maxDoublings)))
}

// Verdict is what may be done with a request.
type Verdict uint8

// Verdicts.
const (
	// Send: no part of the prompt is quarantined.
	Send Verdict = iota
	// Trial: the request may make one attempt, which decides on its part.
	Trial
	// Refuse: the request must not be sent.
	Refuse
)

// List holds the quarantined parts. The zero value is an empty list.
type List struct {
	// size is the number of entries. It spares requests the lock of an empty list.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[Part]*entry
	// released holds the revisions of the stored records of parts that were released.
	released map[Part]uint64
}

type entry struct {
	record Record
	// revision is the store's revision of the record; 0 while it is not stored.
	revision uint64
	// heldUntil is the time of the next trial, or for an entry without a record that of
	// its end.
	heldUntil time.Time
	// wanted is set when a request with the part came after heldUntil.
	wanted bool
	// trialUntil is until when this router may use the trial that it has taken.
	trialUntil time.Time
	// sound is set when an answer with the part went on.
	sound bool
	// lost is set while the store holds an older record.
	lost bool
}

// Check tells what may be done with a request whose prompt has these parts. For a refused
// request, wait is the time to the next trial. A Trial is given out once.
func (l *List) Check(now time.Time, parts []Part) (verdict Verdict, wait time.Duration) {
	if l.size.Load() == 0 {
		return Send, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var trial *entry
	for _, part := range parts {
		e := l.entries[part]
		switch {
		case e == nil || e.sound:
		case now.Before(e.trialUntil):
			trial = e
		default:
			e.wanted = e.wanted || !now.Before(e.heldUntil)
			verdict, wait = Refuse, max(wait, e.heldUntil.Sub(now))
		}
	}
	if verdict == Refuse || trial == nil {
		return verdict, wait
	}
	trial.trialUntil = time.Time{}
	return Trial, 0
}

// Holds reports whether one of the parts is quarantined.
func (l *List) Holds(parts []Part) bool {
	if l.size.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		if l.entries[part] != nil {
			return true
		}
	}
	return false
}

// RecordSound records that an answer to a prompt with these parts goes on.
func (l *List) RecordSound(parts []Part) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		if e := l.entries[part]; e != nil {
			e.sound = true
		}
	}
}

// Add holds parts that the pool has found guilty. It returns those that were not held.
func (l *List) Add(now time.Time, parts []Part) []Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	var added []Part
	for _, part := range parts {
		e := l.entries[part]
		if e == nil {
			if e = l.insert(part); e == nil {
				continue
			}
			added = append(added, part)
		}
		if e.revision == 0 {
			e.heldUntil = now.Add(peerNoticeTTL)
		}
	}
	return added
}

// insert adds an entry, or returns nil if the list is full.
func (l *List) insert(part Part) *entry {
	if len(l.entries) >= maxQuarantined {
		return nil
	}
	if l.entries == nil {
		l.entries = make(map[Part]*entry)
	}
	e := &entry{}
	l.entries[part] = e
	l.size.Store(int64(len(l.entries)))
	return e
}

func (l *List) remove(part Part) {
	delete(l.entries, part)
	l.size.Store(int64(len(l.entries)))
}

// Apply takes over a record from the store. Its hold counts from now, which is never
// earlier than its writing.
func (l *List) Apply(now time.Time, part Part, record Record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(now, part, record, revision)
}

// apply is Apply for a caller that holds the lock.
func (l *List) apply(now time.Time, part Part, record Record, revision uint64) {
	if record.Released {
		l.remove(part)
		if l.released == nil {
			l.released = make(map[Part]uint64)
		}
		l.released[part] = revision
		return
	}
	delete(l.released, part)
	e := l.entries[part]
	if e == nil {
		if e = l.insert(part); e == nil {
			return
		}
	}
	e.record, e.revision, e.wanted, e.lost = record, revision, false, false
	e.heldUntil = now.Add(record.Hold())
}

// ApplyRestored takes over a record from a store that was restored from an older copy. A
// release and trials that this router knows of are kept and written again.
func (l *List) ApplyRestored(now time.Time, part Part, record Record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[part]
	_, released := l.released[part]
	switch {
	case released && !record.Released:
		if e = l.insert(part); e != nil {
			e.record, e.revision, e.sound = record, revision, true
		}
	case e != nil && e.record.Trials > record.Trials && !record.Released:
		e.revision, e.lost = revision, true
	default:
		l.apply(now, part, record, revision)
	}
}

// Forget takes over the end of a record. The part stays held for the rest of its time,
// because records may end early while the store is unavailable.
func (l *List) Forget(part Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.released, part)
	if e := l.entries[part]; e != nil {
		e.revision = 0
	}
}

// Change is a record that a router is to write to the store.
type Change struct {
	Part   Part
	Record Record
	// Revision is the revision that the stored record must have; 0 if there must be none.
	Revision uint64
	// Trial is set if the record gives this router a trial.
	Trial bool
}

// Due returns the changes of records that this router is to write, and drops the entries
// whose time is over. judging is set if this router writes the records of parts that the
// pool has found guilty.
func (l *List) Due(now time.Time, judging bool) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []Change
	for part, e := range l.entries {
		switch {
		case e.sound && e.revision != 0:
			changes = append(changes, Change{Part: part, Record: Record{Released: true}, Revision: e.revision})
		case e.sound, e.revision == 0 && !now.Before(e.heldUntil):
			l.remove(part)
		case e.revision == 0 && judging:
			changes = append(changes, Change{Part: part, Record: e.record, Revision: l.released[part]})
		case e.lost:
			changes = append(changes, Change{Part: part, Record: e.record, Revision: e.revision})
		case e.revision != 0 && e.wanted:
			changes = append(changes, Change{Part: part, Record: Record{Trials: e.record.Trials + 1}, Revision: e.revision, Trial: true})
		case e.revision != 0 && now.Sub(e.heldUntil) > RecordMargin:
			l.remove(part)
		}
	}
	return changes
}

// Took records that this router has written the record of a trial and may use it.
func (l *List) Took(now time.Time, part Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[part]; e != nil {
		e.trialUntil = now.Add(trialTTL)
	}
}

// Size returns the number of quarantined parts.
func (l *List) Size() int { return int(l.size.Load()) }

// Parts returns the quarantined parts.
func (l *List) Parts() []Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := make([]Part, 0, len(l.entries))
	for part := range l.entries {
		parts = append(parts, part)
	}
	return parts
}
