package kv

import (
	"maps"
	"time"
)

// Backup is a copy of the content of a MemoryStore.
type Backup struct {
	revision Revision
	nextID   LeaseID
	entries  map[string]Entry
	leases   map[LeaseID]time.Duration
}

// Backup returns a copy of the content.
func (m *MemoryStore) Backup() *Backup {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	b := &Backup{revision: m.revision, nextID: m.nextID, entries: maps.Clone(m.entries), leases: make(map[LeaseID]time.Duration)}
	for id, l := range m.leases {
		b.leases[id] = l.ttl
	}
	return b
}

// Restore replaces the content by a copy and begins a new era: what was written since is
// gone, and its revisions and lease IDs are given out again. Leases of the copy run anew.
// Watches that wait see the restored content.
func (m *MemoryStore) Restore(b *Backup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.nextID, m.entries = b.revision, b.nextID, maps.Clone(b.entries)
	m.leases = make(map[LeaseID]*leaseState)
	for id, ttl := range b.leases {
		m.leases[id] = &leaseState{ttl: ttl, expires: m.clock.Now().Add(ttl), keys: make(map[string]struct{})}
	}
	for key, e := range m.entries {
		if l := m.leases[e.Lease]; l != nil {
			l.keys[key] = struct{}{}
		}
	}
	m.notifyAllWatches()
}

// Era returns the number of restores so far.
func (m *MemoryStore) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}
