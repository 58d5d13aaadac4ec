package ledger

import (
	"slices"
	"time"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
)

// shardLog is a collector's in-memory view of a shard: the totals, and the identities
// and sums of each segment that is not folded.
type shardLog struct {
	// era is the store's era in which the log was read.
	era      uint64
	totals   totals
	revision kv.Revision     // of the totals key; 0 if it does not exist
	segments []loggedSegment // consecutive, starting with totals.Folded+1
	ids      map[ID]struct{}
	folded   []segmentRef // segments folded by this collector, to be deleted
}

// loggedSegment is a segment of the log, without its lines.
type loggedSegment struct {
	segmentRef
	writtenMS   int64
	completedMS int64
	readAt      time.Time
	ids         []ID
	sums        Sums
}

type segmentRef struct {
	key      string
	n        uint64
	revision kv.Revision
}

func newShardLog(era uint64, t totals, rev kv.Revision) *shardLog {
	return &shardLog{era: era, totals: t, revision: rev, ids: make(map[ID]struct{})}
}

// next returns the number of the next segment to read or write.
func (log *shardLog) next() uint64 { return log.totals.Folded + uint64(len(log.segments)) + 1 }

func (log *shardLog) has(id ID) bool {
	_, ok := log.ids[id]
	return ok
}

// overlaps reports whether the log has an identity of the segment.
func (log *shardLog) overlaps(s segment) bool {
	return slices.ContainsFunc(s.lines, func(l Line) bool { return log.has(l.ID()) })
}

// appendSegment adds a segment, whose number must be next(), to the log.
func (log *shardLog) appendSegment(s segment, now time.Time, checker *invariant.Checker) {
	m := loggedSegment{
		segmentRef:  s.segmentRef,
		writtenMS:   s.writtenMS,
		completedMS: s.completedMS,
		readAt:      now,
		sums:        make(Sums),
	}
	for _, l := range s.lines {
		id := l.ID()
		if log.has(id) { // checked outside of Assert to avoid allocating its arguments
			checker.Assert(false, BilledTwice, "%v again in segment %d", id, s.n)
		}
		log.ids[id] = struct{}{}
		m.ids = append(m.ids, id)
		m.sums.addLine(l)
	}
	log.segments = append(log.segments, m)
}

// setTotals replaces the totals by newer ones, whose Folded must be below next(), and
// removes the segments that are folded into them.
func (log *shardLog) setTotals(t totals, rev kv.Revision) {
	for len(log.segments) > 0 && log.segments[0].n <= t.Folded {
		for _, id := range log.segments[0].ids {
			delete(log.ids, id)
		}
		log.segments[0] = loggedSegment{}
		log.segments = log.segments[1:]
	}
	// The stored value of Cleaned does not include deletions by this collector since
	// its last fold.
	t.Cleaned = max(t.Cleaned, log.totals.Cleaned)
	log.totals = t
	log.revision = rev
}

// foldableCount returns the number of segments at the start of the log that may be
// folded at the given time.
func (log *shardLog) foldableCount(now time.Time, cfg CollectorConfig) int {
	oldest := now.Add(-cfg.Retention).UnixMilli()
	count := 0
	for _, s := range log.segments {
		known := now.Sub(s.readAt) >= cfg.FoldGrace
		if !known || s.writtenMS > oldest || s.completedMS > oldest+cfg.MaxSkew.Milliseconds() || count == maxFoldSegments {
			break
		}
		count++
	}
	return count
}

// totalsAfterFold returns the totals that result from folding the first count
// segments.
func (log *shardLog) totalsAfterFold(count int) totals {
	t := log.totals
	t.pruneEras()
	t.Sums = make(Sums)
	t.Sums.addAll(log.totals.Sums)
	for _, s := range log.segments[:count] {
		t.Folded = s.n
		t.WatermarkMS = max(t.WatermarkMS, s.completedMS)
		t.Sums.addAll(s.sums)
	}
	return t
}
