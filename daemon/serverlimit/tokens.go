package serverlimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// needDecay is the share of the need for a server that remains after an exchange in
	// which no request wanted it.
	needDecay = 0.8
	// minNeed is the need below which a router asks for no token.
	minNeed = 0.2
)

// Tokens is the part of a router: it knows the limits and spends tokens. The zero value is
// ready for use.
type Tokens struct {
	// size is the number of limited servers. It spares requests the lock while there are
	// none.
	size    atomic.Int64
	mu      sync.Mutex
	servers map[string]*account
	// cursor is the position up to which the bank's news is known, and appliedAt the time
	// of the exchange that led to it.
	cursor    Cursor
	appliedAt time.Time
}

// account is the state of one limited server.
type account struct {
	observed Observation
	// reported is the observation that the bank has been told.
	reported Observation
	tokens   int
	// validUntil is the end of the tokens. recheck is set if the bank wants to know whether
	// the limit still holds.
	validUntil time.Time
	recheck    bool
	// asked counts the requests since the last exchange that wanted the server; need is
	// its moving average.
	asked int
	need  float64
}

// State tells whether a request may be sent to the server now.
func (t *Tokens) State(now time.Time, server string) State {
	if t.size.Load() == 0 {
		return Unlimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.servers[server]
	switch {
	case a == nil || a.observed.PerSecond <= 0:
		return Unlimited
	case a.available(now) == 0:
		return Closed
	case a.recheck:
		return Recheck
	}
	return Open
}

func (a *account) available(now time.Time) int {
	if now.Before(a.validUntil) {
		return a.tokens
	}
	return 0
}

// Want records that a request would have gone to the server if it were allowed.
func (t *Tokens) Want(server string) { t.ask(time.Time{}, server, false) }

// Spend records that a request is sent to the server.
func (t *Tokens) Spend(now time.Time, server string) { t.ask(now, server, true) }

func (t *Tokens) ask(now time.Time, server string, spend bool) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.servers[server]
	if a == nil {
		return
	}
	a.asked++
	if spend && a.available(now) > 0 {
		a.tokens--
		a.recheck = false
	}
}

// Observe records what an answer of the server says of its limit.
func (t *Tokens) Observe(now time.Time, server string, perSecond float64) {
	if perSecond <= 0 && t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(server, Observation{PerSecond: perSecond, At: now})
}

// update takes over an observation unless a later one is known.
func (t *Tokens) update(server string, o Observation) *account {
	a := t.servers[server]
	if a == nil {
		if o.PerSecond <= 0 {
			return nil
		}
		if t.servers == nil {
			t.servers = make(map[string]*account)
		}
		a = &account{}
		t.servers[server] = a
		t.size.Store(int64(len(t.servers)))
	}
	if !o.At.Before(a.observed.At) {
		a.observed = o
	}
	return a
}

// Claims returns what the bank is to be told at an exchange, and the cursor. All unused
// tokens go back; those that are still needed are asked for anew.
func (t *Tokens) Claims(now time.Time) ([]Claim, Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var claims []Claim
	for server, a := range t.servers {
		if t.outdated(now, a) {
			delete(t.servers, server)
			continue
		}
		claim := Claim{Server: server, Returned: a.available(now), Wanted: a.nextNeed()}
		a.tokens, a.recheck = 0, false
		if a.observed != a.reported {
			claim.Observed, a.reported = a.observed, a.observed
		}
		if claim != (Claim{Server: server}) {
			claims = append(claims, claim)
		}
	}
	t.size.Store(int64(len(t.servers)))
	return claims, t.cursor
}

// outdated reports whether the account has no use any more: its limit has ended and the bank
// knows, or neither an answer nor the bank has confirmed it for long.
func (t *Tokens) outdated(now time.Time, a *account) bool {
	if a.observed.PerSecond <= 0 {
		return a.reported == a.observed
	}
	return now.Sub(a.observed.At) > limitTTL && now.Sub(t.appliedAt) > limitTTL
}

// Asked reports whether a request has wanted a limited server since the last exchange.
func (t *Tokens) Asked() bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.servers {
		if a.asked > 0 {
			return true
		}
	}
	return false
}

// nextNeed updates the need and returns the number of tokens to ask for.
func (a *account) nextNeed() int {
	a.need = max(float64(a.asked), a.need*needDecay)
	a.asked = 0
	if a.need < minNeed || a.observed.PerSecond <= 0 {
		return 0
	}
	return int(math.Ceil(a.need))
}

// Apply takes over the bank's reply to the claims that were made at askedAt.
func (t *Tokens) Apply(askedAt time.Time, grants []Grant, cursor Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cursor.Epoch != t.cursor.Epoch {
		// The bank is another one, which may not know the limits.
		for _, a := range t.servers {
			a.reported = Observation{}
		}
	}
	t.cursor, t.appliedAt = cursor, askedAt
	for _, g := range grants {
		a := t.update(g.Server, g.Observed)
		if a == nil {
			continue
		}
		if a.observed == g.Observed {
			a.reported = a.observed
		}
		a.tokens, a.recheck, a.validUntil = g.Tokens, g.Recheck, askedAt.Add(TokenTTL)
	}
}

// Size returns the number of servers for which a limit is known.
func (t *Tokens) Size() int { return int(t.size.Load()) }
