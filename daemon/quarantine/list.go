package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstHold is the time from the beginning of a quarantine to its first trial. It
	// grows by holdGrowth with each trial that fails, up to maxHold: each trial costs a server.
	firstHold  = 30 * time.Second
	holdGrowth = 4
	maxHold    = 8 * time.Minute
	// RecordLifetime is how long the stored record of a quarantine lasts, which is the longest
	// lease of the store. A key for which nobody asks after its hold in this time is forgotten.
	RecordLifetime = 10 * time.Minute
	// recordEndMargin is how long before the end of its lifetime the end of a record is no loss.
	recordEndMargin = 30 * time.Second
	// trialTTL is how long a router that may make a trial waits for a request for it.
	trialTTL = 10 * time.Second
	// peerNoticeTTL is how long a key that the pool has found guilty, or of which another router
	// has told, is held while this router knows no record of it.
	peerNoticeTTL = 30 * time.Second
	// forwardTTL is how long an aggregator tells of a key that a router has reported.
	forwardTTL = 2 * time.Second
	// maxNotices bounds the keys that a router tells the others.
	maxNotices = 128
	// maxQuarantined bounds the keys that a router holds.
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
	hold := firstHold
	for range r.Trials {
		if hold *= holdGrowth; hold >= maxHold {
			return maxHold
		}
	}
	return hold
}

// Verdict is what may be done with a request.
type Verdict uint8

// Verdicts.
const (
	// Send: no key is quarantined.
	Send Verdict = iota
	// Trial: the request may make one attempt, which decides on its key.
	Trial
	// Refuse: the request must not be sent.
	Refuse
)

// List holds the quarantined keys. The zero value is an empty list.
type List struct {
	// size is the number of entries. It spares requests the lock of an empty list.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[Key]*entry
	// released holds the revisions of the stored records of keys that were released.
	released map[Key]uint64
}

type entry struct {
	record Record
	// stored is set once this router has known the record in the store.
	stored bool
	// revision is the store's revision of the record; 0 while it is not stored.
	revision uint64
	// keptUntil is when the record ends if nobody asks for the key.
	keptUntil time.Time
	// reportedUntil is until when an aggregator tells of a key that a router has reported.
	reportedUntil time.Time
	// heldUntil is the time of the next trial, or for an entry without a record that of
	// its end.
	heldUntil time.Time
	// wanted is set when a request with the key came after heldUntil.
	wanted bool
	// trialUntil is until when this router may use the trial that it has taken.
	trialUntil time.Time
	// sound is set when a server has outlived an answer with the key.
	sound bool
	// lost is set while the store holds an older record.
	lost bool
}

// Check tells what may be done with a request with these keys. For a refused
// request, wait is the time to the next trial. A Trial is given out once.
func (l *List) Check(now time.Time, keys []Key) (verdict Verdict, wait time.Duration) {
	if l.size.Load() == 0 {
		return Send, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var trial *entry
	for _, key := range keys {
		e := l.entries[key]
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

// Holds reports whether one of the keys is quarantined.
func (l *List) Holds(keys []Key) bool {
	if l.size.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		if l.entries[key] != nil {
			return true
		}
	}
	return false
}

// RecordSound records that a server has outlived an answer to a request with these keys.
func (l *List) RecordSound(keys []Key) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		if e := l.entries[key]; e != nil {
			e.sound = true
		}
	}
}

// Add holds keys that the pool has found guilty. It returns those that were not held.
func (l *List) Add(now time.Time, keys []Key) []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var added []Key
	for _, key := range keys {
		if _, isNew := l.hold(now, key); isNew {
			added = append(added, key)
		}
	}
	return added
}

// Notice holds keys of which another router has told, unless this one knows that they were
// released. forward is set at an aggregator, which tells all routers of them. It returns the keys
// that were not held.
func (l *List) Notice(now time.Time, keys []Key, forward bool) []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var added []Key
	for _, key := range keys {
		if _, released := l.released[key]; released {
			continue
		}
		e, isNew := l.hold(now, key)
		if isNew {
			added = append(added, key)
		}
		if e != nil && forward {
			e.reportedUntil = now.Add(forwardTTL)
		}
	}
	return added
}

// hold returns the entry of a key, or nil if there is no room for it. It adds one if there is none,
// and holds it for peerNoticeTTL if no record of it is known.
func (l *List) hold(now time.Time, key Key) (e *entry, isNew bool) {
	if e = l.entries[key]; e == nil {
		if e = l.insert(key); e == nil {
			return nil, false
		}
		isNew = true
	}
	if !e.stored {
		e.heldUntil = now.Add(peerNoticeTTL)
	}
	return e, isNew
}

// Notices returns the keys to tell the other routers of: those whose record this router has known,
// and those that routers have reported to it.
func (l *List) Notices(now time.Time) []Key {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []Key
	for key, e := range l.entries {
		if !e.sound && (e.stored || now.Before(e.reportedUntil)) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), maxNotices)]
}

// insert adds an entry, or returns nil if the list is full.
func (l *List) insert(key Key) *entry {
	if len(l.entries) >= maxQuarantined {
		return nil
	}
	if l.entries == nil {
		l.entries = make(map[Key]*entry)
	}
	e := &entry{}
	l.entries[key] = e
	l.size.Store(int64(len(l.entries)))
	return e
}

func (l *List) remove(key Key) {
	delete(l.entries, key)
	l.size.Store(int64(len(l.entries)))
}

// Apply takes over a record from the store. Its hold counts from now, which is never
// earlier than its writing.
func (l *List) Apply(now time.Time, key Key, record Record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(now, key, record, revision)
}

// apply is Apply for a caller that holds the lock.
func (l *List) apply(now time.Time, key Key, record Record, revision uint64) {
	if record.Released {
		l.remove(key)
		if l.released == nil {
			l.released = make(map[Key]uint64)
		}
		l.released[key] = revision
		return
	}
	delete(l.released, key)
	e := l.entries[key]
	if e == nil {
		if e = l.insert(key); e == nil {
			return
		}
	}
	e.store(now, record, revision)
	e.wanted, e.lost = false, false
	e.heldUntil = now.Add(record.Hold())
}

// store notes the stored record of the key.
func (e *entry) store(now time.Time, record Record, revision uint64) {
	e.record, e.revision, e.stored = record, revision, true
	e.keptUntil = now.Add(RecordLifetime)
}

// ApplyRestored takes over a record from a store that was restored from an older copy. A
// release and trials that this router knows of are kept and written again.
func (l *List) ApplyRestored(now time.Time, key Key, record Record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[key]
	_, released := l.released[key]
	switch {
	case released && !record.Released:
		if e = l.insert(key); e != nil {
			e.store(now, record, revision)
			e.sound = true
		}
	case e != nil && e.record.Trials > record.Trials && !record.Released:
		e.revision, e.lost = revision, true
	default:
		l.apply(now, key, record, revision)
	}
}

// Forget takes over the end of a record. The key stays held if that is early, because records may
// end while the store is unavailable: then the next request for it after its hold is its trial.
func (l *List) Forget(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.released, key)
	e := l.entries[key]
	if e == nil {
		return
	}
	e.revision = 0
	if !e.wanted && e.keptUntil.Sub(now) <= recordEndMargin {
		l.remove(key)
	}
}

// Change is a record that a router is to write to the store.
type Change struct {
	Key    Key
	Record Record
	// Revision is the revision that the stored record must have; 0 if there must be none.
	Revision uint64
	// Trial is set if the record gives this router a trial.
	Trial bool
}

// Due returns the changes of records that this router is to write, and drops the entries
// whose time is over, which it returns as ended. judging is set if this router writes the records
// of keys that the pool has found guilty.
func (l *List) Due(now time.Time, judging bool) (changes []Change, ended []Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, e := range l.entries {
		switch {
		case e.sound && e.revision != 0:
			changes = append(changes, Change{Key: key, Record: Record{Released: true}, Revision: e.revision})
		case e.sound, !e.stored && !now.Before(e.heldUntil), e.stored && !e.wanted && !now.Before(e.keptUntil):
			l.remove(key)
			ended = append(ended, key)
		case e.revision == 0 && judging:
			changes = append(changes, Change{Key: key, Record: e.record, Revision: l.released[key]})
		case e.lost:
			changes = append(changes, Change{Key: key, Record: e.record, Revision: e.revision})
		case e.stored && e.wanted:
			changes = append(changes, Change{Key: key, Record: Record{Trials: e.record.Trials + 1}, Revision: e.revision, Trial: true})
		}
	}
	return changes, ended
}

// Took records that this router has written the record of a trial and may use it.
func (l *List) Took(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[key]; e != nil {
		e.trialUntil = now.Add(trialTTL)
	}
}

// Size returns the number of quarantined keys.
func (l *List) Size() int { return int(l.size.Load()) }

// Keys returns the quarantined keys.
func (l *List) Keys() []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]Key, 0, len(l.entries))
	for key := range l.entries {
		keys = append(keys, key)
	}
	return keys
}
