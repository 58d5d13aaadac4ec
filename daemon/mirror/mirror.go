// Package mirror keeps a copy of the store's keys with their revisions. It merges
// changes that the store and peers report and never replaces an entry by an older one,
// so changes may arrive in any order and more than once.
package mirror

import (
	"sync"

	"cactusknot.example/coord/kv"
)

// maxTombstones bounds the number of deleted keys that are remembered. A peer that asks
// for changes older than the dropped ones gets the complete copy instead.
const maxTombstones = 4096

// Change is an entry as it was written, or the deletion of a key.
type Change struct {
	kv.Entry
	Deleted bool
}

// Mirror is a copy of a part of the store. It is safe for concurrent use.
type Mirror struct {
	mu sync.Mutex
	// at is the revision up to which the copy is complete.
	at      kv.Revision
	entries map[string]Change
	deleted int
	// compacted is the highest revision of a dropped tombstone.
	compacted kv.Revision
	// newest is the highest revision of an entry; changed is closed when it grows.
	newest  kv.Revision
	changed chan struct{}
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{entries: make(map[string]Change), changed: make(chan struct{})} }

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// Apply merges changes that lead up to revision at and returns those that changed the
// copy.
func (m *Mirror) Apply(changes []Change, at kv.Revision) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var applied []Change
	for _, c := range changes {
		if m.put(c) {
			applied = append(applied, c)
		}
	}
	m.at = max(m.at, at)
	for _, c := range applied {
		m.newest = max(m.newest, c.Revision)
	}
	if len(applied) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return applied
}

// put merges one change and reports whether it changed the copy.
func (m *Mirror) put(c Change) bool {
	current, known := m.entries[c.Key]
	if known && current.Revision >= c.Revision {
		return false
	}
	if c.Revision <= m.compacted && !known {
		return false
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
	return true
}

// dropTombstones drops all tombstones.
func (m *Mirror) dropTombstones() {
	for key, c := range m.entries {
		if c.Deleted {
			m.compacted = max(m.compacted, c.Revision)
			delete(m.entries, key)
		}
	}
	m.deleted = 0
}

// Reset merges a complete listing that was read at revision at or later: keys that it
// lacks and that were last changed at or before revision at are deleted. It returns the
// changes that changed the copy.
func (m *Mirror) Reset(listing []kv.Entry, at kv.Revision) []Change {
	present := make(map[string]bool, len(listing))
	changes := make([]Change, 0, len(listing))
	for _, e := range listing {
		present[e.Key] = true
		changes = append(changes, Change{Entry: e})
	}
	m.mu.Lock()
	for key, c := range m.entries {
		if !present[key] && !c.Deleted && c.Revision <= at {
			changes = append(changes, Change{Entry: kv.Entry{Key: key, Revision: at}, Deleted: true})
		}
	}
	m.mu.Unlock()
	return m.Apply(changes, at)
}

// ChangesSince returns the changes after revision after and the revision that they lead
// up to. complete is set if they are the whole copy rather than a difference.
func (m *Mirror) ChangesSince(after kv.Revision) (changes []Change, at kv.Revision, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	complete = after < m.compacted || after == 0
	for _, c := range m.entries {
		if complete && !c.Deleted || !complete && c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, m.at, complete
}

// Changed returns a channel that is closed once an entry has changed after the revision.
func (m *Mirror) Changed(after kv.Revision) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest > after {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return m.changed
}

// Get returns the entry of key; ok is false if the key does not exist.
func (m *Mirror) Get(key string) (entry kv.Entry, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, known := m.entries[key]
	return c.Entry, known && !c.Deleted
}
