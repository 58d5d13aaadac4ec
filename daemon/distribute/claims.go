package distribute

import (
	"sync"
	"sync/atomic"
	"time"
)

// claims are versions that peers said they hold. Traffic reports one with each
// message, so the usual case takes no lock.
type claims struct {
	highest atomic.Uint64

	mu     sync.Mutex
	byNode map[string]uint64
	// ignored holds nodes that presented a forged manifest, until the time given.
	ignored map[string]time.Time
}

// ignoreFor is how long claims of a node that presented a forged manifest are
// ignored, so that it can't keep agents from serving.
const ignoreFor = time.Minute

// maxClaims bounds the nodes remembered as holders of a higher version.
const maxClaims = 16

// ObserveVersion records that a peer holds a version. It does not block, and it is cheap
// when the version is not above the one held. Node may be empty when unknown.
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
	signal(s.wake)
}

// Behind reports whether a peer claims a higher version than the one held and
// the claim has not been disproved. An agent refuses new work meanwhile.
func (s *Syncer) Behind() bool { return s.claims.highest.Load() > s.Version() }

// refresh recomputes the highest claim. The caller holds mu.
func (c *claims) refresh() {
	highest := uint64(0)
	for _, v := range c.byNode {
		highest = max(highest, v)
	}
	c.highest.Store(highest)
}

// disprove drops the claim of node above version: node itself presented no more.
func (c *claims) disprove(node string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byNode[node] > version {
		delete(c.byNode, node)
	}
	c.refresh()
}

// ignore drops the claim of node and its claims until the time given.
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

// settle drops the claims up to version.
func (c *claims) settle(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, v := range c.byNode {
		if v <= version {
			delete(c.byNode, node)
		}
	}
	c.refresh()
}

// snapshot returns the nodes with a claim.
func (c *claims) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.byNode))
	for node, v := range c.byNode {
		out[node] = v
	}
	return out
}

// drop removes the claims of before that have not been renewed with a higher
// version: the store, read after them, shows no such version.
func (c *claims) drop(before map[string]uint64, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, v := range before {
		if v > version && c.byNode[node] == v {
			delete(c.byNode, node)
		}
	}
	c.refresh()
}
