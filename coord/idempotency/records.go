package idempotency

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
)

// RanTwice is violated when a key is granted a second run although its first run
// may have taken place.
const RanTwice invariant.Name = "ran_twice"

// Defaults of Config.
const (
	DefaultMaxEntries    = 100_000
	DefaultMaxBytes      = 32 << 20
	DefaultMaxFutureSkew = time.Hour
)

// recordBytes is the memory accounted for a record without its response body,
// content type and charge: the record, its channel, and its map and heap entries. They
// take 309 to 327 bytes.
const recordBytes = 320

// Config configures Records. Numeric fields that are not positive take their
// defaults.
type Config struct {
	// Home is the 48-bit incarnation of this process.
	Home    uint64
	Clock   clock.Clock
	Checker *invariant.Checker
	// MaxEntries and MaxBytes limit the records, including those of running
	// requests.
	MaxEntries int
	MaxBytes   int
	// MaxFutureSkew is how far a key's timestamp may be ahead of the clock. Without
	// this limit, keys with timestamps far in the future would fill the records
	// and, once evicted, raise the floor above the timestamps of all current keys.
	MaxFutureSkew time.Duration
}

// RequestHash is the digest of the fields by which two requests are considered the
// same: workspace, service, method, path and body.
type RequestHash [32]byte

// OutcomeKind is the kind of outcome of a run.
type OutcomeKind uint8

// Kinds of outcomes. The zero value is OutcomeUnknown, since a request whose
// outcome was never set may have run.
const (
	OutcomeUnknown OutcomeKind = iota
	OutcomeDone
	OutcomeNotRun
)

// Outcome is the result of a run. Status, ContentType and Body hold the response
// of the backend server when Kind is OutcomeDone. Charge is the encoded charge for
// the run, empty if there is none. Body and Charge must not be modified once they
// have been passed to Finish.
type Outcome struct {
	Kind        OutcomeKind
	Status      int
	ContentType string
	Body        []byte
	Charge      []byte
}

// Decision tells the caller how to handle a request.
type Decision uint8

// Decisions of Begin.
const (
	// Unknown: the request may have run and its outcome is not known, so it must
	// not run.
	Unknown Decision = iota
	// Run: the caller must run the request and call Execution.Finish exactly once.
	Run
	// Join: a request with this key is running; Execution.Wait returns its outcome.
	Join
	// Replay: a request with this key has run; Execution.Wait returns its outcome
	// immediately.
	Replay
	// Conflict: the key was used for a different request. This request has not run.
	Conflict
	// Full: the limits leave no room for another record. The request has not run.
	Full
	// TooEarly: the key's timestamp is more than MaxFutureSkew in the future and the
	// key has no record. The request has not run.
	TooEarly
)

var decisionNames = [...]string{"unknown", "run", "join", "replay", "conflict", "full", "early"}

// String returns the name of the decision for use in logs.
func (d Decision) String() string { return decisionNames[d] }

// Records holds the records of the keys of one home. No method except
// Execution.Wait waits for the end of a run. It is safe for concurrent use.
type Records struct {
	cfg Config

	mu       sync.Mutex
	records  map[Key]*record
	finished finishedHeap
	bytes    int
	floor    uint64 // highest timestamp of an evicted record; see Stats.FloorMillis
}

type record struct {
	key     Key
	hash    RequestHash
	done    chan struct{}
	ended   bool
	outcome Outcome // set before done is closed and constant afterwards
	replay  bool    // outcome is retained for later requests
	size    int
}

// New returns Records without entries.
func New(cfg Config) *Records {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.MaxFutureSkew <= 0 {
		cfg.MaxFutureSkew = DefaultMaxFutureSkew
	}
	return &Records{cfg: cfg, records: make(map[Key]*record)}
}

// Execution is the run of one key. It is nil for the decisions Unknown, Conflict,
// Full and TooEarly.
type Execution struct {
	records *Records
	record  *record
}

// Begin decides how to handle a request with a router-generated key. The decision
// is Unknown for a key with another home. It is also Unknown for a key chosen by a
// caller, because its home is recorded only in the store; use BeginBound for these.
func (r *Records) Begin(key Key, hash RequestHash) (Decision, *Execution) {
	home, ok := Home(key)
	if !ok {
		return Unknown, nil
	}
	return r.BeginBound(key, home, hash)
}

// BeginBound decides how to handle a request whose key has the given home, as
// returned by Bind for a key chosen by a caller. The decision is Unknown for a key
// with another home: an incarnation must not run the keys of its predecessor.
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
		return r.decideExisting(rec, hash)
	}
	if key.TimestampMillis() <= r.floor {
		return Unknown, nil
	}
	if key.TimestampMillis() > uint64(r.cfg.Clock.Now().Add(r.cfg.MaxFutureSkew).UnixMilli()) {
		return TooEarly, nil
	}
	if !r.makeRoom(key) {
		return Full, nil
	}
	return r.grant(key, hash)
}

// Lookup decides how to handle a request without starting a run. ok is false when
// the key has not run here, so that BeginBound may still grant it a run.
func (r *Records) Lookup(key Key, home uint64, hash RequestHash) (d Decision, e *Execution, ok bool) {
	if named, generated := Home(key); generated && named != home || home != r.cfg.Home {
		return Unknown, nil, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[key]; rec != nil {
		d, e = r.decideExisting(rec, hash)
		return d, e, true
	}
	return Unknown, nil, key.TimestampMillis() <= r.floor
}

// decideExisting decides how to handle a request whose key has a record.
func (r *Records) decideExisting(rec *record, hash RequestHash) (Decision, *Execution) {
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

// grant adds a record for key and allows its request to run.
func (r *Records) grant(key Key, hash RequestHash) (Decision, *Execution) {
	if r.records[key] != nil || key.TimestampMillis() <= r.floor {
		r.cfg.Checker.Assert(false, RanTwice, "key %v, floor %d", key, r.floor)
		return Unknown, nil
	}
	rec := &record{key: key, hash: hash, done: make(chan struct{}), size: recordBytes}
	r.records[key] = rec
	r.bytes += rec.size
	return Run, &Execution{r, rec}
}

// makeRoom evicts finished records until one more record fits, and reports whether
// it does. It evicts only records with a lower timestamp than key, since the floor
// would otherwise rise to key itself, and nothing unless this makes enough room.
func (r *Records) makeRoom(key Key) bool {
	for r.exceedsLimits(1, recordBytes) {
		if len(r.finished) == 0 || r.finished[0].key.TimestampMillis() >= key.TimestampMillis() {
			return false
		}
		r.evictLowest()
	}
	return true
}

func (r *Records) exceedsLimits(entries, bytes int) bool {
	return len(r.records)+entries > r.cfg.MaxEntries || r.bytes+bytes > r.cfg.MaxBytes
}

// evictLowest removes the finished record with the lowest key timestamp and raises
// the floor to that timestamp.
func (r *Records) evictLowest() {
	rec := heap.Pop(&r.finished).(*record)
	delete(r.records, rec.key)
	r.bytes -= rec.size
	r.floor = max(r.floor, rec.key.TimestampMillis())
}

// Finish records the outcome and unblocks the requests that joined the run. Calls
// after the first have no effect. After OutcomeNotRun the key may run again, even
// for a different request; the other outcomes are final. A response that exceeds
// MaxBytes is delivered to the joined requests only; later requests get Unknown.
func (e *Execution) Finish(o Outcome) {
	r, rec := e.records, e.record
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
	r.retainFinished(rec)
}

// retainFinished keeps a finished record for replay as far as the limits allow.
func (r *Records) retainFinished(rec *record) {
	extra := len(rec.outcome.Body) + len(rec.outcome.ContentType) + len(rec.outcome.Charge)
	if rec.outcome.Kind == OutcomeDone && extra <= r.cfg.MaxBytes-recordBytes {
		rec.replay = true
		rec.size += extra
		r.bytes += extra
	} else {
		// Joined requests still read rec, so it is replaced by a record without the
		// outcome instead of being changed.
		rec = &record{key: rec.key, hash: rec.hash, ended: true, size: rec.size}
		r.records[rec.key] = rec
	}
	heap.Push(&r.finished, rec)
	for r.exceedsLimits(0, 0) && len(r.finished) > 0 {
		r.evictLowest()
	}
}

// Wait blocks until the run has finished and returns its outcome, or returns
// ctx.Err() if ctx ends first.
func (e *Execution) Wait(ctx context.Context) (Outcome, error) {
	select {
	case <-e.record.done:
		return e.record.outcome, nil
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
}

// Stats describes the current contents of Records.
type Stats struct {
	Entries int
	Running int
	Bytes   int
	// FloorMillis is the highest key timestamp of an evicted record as Unix time in
	// ms. The decision for a key at or below it that has no record is Unknown,
	// because its record may have been evicted.
	FloorMillis uint64
}

// Stats returns the current sizes and the floor.
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

// finishedHeap is a min-heap of finished records by key timestamp.
type finishedHeap []*record

func (h finishedHeap) Len() int { return len(h) }
func (h finishedHeap) Less(i, j int) bool {
	return h[i].key.TimestampMillis() < h[j].key.TimestampMillis()
}
func (h finishedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *finishedHeap) Push(x any)   { *h = append(*h, x.(*record)) }
func (h *finishedHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}
