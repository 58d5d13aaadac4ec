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

// chatPipe returns the filters of a chat-completions request.
func (r *Router) chatPipe() pipe {
	return pipe{
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

// serveCall runs a pipe and answers its error.
func (r *Router) serveCall(w http.ResponseWriter, request *http.Request, p pipe, prepare func(*call)) {
	if r.Draining() {
		// Callers reconnect through the balancer before the listener closes.
		w.Header().Set("Connection", "close")
	}
	c := &call{writer: w, request: request, started: r.Clock.Now()}
	if prepare != nil {
		prepare(c)
	}
	r.metrics.requests.Inc()
	err := c.aboutKey(p.run(request.Context(), c))
	r.metrics.finished(err, r.Clock.Now().Sub(c.started))
	if err != nil {
		r.answerError(c, err)
	}
}

// admit takes a place of the workspace's fair share and the memory that a slow
// reader of the answer can hold: the receive window of one stream.
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

// weightOf returns the workspace's weight in hundredths; the default weight is 1.
func weightOf(w *bundle.Workspace) int {
	const hundredths = 100
	if w.Weight == 0 {
		return hundredths
	}
	return max(int(w.Weight*hundredths), 1)
}

// place chooses model and version.
func (r *Router) place(_ context.Context, c *call) *result.Error {
	v := r.view.Load()
	if c.route.Session == nil {
		c.route.Session = &routing.Session{ID: c.route.ID, Workspace: c.workspace.Name}
	}
	c.decision = v.routes.Place(&c.route, newSource(), r.Check)
	r.logPlacement(c, v)
	if c.decision.Refused {
		return c.decision.Err()
	}
	c.pin(&c.decision)
	return r.setSessionHeaders(c)
}

// pin adds the decision's version to the session.
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

// answer runs the request and answers the caller.
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
	r.rateLater(c, &c.decision, out.text())
	return nil
}

// cascade runs the cheaper model into memory, has the answer rated and escalates
// when the score is low and the deadline allows.
func (r *Router) cascade(ctx context.Context, c *call) *result.Error {
	draft := r.newAnswer(c, &c.decision)
	draft.hold = true
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
	}, r.Check)
	r.logEscalation(c, score, rated, &second, escalate)
	if rated {
		r.countRating(routing.FirstAnswerKey(&c.route, &c.decision, score), score)
	}
	if escalate {
		if done, err := r.escalated(ctx, c, &second, score); done {
			return err
		}
	}
	if err := draft.finish(attempt.charge); err != nil {
		return result.CallerGone.With("")
	}
	return nil
}

// escalated answers with the second model. It returns false when the draft must
// stand in because the second model gave nothing.
func (r *Router) escalated(ctx context.Context, c *call, second *routing.Decision, score float64) (bool, *result.Error) {
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
	r.rateEscalated(c, second, score, out.text())
	return true, nil
}

// admissionError translates refusals of the fair admission.
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

// minService is the least time that a request needs after admission.
const minService = 10 * time.Millisecond
