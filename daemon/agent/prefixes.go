package agent

import (
	"slices"
	"sync"
)

// maxPrefixes bounds the prefix hashes that an agent reports: 64 bytes an exchange.
const maxPrefixes = 8

// prefixCache remembers the prompt prefixes that the engine answered last. The
// engine's own cache events come late and with gaps, while completions are known
// at once; a restart of the engine clears both.
type prefixCache struct {
	mu     sync.Mutex
	hashes []uint64
}

// used moves the hash to the front.
func (p *prefixCache) used(hash uint64) {
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

// clear forgets everything, after a restart of the engine.
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
