package ledger

import (
	"context"
	"errors"
	"fmt"

	"cactusknot.example/coord/kv"
)

// Fold adds the segments older than Retention to the totals and deletes them. A
// segment is folded only when this collector has known it for FoldGrace and the store
// has been available for as long, so that lines that could not be delivered during an
// outage do not become disputed. Run calls Fold.
func (c *Collector) Fold(ctx context.Context) error {
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	if err := c.ensureLoaded(ctx); err != nil {
		return err
	}
	// This read also updates the availability after an outage in which this
	// collector made no call.
	if err := c.refreshOrReset(ctx); err != nil || c.log == nil {
		return err
	}
	if err := c.deleteFolded(ctx); err != nil || c.eraChanged() {
		return err
	}
	now := c.cfg.Clock.Now()
	c.kept.prune(now)
	if now.Sub(c.availability.since) < c.cfg.FoldGrace {
		return nil
	}
	count := c.log.foldableCount(now, c.cfg)
	if count == 0 {
		return nil
	}
	if err := c.writeTotals(ctx, count); err != nil || c.log == nil {
		return err
	}
	return c.deleteFolded(ctx)
}

// writeTotals folds the first count segments. When another collector has folded
// first, it takes over the totals from the store.
func (c *Collector) writeTotals(ctx context.Context, count int) error {
	t := c.log.totalsAfterFold(count)
	id := c.cfg.Client.NewWriteID()
	value, err := encodeTotals(id, t)
	if err != nil {
		return err
	}
	e, err := c.cfg.Client.PutOnce(ctx, totalsKey(c.cfg.Shard), value, c.log.revision, 0, kv.MatchWriteID(id))
	c.observe(err)
	if c.eraChanged() {
		c.log = nil
		return nil
	}
	if errors.Is(err, kv.ErrConflict) {
		return c.refreshOrReset(ctx)
	}
	if err != nil {
		// If the write took effect nevertheless, the next one conflicts.
		return fmt.Errorf("ledger: write totals: %w", err)
	}
	for _, s := range c.log.segments[:count] {
		c.log.folded = append(c.log.folded, s.segmentRef)
	}
	c.log.setTotals(t, e.Revision)
	return nil
}

// deleteFolded deletes the segments after Cleaned up to Folded in ascending order,
// including those left behind by a crash. The next fold stores the new value of
// Cleaned.
func (c *Collector) deleteFolded(ctx context.Context) error {
	shard := c.log
	for shard.totals.Cleaned < shard.totals.Folded {
		n := shard.totals.Cleaned + 1
		for len(shard.folded) > 0 && shard.folded[0].n < n {
			shard.folded = shard.folded[1:]
		}
		rev := kv.Revision(0)
		if len(shard.folded) > 0 && shard.folded[0].n == n {
			rev = shard.folded[0].revision
		}
		if c.eraChanged() {
			return nil // the restored store may still count the segment
		}
		if err := c.deleteSegment(ctx, segmentKey(c.cfg.Shard, shard.totals.eraOf(n), n), rev); err != nil {
			return fmt.Errorf("ledger: delete segment %d: %w", n, err)
		}
		shard.totals.Cleaned = n
	}
	shard.folded = nil
	return nil
}

// deleteSegment deletes a folded segment. rev is its revision, or 0 if it has to
// be read first. A segment that another collector deletes concurrently counts as
// deleted.
func (c *Collector) deleteSegment(ctx context.Context, key string, rev kv.Revision) error {
	if rev == 0 {
		e, err := c.cfg.Client.Get(ctx, key)
		c.observe(err)
		if errors.Is(err, kv.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.eraChanged() {
			return nil
		}
		rev = e.Revision
	}
	err := c.cfg.Client.Delete(ctx, key, rev)
	c.observe(err)
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}
