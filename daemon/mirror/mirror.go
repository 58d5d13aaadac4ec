// Package mirror keeps a copy of the store's keys with their positions. It merges
// changes that the store and peers report and never replaces an entry by an older one,
// so changes may arrive in any order and more than once. A store that was restored from an
// older copy begins a new era; the mirror enters it with a complete listing of that era.
package mirror

import (
	"sync"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/content"
)

// maxTombstones bounds the number of deleted keys that are remembered. A peer that asks
// for changes older than the dropped ones gets the complete copy instead.
const maxTombstones = 4096

// Change is an entry as it was written, or the deletion of a key.
type Change struct {
	kv.Entry
	// Era is the store's era of the entry's revision.
	Era     uint64
	Deleted bool
	// Content names the value if it is large; zero otherwise. The value itself may then be
	// missing.
	Content content.Ref
}

// Missing reports whether the value is named but not known.
func (c Change) Missing() bool { return c.Content != (content.Ref{}) && c.Value == nil }

// named returns the change with the name of its value.
func (c Change) named() Change {
	if c.Content == (content.Ref{}) {
		c.Content = content.RefOf(c.Value)
	}
	return c
}

// Position returns the position of the change.
func (c Change) Position() kv.Position { return kv.Position{Era: c.Era, Revision: c.Revision} }

// Mirror is a copy of a part of the store. It is safe for concurrent use.
type Mirror struct {
	mu sync.Mutex
	// at is the position up to which the copy is complete.
	at      kv.Position
	entries map[string]Change
	deleted int
	// compacted is the position up to which deletions are unknown: that of the latest listing
	// or of the latest dropped tombstone.
	compacted kv.Position
	// newest is the latest position of an entry; changed is closed when it grows.
	newest  kv.Position
	changed chan struct{}
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{entries: make(map[string]Change), changed: make(chan struct{})} }

// Position returns the position up to which the copy is complete.
func (m *Mirror) Position() kv.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// Apply merges changes that lead up to position at and returns those that changed the
// copy, but for those whose value is missing: Resolve returns these. Changes of another era than the copy's are ignored: those of an older one are
// void, and a newer one is entered by Reset.
func (m *Mirror) Apply(changes []Change, at kv.Position) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Era != m.at.Era {
		return nil
	}
	return m.apply(changes, at)
}

// apply merges changes; the caller holds the lock.
func (m *Mirror) apply(changes []Change, at kv.Position) []Change {
	var applied []Change
	changed := false
	for _, c := range changes {
		c, ok := m.put(c.named())
		if !ok {
			continue
		}
		changed = true
		m.newest = latest(m.newest, c.Position())
		if !c.Missing() {
			applied = append(applied, c)
		}
	}
	m.at = latest(m.at, at)
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return applied
}

// Missing returns the entries whose values are missing.
func (m *Mirror) Missing() []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var missing []Change
	for _, c := range m.entries {
		if c.Missing() {
			missing = append(missing, c)
		}
	}
	return missing
}

// Resolve sets the value of the entries that name it and returns their changes.
func (m *Mirror) Resolve(ref content.Ref, value []byte) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var resolved []Change
	for key, c := range m.entries {
		if c.Missing() && c.Content == ref {
			c.Value = value
			m.entries[key] = c
			resolved = append(resolved, c)
		}
	}
	return resolved
}

func latest(a, b kv.Position) kv.Position {
	if a.After(b) {
		return a
	}
	return b
}

// put merges one change and reports whether it changed the copy. It returns the change with its
// value, if the copy held the value already.
func (m *Mirror) put(c Change) (merged Change, changed bool) {
	current, known := m.entries[c.Key]
	brings := current.Missing() && !c.Missing() && c.Position() == current.Position()
	if known && !c.Position().After(current.Position()) && !brings {
		return c, false
	}
	if (!known || current.Deleted) && !c.Position().After(m.compacted) {
		return c, false
	}
	if c.Missing() && c.Content == current.Content {
		c.Value = current.Value
	}
	if known && current.Deleted {
		m.deleted--
	}
	if c.Deleted {
		m.deleted++
	}
	m.entries[c.Key] = c
	if m.deleted > maxTombstones {
		m.dropTombstones()
	}
	return c, true
}

// dropTombstones drops all tombstones.
func (m *Mirror) dropTombstones() {
	for key, c := range m.entries {
		if c.Deleted {
			m.compacted = latest(m.compacted, c.Position())
			delete(m.entries, key)
		}
	}
	m.deleted = 0
}

// Reset merges a complete listing that was read at position at or later: keys that it
// lacks and that were last changed at or before position at are deleted. It returns the
// changes that changed the copy. A listing of an older era than the copy's is ignored; one
// of a newer era changes every entry, if only in its position.
func (m *Mirror) Reset(listing []kv.Entry, at kv.Position) []Change {
	changes := make([]Change, 0, len(listing))
	for _, e := range listing {
		changes = append(changes, Change{Entry: e, Era: at.Era})
	}
	return m.ResetTo(changes, at)
}

// ResetTo is Reset for a complete copy, of the era of at, in which values may be missing.
func (m *Mirror) ResetTo(changes []Change, at kv.Position) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Era < m.at.Era {
		return nil
	}
	present := make(map[string]bool, len(changes))
	for _, c := range changes {
		present[c.Key] = true
	}
	for key, c := range m.entries {
		if !present[key] && !c.Deleted && !c.Position().After(at) {
			changes = append(changes, Change{Entry: kv.Entry{Key: key, Revision: at.Revision}, Era: at.Era, Deleted: true})
		}
	}
	applied := m.apply(changes, at)
	m.compacted = latest(m.compacted, at)
	return applied
}

// ChangesSince returns the changes after a position and the position that they lead up
// to. complete is set if they are the whole copy rather than a difference. If the copy is of
// an older era than the position, there are no changes.
func (m *Mirror) ChangesSince(after kv.Position) (changes []Change, at kv.Position, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Era > m.at.Era {
		return nil, m.at, false
	}
	complete = m.compacted.After(after) || after.Revision == 0 || after.Era < m.at.Era
	for _, c := range m.entries {
		if complete && !c.Deleted || !complete && c.Position().After(after) {
			changes = append(changes, c)
		}
	}
	return changes, m.at, complete
}

// Changed returns a channel that is closed once an entry has changed after the position.
func (m *Mirror) Changed(after kv.Position) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest.After(after) {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return m.changed
}

// Get returns the entry of key; ok is false if the key does not exist. The value of a large entry
// may be missing.
func (m *Mirror) Get(key string) (entry kv.Entry, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, known := m.entries[key]
	return c.Entry, known && !c.Deleted
}
