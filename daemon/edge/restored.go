package edge

import (
	"maps"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
)

const (
	// removedServerHold is how long after a restore of the store a server is not used that
	// was removed before and is listed again. If it is gone, its entry ends in this time.
	removedServerHold = 10 * time.Second
	// removedServerMemory is how long removed servers are remembered. It exceeds the age of
	// the copies from which the store is restored.
	removedServerMemory = time.Minute
)

// restoreDoubts are changes that a restored copy of the store suggests and that may be due to
// its age alone: what the operators and the backend servers wrote since is written again in a
// bounded time. Only the control loop uses it.
type restoreDoubts struct {
	// deferred holds the keys whose content is taken over later, with the time.
	deferred map[string]time.Time
	// removedAt holds when servers were removed, by ID.
	removedAt map[string]time.Time
}

// settle drops the doubt on a key: it was written after the restore.
func (d *restoreDoubts) settle(key string) { delete(d.deferred, key) }

func (d *restoreDoubts) noteRemoval(id string, at time.Time) {
	if d.removedAt == nil {
		d.removedAt = make(map[string]time.Time)
	}
	d.removedAt[id] = at
}

func (d *restoreDoubts) wasRemoved(id string) bool {
	_, ok := d.removedAt[id]
	return ok
}

func (d *restoreDoubts) prune(now time.Time) {
	maps.DeleteFunc(d.removedAt, func(_ string, at time.Time) bool { return now.Sub(at) > removedServerMemory })
}

// deferChange decides whether a change of a restored copy is taken over later. That is so for
// evacuations that contradict what this router knows, and for servers that were removed.
// Servers that the copy lacks are kept for as long by mergeServerRemoval.
func (c *controller) deferChange(change mirror.Change, now time.Time) bool {
	var wait time.Duration
	if dataCentre, ok := c.edge.settings.Decoder.Evacuation(change.Entry); ok && c.evacuations[dataCentre] == change.Deleted {
		// The hold on vanished entries ends before this router counts as in touch.
		wait = min(reregistrationGrace, c.contact.hold().Sub(now))
	}
	if id, ok := c.edge.settings.Decoder.ServerID(change.Key); ok && !change.Deleted && c.restored.wasRemoved(id) {
		wait = removedServerHold
	}
	if wait <= 0 {
		return false
	}
	if c.restored.deferred == nil {
		c.restored.deferred = make(map[string]time.Time)
	}
	c.restored.deferred[change.Key] = now.Add(wait)
	c.edge.log.Info().Str("key", change.Key).Bool("deleted", change.Deleted).Stringer("position", change.Position()).
		Dur("wait_ms", wait).Msg("change of the restored store deferred")
	return true
}

// mergeDeferred takes over the deferred changes that are due and still hold.
func (c *controller) mergeDeferred(now time.Time) {
	for key, due := range c.restored.deferred {
		if now.Before(due) {
			continue
		}
		delete(c.restored.deferred, key)
		entry, ok := c.edge.mirror.Get(key)
		if !ok {
			entry = kv.Entry{Key: key}
		}
		c.merge(mirror.Change{Entry: entry, Era: c.mergedEra, Deleted: !ok}, changeBatch{receivedAt: now})
		c.dirty = true
	}
}
