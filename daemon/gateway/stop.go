package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/topology"
)

// errStopping is the cancellation cause of requests that are unanswered when the process stops.
var errStopping = errors.New("gateway: process stops")

// stop is the planned end of a gateway.
type stop struct {
	// plan is nil while no stop is planned.
	plan atomic.Pointer[stopPlan]
	// unanswered ends when the requests that are left are answered.
	unanswered context.Context
	answerAll  context.CancelCauseFunc
}

// stopPlan holds the arguments of StopAt.
type stopPlan struct{ at, repeatableUntil time.Time }

func newStop() *stop {
	s := &stop{}
	s.unanswered, s.answerAll = context.WithCancelCause(context.Background())
	return s
}

// StopAt plans the end of the gateway. From now on it refuses requests that may not be repeated if
// they may last longer than until at, and from repeatableUntil on all such requests: until then
// clients may hold a connection or find no other VM. At the time at every caller that still waits
// gets an error response.
func (g *Gateway) StopAt(at, repeatableUntil time.Time) {
	g.stop.plan.Store(&stopPlan{at, repeatableUntil})
	time.AfterFunc(time.Until(at), func() { g.stop.answerAll(errStopping) })
}

// refuse returns the refusal of a request that no server has got yet and that may not be answered
// before the process stops, or nil.
func (s *stop) refuse(now time.Time, route *topology.Route, deadline time.Time) *result.Error {
	plan := s.plan.Load()
	if plan == nil || !deadline.After(plan.at) || route.MayRepeat() && now.Before(plan.repeatableUntil) {
		return nil
	}
	return result.ShuttingDown.With("the request may last longer than this process")
}

// interruptedByStop classifies the end of a request that a server has got and that is unanswered
// when the process stops.
func interruptedByStop(route *topology.Route) *result.Error {
	if route.MayRepeat() {
		return result.StreamBroken.With("the process stops")
	}
	return result.OutcomeUnknown.With("the process stops")
}
