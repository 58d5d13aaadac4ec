package idempotency

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
)

// RanTwice is violated when a key gets a second permission to run although the
// first run may have happened.
const RanTwice invariant.Name = "ran_twice"

// Defaults of Config.
const (
	DefaultMaxEntries = 100_000
	DefaultMaxBytes   = 32 << 20
	DefaultMaxAhead   = time.Hour
)

// recordBytes is the size counted for a record besides its body and content
// type: record, channel, map and heap entry; 309 to 327 bytes were measured.
const recordBytes = 320

// Config configures Records. Zero numbers take the defaults.
type Config struct {
	// Home is the incarnation of this process, 48 bits.
	Home    uint64
	Clock   clock.Clock
	Checker *invariant.Checker
	// MaxEntries and MaxBytes bound the records, running ones included.
	MaxEntries int
	MaxBytes   int
	// MaxAhead is how far a key's time may be ahead of the clock. Without this
	// bound, keys of the far future would fill the records and, once evicted,
	// raise the floor above all present keys.
	MaxAhead time.Duration
}

// RequestHash is the digest of everything that makes two requests the same:
// workspace, service, method, path and body.
type RequestHash [32]byte

// OutcomeKind says what became of a run.
type OutcomeKind uint8

// Kinds of outcomes. The zero value is unknown, the only safe assumption.
const (
	OutcomeUnknown OutcomeKind = iota
	OutcomeDone
	OutcomeNotRun
)

// Outcome is the result of a run. Status, ContentType and Body are the answer
// of the backend server when Kind is OutcomeDone. Charge is the encoded charge of
// the run, empty for none. Body and Charge must not be changed after they were
// passed to Finish.
type Outcome struct {
	Kind        OutcomeKind
	Status      int
	ContentType string
	Body        []byte
	Charge      []byte
}

// Decision says what to do with a request.
type Decision uint8

// Decisions of Begin.
const (
	// Unknown: the outcome of the key is not known; it must not run.
	Unknown Decision = iota
	// Run: the caller runs the request and calls Ticket.Finish exactly once.
	Run
	// Join: the key is running; Ticket.Wait returns its outcome.
	Join
	// Replay: the key has run; Ticket.Wait returns its outcome at once.
	Replay
	// Conflict: the key was used for another request. This one has not run.
	Conflict
	// Full: there is no room for a record. The request has not run.
	Full
	// TooEarly: the key's time is more than MaxAhead in the future and the key has
	// no record. The request has not run.
	TooEarly
)

var decisionNames = [...]string{"unknown", "run", "join", "replay", "conflict", "full", "early"}

// String returns the decision's name for logs.
func (d Decision) String() string { return decisionNames[d] }

// Records are the at-most-once records of one home. All methods except
// Ticket.Wait return without blocking on other work. Safe for concurrent use.
type Records struct {
	cfg Config

	mu       sync.Mutex
	records  map[Key]*record
	finished finishedHeap
	bytes    int
	floor    uint64
}

type record struct {
	key     Key
	hash    RequestHash
	done    chan struct{}
	ended   bool
	outcome Outcome // written before done is closed, then constant
	replay  bool    // outcome is kept for later requests
	size    int
}

// New returns empty Records.
func New(cfg Config) *Records {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.MaxAhead <= 0 {
		cfg.MaxAhead = DefaultMaxAhead
	}
	return &Records{cfg: cfg, records: make(map[Key]*record)}
}

// Execution gives access to the run of one key. A nil Execution accompanies the
// decisions Unknown, Conflict, Full and Early.
type Execution struct {
	records *Records
	record  *record
}

// Begin decides about a request with a router-generated key. A key that names
// another home is Unknown here, and so is a caller's key, whose home only the
// store knows: use BeginBound for these.
func (r *Records) Begin(key Key, hash RequestHash) (Decision, *Execution) {
	home, ok := Home(key)
	if !ok {
		return Unknown, nil
	}
	return r.BeginBound(key, home, hash)
}

// BeginBound decides about a request whose key belongs to home, as returned by
// Bind for a caller's key. A key of another home is Unknown: an incarnation that
// replaced the bound one must not run its keys.
func (r *Records) BeginBound(key Key, home uint64, hash RequestHash) (Decision, *Execution) {
	if named, ok := Home(key); ok && named != home {
		return Unknown, nil
	}
	if home != r.cfg.Home {
		return Unknown, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[key]; rec != nil {
		return r.known(rec, hash)
	}
	if key.Millis() <= r.floor {
		return Unknown, nil
	}
	if key.Millis() > uint64(r.cfg.Clock.Now().Add(r.cfg.MaxAhead).UnixMilli()) {
		return TooEarly, nil
	}
	if !r.makeRoom(key) {
		return Full, nil
	}
	return r.grant(key, hash)
}

// Lookup decides about a request whose key must not begin a run here. ok is false
// when the key has never run here and BeginBound may grant it.
func (r *Records) Lookup(key Key, home uint64, hash RequestHash) (d Decision, t *Execution, ok bool) {
	if named, generated := Home(key); generated && named != home || home != r.cfg.Home {
		return Unknown, nil, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[key]; rec != nil {
		d, t = r.known(rec, hash)
		return d, t, true
	}
	return Unknown, nil, key.Millis() <= r.floor
}

// known decides about a key that has a record.
func (r *Records) known(rec *record, hash RequestHash) (Decision, *Execution) {
	switch {
	case rec.hash != hash:
		return Conflict, nil
	case !rec.ended:
		return Join, &Execution{r, rec}
	case rec.replay:
		return Replay, &Execution{r, rec}
	default:
		return Unknown, nil
	}
}

// grant hands out the permission to run.
func (r *Records) grant(key Key, hash RequestHash) (Decision, *Execution) {
	if r.records[key] != nil || key.Millis() <= r.floor {
		r.cfg.Checker.Assert(false, RanTwice, "key %v, floor %d", key, r.floor)
		return Unknown, nil
	}
	rec := &record{key: key, hash: hash, done: make(chan struct{}), size: recordBytes}
	r.records[key] = rec
	r.bytes += rec.size
	return Run, &Execution{r, rec}
}

// makeRoom evicts finished records for one more record. It evicts only below
// the time of key, since the floor would otherwise pass key itself, and nothing
// when that does not make enough room.
func (r *Records) makeRoom(key Key) bool {
	for r.overfull(1, recordBytes) {
		if len(r.finished) == 0 || r.finished[0].key.Millis() >= key.Millis() {
			return false
		}
		r.evictLowest()
	}
	return true
}

func (r *Records) overfull(entries, bytes int) bool {
	return len(r.records)+entries > r.cfg.MaxEntries || r.bytes+bytes > r.cfg.MaxBytes
}

// evictLowest removes the finished record with the lowest key time and raises
// the floor to that time.
func (r *Records) evictLowest() {
	rec := heap.Pop(&r.finished).(*record)
	delete(r.records, rec.key)
	r.bytes -= rec.size
	r.floor = max(r.floor, rec.key.Millis())
}

// Finish records the outcome and wakes the requests that joined. Only the first
// call counts. After OutcomeNotRun the key is free to run again, also for
// another body; the other outcomes are final. An answer too large for the bound
// goes to the joined requests, and later requests get Unknown.
func (t *Execution) Finish(o Outcome) {
	r, rec := t.records, t.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.ended {
		return
	}
	rec.ended = true
	rec.outcome = o
	close(rec.done)
	if o.Kind == OutcomeNotRun {
		delete(r.records, rec.key)
		r.bytes -= rec.size
		return
	}
	r.keep(rec)
}

// keep makes a finished record available for replay within the bounds.
func (r *Records) keep(rec *record) {
	extra := len(rec.outcome.Body) + len(rec.outcome.ContentType) + len(rec.outcome.Charge)
	if rec.outcome.Kind == OutcomeDone && extra <= r.cfg.MaxBytes-recordBytes {
		rec.replay = true
		rec.size += extra
		r.bytes += extra
	} else {
		// The joined requests still read rec; the records keep only its identity.
		rec = &record{key: rec.key, hash: rec.hash, ended: true, size: rec.size}
		r.records[rec.key] = rec
	}
	heap.Push(&r.finished, rec)
	for r.overfull(0, 0) && len(r.finished) > 0 {
		r.evictLowest()
	}
}

// Wait returns the outcome as soon as the run has finished, or ctx.Err().
func (t *Execution) Wait(ctx context.Context) (Outcome, error) {
	select {
	case <-t.record.done:
		return t.record.outcome, nil
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
}

// Stats are the present sizes of the records.
type Stats struct {
	Entries int
	Running int
	Bytes   int
	// FloorMillis: keys without a record at or below this time are Unknown.
	FloorMillis uint64
}

// Stats returns the present sizes.
func (r *Records) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{
		Entries:     len(r.records),
		Running:     len(r.records) - len(r.finished),
		Bytes:       r.bytes,
		FloorMillis: r.floor,
	}
}

// finishedHeap orders finished records by key time, lowest first.
type finishedHeap []*record

func (h finishedHeap) Len() int           { return len(h) }
func (h finishedHeap) Less(i, j int) bool { return h[i].key.Millis() < h[j].key.Millis() }
func (h finishedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *finishedHeap) Push(x any)        { *h = append(*h, x.(*record)) }
func (h *finishedHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}
