package ledger

import (
	"math"
	"sync"
	"time"
	"unique"

	"cactusknot.example/coord/clock"
)

// DefaultQueueCapacity is the default capacity of a Queue.
const DefaultQueueCapacity = 200_000

// maxStaleEntries is the number of acknowledged entries that the order of a queue may
// contain, in addition to its number of lines, before it is rebuilt. It prevents
// small queues from being rebuilt frequently.
const maxStaleEntries = 1024

// Queue holds the lines of an agent or router until they are acknowledged. Space for
// a line is reserved before its request is dispatched, so that a full queue causes
// requests to be rejected instead of charges to be lost. No method blocks. Queue is
// safe for concurrent use.
type Queue struct {
	clock    clock.Clock
	start    time.Time
	capacity int

	mu       sync.Mutex
	reserved int
	queued   map[ID]*queued
	order    []*queued // by since, oldest first; may contain acknowledged lines
}

// names are the names of a line. Since few combinations occur, lines share interned
// names instead of retaining the strings of the message in which they arrived.
type names struct{ workspace, model, version string }

// queued is a line in the queue. Its names are interned.
type queued struct {
	id            [16]byte
	step          uint32
	attempt       uint32
	names         unique.Handle[names]
	tokensIn      uint64
	tokensOut     uint64
	amountMicros  uint64
	bundleVersion uint64
	completedMS   int64
	since         time.Duration // Commit or last Pending, relative to Queue.start; or acknowledged
}

// acknowledged is the value of queued.since for a line that was acknowledged.
const acknowledged time.Duration = math.MinInt64

func (e *queued) set(l Line) {
	e.id = l.RequestID
	e.step = l.Step
	e.attempt = l.Attempt
	e.names = unique.Make(names{l.Workspace, l.Model, l.Version})
	e.tokensIn = l.TokensIn
	e.tokensOut = l.TokensOut
	e.amountMicros = l.AmountMicros
	e.bundleVersion = l.BundleVersion
	e.completedMS = l.CompletedMS
}

func (e *queued) line() Line {
	n := e.names.Value()
	return Line{
		RequestID:     e.id,
		Step:          e.step,
		Attempt:       e.attempt,
		Workspace:     n.workspace,
		Model:         n.model,
		Version:       n.version,
		TokensIn:      e.tokensIn,
		TokensOut:     e.tokensOut,
		AmountMicros:  e.amountMicros,
		BundleVersion: e.bundleVersion,
		CompletedMS:   e.completedMS,
	}
}

// NewQueue returns an empty Queue with the given capacity in lines, or
// DefaultQueueCapacity if capacity is not positive.
func NewQueue(clk clock.Clock, capacity int) *Queue {
	if capacity <= 0 {
		capacity = DefaultQueueCapacity
	}
	return &Queue{clock: clk, start: clk.Now(), capacity: capacity, queued: make(map[ID]*queued)}
}

func (q *Queue) elapsed() time.Duration { return q.clock.Now().Sub(q.start) }

// Reserve reserves space for one line, or returns false when the queue is full. Each
// reservation must be ended by exactly one Commit or Release.
func (q *Queue) Reserve() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued)+q.reserved >= q.capacity {
		return false
	}
	q.reserved++
	return true
}

// Release cancels a reservation.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserved = max(0, q.reserved-1)
}

// Commit uses a reservation to add a line. If the queue contains a line with the same
// identity, the two are merged.
func (q *Queue) Commit(l Line) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserved = max(0, q.reserved-1)
	if e := q.queued[l.ID()]; e != nil {
		e.set(Merge(e.line(), l))
		return
	}
	e := &queued{since: q.elapsed()}
	e.set(l)
	q.queued[l.ID()] = e
	q.order = append(q.order, e)
}

// Pending returns up to max lines that were committed, or last returned by Pending,
// at least olderThan ago, oldest first. Returned lines move to the end of the order,
// so that lines that are never acknowledged do not delay the others.
func (q *Queue) Pending(olderThan time.Duration, max int) []Line {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.elapsed()
	var out []Line
	var again []*queued
	for len(q.order) > 0 && len(out) < max {
		e := q.order[0]
		if e.since != acknowledged && now-e.since < olderThan {
			break
		}
		q.order[0] = nil
		q.order = q.order[1:]
		if e.since == acknowledged {
			continue
		}
		e.since = now
		again = append(again, e)
		out = append(out, e.line())
	}
	q.order = append(q.order, again...)
	return out
}

// Acknowledge removes the lines with the given identities. Unknown identities are
// ignored.
func (q *Queue) Acknowledge(ids []ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range ids {
		if e := q.queued[id]; e != nil {
			e.since = acknowledged
			delete(q.queued, id)
		}
	}
	if len(q.order) > 2*len(q.queued)+maxStaleEntries {
		q.removeAcknowledged()
	}
}

func (q *Queue) removeAcknowledged() {
	kept := make([]*queued, 0, len(q.queued))
	for _, e := range q.order {
		if e.since != acknowledged {
			kept = append(kept, e)
		}
	}
	q.order = kept
}

// Len returns the number of lines and of open reservations.
func (q *Queue) Len() (lines, reserved int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queued), q.reserved
}
