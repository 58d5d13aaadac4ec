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
//
// Acknowledged lines are kept for KeepFor, within limits and outside of the
// capacity, because a restore of the store from an older copy may take them back. When
// the queue learns of a new era of the store, they have to be acknowledged once more.
// Duplicates are dropped by the collector.
type Queue struct {
	clock    clock.Clock
	start    time.Time
	capacity int

	mu       sync.Mutex
	reserved int
	queued   map[ID]*queued
	order    []*queued // by since, oldest first; may contain acknowledged lines

	era       uint64     // highest known era of the store
	kept      []keptLine // acknowledged in era, oldest first
	keptBytes int
}

// keptLine is a line that was acknowledged at a time relative to Queue.start.
type keptLine struct {
	queued
	at time.Duration
}

// keptLineBytes is the memory of a kept line without the text of its names.
const keptLineBytes = 120

// size returns the memory accounted for the line. Names count in full although lines
// share them.
func (k *keptLine) size() int {
	n := k.names.Value()
	return keptLineBytes + len(n.workspace) + len(n.model) + len(n.version)
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

// Acknowledge moves the lines with the given identities, which are stored in an era of
// the store, to the kept ones. It ignores unknown identities, and all of them if a
// later era is known, in which the lines may be missing.
func (q *Queue) Acknowledge(ids []ID, era uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if era < q.era {
		return
	}
	q.observeEra(era)
	now := q.elapsed()
	for _, id := range ids {
		if e := q.queued[id]; e != nil {
			k := keptLine{*e, now}
			q.kept = append(q.kept, k)
			q.keptBytes += k.size()
		}
	}
	// Time passes for kept lines only with acknowledgements: without them the store
	// may be away, and the copy from which it returns is older than the outage.
	for len(q.kept) > 0 && (now-q.kept[0].at > KeepFor || len(q.kept) > maxKeptLines || q.keptBytes > maxKeptBytes) {
		q.keptBytes -= q.kept[0].size()
		q.kept[0] = keptLine{}
		q.kept = q.kept[1:]
	}
	q.remove(ids)
}

// ObserveEra makes all kept lines pending again if era is above the highest known one,
// and returns their number.
func (q *Queue) ObserveEra(era uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.observeEra(era)
}

func (q *Queue) observeEra(era uint64) int {
	if era <= q.era {
		return 0
	}
	q.era = era
	return q.requeue()
}

// Requeue makes all kept lines pending, so that a process that stops can hand them over,
// and returns their number.
func (q *Queue) Requeue() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.requeue()
}

func (q *Queue) requeue() int {
	count := 0
	now := q.elapsed()
	for i := range q.kept {
		e := q.kept[i].queued
		id := ID{e.id, e.step}
		if q.queued[id] != nil {
			continue
		}
		e.since = now
		q.queued[id] = &e
		q.order = append(q.order, &e)
		count++
	}
	q.kept, q.keptBytes = nil, 0
	return count
}

// Kept returns the number of lines that are kept after their acknowledgement.
func (q *Queue) Kept() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.kept)
}

// Remove removes lines that another process holds now.
func (q *Queue) Remove(ids []ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(ids)
}

func (q *Queue) remove(ids []ID) {
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
