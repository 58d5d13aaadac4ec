// Package dispatch implements retries for the gateway and the router. It sends a
// request to one backend server after another until the outcome is final. All rules on
// further attempts are here: those for requests that may have run, and the retry
// budget. A Sender chooses and calls the backend servers.
package dispatch

import (
	"context"
	"time"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/result"
)

// minTimeLeft is the minimum time to the deadline for a further attempt.
const minTimeLeft = 50 * time.Millisecond

// RetryPolicy tells which further attempts a request may have.
type RetryPolicy struct {
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool
	// Resumable allows another attempt after a part of the answer was passed on.
	Resumable bool
	// MaxAttempts bounds the attempts that may have reached a backend server; 0 means 1.
	MaxAttempts int
	// MaxRefusals bounds the attempts that backend servers refused without doing any
	// work. These do not count against MaxAttempts and the retry budget. If it is 0,
	// refusals count as attempts and use the budget.
	MaxRefusals int
	// Deadline is the latest time for the final answer.
	Deadline time.Time
}

// Outcome is the result of one attempt.
type Outcome[S any] struct {
	// Err is nil when the answer is complete.
	Err *result.Error
	// Final is true when nothing more will be sent to the caller, whatever Err is.
	Final bool
	// Started is true when a part of the answer has been passed to the caller.
	Started bool
	// Replaced is true when the sender has dropped the answer and the request is to be
	// sent to the backend server Next instead. The sender has already taken the retry
	// from the budget.
	Replaced bool
	Next     S
}

// Sender chooses and calls backend servers for one request.
type Sender[S any] interface {
	// Choose returns the backend server for the next attempt. It may block.
	Choose(ctx context.Context) (S, *result.Error)
	// Send makes one attempt.
	Send(ctx context.Context, to S) Outcome[S]
	// Pause waits before the next attempt. If it returns false, the request ends with
	// the failure.
	Pause(ctx context.Context, failure *result.Error) bool
}

// Request is the state of one request over all its attempts. It must only be used by
// the goroutine that calls Run.
type Request struct {
	RetryPolicy
	// Budget bounds the retries. Routers is the number of routers that share it.
	Budget  *limit.RetryBudget
	Routers int
	// Now returns the current time.
	Now func() time.Time

	attempts int
	refusals int
	started  bool
	// unknownOutcome is the latest failure after which the request may have run.
	unknownOutcome *result.Error
}

// Attempts returns the number of attempts that may have reached a backend server,
// including the current one.
func (r *Request) Attempts() int { return r.attempts }

// IsLastAttempt tells whether the request would end if the current attempt failed after
// it may have run.
func (r *Request) IsLastAttempt() bool {
	now := r.Now()
	return !r.rerunAllowed(now) || r.attempts >= max(r.MaxAttempts, 1) || r.Budget.Remaining(now, r.Routers) < 1
}

// rerunAllowed tells whether the policy and the remaining time allow another attempt
// after one that may have run.
func (r *Request) rerunAllowed(now time.Time) bool {
	return r.Idempotent && (r.Resumable || !r.started) && r.Deadline.Sub(now) >= minTimeLeft
}

// takeRetry tells whether another attempt is allowed after a failure. It takes the
// retry from the budget unless the backend server did no work.
func (r *Request) takeRetry(now time.Time, failure *result.Error) bool {
	switch {
	case !failure.Code.Retry || r.Deadline.Sub(now) < minTimeLeft:
		return false
	case r.unknownOutcome != nil && !r.rerunAllowed(now):
		return false
	case failure.Code == result.BackendDown:
		// Nothing was sent. Without a bound on refusals, the sender excludes the server
		// from further choices, so the attempts end when no server remains.
		return r.MaxRefusals == 0 || r.refusals < r.MaxRefusals
	case failure.Code.Run == result.NotRun && r.MaxRefusals > 0:
		return r.refusals < r.MaxRefusals
	case r.attempts >= max(r.MaxAttempts, 1):
		return false
	}
	return r.Budget.Take(now, r.Routers)
}

// recordAttempt records a failed attempt. An attempt without effect on a backend server
// counts as a refusal.
func (r *Request) recordAttempt(failure *result.Error, started bool) {
	r.started = r.started || started
	uncounted := failure.Code == result.BackendDown || r.MaxRefusals > 0
	switch {
	case failure.Code.Run == result.Unknown:
		r.unknownOutcome = failure
	case uncounted:
		r.refusals++
		r.attempts--
	}
}

// finalError returns the error of the request after the failure of its last attempt. It
// states "not run" only if no attempt can have run: that the last one did not run proves
// nothing about earlier ones.
func (r *Request) finalError(failure *result.Error) *result.Error {
	if r.unknownOutcome != nil && failure.Code.Run == result.NotRun {
		return r.unknownOutcome
	}
	return failure
}

// Run makes attempts until the outcome of the request is final. It returns nil when
// the answer is complete.
func Run[S any](ctx context.Context, r *Request, s Sender[S]) *result.Error {
	var next S
	chosen := false
	for {
		if !chosen {
			var err *result.Error
			if next, err = s.Choose(ctx); err != nil {
				return r.finalError(err)
			}
		}
		r.attempts++
		out := s.Send(ctx, next)
		if out.Err == nil || out.Final {
			return out.Err
		}
		r.recordAttempt(out.Err, out.Started)
		if chosen = out.Replaced; chosen {
			next = out.Next
			continue
		}
		if ctx.Err() != nil || !r.takeRetry(r.Now(), out.Err) || !s.Pause(ctx, out.Err) {
			return r.finalError(out.Err)
		}
	}
}
