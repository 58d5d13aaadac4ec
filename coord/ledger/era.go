package ledger

import (
	"context"
	"errors"
	"fmt"

	"cactusknot.example/coord/kv"
)

// eraChanged reports whether the store has begun a new era since the log was started.
func (c *Collector) eraChanged() bool { return c.log != nil && c.cfg.Client.Era() != c.log.era }

// heardEra returns the latest era that the process has heard of.
func (c *Collector) heardEra() uint64 {
	era := c.cfg.Client.Era()
	if c.cfg.HeardEra != nil {
		era = max(era, c.cfg.HeardEra())
	}
	return era
}

// ObserveEra makes Run compare the log with the store after the process has heard of a new era.
func (c *Collector) ObserveEra() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// mustRestore reports whether lines that the collector has kept may be missing in the store.
func (c *Collector) mustRestore() bool {
	return len(c.toRestore.list) > 0 || len(c.kept.list) > 0 && c.heardEra() > c.era
}

// keepForRestore is called when a log is started. If the era is a new one, it moves the kept lines
// to those that have to be compared with the log, and delays folding like an outage does.
func (c *Collector) keepForRestore(era uint64) {
	if era == c.era {
		return
	}
	c.era = era
	for _, s := range c.kept.list {
		c.toRestore.add(s)
	}
	c.kept = keptSegments{}
	c.availability.since = c.cfg.Clock.Now()
}

// endRestore is called when all lines of the batch are stored or disputed.
func (c *Collector) endRestore(b *batch) {
	c.toRestore = keptSegments{}
	if b.rewritten > 0 && c.cfg.OnRestored != nil {
		c.cfg.OnRestored(b.era, b.rewritten)
	}
	b.rewritten = 0
}

// beginEra ends the log of the earlier era at its last segment that was read, so that segments
// which collectors write before they notice the restore are not counted. If another collector has
// done so first, the log is read again.
func (c *Collector) beginEra(ctx context.Context) error {
	t := c.log.totals
	t.pruneEras()
	t.Eras = append(append([]eraStart{}, t.Eras...), eraStart{Era: c.log.era, From: c.log.next()})
	id := c.cfg.Client.NewWriteID()
	value, err := encodeTotals(id, t)
	if err != nil {
		return err
	}
	e, err := c.cfg.Client.PutOnce(ctx, totalsKey(c.cfg.Shard), value, c.log.revision, 0, kv.MatchWriteID(id))
	c.observe(err)
	if c.eraChanged() || errors.Is(err, kv.ErrConflict) {
		c.log = nil
		return nil
	}
	if err != nil {
		c.log = nil // the write may have taken effect
		return fmt.Errorf("ledger: begin era: %w", err)
	}
	c.log.setTotals(t, e.Revision)
	return nil
}
