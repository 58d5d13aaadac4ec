// Package dispatch is the part of the request path that both edges share: it
// sends a request to backend servers, one after the other, until its outcome is
// final. It decides on every further attempt, so the rules on requests that may
// have run and on the retry budget stand here only. How a backend server is
// chosen and called is the business of a Sender.
package dispatch

import (
	"context"
	"time"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/result"
)

// leastLeft is the time to the deadline below which no further attempt is made.
const leastLeft = 50 * time.Millisecond

// RetryPolicy say what may be done with a request.
type RetryPolicy struct {
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool
	// Resumable allows another attempt after a part of the answer was passed on.
	Resumable bool
	// MaxAttempts bounds the attempts that a backend server may have seen; 0 means 1.
	MaxAttempts int
	// MaxRefusals bounds the attempts that were refused without any work. They cost
	// no retry budget. At 0 a refusal counts as an attempt and costs budget.
	MaxRefusals int
	// Deadline is when the final answer is due.
	Deadline time.Time
}

// Outcome is what one attempt at a backend server came to.
type Outcome[S any] struct {
	// Err is nil when the answer is complete.
	Err *result.Error
	// Final is true when the caller has got all that it will get.
	Final bool
	// Started is true when the caller has got any part of the answer.
	Started bool
	// Replaced is true when the answer was dropped for that of another backend
	// server, Next, for which the sender has taken a retry from the budget.
	Replaced bool
	Next     S
}

// Sender is the edge's part of the path for one request.
type Sender[S any] interface {
	// Choose returns the backend server of the next attempt. It may wait.
	Choose(ctx context.Context) (S, *result.Error)
	// Send makes one attempt.
	Send(ctx context.Context, to S) Outcome[S]
	// Pause waits before the next choice; false ends the request with the failure.
	Pause(ctx context.Context, failure *result.Error) bool
}

// Request is the state of one request over its attempts. Only the goroutine of
// Run uses it.
type Request struct {
	RetryPolicy
	// Budget bounds retries; Routers is the number of routers that share it.
	Budget  *limit.RetryBudget
	Routers int
	// Now is the clock of Deadline.
	Now func() time.Time

	attempts int
	refusals int
	started  bool
	// unknown is the latest failure of an attempt that may have run.
	unknown *result.Error
}

// Attempts returns the attempts so far that a backend server may have seen, the
// present one included.
func (r *Request) Attempts() int { return r.attempts }

// IsLastAttempt tells whether a failure of the present attempt, which may have run, would
// be the end of the request.
func (r *Request) IsLastAttempt() bool {
	now := r.Now()
	return !r.allows(now) || r.attempts >= max(r.MaxAttempts, 1) || r.Budget.Remaining(now, r.Routers) < 1
}

// allows tells whether the kind of the request and its time allow another attempt
// after one that may have run.
func (r *Request) allows(now time.Time) bool {
	return r.Idempotent && (r.Resumable || !r.started) && r.Deadline.Sub(now) >= leastLeft
}

// again decides on another attempt after a failure, and takes it from the budget.
func (r *Request) again(now time.Time, failure *result.Error) bool {
	switch {
	case !failure.Code.Retry || r.Deadline.Sub(now) < leastLeft:
		return false
	case r.unknown != nil && !r.allows(now):
		return false
	case failure.Code == result.BackendDown:
		// No byte has left; a sender without a bound on refusals excludes the server.
		return r.MaxRefusals == 0 || r.refusals < r.MaxRefusals
	case failure.Code.Run == result.NotRun && r.MaxRefusals > 0:
		return r.refusals < r.MaxRefusals
	case r.attempts >= max(r.MaxAttempts, 1):
		return false
	}
	return r.Budget.Take(now, r.Routers)
}

// add records the end of an attempt.
func (r *Request) add(failure *result.Error, started bool) {
	r.started = r.started || started
	free := failure.Code == result.BackendDown || r.MaxRefusals > 0
	switch {
	case failure.Code.Run == result.Unknown:
		r.unknown = failure
	case free:
		r.refusals++
		r.attempts--
	}
}

// verdict returns the failure of the request: "not run" only where no attempt can
// have run, since a later attempt that did not run proves nothing about earlier ones.
func (r *Request) verdict(failure *result.Error) *result.Error {
	if r.unknown != nil && failure.Code.Run == result.NotRun {
		return r.unknown
	}
	return failure
}

// Run sends the request until its outcome is final. It returns nil when the
// answer is complete.
func Run[S any](ctx context.Context, r *Request, s Sender[S]) *result.Error {
	var next S
	chosen := false
	for {
		if !chosen {
			var err *result.Error
			if next, err = s.Choose(ctx); err != nil {
				return r.verdict(err)
			}
		}
		r.attempts++
		out := s.Send(ctx, next)
		if out.Err == nil || out.Final {
			return out.Err
		}
		r.add(out.Err, out.Started)
		if chosen = out.Replaced; chosen {
			next = out.Next
			continue
		}
		if ctx.Err() != nil || !r.again(r.Now(), out.Err) || !s.Pause(ctx, out.Err) {
			return r.verdict(out.Err)
		}
	}
}
