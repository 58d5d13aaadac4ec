package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
)

// chatFilters returns the filters of a chat-completions request.
func (r *Router) chatFilters() filterChain {
	return filterChain{
		{"authenticate", r.authenticate},
		{"deadline", r.setDeadline},
		{"body", r.readBody},
		{"decode", r.decodeChat},
		{"session", r.readSession},
		{"admit", r.admit},
		{"place", r.place},
		{"answer", r.answer},
	}
}

// serveChat answers POST /v1/chat/completions.
func (r *Router) serveChat(w http.ResponseWriter, request *http.Request) {
	r.serveCall(w, request, r.chat, nil)
}

// serveCall runs a filter chain and sends an error response if it fails.
func (r *Router) serveCall(w http.ResponseWriter, request *http.Request, p filterChain, prepare func(*call)) {
	if r.Draining() {
		// Makes callers reconnect through the load balancer before the listener closes.
		w.Header().Set("Connection", "close")
	}
	c := newCall(w, request)
	c.started = r.Clock.Now()
	defer c.requestBody.Release()
	if prepare != nil {
		prepare(c)
	}
	r.metrics.requests.Inc()
	err := c.refineKeyError(p.run(request.Context(), c))
	r.metrics.observe(err, r.Clock.Now().Sub(c.started))
	if err != nil {
		r.answerError(c, err)
	}
}

// admit acquires a slot of the workspace's fair share and reserves the memory that
// a slow reader of the answer can occupy: the receive window of one stream.
func (r *Router) admit(ctx context.Context, c *call) *result.Error {
	share := limit.Share{Weight: weightOf(c.workspace), Max: c.workspace.MaxConcurrent}
	release, err := r.fair.Acquire(ctx, c.workspace.Name, share, c.deadline)
	if err != nil {
		return admissionError(ctx, err)
	}
	c.onEnd(release)
	buffer, err := r.buffers.Open(c.workspace.Name)
	if err != nil {
		return result.Overloaded.With("%v", err)
	}
	c.onEnd(buffer.Discard)
	return nil
}

// weightOf returns the workspace's weight in hundredths. A workspace without a
// weight gets 1.
func weightOf(w *bundle.Workspace) int {
	const hundredths = 100
	if w.Weight == 0 {
		return hundredths
	}
	return max(int(w.Weight*hundredths), 1)
}

// place chooses the model and version and pins them to the session.
func (r *Router) place(_ context.Context, c *call) *result.Error {
	v := r.view.Load()
	if c.route.Session == nil {
		c.route.Session = &routing.Session{ID: c.route.ID, Workspace: c.workspace.Name}
	}
	c.decision = v.routes.Place(&c.route, newSource(), r.Checker)
	r.logPlacement(c, v)
	if c.decision.Refused {
		return c.decision.Err()
	}
	c.pin(&c.decision)
	return r.setSessionHeaders(c)
}

// pin records the decision's version in a copy of the session. A moved session
// loses its previous pin of the model.
func (c *call) pin(d *routing.Decision) {
	session := *c.route.Session
	pins := make([]routing.Pin, 0, len(session.Pins)+1)
	for _, p := range session.Pins {
		if p.Model != d.Model || d.MovedFrom == "" {
			pins = append(pins, p)
		}
	}
	if d.NewPin || d.MovedFrom != "" {
		pins = append(pins, routing.Pin{Model: d.Model, Version: d.Version})
	}
	session.Pins = pins
	c.route.Session = &session
}

func (r *Router) setSessionHeaders(c *call) *result.Error {
	token, err := r.sessions.Sign(*c.route.Session, r.Clock.Now())
	if err != nil {
		return result.Internal.With("%v", err)
	}
	header := c.writer.Header()
	header.Set(headerSessionToken, token)
	header.Set(headerRequestID, uuid.UUID(c.id).String())
	if c.decision.MovedFrom != "" {
		header.Set(headerSessionMoved, c.decision.Model+"@"+c.decision.MovedFrom+" -> "+c.decision.Model+"@"+c.decision.Version)
	}
	return nil
}

// answer runs the request at an agent and sends the answer to the caller.
func (r *Router) answer(ctx context.Context, c *call) *result.Error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if c.decision.Policy != nil && c.decision.Policy.Plan != nil {
		return r.cascade(ctx, c)
	}
	out := r.newAnswer(c, &c.decision)
	attempt := r.runJob(ctx, r.newModelJob(c, &c.decision, 0, out))
	if attempt.err != nil {
		return attempt.err
	}
	if err := out.finish(attempt.charge); err != nil {
		return result.CallerGone.With("")
	}
	r.rateInBackground(c, &c.decision, out.text())
	return nil
}

// cascade buffers the answer of the cheaper model, has it rated, and asks the
// second model when the score is low and the deadline leaves time for it.
func (r *Router) cascade(ctx context.Context, c *call) *result.Error {
	draft := r.newAnswer(c, &c.decision)
	draft.buffered = true
	attempt := r.runJob(ctx, r.newModelJob(c, &c.decision, 0, draft))
	if attempt.err != nil {
		return attempt.err
	}
	score, rated := r.rate(ctx, c, &c.decision, draft.text())
	second, escalate := r.view.Load().routes.Escalate(&c.route, &c.decision, routing.EscalationInput{
		Score:     score,
		Rated:     rated,
		Remaining: c.remaining(r.Clock.Now()),
		Expected:  r.Clock.Now().Sub(c.started),
	}, r.Checker)
	r.logEscalation(c, score, rated, &second, escalate)
	if rated {
		r.countRating(routing.FirstAnswerKey(&c.route, &c.decision, score), score)
	}
	if escalate {
		if done, err := r.answerEscalated(ctx, c, &second, score); done {
			return err
		}
	}
	if err := draft.finish(attempt.charge); err != nil {
		return result.CallerGone.With("")
	}
	return nil
}

// answerEscalated answers with the second model. It returns false when the caller
// has received nothing because the second model failed, so that the first model's
// answer is sent instead.
func (r *Router) answerEscalated(ctx context.Context, c *call, second *routing.Decision, score float64) (bool, *result.Error) {
	c.pin(second)
	if err := r.setSessionHeaders(c); err != nil {
		return true, err
	}
	out := r.newAnswer(c, second)
	attempt := r.runJob(ctx, r.newModelJob(c, second, 1, out))
	if attempt.err != nil && !out.started() {
		return false, nil
	}
	if attempt.err != nil {
		return true, attempt.err
	}
	if err := out.finish(attempt.charge); err != nil {
		return true, result.CallerGone.With("")
	}
	r.rateSecondAnswer(c, second, score, out.text())
	return true, nil
}

// admissionError maps an error of the fair limiter to a result code.
func admissionError(ctx context.Context, err error) *result.Error {
	switch {
	case ctx.Err() != nil:
		return result.CallerGone.With("")
	case isDeadline(err):
		return result.DeadlineTooSoon.With("%v", err)
	default:
		return result.Overloaded.With("%v", err)
	}
}

// minServiceTime is the least time that a request needs after admission; a request
// whose deadline is closer is refused.
const minServiceTime = 10 * time.Millisecond
