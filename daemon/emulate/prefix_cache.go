package emulate

import (
	"container/list"
	"time"
)

// maxCacheEvents bounds the events that an engine keeps; older ones are gone,
// which a reader sees as a gap.
const maxCacheEvents = 4096

// Kinds of CacheEvent.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared"
)

// CacheEvent reports a change of an engine's prefix cache.
type CacheEvent struct {
	// Seq grows by one with each event of one epoch; a missing number is a gap.
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Hash is the PrefixHash of the entry; empty for CacheCleared.
	Hash string `json:"hash,omitempty"`
	at   time.Time
}

// prefixCache is an LRU set of prompt prefixes with a log of its changes. The
// engine's lock guards it.
type prefixCache struct {
	capacity int
	order    *list.List
	entries  map[string]*list.Element
	seq      uint64
	events   []CacheEvent
	// skip is the number of coming events that are lost.
	skip int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[string]*list.Element{}}
}

// use reports whether hash is in the cache, and puts it in front.
func (p *prefixCache) use(hash string, now time.Time) bool {
	if hash == "" || p.capacity <= 0 {
		return false
	}
	if el, ok := p.entries[hash]; ok {
		p.order.MoveToFront(el)
		return true
	}
	p.entries[hash] = p.order.PushFront(hash)
	p.log(CacheStored, hash, now)
	for p.order.Len() > p.capacity {
		p.evictOldest(now)
	}
	return false
}

func (p *prefixCache) evictOldest(now time.Time) {
	el := p.order.Back()
	hash := p.order.Remove(el).(string)
	delete(p.entries, hash)
	p.log(CacheRemoved, hash, now)
}

func (p *prefixCache) clear(now time.Time) {
	p.order.Init()
	clear(p.entries)
	p.log(CacheCleared, "", now)
}

func (p *prefixCache) log(kind, hash string, now time.Time) {
	p.seq++
	if p.skip > 0 {
		p.skip--
		return
	}
	p.events = append(p.events, CacheEvent{Seq: p.seq, Kind: kind, Hash: hash, at: now})
	if over := len(p.events) - maxCacheEvents; over > 0 {
		p.events = append(p.events[:0], p.events[over:]...)
	}
}

// after returns the events above seq that are older than delay.
func (p *prefixCache) after(seq uint64, now time.Time, delay time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, ev := range p.events {
		if ev.Seq > seq && now.Sub(ev.at) >= delay {
			out = append(out, ev)
		}
	}
	return out
}
