package emulate

import (
	"container/list"
	"time"
)

// maxCacheEvents bounds the events that an engine keeps. Older events are dropped,
// which a reader detects as a gap.
const maxCacheEvents = 4096

// Kinds of CacheEvent.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared"
)

// CacheEvent reports a change of an engine's prefix cache.
type CacheEvent struct {
	// Seq grows by one with each event of an epoch; a missing number is a gap.
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Hash is the PrefixHash of the entry; empty for CacheCleared.
	Hash string `json:"hash,omitempty"`
	at   time.Time
}

// prefixCache is an LRU set of prompt prefixes with a log of its changes. It is
// guarded by the engine's lock.
type prefixCache struct {
	capacity int
	order    *list.List
	entries  map[string]*list.Element
	seq      uint64
	events   []CacheEvent
	// dropEvents is the number of upcoming events to drop.
	dropEvents int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[string]*list.Element{}}
}

// touch marks hash as the most recently used entry, adding it if necessary, and
// reports whether it was in the cache.
func (p *prefixCache) touch(hash string, now time.Time) bool {
	if hash == "" || p.capacity <= 0 {
		return false
	}
	if el, ok := p.entries[hash]; ok {
		p.order.MoveToFront(el)
		return true
	}
	p.entries[hash] = p.order.PushFront(hash)
	p.record(CacheStored, hash, now)
	for p.order.Len() > p.capacity {
		p.evictOldest(now)
	}
	return false
}

func (p *prefixCache) evictOldest(now time.Time) {
	el := p.order.Back()
	hash := p.order.Remove(el).(string)
	delete(p.entries, hash)
	p.record(CacheRemoved, hash, now)
}

func (p *prefixCache) clear(now time.Time) {
	p.order.Init()
	clear(p.entries)
	p.record(CacheCleared, "", now)
}

func (p *prefixCache) record(kind, hash string, now time.Time) {
	p.seq++
	if p.dropEvents > 0 {
		p.dropEvents--
		return
	}
	p.events = append(p.events, CacheEvent{Seq: p.seq, Kind: kind, Hash: hash, at: now})
	if over := len(p.events) - maxCacheEvents; over > 0 {
		p.events = append(p.events[:0], p.events[over:]...)
	}
}

// eventsAfter returns the events after seq whose age is at least delay.
func (p *prefixCache) eventsAfter(seq uint64, now time.Time, delay time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, ev := range p.events {
		if ev.Seq > seq && now.Sub(ev.at) >= delay {
			out = append(out, ev)
		}
	}
	return out
}
