package ledger

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"cactusknot.example/coord/kv"
)

// AuditReport is the result of Audit.
type AuditReport struct {
	// Sums are the billed sums of all shards, folded segments included.
	Sums Sums
	// Duplicates are the identities found in more than one segment.
	Duplicates []ID
	// Stored are the identities in segments that are not folded, in no order.
	Stored []ID
	// Disputed are the lines on the disputed lists, which are not billed. A line
	// that several holders delivered late may appear more than once.
	Disputed []Line
	// Gaps are the keys of segments that are missing below a stored one.
	Gaps []string
}

// Audit reads the whole ledger with one call and adds it up. It is meant for
// soak runs and operators of small ledgers: it holds all of it in memory. The
// identities of folded segments are not kept, so an identity that is folded and
// stored again is not found here.
func Audit(ctx context.Context, store kv.Store) (AuditReport, error) {
	entries, err := store.List(ctx, keyRoot)
	if err != nil {
		return AuditReport{}, fmt.Errorf("ledger: audit: %w", err)
	}
	a := audit{
		report: AuditReport{Sums: make(Sums)},
		seen:   make(map[ID]int),
		shards: make(map[uint32]*auditShard),
	}
	for _, e := range entries {
		if err := a.read(e); err != nil {
			return AuditReport{}, err
		}
	}
	for shard, s := range a.shards {
		a.add(shard, s)
	}
	return a.report, nil
}

type audit struct {
	report AuditReport
	seen   map[ID]int
	shards map[uint32]*auditShard
}

type auditShard struct {
	totals   totals
	segments []segment
}

func (a *audit) read(e kv.Entry) error {
	shard, kind, name, err := parseKey(e.Key)
	if err != nil {
		return err
	}
	s := a.shards[shard]
	if s == nil {
		s = &auditShard{}
		a.shards[shard] = s
	}
	switch kind {
	case "totals":
		s.totals, err = decodeTotals(e.Value)
	case "seg":
		err = s.readSegment(name, e)
	case "disputed":
		var lines []Line
		_, lines, err = decodeLines(e.Value)
		a.report.Disputed = append(a.report.Disputed, lines...)
	default:
		err = fmt.Errorf("%w: key %q", ErrFormat, e.Key)
	}
	return err
}

func (s *auditShard) readSegment(name string, e kv.Entry) error {
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: key %q", ErrFormat, e.Key)
	}
	seg, err := decodeSegment(n, e)
	s.segments = append(s.segments, seg)
	return err
}

func (a *audit) add(shard uint32, s *auditShard) {
	a.report.Sums.addAll(s.totals.Sums)
	slices.SortFunc(s.segments, func(x, y segment) int { return int(x.n) - int(y.n) })
	next := s.totals.Folded + 1
	for _, seg := range s.segments {
		if seg.n <= s.totals.Folded {
			continue
		}
		for ; next < seg.n; next++ {
			a.report.Gaps = append(a.report.Gaps, segmentKey(shard, next))
		}
		next = seg.n + 1
		for _, l := range seg.lines {
			a.line(l)
		}
	}
}

func (a *audit) line(l Line) {
	id := l.ID()
	a.seen[id]++
	switch a.seen[id] {
	case 1:
		a.report.Stored = append(a.report.Stored, id)
	case 2:
		a.report.Duplicates = append(a.report.Duplicates, id)
	}
	a.report.Sums.addLine(l)
}
