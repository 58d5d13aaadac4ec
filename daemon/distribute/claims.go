package distribute

import (
	"sync"
	"sync/atomic"
	"time"
)

// claims holds the versions that peers claim to hold. Every message between
// processes carries such a claim, so the common case takes no lock.
type claims struct {
	highest atomic.Uint64

	mu     sync.Mutex
	byNode map[string]uint64
	// ignored maps each node that presented a forged manifest to the time until
	// which its claims are ignored.
	ignored map[string]time.Time
}

// forgedIgnoreDuration is how long the claims of a node that presented a forged
// manifest are ignored, so that it can't prevent agents from serving.
const forgedIgnoreDuration = time.Minute

// maxClaims limits the number of nodes with a recorded claim of a higher version.
const maxClaims = 16

// ObserveVersion records that a peer claims to hold a version. It does not block,
// and it is cheap when the version is not above the one held. The node may be empty
// when unknown.
func (s *Syncer) ObserveVersion(version uint64, node string) {
	if version <= s.Version() {
		return
	}
	c := &s.claims
	c.mu.Lock()
	if s.cfg.Clock.Now().Before(c.ignored[node]) {
		c.mu.Unlock()
		return
	}
	if c.byNode == nil {
		c.byNode = make(map[string]uint64)
	}
	_, known := c.byNode[node]
	full := !known && len(c.byNode) >= maxClaims
	if full && version > c.highest.Load() {
		clear(c.byNode)
		full = false
	}
	if !full {
		c.byNode[node] = max(c.byNode[node], version)
	}
	c.refresh()
	c.mu.Unlock()
	notify(s.catchUpNow)
}

// Behind reports whether a peer claims a higher version than the one held and the
// claim has not been disproved. Until then an agent refuses new requests.
func (s *Syncer) Behind() bool { return s.claims.highest.Load() > s.Version() }

// refresh recomputes the highest claim. The caller holds mu.
func (c *claims) refresh() {
	highest := uint64(0)
	for _, v := range c.byNode {
		highest = max(highest, v)
	}
	c.highest.Store(highest)
}

// disprove removes a claim of node above version, the highest that node itself
// has delivered.
func (c *claims) disprove(node string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byNode[node] > version {
		delete(c.byNode, node)
	}
	c.refresh()
}

// ignore removes the claim of node and ignores its further claims until the time
// given.
func (c *claims) ignore(node string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ignored == nil {
		c.ignored = make(map[string]time.Time)
	}
	c.ignored[node] = until
	delete(c.byNode, node)
	c.refresh()
}

// discardUpTo removes the claims up to version.
func (c *claims) discardUpTo(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, v := range c.byNode {
		if v <= version {
			delete(c.byNode, node)
		}
	}
	c.refresh()
}

// snapshot returns the claimed version of each node.
func (c *claims) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.byNode))
	for node, v := range c.byNode {
		out[node] = v
	}
	return out
}

// discardUnrenewed removes the claims in before that are above version and have not
// been raised since: the store, read after they were made, holds no such version.
func (c *claims) discardUnrenewed(before map[string]uint64, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, v := range before {
		if v > version && c.byNode[node] == v {
			delete(c.byNode, node)
		}
	}
	c.refresh()
}
