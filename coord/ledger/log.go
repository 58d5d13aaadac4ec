package ledger

import (
	"time"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
)

// shardLog is the collector's copy of a shard: the totals and, of each segment
// that is not folded, the identities and sums.
type shardLog struct {
	totals   totals
	revision kv.Revision // of the totals key; 0: absent
	segments []merged    // numbers totals.Folded+1 and up, without gaps
	ids      map[ID]struct{}
	folded   []segmentRef // segments folded by this collector, to be deleted
}

// merged is a segment that is in the log.
type merged struct {
	segmentRef
	writtenMS   int64
	completedMS int64
	seen        time.Time
	ids         []ID
	sums        Sums
}

type segmentRef struct {
	n        uint64
	revision kv.Revision
}

func newShardLog(t totals, rev kv.Revision) *shardLog {
	return &shardLog{totals: t, revision: rev, ids: make(map[ID]struct{})}
}

// next returns the number of the segment to be written next.
func (g *shardLog) next() uint64 { return g.totals.Folded + uint64(len(g.segments)) + 1 }

func (g *shardLog) has(id ID) bool {
	_, ok := g.ids[id]
	return ok
}

// merge adds segment next() to the log.
func (g *shardLog) merge(s segment, now time.Time, checker *invariant.Checker) {
	m := merged{
		segmentRef:  segmentRef{s.n, s.revision},
		writtenMS:   s.writtenMS,
		completedMS: s.completedMS,
		seen:        now,
		sums:        make(Sums),
	}
	for _, l := range s.lines {
		id := l.ID()
		if g.has(id) { // the condition outside spares the arguments' allocations
			checker.Assert(false, BilledTwice, "%v again in segment %d", id, s.n)
		}
		g.ids[id] = struct{}{}
		m.ids = append(m.ids, id)
		m.sums.addLine(l)
	}
	g.segments = append(g.segments, m)
}

// adopt takes over newer totals, whose folded number must be below next(), and
// forgets the segments folded there.
func (g *shardLog) adopt(t totals, rev kv.Revision) {
	for len(g.segments) > 0 && g.segments[0].n <= t.Folded {
		for _, id := range g.segments[0].ids {
			delete(g.ids, id)
		}
		g.segments[0] = merged{}
		g.segments = g.segments[1:]
	}
	// Deletions by this collector are stored only with the next fold.
	t.Cleaned = max(t.Cleaned, g.totals.Cleaned)
	g.totals = t
	g.revision = rev
}

// foldable returns how many of the first segments may be folded at now.
func (g *shardLog) foldable(now time.Time, cfg CollectorConfig) int {
	oldest := now.Add(-cfg.Retention).UnixMilli()
	count := 0
	for _, s := range g.segments {
		known := now.Sub(s.seen) >= cfg.FoldGrace
		if !known || s.writtenMS > oldest || s.completedMS > oldest+cfg.MaxSkew.Milliseconds() || count == maxFoldSegments {
			break
		}
		count++
	}
	return count
}

// foldedBy returns the totals after folding the first count segments.
func (g *shardLog) foldedBy(count int) totals {
	t := g.totals
	t.Sums = make(Sums)
	t.Sums.addAll(g.totals.Sums)
	for _, s := range g.segments[:count] {
		t.Folded = s.n
		t.WatermarkMS = max(t.WatermarkMS, s.completedMS)
		t.Sums.addAll(s.sums)
	}
	return t
}
