package kv

import (
	"fmt"
	"time"
)

// ErrRateLimited is the ErrUnavailable of a store that refuses a call because
// its rate limit is reached. Nothing was written.
var ErrRateLimited = fmt.Errorf("%w: rate limit", ErrUnavailable)

// Faults are the faults that a Memory store shows. The zero value shows none.
type Faults struct {
	// Outage makes every call fail with ErrUnavailable and ends waiting watches.
	Outage bool
	// Delay is added before each call takes effect.
	Delay time.Duration
	// LostResponseRate is the share (0 to 1) of writes that take effect and then
	// return ErrUnknownOutcome. Writes that fail are not affected.
	LostResponseRate float64
	// LoseNextResponses is the number of following successful writes whose answer is
	// lost for certain; it counts down.
	LoseNextResponses int
	// LateWrites is the share (0 to 1) of Put calls that return
	// ErrUnknownOutcome at once and are carried out LateBy afterwards, as a
	// request does that waits in the network after its caller gave up.
	LateWrites float64
	LateBy     time.Duration
	// CallsPerSecond limits the rate of calls with a burst of one second; calls
	// above it fail with ErrRateLimited. 0 means no limit.
	CallsPerSecond float64
}

// CallKind is the kind of a store call.
type CallKind string

// Kinds of calls, one for each method of Store.
const (
	KindGet       CallKind = "get"
	KindList      CallKind = "list"
	KindPut       CallKind = "put"
	KindDelete    CallKind = "delete"
	KindWatch     CallKind = "watch"
	KindGrant     CallKind = "grant"
	KindKeepAlive CallKind = "keep_alive"
	KindRevoke    CallKind = "revoke"
)

// Usage counts the calls of one kind, including refused ones. Bytes counts keys
// and values in both directions.
type Usage struct {
	Calls uint64
	Bytes uint64
}
