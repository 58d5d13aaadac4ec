package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"cactusknot.example/coord/kv"
)

// Result is the outcome of a delivery. Lines in neither list remain with their
// holder, which must deliver them again.
type Result struct {
	// Stored are the identities that are in the store, whether from this delivery or
	// an earlier one.
	Stored []ID
	// Disputed are the identities whose line was put on the disputed list.
	Disputed []ID
	// Era is the era of the store for which the lists hold. A restore of the store that the
	// collector has not noticed may have taken the lines back.
	Era uint64
}

// Acknowledged returns all identities that the holder may discard.
func (r Result) Acknowledged() []ID {
	return append(append([]ID{}, r.Stored...), r.Disputed...)
}

// Collector writes the lines of one shard to a log of numbered segments in the
// store.
//
// Segment n is a key that is created, never overwritten, and only after all lower
// segments have been read and merged. If two collectors compete, one creates n and
// the other has to read n before it writes n+1. After each write and each read of a
// segment, the collector checks that n has not been folded yet. Without this check,
// a collector that was paused while another one wrote, folded and deleted n would
// create n a second time, and its lines would never be counted. Such a segment is
// ignored.
//
// Folding adds segments to the sums in the totals key and raises the watermark in
// that key to the highest completion time of the folded lines. Two lines of one
// identity complete within DedupWindow of each other, so a line that completed at or
// before watermark + DedupWindow may have an identity that is already in the sums.
// Unless the identity is in a segment that is not folded, such a line is put on the
// disputed list and not billed. Because the watermark is in the store, a collector
// that restarts without state makes the same decision.
//
// A restore of the store from an older copy begins a new era. The collector then reads
// the log again and stores the lines that it has kept and that the copy lacks. Since a
// collector may write a segment before it notices the restore, the segments of each era
// have their own keys. The first collector in an era reads the log of the copy to its end
// and adds the era with the number of its first segment to the totals, whose revision is
// the condition of that write. Segments that were written under the key of an earlier era
// and are not below that number are ignored by all collectors. After a restore, several
// collectors may have written under the keys of an earlier era. The first such segment that
// repeats an identity and all later ones are therefore ignored, too. A line counts as stored
// only if the era is the same from reading the log to the read of the totals after the write.
//
// The first stored line of an identity is kept, even when a line of a lower attempt
// arrives later. A Collector is safe for concurrent use.
type Collector struct {
	cfg  CollectorConfig
	wake chan struct{}

	mu          sync.Mutex
	queue       []*delivery
	queuedLines int

	// sem is a lock that protects the fields below, also during store calls. Unlike
	// a mutex it can be acquired with a context.
	sem          chan struct{}
	log          *shardLog // nil before the first read and when found to be stale
	loaded       bool      // log has been read to its end
	kept         keptSegments
	toRestore    keptSegments // kept in an earlier era and not yet compared with the log
	era          uint64       // of the latest log
	availability availability
}

// delivery is one call of Deliver. result and err are set before done is closed.
type delivery struct {
	lines  []Line
	result Result
	err    error
	done   chan struct{}
}

// NewCollector returns a Collector that reads the log at its first flush. Client and
// Clock must be set.
func NewCollector(cfg CollectorConfig) *Collector {
	return &Collector{
		cfg:  cfg.withDefaults(),
		wake: make(chan struct{}, 1),
		sem:  make(chan struct{}, 1),
	}
}

// Deliver queues lines and blocks until the next flush has processed them or ctx
// ends. The caller must not modify lines afterwards. Deliver returns
// ErrInvalidLine when a line is invalid and ErrBusy when too many lines are queued;
// in both cases no line is accepted. After other errors the result lists the lines
// that are in the store nevertheless.
func (c *Collector) Deliver(ctx context.Context, lines []Line) (Result, error) {
	for _, l := range lines {
		if err := l.Validate(); err != nil {
			return Result{}, err
		}
	}
	d := &delivery{lines: lines, done: make(chan struct{})}
	if !c.enqueue(d) {
		return Result{}, ErrBusy
	}
	select {
	case <-d.done:
		return d.result, d.err
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

// enqueue queues d and wakes Run. It returns false when too many lines are queued.
func (c *Collector) enqueue(d *delivery) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queuedLines+len(d.lines) > c.cfg.MaxQueuedLines {
		return false
	}
	c.queue = append(c.queue, d)
	c.queuedLines += len(d.lines)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// dequeueAll removes and returns all queued deliveries.
func (c *Collector) dequeueAll() []*delivery {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.queue
	c.queue = nil
	c.queuedLines = 0
	return out
}

// Run flushes and folds until ctx ends, and then returns ctx.Err(). Errors of the
// store are passed to report, if it is not nil, and to the callers of Deliver.
func (c *Collector) Run(ctx context.Context, report func(error)) error {
	if report == nil {
		report = func(error) {}
	}
	go c.wakePeriodically(ctx)
	folded := c.cfg.Clock.Now()
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.cfg.Clock.Sleep(ctx, c.cfg.BatchInterval); err != nil {
			return err
		}
		if err := c.Flush(ctx); err != nil {
			report(err)
		}
		now := c.cfg.Clock.Now()
		if now.Sub(folded) < c.cfg.FoldInterval {
			continue
		}
		folded = now
		if err := c.Fold(ctx); err != nil {
			report(err)
		}
	}
}

// wakePeriodically wakes Run every FoldInterval, so that it folds even when no lines
// arrive.
func (c *Collector) wakePeriodically(ctx context.Context) {
	for c.cfg.Clock.Sleep(ctx, c.cfg.FoldInterval) == nil {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// Flush stores all queued lines. Run calls it; it is exported for graceful shutdown.
func (c *Collector) Flush(ctx context.Context) error {
	if c.cfg.FlushSlots != nil {
		select {
		case c.cfg.FlushSlots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		defer func() { <-c.cfg.FlushSlots }()
	}
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	deliveries := c.dequeueAll()
	if len(deliveries) == 0 && !c.mustRestore() {
		return nil
	}
	b := newBatch(deliveries)
	err := c.storeBatch(ctx, b)
	for _, d := range deliveries {
		d.result = b.result(d.lines)
		d.err = err
		close(d.done)
	}
	if err != nil && c.mustRestore() {
		c.ObserveEra() // Run tries again after the batch interval
	}
	return err
}

// lock acquires sem.
func (c *Collector) lock(ctx context.Context) error {
	select {
	case c.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Collector) unlock() { <-c.sem }

// storeBatch stores or disputes the pending lines of b, one segment or one disputed
// list at a time.
func (c *Collector) storeBatch(ctx context.Context, b *batch) error {
	if c.log != nil && c.heardEra() > c.log.era {
		if err := c.refreshOrReset(ctx); err != nil {
			return err
		}
	}
	for {
		if err := c.ensureLoaded(ctx); err != nil {
			return err
		}
		if b.era != c.log.era {
			lines, err := c.toRestore.lines()
			if err != nil {
				return err
			}
			b.restart(c.log.era, lines)
		}
		pending, late := c.classify(b)
		if len(late) > 0 {
			if err := c.dispute(ctx, b, late); err != nil {
				return err
			}
			continue
		}
		if len(pending) == 0 {
			c.endRestore(b)
			return nil
		}
		if err := c.append(ctx, b, pending); err != nil {
			return err
		}
	}
}

// classify marks the lines whose identity is in the log as stored. Of the other
// lines it returns the first ones to write and the first ones to dispute, each up to
// the size of one segment.
func (c *Collector) classify(b *batch) (pending, late []Line) {
	latest := c.cfg.Clock.Now().Add(c.cfg.MaxSkew).UnixMilli()
	closed := c.log.totals.WatermarkMS + c.cfg.DedupWindow.Milliseconds()
	pendingBytes, lateBytes := 0, 0
	for _, id := range b.order {
		l, size := b.lines[id], maxEncodedSize(b.lines[id])
		switch {
		case b.state[id] != linePending:
		case c.log.has(id):
			b.state[id] = lineStored
		case l.CompletedMS > latest:
		case c.log.totals.Folded > 0 && l.CompletedMS <= closed:
			if lateBytes += size; lateBytes <= c.cfg.MaxBatchBytes || len(late) == 0 {
				late = append(late, l)
			}
		default:
			if pendingBytes += size; pendingBytes <= c.cfg.MaxBatchBytes || len(pending) == 0 {
				pending = append(pending, l)
			}
		}
	}
	return pending, late
}

// append writes lines as the next segment, or merges the segment that another
// collector has written under that number. It resets the log when the log turns out
// to be stale.
func (c *Collector) append(ctx context.Context, b *batch, lines []Line) error {
	n := c.log.next()
	id := c.cfg.Client.NewWriteID()
	writtenMS := c.cfg.Clock.Now().UnixMilli()
	value := kv.EncodeEnvelope(id, encodeLines(writtenMS, lines))
	key := segmentKey(c.cfg.Shard, c.log.totals.eraOf(n), n)
	e, err := c.cfg.Client.PutOnce(ctx, key, value, 0, 0, kv.MatchWriteID(id))
	c.observe(err)
	written := err == nil
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("ledger: write segment %d: %w", n, err)
	}
	if e.Revision == 0 {
		c.log = nil // another collector has written, folded and deleted the segment
		return nil
	}
	s, err := decodeSegment(n, e)
	if err != nil {
		return err
	}
	live, err := c.refresh(ctx, n)
	if err != nil {
		return err
	}
	if !live {
		if written && !c.eraChanged() {
			// Best effort: the segment is ignored and only takes up space. In a new era it
			// may be part of the log that another collector has read.
			_ = c.cfg.Client.Delete(ctx, e.Key, e.Revision)
		}
		c.log = nil
		return nil
	}
	c.kept.prune(c.cfg.Clock.Now())
	c.appendSegment(s)
	if written {
		b.setState(lines, lineStored)
		b.countRewritten(lines)
	}
	return nil
}

// appendSegment adds a segment to the log and keeps its lines if it is recent.
func (c *Collector) appendSegment(s segment) {
	now := c.cfg.Clock.Now()
	c.log.appendSegment(s, now, c.cfg.Checker)
	if s.writtenMS >= now.Add(-KeepFor).UnixMilli() {
		c.kept.add(keptSegment{s.key, s.encoded, now})
	}
}

// refresh reads the totals again and reports whether the log is current: segment n has not
// been folded and the store is in the era of the log.
func (c *Collector) refresh(ctx context.Context, n uint64) (bool, error) {
	t, rev, err := c.readTotals(ctx)
	if err != nil {
		return false, err
	}
	if t.Folded >= n || c.eraChanged() || t.lastEra() != c.log.totals.lastEra() {
		return false, nil
	}
	c.log.setTotals(t, rev)
	return true, nil
}

func (c *Collector) readTotals(ctx context.Context) (totals, kv.Revision, error) {
	e, err := c.cfg.Client.Get(ctx, totalsKey(c.cfg.Shard))
	c.observe(err)
	if errors.Is(err, kv.ErrNotFound) {
		return totals{}, 0, nil
	}
	if err != nil {
		return totals{}, 0, fmt.Errorf("ledger: read totals: %w", err)
	}
	t, err := decodeTotals(e.Value)
	return t, e.Revision, err
}

// refreshOrReset reads the totals again and resets the log when it is stale, so that
// the next ensureLoaded reads it from the start.
func (c *Collector) refreshOrReset(ctx context.Context) error {
	live, err := c.refresh(ctx, c.log.next())
	if err == nil && !live {
		c.log = nil
	}
	return err
}

// ensureLoaded reads the totals and all segments that are not folded. What was read
// before a failure is kept for the next call, because the call budget may not suffice
// to read a long log in one go. The totals are read again at the end, since segments
// that have been folded in the meantime must be ignored.
func (c *Collector) ensureLoaded(ctx context.Context) error {
	if c.log != nil && c.eraChanged() {
		c.log = nil
	}
	for c.log == nil || !c.loaded {
		if c.log == nil {
			if err := c.startLog(ctx); err != nil {
				return err
			}
		}
		if err := c.readSegments(ctx); err != nil {
			return err
		}
		if c.log == nil {
			continue
		}
		if err := c.refreshOrReset(ctx); err != nil {
			return err
		}
		switch {
		case c.log == nil:
		case c.log.totals.lastEra() < c.log.era:
			if err := c.beginEra(ctx); err != nil {
				return err
			}
		default:
			c.loaded = true
		}
	}
	return nil
}

// startLog replaces the log by an empty one with the current totals.
func (c *Collector) startLog(ctx context.Context) error {
	c.loaded = false
	for {
		era := c.cfg.Client.Era()
		t, rev, err := c.readTotals(ctx)
		if err != nil {
			return err
		}
		if c.cfg.Client.Era() == era {
			c.log = newShardLog(era, t, rev)
			c.keepForRestore(era)
			return nil
		}
	}
}

// readSegments merges all segments from next() on. Each list call returns up to ten
// segments, those whose numbers differ in the last digit only.
func (c *Collector) readSegments(ctx context.Context) error {
	for {
		n := c.log.next()
		key := c.nextKey()
		entries, err := c.cfg.Client.List(ctx, key[:len(key)-1])
		c.observe(err)
		if err != nil {
			return fmt.Errorf("ledger: read segments from %d: %w", n, err)
		}
		if c.eraChanged() {
			c.log = nil
			return nil
		}
		for _, e := range entries {
			if e.Key != c.nextKey() {
				continue // already folded, after a segment that was just folded, or of an ended era
			}
			s, err := decodeSegment(c.log.next(), e)
			if err != nil {
				return err
			}
			if c.log.totals.lastEra() < c.log.era && c.log.overlaps(s) {
				return nil // beginEra ends the earlier era before this segment
			}
			c.appendSegment(s)
		}
		next := c.log.next()
		if next == n || next/10 == n/10 && c.log.totals.eraOf(next) == c.log.totals.eraOf(n) {
			return nil
		}
	}
}

// nextKey returns the key of the next segment to read.
func (c *Collector) nextKey() string {
	n := c.log.next()
	return segmentKey(c.cfg.Shard, c.log.totals.eraOf(n), n)
}

// dispute writes a disputed list with the given lines. Its key contains the digest
// of the lines, so that a retry after a crash writes the same key.
func (c *Collector) dispute(ctx context.Context, b *batch, lines []Line) error {
	value := encodeLines(0, lines)
	digest := sha256.Sum256(value)
	key := disputedKey(c.cfg.Shard, hex.EncodeToString(digest[:]))
	_, err := c.cfg.Client.PutOnce(ctx, key, value, 0, 0, kv.MatchValue(value))
	c.observe(err)
	if err != nil {
		return fmt.Errorf("ledger: write disputed lines: %w", err)
	}
	if c.eraChanged() {
		c.log = nil
		return nil
	}
	b.setState(lines, lineDisputed)
	return nil
}

// observe updates the availability of the store with the result of a call.
func (c *Collector) observe(err error) {
	c.availability.observe(err, c.cfg.Clock.Now(), c.cfg.OutageThreshold)
}

// availability tracks how long the store has been available without an outage.
type availability struct {
	since  time.Time // start of the current period without an outage; zero: no response yet
	failed time.Time // first failure since the last response; zero: none
}

func (a *availability) observe(err error, now time.Time, outageThreshold time.Duration) {
	responded := err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict)
	if !responded {
		if a.failed.IsZero() {
			a.failed = now
		}
		return
	}
	if a.since.IsZero() || (!a.failed.IsZero() && now.Sub(a.failed) > outageThreshold) {
		a.since = now
	}
	a.failed = time.Time{}
}
