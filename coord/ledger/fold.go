package ledger

import (
	"context"
	"errors"
	"fmt"

	"cactusknot.example/coord/kv"
)

// Fold adds the segments older than the retention window to the totals and
// deletes them. A segment is folded only when this collector has known it for
// FoldGrace and the store has answered for as long, so that lines that waited
// for the end of an outage do not become disputed. Run calls it.
func (c *Collector) Fold(ctx context.Context) error {
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	if err := c.ensureLoaded(ctx); err != nil {
		return err
	}
	// Also shows the end of an outage in which this collector made no call.
	if err := c.refreshOrDrop(ctx); err != nil || c.log == nil {
		return err
	}
	if err := c.sweep(ctx); err != nil {
		return err
	}
	now := c.cfg.Clock.Now()
	if now.Sub(c.contact.since) < c.cfg.FoldGrace {
		return nil
	}
	count := c.log.foldable(now, c.cfg)
	if count == 0 {
		return nil
	}
	if err := c.writeTotals(ctx, count); err != nil || c.log == nil {
		return err
	}
	return c.sweep(ctx)
}

// writeTotals folds the first count segments, or takes over the totals when
// another collector has folded first.
func (c *Collector) writeTotals(ctx context.Context, count int) error {
	t := c.log.foldedBy(count)
	id := c.cfg.Client.NewWriteID()
	value, err := encodeTotals(id, t)
	if err != nil {
		return err
	}
	e, err := c.cfg.Client.PutOnce(ctx, totalsKey(c.cfg.Shard), value, c.log.revision, 0, kv.MatchWriteID(id))
	c.note(err)
	if errors.Is(err, kv.ErrConflict) {
		return c.refreshOrDrop(ctx)
	}
	if err != nil {
		// When the write took effect all the same, the next one conflicts.
		return fmt.Errorf("ledger: write totals: %w", err)
	}
	for _, s := range c.log.segments[:count] {
		c.log.folded = append(c.log.folded, s.segmentRef)
	}
	c.log.adopt(t, e.Revision)
	return nil
}

// sweep deletes folded segments, in order. Those that a crash left behind are
// found by the gap between Cleaned and Folded; the next fold stores Cleaned.
func (c *Collector) sweep(ctx context.Context) error {
	g := c.log
	for g.totals.Cleaned < g.totals.Folded {
		n := g.totals.Cleaned + 1
		for len(g.folded) > 0 && g.folded[0].n < n {
			g.folded = g.folded[1:]
		}
		rev := kv.Revision(0)
		if len(g.folded) > 0 && g.folded[0].n == n {
			rev = g.folded[0].revision
		}
		if err := c.remove(ctx, n, rev); err != nil {
			return fmt.Errorf("ledger: delete segment %d: %w", n, err)
		}
		g.totals.Cleaned = n
	}
	g.folded = nil
	return nil
}

// remove deletes folded segment n, whose revision may be known. A key that
// another collector deletes at the same time is as good as deleted.
func (c *Collector) remove(ctx context.Context, n uint64, rev kv.Revision) error {
	key := segmentKey(c.cfg.Shard, n)
	if rev == 0 {
		e, err := c.cfg.Client.Get(ctx, key)
		c.note(err)
		if errors.Is(err, kv.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		rev = e.Revision
	}
	err := c.cfg.Client.Delete(ctx, key, rev)
	c.note(err)
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}
