package ledger

import (
	"math"
	"sync"
	"time"
	"unique"

	"cactusknot.example/coord/clock"
)

// DefaultQueueLines is the default capacity of a Queue.
const DefaultQueueLines = 200_000

// compactSlack is the number of stale order entries that are kept before the
// order is rebuilt, so that small queues are not rebuilt all the time.
const compactSlack = 1024

// Queue holds the lines of an agent or router until they are acknowledged. Room
// is reserved before dispatch, so that a full queue refuses work instead of
// losing a charge. No method waits. Safe for concurrent use.
type Queue struct {
	clock    clock.Clock
	start    time.Time
	capacity int

	mu       sync.Mutex
	reserved int
	held     map[ID]*held
	order    []*held // by since, oldest first; may contain acknowledged entries
}

// names are the names of a line. Few combinations occur, so that lines share
// them instead of keeping the strings of the message they came with.
type names struct{ workspace, model, version string }

// held is a line without its own copies of the names.
type held struct {
	id            [16]byte
	step          uint32
	attempt       uint32
	names         unique.Handle[names]
	tokensIn      uint64
	tokensOut     uint64
	amountMicros  uint64
	bundleVersion uint64
	completedMS   int64
	since         time.Duration // after Queue.start, or acked
}

// acked in held.since marks a line that was acknowledged.
const acked time.Duration = math.MinInt64

func (h *held) set(l Line) {
	h.id = l.RequestID
	h.step = l.Step
	h.attempt = l.Attempt
	h.names = unique.Make(names{l.Workspace, l.Model, l.Version})
	h.tokensIn = l.TokensIn
	h.tokensOut = l.TokensOut
	h.amountMicros = l.AmountMicros
	h.bundleVersion = l.BundleVersion
	h.completedMS = l.CompletedMS
}

func (h *held) line() Line {
	n := h.names.Value()
	return Line{
		RequestID:     h.id,
		Step:          h.step,
		Attempt:       h.attempt,
		Workspace:     n.workspace,
		Model:         n.model,
		Version:       n.version,
		TokensIn:      h.tokensIn,
		TokensOut:     h.tokensOut,
		AmountMicros:  h.amountMicros,
		BundleVersion: h.bundleVersion,
		CompletedMS:   h.completedMS,
	}
}

// NewQueue returns an empty Queue for capacity lines (0: DefaultQueueLines).
func NewQueue(clk clock.Clock, capacity int) *Queue {
	if capacity <= 0 {
		capacity = DefaultQueueLines
	}
	return &Queue{clock: clk, start: clk.Now(), capacity: capacity, held: make(map[ID]*held)}
}

func (q *Queue) elapsed() time.Duration { return q.clock.Now().Sub(q.start) }

// Reserve makes room for one line, or returns false when the queue is full. Each
// reservation ends with exactly one Commit or Release.
func (q *Queue) Reserve() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.held)+q.reserved >= q.capacity {
		return false
	}
	q.reserved++
	return true
}

// Release gives a reservation back unused.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserved = max(0, q.reserved-1)
}

// Commit turns a reservation into a held line. A line of an identity that is
// already held is merged with it.
func (q *Queue) Commit(l Line) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserved = max(0, q.reserved-1)
	if h := q.held[l.ID()]; h != nil {
		h.set(Merge(h.line(), l))
		return
	}
	h := &held{since: q.elapsed()}
	h.set(l)
	q.held[l.ID()] = h
	q.order = append(q.order, h)
}

// Pending returns up to max lines, oldest first, that were committed or last
// returned by Pending at least olderThan ago. Returned lines move to the end of
// the order, so that lines nobody acknowledges do not hold up the others.
func (q *Queue) Pending(olderThan time.Duration, max int) []Line {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.elapsed()
	var out []Line
	var again []*held
	for len(q.order) > 0 && len(out) < max {
		h := q.order[0]
		if h.since != acked && now-h.since < olderThan {
			break
		}
		q.order[0] = nil
		q.order = q.order[1:]
		if h.since == acked {
			continue
		}
		h.since = now
		again = append(again, h)
		out = append(out, h.line())
	}
	q.order = append(q.order, again...)
	return out
}

// Acknowledge removes the lines with these identities; unknown ones are ignored.
func (q *Queue) Acknowledge(ids []ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range ids {
		if h := q.held[id]; h != nil {
			h.since = acked
			delete(q.held, id)
		}
	}
	if len(q.order) > 2*len(q.held)+compactSlack {
		q.compact()
	}
}

func (q *Queue) compact() {
	kept := make([]*held, 0, len(q.held))
	for _, h := range q.order {
		if h.since != acked {
			kept = append(kept, h)
		}
	}
	q.order = kept
}

// Len returns the number of held lines and of open reservations.
func (q *Queue) Len() (lines, reserved int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.held), q.reserved
}
