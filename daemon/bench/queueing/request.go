package queueing

import (
	"time"

	"cactusknot.example/coord/limit"
)

// retryDelayWithoutBudget is the fixed delay before each retry of the baseline
// without a retry budget.
const retryDelayWithoutBudget = 10 * time.Millisecond

// request is the state of a caller's request at its router.
type request struct {
	id        int
	router    *router
	lengths   lengths
	arrivedAt time.Duration
	// firstToken is the time from arrival to the first token; 0 before.
	firstToken time.Duration
	tried      []string
	attempts   int
	retries    int
	ended      bool
	// answers counts complete answers; more than one makes the request a duplicate.
	answers int
	// current is the last attempt, which is cancelled when the deadline expires.
	current *attempt
}

// attempt is one dispatch of a request to a server.
type attempt struct {
	request      *request
	number       int
	server       *server
	permit       *limit.Permit
	sequence     *sequence
	dispatchedAt time.Duration
	// firstTokenAt is when the agent received the first token.
	firstTokenAt time.Duration
	closed       bool
}

type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeBroken
	outcomeTimeout
)

func (r *router) accept(l lengths) {
	c := r.cluster
	q := &request{id: c.record.started, router: r, lengths: l, arrivedAt: c.loop.now}
	c.record.started++
	r.budget.RecordFirstAttempt(c.loop.clock.Now())
	c.loop.after(c.workload.Deadline, func() { q.expire() })
	q.dispatch()
}

func (q *request) dispatch() {
	if q.ended {
		return
	}
	c := q.router.cluster
	index := c.policy.choose(q.router, q)
	if index < 0 {
		q.retryOrFinish(outcomeRefused)
		return
	}
	s := c.servers[index]
	q.attempts++
	c.record.attempts++
	c.record.dispatches = append(c.record.dispatches, c.loop.now)
	q.tried = append(q.tried, s.vm)
	a := &attempt{request: q, number: q.attempts, server: s, dispatchedAt: c.loop.now}
	q.current = a
	q.router.view[index].InFlight.Start()
	c.loop.after(c.delay(q.router.dc, s.dc), a.arrive)
	c.loop.after(c.workload.FirstTokenTimeout, a.firstTokenTimeout)
}

// arrive handles the arrival of the attempt at the agent.
func (a *attempt) arrive() {
	s := a.server
	c := s.cluster
	if a.closed {
		return
	}
	if !s.alive {
		c.loop.after(connectTimeout, func() { a.end(outcomeBroken, nil) })
		return
	}
	l := a.request.lengths
	permit, refusal := s.admission.Admit(l.prompt + c.workload.AnswerMax)
	if refusal == limit.NotRefused && !s.engine.up {
		permit.Fail()
		refusal = limit.RefusedDown
	}
	if refusal != limit.NotRefused {
		c.record.refusals++
		a.reply(func() { a.end(outcomeRefused, nil) })
		return
	}
	a.permit = permit
	c.record.admissions = append(c.record.admissions, admission{at: c.loop.now, dc: s.dc})
	a.sequence = &sequence{lengths: l, onFirstToken: a.recordFirstToken, onDone: a.done, onFailed: a.failed}
	s.engine.submit(a.sequence)
}

// reply sends a reply with the agent's state to the router, which updates its view
// and then calls run.
func (a *attempt) reply(run func()) {
	s := a.server
	r := a.request.router
	rep := s.report()
	s.cluster.loop.after(s.cluster.delay(r.dc, s.dc), func() {
		r.update(s, rep)
		run()
	})
}

func (a *attempt) recordFirstToken(cached int) {
	c := a.server.cluster
	l := a.request.lengths
	a.firstTokenAt = c.loop.now
	a.permit.RecordFirstToken(limit.FirstTokenSample{
		FirstToken:   c.loop.now - a.dispatchedAt,
		PromptTokens: l.prompt,
		Cached:       cached,
	})
	a.reply(func() {
		if !a.closed && a.request.firstToken == 0 {
			a.request.firstToken = c.loop.now - a.request.arrivedAt
		}
	})
}

func (a *attempt) done() {
	a.permit.RecordDecode(a.request.lengths.answer, a.server.cluster.loop.now-a.firstTokenAt)
	a.permit.Complete()
	a.reply(func() { a.end(outcomeDone, nil) })
}

// failed is called when the engine stops while it holds the request.
func (a *attempt) failed() {
	a.permit.Fail()
	if !a.server.alive {
		a.server.cluster.loop.after(connectTimeout, func() { a.end(outcomeBroken, nil) })
		return
	}
	a.reply(func() { a.end(outcomeBroken, nil) })
}

// firstTokenTimeout cancels the attempt if it has no first token yet.
func (a *attempt) firstTokenTimeout() {
	if a.closed || a.request.firstToken > 0 {
		return
	}
	a.end(outcomeTimeout, a.cancel)
}

func (a *attempt) cancel() {
	if a.sequence == nil || a.sequence.cancelled {
		return
	}
	a.sequence.cancelled = true
	a.permit.Release()
}

// end closes the attempt at the router, then finishes or retries its request.
// cancel, if not nil, runs at the agent after the network delay.
func (a *attempt) end(o outcome, cancel func()) {
	if a.closed {
		return
	}
	a.closed = true
	q := a.request
	r := q.router
	r.view[a.server.index].InFlight.Done()
	if cancel != nil {
		r.cluster.loop.after(r.cluster.delay(r.dc, a.server.dc), cancel)
	}
	if o == outcomeDone {
		q.answers++
		q.finish(o)
		return
	}
	q.retryOrFinish(o)
}

// retryOrFinish retries the request when nothing of the answer was sent to the
// caller and the policy allows it, else it finishes the request with the outcome.
func (q *request) retryOrFinish(o outcome) {
	if q.ended {
		return
	}
	r := q.router
	c := r.cluster
	if q.firstToken > 0 || c.policy.retries == retryNever {
		q.finish(o)
		return
	}
	if c.policy.retries == retryBudget && !r.budget.Take(c.loop.clock.Now(), 1) {
		c.record.budgetRefusals++
		q.finish(o)
		return
	}
	q.retries++
	delay := retryDelayWithoutBudget
	if c.policy.retries == retryBudget {
		delay = limit.Backoff(q.retries, r.random)
	}
	c.loop.after(delay, q.dispatch)
}

func (q *request) expire() {
	if q.ended {
		return
	}
	if a := q.current; a != nil && !a.closed {
		a.closed = true
		q.router.view[a.server.index].InFlight.Done()
		c := q.router.cluster
		c.loop.after(c.delay(q.router.dc, a.server.dc), a.cancel)
	}
	q.finish(outcomeTimeout)
}

func (q *request) finish(o outcome) {
	if q.ended {
		return
	}
	q.ended = true
	q.router.cluster.record.end(q, o)
}
