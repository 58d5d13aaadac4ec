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

// Result says what became of delivered lines. Lines in neither list stay with
// their holder, which delivers them again.
type Result struct {
	// Stored are the identities that are in the store, through this or an
	// earlier line.
	Stored []ID
	// Disputed are the identities whose line is on the disputed list.
	Disputed []ID
}

// Acknowledged returns all identities that the holder may forget.
func (r Result) Acknowledged() []ID {
	return append(append([]ID{}, r.Stored...), r.Disputed...)
}

// Collector writes the lines of one shard to a log of segments in the store.
//
// Segment n is a create-only key that is written only after all lower segments
// were read and merged, so that of two collectors one writes n and the other
// reads it first. After each write, and after each read of a segment, the
// collector checks that n is not folded yet: a collector that was paused while
// n was written by another one, folded and deleted would otherwise create n a
// second time, where nobody counts it. Such a segment is without meaning.
//
// Folding adds segments to the sums in the totals key and raises the watermark
// there to the highest completion time of the folded lines. Two lines of one
// identity complete within IdentitySpan of each other, so a line completed at
// or before watermark + IdentitySpan may belong to an identity that is in the
// sums: unless the identity is in a segment that is still there, the line goes
// to the disputed list and is not billed. The watermark is in the store, so a
// collector that restarts with an empty memory decides in the same way.
//
// The first line of an identity in the store stays, also when a lower attempt
// arrives later. A Collector is safe for concurrent use.
type Collector struct {
	cfg  CollectorConfig
	wake chan struct{}

	mu       sync.Mutex
	waiting  []*delivery
	nWaiting int

	// turn is held by whoever uses the fields below, across store calls.
	turn    chan struct{}
	log     *shardLog // nil before the first read and when found stale
	loaded  bool      // log has been read to its end
	contact contact
}

// delivery is one call of Deliver. result and err are written before done is
// closed.
type delivery struct {
	lines  []Line
	result Result
	err    error
	done   chan struct{}
}

// NewCollector returns a Collector that reads the log at its first flush. Client
// and Clock must be set.
func NewCollector(cfg CollectorConfig) *Collector {
	return &Collector{
		cfg:  cfg.withDefaults(),
		wake: make(chan struct{}, 1),
		turn: make(chan struct{}, 1),
	}
}

// Deliver hands lines over and blocks until the next flush has dealt with them
// or ctx ends; lines must not be changed afterwards. It returns ErrLine when a line is not valid and ErrBusy when too
// many lines wait; then no line was taken. After other errors the result lists
// the lines that are in the store all the same.
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

func (c *Collector) enqueue(d *delivery) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nWaiting+len(d.lines) > c.cfg.MaxWaiting {
		return false
	}
	c.waiting = append(c.waiting, d)
	c.nWaiting += len(d.lines)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

func (c *Collector) take() []*delivery {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.waiting
	c.waiting = nil
	c.nWaiting = 0
	return out
}

// Run flushes and folds until ctx ends and returns ctx.Err(). Errors of the
// store are passed to report (nil: ignored) and to the callers of Deliver.
func (c *Collector) Run(ctx context.Context, report func(error)) error {
	if report == nil {
		report = func(error) {}
	}
	go c.tick(ctx)
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

// tick wakes Run for folding when no lines arrive.
func (c *Collector) tick(ctx context.Context) {
	for c.cfg.Clock.Sleep(ctx, c.cfg.FoldInterval) == nil {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// Flush stores all waiting lines. Run calls it; it is exported for planned stops.
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
	deliveries := c.take()
	if len(deliveries) == 0 {
		return nil
	}
	b := newBatch(deliveries)
	err := c.store(ctx, b)
	for _, d := range deliveries {
		d.result = b.result(d.lines)
		d.err = err
		close(d.done)
	}
	return err
}

func (c *Collector) lock(ctx context.Context) error {
	select {
	case c.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Collector) unlock() { <-c.turn }

// store writes the open lines of b, one segment at a time.
func (c *Collector) store(ctx context.Context, b *batch) error {
	for {
		if err := c.ensureLoaded(ctx); err != nil {
			return err
		}
		open, late := c.sort(b)
		if len(late) > 0 {
			if err := c.dispute(ctx, b, late); err != nil {
				return err
			}
			continue
		}
		if len(open) == 0 {
			return nil
		}
		if err := c.append(ctx, b, open); err != nil {
			return err
		}
	}
}

// sort settles the lines whose identity is in the log and returns the first
// lines to write and the lines to dispute, each within the size of one value.
func (c *Collector) sort(b *batch) (open, late []Line) {
	latest := c.cfg.Clock.Now().Add(c.cfg.MaxSkew).UnixMilli()
	closed := c.log.totals.WatermarkMS + c.cfg.IdentitySpan.Milliseconds()
	openBytes, lateBytes := 0, 0
	for _, id := range b.order {
		l, size := b.lines[id], encodedBound(b.lines[id])
		switch {
		case b.state[id] != lineOpen:
		case c.log.has(id):
			b.state[id] = lineStored
		case l.CompletedMS > latest:
		case c.log.totals.Folded > 0 && l.CompletedMS <= closed:
			if lateBytes += size; lateBytes <= c.cfg.MaxBatchBytes || len(late) == 0 {
				late = append(late, l)
			}
		default:
			if openBytes += size; openBytes <= c.cfg.MaxBatchBytes || len(open) == 0 {
				open = append(open, l)
			}
		}
	}
	return open, late
}

// append writes lines as the next segment, or merges the segment that another
// collector wrote there. A log that turns out to be stale is dropped.
func (c *Collector) append(ctx context.Context, b *batch, lines []Line) error {
	n := c.log.next()
	id := c.cfg.Client.NewWriteID()
	written := c.cfg.Clock.Now().UnixMilli()
	value := kv.EncodeEnvelope(id, encodeLines(written, lines))
	e, err := c.cfg.Client.PutOnce(ctx, segmentKey(c.cfg.Shard, n), value, 0, 0, kv.MatchWriteID(id))
	c.note(err)
	mine := err == nil
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("ledger: write segment %d: %w", n, err)
	}
	if e.Revision == 0 {
		c.log = nil // another collector has written, folded and deleted it
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
		if mine {
			// Best effort: the key has no meaning, it only takes up room.
			_ = c.cfg.Client.Delete(ctx, e.Key, e.Revision)
		}
		c.log = nil
		return nil
	}
	c.log.merge(s, c.cfg.Clock.Now(), c.cfg.Checker)
	if mine {
		b.settle(lines, lineStored)
	}
	return nil
}

// refresh reads the totals again and reports whether segment n is not folded.
func (c *Collector) refresh(ctx context.Context, n uint64) (bool, error) {
	t, rev, err := c.readTotals(ctx)
	if err != nil {
		return false, err
	}
	if t.Folded >= n {
		return false, nil
	}
	c.log.adopt(t, rev)
	return true, nil
}

func (c *Collector) readTotals(ctx context.Context) (totals, kv.Revision, error) {
	e, err := c.cfg.Client.Get(ctx, totalsKey(c.cfg.Shard))
	c.note(err)
	if errors.Is(err, kv.ErrNotFound) {
		return totals{}, 0, nil
	}
	if err != nil {
		return totals{}, 0, fmt.Errorf("ledger: read totals: %w", err)
	}
	t, err := decodeTotals(e.Value)
	return t, e.Revision, err
}

// refreshOrDrop reads the totals again and drops the log when it is stale.
func (c *Collector) refreshOrDrop(ctx context.Context) error {
	live, err := c.refresh(ctx, c.log.next())
	if err == nil && !live {
		c.log = nil
	}
	return err
}

// ensureLoaded reads the totals and all segments above them. What was read
// before a failure is kept for the next call, because the call budget may not
// allow to read a long log at once. The totals are read again at the end, since
// only segments above them have a meaning.
func (c *Collector) ensureLoaded(ctx context.Context) error {
	for c.log == nil || !c.loaded {
		if c.log == nil {
			t, rev, err := c.readTotals(ctx)
			if err != nil {
				return err
			}
			c.log = newShardLog(t, rev)
			c.loaded = false
		}
		if err := c.readSegments(ctx); err != nil {
			return err
		}
		if err := c.refreshOrDrop(ctx); err != nil {
			return err
		}
		c.loaded = c.log != nil
	}
	return nil
}

// readSegments merges all segments from next() on. It lists the ten segments
// whose numbers differ in the last digit with one call.
func (c *Collector) readSegments(ctx context.Context) error {
	for {
		n := c.log.next()
		key := segmentKey(c.cfg.Shard, n)
		entries, err := c.cfg.Client.List(ctx, key[:len(key)-1])
		c.note(err)
		if err != nil {
			return fmt.Errorf("ledger: read segments from %d: %w", n, err)
		}
		for _, e := range entries {
			if e.Key != segmentKey(c.cfg.Shard, c.log.next()) {
				continue // below the totals, or above a segment just folded
			}
			s, err := decodeSegment(c.log.next(), e)
			if err != nil {
				return err
			}
			c.log.merge(s, c.cfg.Clock.Now(), c.cfg.Checker)
		}
		if c.log.next()/10 == n/10 {
			return nil
		}
	}
}

// dispute puts lines on the disputed list. The key is the digest of the lines,
// so that a repeat after a crash finds the same key.
func (c *Collector) dispute(ctx context.Context, b *batch, lines []Line) error {
	value := encodeLines(0, lines)
	digest := sha256.Sum256(value)
	key := disputedKey(c.cfg.Shard, hex.EncodeToString(digest[:]))
	_, err := c.cfg.Client.PutOnce(ctx, key, value, 0, 0, kv.MatchValue(value))
	c.note(err)
	if err != nil {
		return fmt.Errorf("ledger: write disputed lines: %w", err)
	}
	b.settle(lines, lineDisputed)
	return nil
}

func (c *Collector) note(err error) { c.contact.note(err, c.cfg.Clock.Now(), c.cfg.ContactGap) }

// contact tracks since when the store has answered without an outage.
type contact struct {
	since  time.Time // zero: no contact yet
	failed time.Time // first failure since the last success; zero: none
}

func (c *contact) note(err error, now time.Time, gap time.Duration) {
	answered := err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict)
	if !answered {
		if c.failed.IsZero() {
			c.failed = now
		}
		return
	}
	if c.since.IsZero() || (!c.failed.IsZero() && now.Sub(c.failed) > gap) {
		c.since = now
	}
	c.failed = time.Time{}
}
