package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"cactusknot.example/daemon/dispatch"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/daemon/upstream"
)

const (
	// engineSilence is how long a model engine may give no sign of life on any request
	// before a repeatable request moves on; a busy engine is silent for seconds.
	engineSilence = 8 * time.Second
	// silenceFactor times the route's latency target is the same for a plain service.
	silenceFactor = 3
	// silenceCheck is the interval of that check.
	silenceCheck = 250 * time.Millisecond
	// retryWait is the pause before another choice when every server is at its bound.
	retryWait = 25 * time.Millisecond
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
	// escalation is the server of the larger model for which the answer is dropped.
	escalation *selection.Choice
	// lost is set when the connection broke.
	lost bool
	// sampled is set once the attempt counts as evidence.
	sampled atomic.Bool
}

// errSilent: the backend server gave no sign of life.
var errSilent = errors.New("gateway: backend server is silent")

// dispatch sends the request to backend servers until an answer is final.
func (g *Gateway) dispatch(x *requestState) *result.Error {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	x.excluded = make(map[string]bool)
	g.firstModel(x)
	err := dispatch.Run(ctx, &x.dispatch, direct{gateway: g, requestState: x})
	if err == nil || x.answered {
		return err
	}
	return x.verdict(ctx, err)
}

// direct calls the backend servers of one request without an agent. It implements
// dispatch.Sender.
type direct struct {
	gateway *Gateway
	*requestState
}

// Choose waits for a server that may take the request.
func (d direct) Choose(ctx context.Context) (*selection.Choice, *result.Error) {
	return d.gateway.choose(ctx, d.requestState)
}

// Send makes one attempt.
func (d direct) Send(ctx context.Context, to *selection.Choice) dispatch.Outcome[*selection.Choice] {
	g, x := d.gateway, d.requestState
	x.excluded[to.Server.ID] = true
	a := &attempt{requestState: x, choice: to, sentAt: time.Now()}
	done, failure := g.try(ctx, a)
	to.End(time.Now(), a.outcome)
	g.observeEnd(a)
	g.recordAttempt(a, failure)
	x.answered = done
	out := dispatch.Outcome[*selection.Choice]{Err: failure, Final: done, Started: x.started}
	if a.escalation != nil {
		out.Replaced, out.Next = true, a.escalation
		out.Err = result.BackendError.With("answer of %s dropped", x.model)
		x.model = largest(x.route)
	}
	return out
}

// Pause does not wait: the next choice does while no server may take the request.
func (d direct) Pause(context.Context, *result.Error) bool { return true }

// choose waits for a server that may take the request.
func (g *Gateway) choose(ctx context.Context, x *requestState) (*selection.Choice, *result.Error) {
	request := g.selectionRequest(x, x.model, x.excluded)
	for {
		if err := g.refresh(x); err != nil {
			return nil, err
		}
		if choice, ok := g.Chooser.Choose(time.Now(), x.candidates, request); ok {
			return choice, nil
		}
		if allTried(x.candidates, x.excluded) || time.Since(x.began) > x.route.LatencyTarget/2 {
			return nil, result.NoBackend.With("no backend server may take the request")
		}
		select {
		case <-ctx.Done():
			return nil, result.NoBackend.With("%v", ctx.Err())
		case <-time.After(retryWait):
		}
	}
}

// selectionRequest describes the request for the choice of a server.
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

func allTried(candidates []*topology.Server, excluded map[string]bool) bool {
	for _, s := range candidates {
		if !excluded[s.ID] {
			return false
		}
	}
	return true
}

// try makes one attempt. done is true when nothing more may be sent.
func (g *Gateway) try(ctx context.Context, a *attempt) (done bool, failure *result.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.target = upstream.Target{ID: a.choice.Server.ID, Address: a.choice.Server.Address}
	a.servers = append(a.servers, a.target.ID)
	if a.route.MayRepeat() {
		defer g.watchSilence(a, cancel)()
	}
	sent, err := g.Pool.Send(ctx, a.target, g.request(a), func(h http.Header) bool { return g.Codec.Matches(a.call, h) })
	if err != nil {
		return false, a.failed(ctx, err)
	}
	a.exchange = sent
	a.reply = g.Codec.ParseResponse(sent.Status, sent.Header)
	if a.reply.HasLoad {
		a.choice.RecordLoad(time.Now(), a.reply.Load)
	}
	if a.reply.NotRun {
		a.outcome = selection.Refused
		sent.Abort()
		return false, result.AgentFull.With("status %d", sent.Status)
	}
	// The head comes with the first token: the prompt has been read.
	a.choice.RecordFirstByte(time.Now())
	g.releaseLosses(a)
	if a.escalation = g.escalate(a); a.escalation != nil {
		a.outcome = selection.Cancelled
		sent.Abort()
		return false, nil
	}
	if !a.reply.Sealed || a.reply.ContentEncoded {
		return false, a.spoiled("response without the mark of the backend server")
	}
	return g.receive(ctx, a)
}

func (g *Gateway) request(a *attempt) *upstream.Request {
	d := AttemptOptions{
		ServerID: a.target.ID, Workspace: a.workspace, Remaining: time.Until(a.deadline),
		Model: a.model, Urgency: a.urgency, ResumeAfter: a.lastEvent,
	}
	return &upstream.Request{
		Method: a.call.Method, Target: a.call.Target, Host: a.call.Host,
		Header: g.Codec.Encode(a.call, d), Body: a.call.Body, FreshConnection: !a.route.MayRepeat(),
	}
}

// silenceBound returns how long the server of a request may be silent.
func silenceBound(route *topology.Route, call *Call) time.Duration {
	if call.PromptTokens > 0 || route.LatencyTarget <= 0 {
		return engineSilence
	}
	return min(engineSilence, silenceFactor*route.LatencyTarget)
}

// watchSilence ends the attempt when the backend server gives no sign of life on
// any of this router's requests. A busy server is heard through the others.
func (g *Gateway) watchSilence(a *attempt, cancel context.CancelCauseFunc) (stop func()) {
	bound := silenceBound(a.route, a.call)
	timer := time.NewTimer(silenceCheck)
	ended := make(chan struct{})
	go func() {
		defer timer.Stop()
		for {
			select {
			case <-ended:
				return
			case now := <-timer.C:
				if a.slow(now) {
					g.observe(a, Sample{Slow: true})
				}
				if now.Sub(a.sentAt) > bound && now.Sub(a.choice.LastActivity()) > bound {
					cancel(errSilent)
					return
				}
				timer.Reset(silenceCheck)
			}
		}
	}()
	return func() { close(ended) }
}

// failed classifies an attempt without a response.
func (a *attempt) failed(ctx context.Context, err error) *result.Error {
	a.outcome = selection.Unreachable
	if errors.Is(err, upstream.ErrNotSent) {
		if a.callerGone() {
			a.outcome = selection.Cancelled
			return result.CallerGone.With("")
		}
		a.lost = true
		return result.BackendDown.With("%v", err)
	}
	return a.broken(ctx, err)
}

// broken classifies an attempt that was cut after it may have begun to run. Its
// codes say that the outcome is unknown.
func (a *attempt) broken(ctx context.Context, err error) *result.Error {
	switch {
	case a.callerGone():
		a.outcome = selection.Cancelled
		return result.CallerGone.With("")
	case errors.Is(context.Cause(ctx), errSilent):
		a.outcome = selection.Unreachable
		return result.StreamBroken.With("silent")
	case !time.Now().Before(a.deadline):
		a.outcome = selection.Cancelled
		return result.DeadlinePassed.With("")
	}
	a.outcome, a.lost = selection.Failed, true
	return result.StreamBroken.With("%v", err)
}

func (a *attempt) spoiled(reason string) *result.Error {
	a.outcome = selection.Failed
	a.exchange.Abort()
	return result.BackendError.With("%s", reason)
}

func (x *requestState) callerGone() bool { return x.ctx.Err() != nil }

// verdict states the end of a request whose caller has left or whose time is over.
func (x *requestState) verdict(ctx context.Context, failure *result.Error) *result.Error {
	switch {
	case x.callerGone():
		return result.CallerGone.With("")
	case !time.Now().Before(x.deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlinePassed.With("%s", failure.Detail)
	}
	return failure
}
