package router

import (
	"context"
	"errors"
	"math/rand/v2"

	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// maxAttempts bounds the attempts of one request, refusals included.
const maxAttempts = 6

// job is one step of a request: it runs at one backend server, tried at several
// agents if necessary.
type job struct {
	call *call
	// target is model@version or the service's name.
	target string
	prefix uint64
	in     *rpc.ExecuteRequest
	out    receiver
	// idempotent allows another attempt after an unknown outcome.
	idempotent bool
	tried      []string
	attempts   uint32
}

// runJob tries agents until the job is done or may not be tried again.
func (r *Router) runJob(ctx context.Context, j *job) attemptResult {
	if !r.charges.Reserve() {
		return attemptResult{err: result.LedgerFull.With("")}
	}
	out := r.tryAgents(ctx, j)
	if out.charge == nil {
		r.charges.Release()
		return out
	}
	r.commitCharge(out.charge)
	return out
}

func (r *Router) tryAgents(ctx context.Context, j *job) attemptResult {
	random := newRandom()
	r.retries.Attempt()
	for {
		out := r.tryOnce(ctx, random, j)
		if out.err == nil || !r.mayRetry(ctx, j, out) {
			return out
		}
		if refused := r.pause(ctx, random, j, out); refused != nil {
			return attemptResult{err: refused, begun: out.begun}
		}
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (r *Router) tryOnce(ctx context.Context, random *rand.Rand, j *job) attemptResult {
	to, err := r.chooseServer(random, j)
	if err != nil {
		return attemptResult{err: err}
	}
	return r.attempt(ctx, j, to)
}

// attempt runs the job at one agent.
func (r *Router) attempt(ctx context.Context, j *job, to peer) attemptResult {
	v := r.view.Load()
	j.in.Attempt = j.attempts
	j.in.BundleVersion = v.version()
	j.in.DeadlineMs = uint32(max(j.call.remaining(r.Clock.Now()).Milliseconds(), 1))
	j.attempts++
	j.tried = append(j.tried, to.vm)
	r.metrics.attempts.Inc()
	out := r.execute(ctx, to, j.in, j.out)
	r.logAttempt(j, to, v.version(), out)
	return out
}

// mayRetry tells whether another attempt is allowed: always after a proved "not
// run", after an unknown outcome only when the job is idempotent and the caller
// has seen nothing.
func (r *Router) mayRetry(ctx context.Context, j *job, out attemptResult) bool {
	if ctx.Err() != nil || j.attempts >= maxAttempts || !out.err.Code.Retry {
		return false
	}
	if out.err.Code.Run == result.NotRun {
		return true
	}
	return j.idempotent && !out.begun
}

// pause waits before the next attempt. The first attempt after a refusal is free,
// since no backend server has seen the request; all others take from the budget.
func (r *Router) pause(ctx context.Context, random *rand.Rand, j *job, out attemptResult) *result.Error {
	free := j.attempts <= 1 && out.err.Code.Run == result.NotRun
	if !free && !r.retries.Retry() {
		r.metrics.budgetRefusals.Inc()
		if out.err.Code.Run == result.NotRun {
			return result.RetryBudget.With("after %s", out.err)
		}
		return out.err
	}
	if free {
		return nil
	}
	wait := r.retries.Backoff(int(j.attempts), random)
	if wait >= j.call.remaining(r.Clock.Now()) {
		return out.err
	}
	if r.Clock.Sleep(ctx, wait) != nil {
		return out.err
	}
	r.metrics.retries.Inc()
	return nil
}

// chooseServer picks an agent for the job on the newest view.
func (r *Router) chooseServer(random *rand.Rand, j *job) (peer, *result.Error) {
	v := r.view.Load()
	agent, ok := v.servers.Choose(random, r.Clock.Now(), balance.Request{Target: j.target, Prefix: j.prefix, Tried: j.tried})
	if !ok {
		return peer{}, result.NoBackend.With("%s", j.target)
	}
	to, ok := v.peers[agent.VM]
	if !ok {
		return peer{}, result.NoBackend.With("%s", agent.VM)
	}
	return to, nil
}

// newModelJob prepares one step of a model request.
func (r *Router) newModelJob(c *call, d *routing.Decision, step uint32, out receiver) *job {
	return &job{
		call:       c,
		target:     d.Model + "@" + d.Version,
		prefix:     c.prefixHash(),
		out:        out,
		idempotent: true,
		in: &rpc.ExecuteRequest{
			RequestId:    c.id[:],
			Step:         step,
			Workspace:    c.workspace.Name,
			Model:        d.Model,
			Version:      d.Version,
			Body:         c.body,
			Stream:       c.chat.Stream,
			PromptTokens: uint32(len(c.body) / bytesPerToken),
			MaxTokens:    uint32(c.chat.answerTokens()),
			PrefixHash:   c.prefixHash(),
			Idempotent:   true,
		},
	}
}

// asError returns the result error in err, or Internal.
func asError(err error) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Internal.With("%v", err)
}
