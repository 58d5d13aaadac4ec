package agent

import (
	"slices"
	"sync"
)

// maxPrefixes limits the prefix hashes that an agent reports, to 64 bytes per
// exchange.
const maxPrefixes = 8

// prefixCache tracks the prompt prefixes of the most recent requests, as an
// estimate of the engine's prefix cache. The engine's own cache events arrive late
// and with gaps, while completions are known immediately. An engine restart clears
// both.
type prefixCache struct {
	mu     sync.Mutex
	hashes []uint64
}

// touch moves the hash to the front of the list.
func (p *prefixCache) touch(hash uint64) {
	if hash == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.hashes, hash); i >= 0 {
		p.hashes = slices.Delete(p.hashes, i, i+1)
	}
	p.hashes = slices.Insert(p.hashes, 0, hash)
	p.hashes = p.hashes[:min(len(p.hashes), maxPrefixes)]
}

// clear removes all hashes, after a restart of the engine.
func (p *prefixCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hashes = nil
}

// list returns the hashes, most recent first.
func (p *prefixCache) list() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hashes)
}
