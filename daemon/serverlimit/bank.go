package serverlimit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Cursor is a position in the news of a bank: the limits up to it are known. The bank of
// another process has another epoch.
type Cursor struct {
	Epoch, Sequence uint64
}

// Bank holds the buckets of all limited servers. The zero value is ready for use.
type Bank struct {
	mu      sync.Mutex
	epoch   uint64
	last    uint64
	servers map[string]*bucket
	// prunedAt is when limits that no answer confirms were last dropped.
	prunedAt time.Time
}

// bucket is the token bucket of one server.
type bucket struct {
	observed Observation
	// sequence is the position of the limit in the news.
	sequence uint64
	tokens   float64
	filledAt time.Time
	// recheckedAt is when a router was last asked to check the limit.
	recheckedAt time.Time
}

// Exchange merges the claims of a router and returns what it is to know: the limits that
// have changed since its cursor, and its tokens. share is the share of the limits that this
// bank gives out.
func (b *Bank) Exchange(now time.Time, claims []Claim, cursor Cursor, share float64) ([]Grant, Cursor) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servers == nil {
		b.servers, b.epoch = make(map[string]*bucket), rand.Uint64()
	}
	b.prune(now)
	if cursor.Epoch != b.epoch {
		cursor.Sequence = 0
	}
	tokens := make(map[string]int)
	for _, c := range claims {
		if cursor.Epoch != b.epoch {
			// The tokens are those of another bank.
			c.Returned = 0
		}
		if n := b.claim(now, c, share); n > 0 {
			tokens[c.Server] = n
		}
	}
	var grants []Grant
	for server, s := range b.servers {
		recheck := s.takeRecheck(now, share)
		if recheck {
			tokens[server]++
		}
		if n := tokens[server]; n > 0 || s.sequence > cursor.Sequence {
			grants = append(grants, Grant{Server: server, Observed: s.observed, Tokens: n, Recheck: recheck})
		}
	}
	return grants, Cursor{Epoch: b.epoch, Sequence: b.last}
}

// claim merges one claim and returns the number of tokens that the router gets.
func (b *Bank) claim(now time.Time, c Claim, share float64) int {
	s := b.servers[c.Server]
	if s == nil {
		if c.Observed.PerSecond <= 0 {
			return 0
		}
		s = &bucket{filledAt: now}
		b.servers[c.Server] = s
	}
	if c.Observed.At.After(s.observed.At) {
		if c.Observed.PerSecond != s.observed.PerSecond {
			b.last++
			s.sequence = b.last
		}
		s.observed = c.Observed
	}
	s.fill(now, share, c.Returned)
	n := int(min(float64(c.Wanted), s.tokens))
	s.tokens -= float64(n)
	return n
}

// fill adds the returned tokens and those made since the last time, up to the size of the
// bucket.
func (s *bucket) fill(now time.Time, share float64, returned int) {
	perSecond := s.observed.PerSecond * share
	made := perSecond * now.Sub(s.filledAt).Seconds()
	s.tokens = min(s.tokens+float64(returned)+made, max(minBucket, perSecond*burst.Seconds()))
	s.filledAt = now
}

// takeRecheck takes a token for a request that checks the limit, if that is due.
func (s *bucket) takeRecheck(now time.Time, share float64) bool {
	s.fill(now, share, 0)
	if s.observed.PerSecond <= 0 || s.tokens < 1 || now.Sub(s.observed.At) < recheckInterval || now.Sub(s.recheckedAt) < recheckInterval {
		return false
	}
	s.tokens--
	s.recheckedAt = now
	return true
}

// prune ends the limits that no answer confirms.
func (b *Bank) prune(now time.Time) {
	if now.Sub(b.prunedAt) < time.Second {
		return
	}
	b.prunedAt = now
	for server, s := range b.servers {
		switch age := now.Sub(s.observed.At); {
		case age > 2*limitTTL:
			delete(b.servers, server)
		case age > limitTTL && s.observed.PerSecond > 0:
			b.last++
			s.observed, s.sequence = Observation{At: now}, b.last
		}
	}
}
