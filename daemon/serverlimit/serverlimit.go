// Package serverlimit keeps the requests of all routers to a backend server within the
// rate that the server names. It is a token bucket for each server that is distributed by
// leases: one router, the bank, holds the buckets, and the others ask it for tokens by
// their need. A token is good for one request. It lapses soon, so that a router that is
// frozen or cut off has no old credit, and unused tokens go back before another router can
// have them. The package needs no network; all methods that depend on the time take it as
// an argument, and are safe for concurrent use.
package serverlimit

import "time"

const (
	// TokenTTL is how long a token is valid after its router has asked for it. It exceeds
	// the time between two exchanges with the bank.
	TokenTTL = 400 * time.Millisecond
	// recheckInterval is the age of the latest answer from which a request is sent to learn
	// whether the limit still holds, and the time between such requests.
	recheckInterval = 2 * time.Second
	// limitTTL is how long a limit holds that no answer confirms.
	limitTTL = 30 * time.Second
	// burst is the time in which the tokens of a full bucket are made, minBucket the smallest
	// size of a bucket in tokens. A bucket of one token would lose what is made while a
	// router holds it.
	burst     = 500 * time.Millisecond
	minBucket = 2
)

// Observation is what the latest answer of a server said of its limit.
type Observation struct {
	// PerSecond is the number of requests per second from all routers; 0 for no limit.
	PerSecond float64
	At        time.Time
}

// Claim is what a router tells the bank about a server.
type Claim struct {
	Server string
	// Observed is the router's latest observation; the zero value if it has none that the
	// bank does not know.
	Observed Observation
	// Returned is the number of unused tokens that the router gives back, Wanted the number
	// that it asks for.
	Returned, Wanted int
}

// Grant is what the bank tells a router about a server.
type Grant struct {
	Server   string
	Observed Observation
	Tokens   int
	// Recheck asks the router to send its next request to the server.
	Recheck bool
}

// State tells whether a request may be sent to a server.
type State uint8

// States of a server.
const (
	// Unlimited: the server names no limit.
	Unlimited State = iota
	// Open: the router has a token.
	Open
	// Recheck: the router has a token, and the next request is to show whether the limit
	// still holds.
	Recheck
	// Closed: the router has no token.
	Closed
)
