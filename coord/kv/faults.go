package kv

import (
	"fmt"
	"time"
)

// ErrRateLimited wraps ErrUnavailable. It is returned when the store rejects a call
// because of its rate limit. Nothing was written.
var ErrRateLimited = fmt.Errorf("%w: rate limit", ErrUnavailable)

// Faults are the faults that a MemoryStore injects. The zero value injects none.
type Faults struct {
	// Outage makes every call fail with ErrUnavailable, including waiting watches.
	Outage bool
	// Delay is the time added before each call takes effect.
	Delay time.Duration
	// LostResponseRate is the fraction (0 to 1) of successful writes that return
	// ErrUnknownOutcome after they took effect.
	LostResponseRate float64
	// LoseNextResponses is the number of upcoming successful writes that return
	// ErrUnknownOutcome after they took effect. It is decremented by each.
	LoseNextResponses int
	// LateWriteRate is the fraction (0 to 1) of Put calls that return
	// ErrUnknownOutcome immediately and are executed after LateWriteDelay, like a
	// request that is delayed in the network until after its client timed out.
	LateWriteRate  float64
	LateWriteDelay time.Duration
	// CallsPerSecond limits the rate of calls, with a burst of one second's calls.
	// Calls above the limit fail with ErrRateLimited. 0 means no limit.
	CallsPerSecond float64
}

// CallKind is the kind of a call to the store.
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

// Usage counts the calls of one kind, including rejected ones. Bytes is the size of
// the keys and values in requests and responses.
type Usage struct {
	Calls uint64
	Bytes uint64
}
