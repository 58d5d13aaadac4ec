package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"cactusknot.example/daemon/dispatch"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/daemon/upstream"
)

const (
	// engineSilenceTimeout is how long a model engine may send nothing on any of this
	// router's requests before a repeatable request is retried elsewhere; a busy engine
	// can be silent for seconds.
	engineSilenceTimeout = 8 * time.Second
	// silenceFactor times the route's latency target is the silence timeout of a plain
	// service, up to engineSilenceTimeout.
	silenceFactor = 3
	// silenceCheckInterval is the interval at which an attempt checks for silence.
	silenceCheckInterval = 250 * time.Millisecond
)

// attempt is one request to one backend server.
type attempt struct {
	*requestState
	choice   *selection.Choice
	target   upstream.Target
	exchange *upstream.Exchange
	reply    ResponseInfo
	outcome  selection.Outcome
	sentAt   time.Time
	// begunAt is when the head of the response arrived; zero before. begun tells
	// watchSilence that it has.
	begunAt time.Time
	begun   atomic.Bool
	// closedByServer is set if the server closed or reset the connection within its
	// response.
	closedByServer bool
	// goingOn is set once the answer has gone on for longer than its prompt is likely to crash the
	// server, outlived once the server has outlived it.
	goingOn, outlived bool
	// events counts the events of the answer with data.
	events int
	// escalation is the server of the larger model for which the answer is discarded,
	// or nil.
	escalation *selection.Choice
	// connectionLost is set if the connection broke or could not be opened.
	connectionLost bool
	// violation names the protocol violation that ended the attempt; empty for none.
	violation string
	// notSent is set if the request did not reach the backend server.
	notSent bool
	// countedAt is the time as of which this attempt was counted as begun; zero if it was not.
	countedAt time.Time
	// sampled is set once the attempt has been counted as evidence on its version.
	sampled atomic.Bool
}

// errSilent is the cancellation cause of an attempt whose backend server is silent.
var errSilent = errors.New("gateway: backend server is silent")

// errQuarantined is the cancellation cause of an attempt that has not begun when a part of
// its prompt is quarantined.
var errQuarantined = errors.New("gateway: part of the prompt is quarantined")

// dispatch sends the request to backend servers until it has a final response.
func (g *Gateway) dispatch(x *requestState) *result.Error {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	defer context.AfterFunc(g.stop.unanswered, func() { interrupt(errStopping) })()
	x.excluded = make(map[string]bool)
	g.chooseFirstModel(x)
	err := dispatch.Run(ctx, &x.dispatch, directSender{gateway: g, requestState: x})
	if err == nil || x.answered {
		return err
	}
	return x.finalError(ctx, err)
}

// directSender calls the backend servers of one request without an agent. It implements
// dispatch.Sender.
type directSender struct {
	gateway *Gateway
	*requestState
}

// Choose waits for a server that may take the request.
func (d directSender) Choose(ctx context.Context) (*selection.Choice, *result.Error) {
	if choice, err := d.gateway.chooseInTime(d.requestState); choice != nil || err != nil {
		return choice, err
	}
	return d.gateway.choose(ctx, d.requestState)
}

// Send makes one attempt.
func (d directSender) Send(ctx context.Context, to *selection.Choice) dispatch.Outcome[*selection.Choice] {
	g, x := d.gateway, d.requestState
	x.excluded[to.Server.ID] = true
	a := &attempt{requestState: x, choice: to, sentAt: time.Now()}
	g.countSent(a)
	done, failure := g.runAttempt(ctx, a)
	g.settleCount(a)
	to.End(time.Now(), a.outcome)
	g.wakeWaiting(x.service.Name)
	g.recordViolation(a)
	g.observeEnd(a)
	g.observeCrash(a)
	g.recordAttempt(a, failure)
	x.answered = done
	out := dispatch.Outcome[*selection.Choice]{Err: failure, Final: done, Started: x.started}
	if a.escalation != nil {
		out.Replaced, out.Next = true, a.escalation
		out.Err = result.BackendError.With("answer of %s dropped", x.model)
		x.model = largestModel(x.route)
	}
	return out
}

// Pause returns at once; Choose waits while no server may take the request.
func (d directSender) Pause(context.Context, *result.Error) bool { return true }

// selectionRequest describes the request to the server selection.
func (g *Gateway) selectionRequest(x *requestState, model string, excluded map[string]bool) selection.Request {
	r := selection.Request{
		Service: x.service.Name, Model: model, ModelRank: modelRank(x.route.Models, model),
		PromptTokens: x.call.PromptTokens,
		Prefixes:     selection.Prefixes(model, x.call.PartIDs, x.call.PartTokens),
		Self:         g.Name,
		Routers:      x.view.Routers,
		Excluded:     excluded,
	}
	if x.service.ColdRateLimit > 0 {
		r.ColdRateLimit = x.service.ColdRateLimit*g.ColdFactor + g.ColdExtra
	}
	return r
}

// allTried reports whether every candidate is excluded.
func allTried(candidates []*topology.Server, excluded map[string]bool) bool {
	for _, s := range candidates {
		if !excluded[s.ID] {
			return false
		}
	}
	return true
}

// runAttempt makes one attempt. done is true if the request must not be sent again.
func (g *Gateway) runAttempt(ctx context.Context, a *attempt) (done bool, failure *result.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.target = upstream.Target{ID: a.choice.Server.ID, Address: a.choice.Server.Address}
	a.servers = append(a.servers, a.target.ID)
	if a.route.MayRepeat() {
		defer g.watchSilence(a, cancel)()
	}
	response, err := g.Pool.Send(ctx, a.target, g.request(a), func(h http.Header) upstream.Owner { return g.Codec.Owner(a.call, h) })
	if err != nil {
		return false, a.sendError(ctx, err)
	}
	a.exchange = response
	a.reply = g.Codec.ParseResponse(response.Status, response.Header)
	g.recordLoad(a)
	g.observeRateLimit(a)
	g.observeAnnouncements(a)
	if a.reply.NotRun {
		a.outcome = selection.Refused
		response.Abort()
		return false, result.AgentFull.With("status %d", response.Status)
	}
	// The headers arrive with the first token, so the prompt has been processed.
	a.begunAt = time.Now()
	a.begun.Store(true)
	g.countBegun(a)
	g.Crashes.RecordAlive(a.incarnation(), a.sentAt)
	a.choice.RecordFirstByte(a.begunAt)
	g.wakeWaiting(a.service.Name)
	g.releasePendingFailures(a)
	if a.escalation = g.escalate(a); a.escalation != nil {
		a.outcome = selection.Cancelled
		response.Abort()
		return false, nil
	}
	if !a.reply.Sealed || a.reply.ContentEncoded {
		return false, a.invalidResponse("response has no server seal or has a content encoding")
	}
	return g.receive(ctx, a)
}

// request returns the HTTP request of an attempt.
func (g *Gateway) request(a *attempt) *upstream.Request {
	options := AttemptOptions{
		ServerID: a.target.ID, Workspace: a.workspace, Remaining: time.Until(a.deadline),
		Model: a.model, Urgency: a.urgency, ResumeAfter: a.lastEvent,
	}
	return &upstream.Request{
		ID: a.call.ID, Method: a.call.Method, Target: a.call.Target, Host: a.call.Host,
		Header: g.Codec.Encode(a.call, options), Body: a.call.Body, FreshConnection: !a.route.MayRepeat(),
		MaySend: func() bool { return a.choice.MaySend(time.Now()) },
	}
}

// silenceTimeout returns how long the backend server of a request may be silent.
func silenceTimeout(route *topology.Route, call *Call) time.Duration {
	if call.PromptTokens > 0 || route.LatencyTarget <= 0 {
		return engineSilenceTimeout
	}
	return min(engineSilenceTimeout, silenceFactor*route.LatencyTarget)
}

// watchSilence cancels the attempt when the backend server has sent nothing on any of
// this router's requests for too long. Activity on other requests counts, so a busy
// server is not taken for a silent one.
func (g *Gateway) watchSilence(a *attempt, cancel context.CancelCauseFunc) (stop func()) {
	timeout := silenceTimeout(a.route, a.call)
	timer := time.NewTimer(silenceCheckInterval)
	done := make(chan struct{})
	go func() {
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-timer.C:
				if a.slow(now) {
					g.observe(a, Sample{Slow: true})
				}
				if !a.begun.Load() && !a.trial && g.Quarantine.Holds(a.keys) {
					cancel(errQuarantined)
					return
				}
				if now.Sub(a.sentAt) > timeout && now.Sub(a.choice.LastActivity()) > timeout {
					cancel(errSilent)
					return
				}
				timer.Reset(silenceCheckInterval)
			}
		}
	}()
	return func() { close(done) }
}

// sinceBegun returns the time since the response began, or 0 if it has not begun.
func (a *attempt) sinceBegun(now time.Time) time.Duration {
	if a.begunAt.IsZero() {
		return 0
	}
	return now.Sub(a.begunAt)
}

// sendError classifies the error of an attempt that got no response.
func (a *attempt) sendError(ctx context.Context, err error) *result.Error {
	a.outcome = selection.Unreachable
	if errors.Is(err, upstream.ErrNotSent) {
		a.notSent = true
		if a.callerGone() {
			a.outcome = selection.Cancelled
			return result.CallerGone.With("")
		}
		if errors.Is(err, upstream.ErrWithheld) {
			a.outcome = selection.Cancelled
			return result.BackendDown.With("server leaves or pauses since it was chosen")
		}
		if errors.Is(err, upstream.ErrNoConnection) {
			a.outcome = selection.Cancelled
			return result.NoMemory.With("%v", err)
		}
		a.connectionLost = true
		return result.BackendDown.With("%v", err)
	}
	return a.interrupted(ctx, err)
}

// interrupted classifies the error of an attempt that ended after the backend server
// may have begun to run it. The codes say that the outcome is unknown.
func (a *attempt) interrupted(ctx context.Context, err error) *result.Error {
	switch {
	case a.callerGone():
		a.outcome = selection.Cancelled
		return result.CallerGone.With("")
	case errors.Is(context.Cause(ctx), errStopping):
		a.outcome = selection.Cancelled
		return interruptedByStop(a.route)
	case errors.Is(context.Cause(ctx), errSilent):
		a.outcome = selection.Unreachable
		return result.StreamBroken.With("silent")
	case errors.Is(context.Cause(ctx), errQuarantined):
		a.outcome = selection.Cancelled
		return result.StreamBroken.With("a part of the prompt was quarantined")
	case !time.Now().Before(a.deadline):
		a.outcome = selection.Cancelled
		return result.DeadlinePassed.With("")
	}
	a.outcome = selection.Failed
	a.closedByServer = errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	a.violation = violation(err)
	a.connectionLost = a.violation == "" && !errors.Is(err, errNoRoom)
	return result.StreamBroken.With("%v", err)
}

// violation names the protocol violation that caused an error, or returns "".
func violation(err error) string {
	if errors.Is(err, errInvalidEvent) {
		return "invalid_event"
	}
	return upstream.Violation(err)
}

// invalidResponse ends an attempt whose response can't be passed on.
func (a *attempt) invalidResponse(reason string) *result.Error {
	a.outcome = selection.Failed
	a.exchange.Abort()
	return result.BackendError.With("%s", reason)
}

func (x *requestState) callerGone() bool { return x.ctx.Err() != nil }

// finalError returns the error that the caller gets: a closed connection and a passed
// deadline take precedence over the last attempt's failure.
func (x *requestState) finalError(ctx context.Context, failure *result.Error) *result.Error {
	switch {
	case x.callerGone():
		return result.CallerGone.With("")
	case !time.Now().Before(x.deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlinePassed.With("%s", failure.Detail)
	}
	return failure
}
