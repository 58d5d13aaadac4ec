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
	// LoseAnswers is the share (0 to 1) of writes that take effect and then
	// return ErrUnknownOutcome. Writes that fail are not affected.
	LoseAnswers float64
	// LoseNext is the number of following successful writes whose answer is
	// lost for certain; it counts down.
	LoseNext int
	// LateWrites is the share (0 to 1) of Put calls that return
	// ErrUnknownOutcome at once and are carried out LateBy afterwards, as a
	// request does that waits in the network after its caller gave up.
	LateWrites float64
	LateBy     time.Duration
	// CallsPerSecond limits the rate of calls with a burst of one second; calls
	// above it fail with ErrRateLimited. 0 means no limit.
	CallsPerSecond float64
}

// Kind is the kind of a store call.
type Kind string

// Kinds of calls, one for each method of Store.
const (
	KindGet       Kind = "get"
	KindList      Kind = "list"
	KindPut       Kind = "put"
	KindDelete    Kind = "delete"
	KindWatch     Kind = "watch"
	KindGrant     Kind = "grant"
	KindKeepAlive Kind = "keep_alive"
	KindRevoke    Kind = "revoke"
)

// Usage counts the calls of one kind, including refused ones. Bytes counts keys
// and values in both directions.
type Usage struct {
	Calls uint64
	Bytes uint64
}
