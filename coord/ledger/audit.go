package ledger

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cactusknot.example/coord/kv"
)

// AuditReport is the result of Audit.
type AuditReport struct {
	// Sums are the billed sums of all shards, including folded segments.
	Sums Sums
	// Duplicates are the identities that are stored more than once.
	Duplicates []ID
	// Stored are the identities in segments that are not folded, in arbitrary order.
	Stored []ID
	// Disputed are the lines on the disputed lists, which are not billed. A line
	// that several holders delivered late may appear more than once.
	Disputed []Line
	// Gaps are the keys of missing segments whose number is below that of a stored
	// segment.
	Gaps []string
}

// Audit reads the whole ledger with one store call and adds up its lines. It is
// meant for soak tests and for operators of small ledgers, because it holds the
// whole ledger in memory. The identities of folded segments are not retained, so
// Audit does not detect an identity that was folded and then stored again.
func Audit(ctx context.Context, store kv.Store) (AuditReport, error) {
	entries, err := store.List(ctx, keyPrefix)
	if err != nil {
		return AuditReport{}, fmt.Errorf("ledger: audit: %w", err)
	}
	a := auditor{
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
		a.addShard(shard, s)
	}
	return a.report, nil
}

// auditor accumulates the entries of the ledger.
type auditor struct {
	report AuditReport
	seen   map[ID]int
	shards map[uint32]*auditShard
}

type auditShard struct {
	totals   totals
	segments []auditSegment
}

type auditSegment struct {
	segment
	era uint64
}

func (a *auditor) read(e kv.Entry) error {
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
		err = fmt.Errorf("%w: key %q", ErrInvalidFormat, e.Key)
	}
	return err
}

func (s *auditShard) readSegment(name string, e kv.Entry) error {
	era := uint64(0)
	if prefix, rest, ok := strings.Cut(name, "/"); ok {
		var err error
		if era, err = strconv.ParseUint(prefix, 10, 64); err != nil {
			return fmt.Errorf("%w: key %q", ErrInvalidFormat, e.Key)
		}
		name = rest
	}
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: key %q", ErrInvalidFormat, e.Key)
	}
	seg, err := decodeSegment(n, e)
	s.segments = append(s.segments, auditSegment{seg, era})
	return err
}

func (a *auditor) addShard(shard uint32, s *auditShard) {
	a.report.Sums.addAll(s.totals.Sums)
	slices.SortFunc(s.segments, func(x, y auditSegment) int { return int(x.n) - int(y.n) })
	next := s.totals.Folded + 1
	for _, seg := range s.segments {
		if seg.n <= s.totals.Folded || seg.era != s.totals.eraOf(seg.n) {
			continue // folded, or written by a collector that did not know of a restore
		}
		for ; next < seg.n; next++ {
			a.report.Gaps = append(a.report.Gaps, segmentKey(shard, s.totals.eraOf(next), next))
		}
		next = seg.n + 1
		for _, l := range seg.lines {
			a.countLine(l)
		}
	}
}

func (a *auditor) countLine(l Line) {
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
