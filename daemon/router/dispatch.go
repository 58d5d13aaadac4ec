package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/dispatch"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

const (
	// maxAttempts bounds the attempts of one request that a backend server may
	// have received.
	maxAttempts = 6
	// maxRefusals bounds how often agents may refuse one request.
	maxRefusals = 64
	// capacityWait bounds the wait for an agent with spare capacity. After it the
	// request is refused, even if its deadline is later, so that the caller can try
	// elsewhere.
	capacityWait = 10 * time.Second
	// capacityPoll is the first pause between two checks of the agents' capacity;
	// it doubles up to capacityPollMax.
	capacityPoll    = 5 * time.Millisecond
	capacityPollMax = 200 * time.Millisecond
	// maxPauseWait is the rest of a pause of all agents for which a request waits. For longer
	// ones the caller is refused at once and told when to return.
	maxPauseWait = 250 * time.Millisecond
	// priorityUnit is the time to the deadline that corresponds to one priority
	// level. Engines serve the lowest number first, hence the earliest deadline.
	priorityUnit = 100 * time.Millisecond
)

// job is one step of a request, which needs one backend server. Several agents may
// be tried until one completes it.
type job struct {
	call *call
	// target is model@version or the service's name.
	target string
	prefix uint64
	in     *rpc.ExecuteRequest
	out    receiver
	// idempotent allows a retry after an attempt with an unknown outcome.
	idempotent bool
	tried      []string
	attempts   uint32
	// waitUntil is the end of the wait for capacity, zero before the wait starts.
	waitUntil time.Time
}

// runJob reserves space for the job's charge, runs the job and queues the charge.
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

// tryAgents sends the job to agents until its outcome is final.
func (r *Router) tryAgents(ctx context.Context, j *job) attemptResult {
	s := &agentSender{router: r, job: j, random: newRandom()}
	err := dispatch.Run(ctx, r.dispatchRequest(j), s)
	s.last.err = err
	return s.last
}

// dispatchRequest counts the job in the retry budget and returns its retry policy.
func (r *Router) dispatchRequest(j *job) *dispatch.Request {
	r.retries.RecordFirstAttempt(r.Clock.Now())
	return &dispatch.Request{
		RetryPolicy: dispatch.RetryPolicy{
			Idempotent: j.idempotent, MaxAttempts: maxAttempts, MaxRefusals: maxRefusals, Deadline: j.call.deadline,
		},
		Budget: r.retries, Routers: 1, Now: r.Clock.Now,
	}
}

// agentSender sends the attempts of a job to agents. It implements dispatch.Sender.
type agentSender struct {
	router *Router
	job    *job
	random *rand.Rand
	// last is the result of the latest attempt.
	last attemptResult
}

// Choose waits for an agent with spare capacity.
func (s *agentSender) Choose(ctx context.Context) (peer, *result.Error) {
	s.last = attemptResult{}
	return s.router.awaitServer(ctx, s.random, s.job)
}

// Send makes one attempt.
func (s *agentSender) Send(ctx context.Context, to peer) dispatch.Outcome[peer] {
	s.last = s.router.attempt(ctx, s.job, to)
	return s.router.outcome(s.last)
}

// Pause waits before the next attempt.
func (s *agentSender) Pause(ctx context.Context, failure *result.Error) bool {
	return s.router.pause(ctx, s.random, s.job, failure)
}

func (r *Router) outcome(a attemptResult) dispatch.Outcome[peer] {
	if a.err != nil && a.err.Code.Run == result.NotRun {
		r.metrics.refusals.Inc()
	}
	return dispatch.Outcome[peer]{Err: a.err, Started: a.begun}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// awaitServer chooses an agent. If there is none or the chosen one is full, it waits
// and chooses again. Waiting in the router costs the agents nothing, unlike a
// refused attempt.
func (r *Router) awaitServer(ctx context.Context, random *rand.Rand, j *job) (peer, *result.Error) {
	if j.waitUntil.IsZero() {
		j.waitUntil = r.Clock.Now().Add(min(capacityWait, j.call.remaining(r.Clock.Now())))
	}
	pause := capacityPoll
	for {
		to, spare, err := r.chooseServer(random, j)
		if err == nil && spare > 0 {
			return to, nil
		}
		if err != nil && err.RetryAfter > maxPauseWait {
			return peer{}, err
		}
		if !r.Clock.Now().Add(pause).Before(j.waitUntil) {
			if err == nil {
				err = capacityError(ctx, j.target)
			}
			return peer{}, err
		}
		if r.Clock.Sleep(ctx, node.Jitter(random, pause)) != nil {
			return peer{}, capacityError(ctx, j.target)
		}
		pause = min(2*pause, capacityPollMax)
	}
}

// capacityError returns the error for a wait for capacity that ended without an
// agent: the caller disconnected or the time is up.
func capacityError(ctx context.Context, target string) *result.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.CallerGone.With("while waiting for capacity")
	}
	return result.Overloaded.With("no capacity for %s in time", target)
}

// attempt sends the job to one agent. It checks the version again, because it may
// have been withdrawn or stopped since it was chosen.
func (r *Router) attempt(ctx context.Context, j *job, to peer) attemptResult {
	v := r.view.Load()
	if refusal := j.withdrawn(v); refusal != nil {
		return attemptResult{err: refusal}
	}
	j.in.Attempt = j.attempts
	j.in.BundleVersion = v.version()
	remaining := max(j.call.remaining(r.Clock.Now()), time.Millisecond)
	j.in.DeadlineMs = uint32(remaining.Milliseconds())
	j.in.Priority = int32(remaining / priorityUnit)
	j.attempts++
	j.tried = append(j.tried, to.vm)
	r.metrics.attempts.Inc()
	out := r.execute(ctx, to, j.in, j.out)
	r.logAttempt(j, to, v.version(), out)
	return out
}

// withdrawn returns an error if the job's version no longer accepts requests of the
// workspace, else nil.
func (j *job) withdrawn(v *view) *result.Error {
	if j.in.GetModel() == "" {
		return nil
	}
	reason := v.routes.Authorise(j.in.GetWorkspace(), j.in.GetModel(), j.in.GetVersion())
	if reason == routing.ReasonNone {
		return nil
	}
	return reason.Code().With("%s %s", j.target, reason)
}

// pause waits before the next attempt and returns false if there is no time for
// one. After a failed attempt that may have run, the wait for capacity starts anew,
// since the attempt may have lasted longer than that wait.
func (r *Router) pause(ctx context.Context, random *rand.Rand, j *job, failure *result.Error) bool {
	until := j.waitUntil
	if failure.Code.Run == result.Unknown {
		until, j.waitUntil = j.call.deadline, time.Time{}
	}
	wait := limit.Backoff(int(min(j.attempts, maxAttempts)), random)
	return wait < until.Sub(r.Clock.Now()) && r.Clock.Sleep(ctx, wait) == nil
}

// balanceRequest returns the input for the choice of an agent.
func (j *job) balanceRequest() balance.Request {
	return balance.Request{Target: j.target, Prefix: j.prefix, MaxTokens: int(j.in.GetMaxTokens()), Tried: j.tried}
}

// chooseServer chooses an agent for the job from the latest view. It also returns
// the agent's estimated spare capacity.
func (r *Router) chooseServer(random *rand.Rand, j *job) (peer, int, *result.Error) {
	v := r.view.Load()
	if v.servers == nil {
		return peer{}, 0, result.NotReady.With("no configuration")
	}
	agent, ok := v.servers.Choose(random, r.Clock.Now(), j.balanceRequest())
	if !ok {
		err := result.NoBackend.With("%s", j.target)
		if err.RetryAfter = v.servers.PausedFor(r.Clock.Now(), j.target); err.RetryAfter > 0 {
			err.Detail += ": all backend servers have asked for a pause"
		}
		return peer{}, 0, err
	}
	to, ok := v.peers[agent.VM]
	if !ok {
		return peer{}, 0, result.NoBackend.With("%s", agent.VM)
	}
	return to, agent.Free + agent.InFlightAtReport - agent.InFlight.Count(), nil
}

// newModelJob returns the job for one step of a model request; a cascade has two.
func (r *Router) newModelJob(c *call, d *routing.Decision, step uint32, out receiver) *job {
	return &job{
		call:       c,
		target:     d.Model + "@" + d.Version,
		prefix:     c.prefix,
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
			PrefixHash:   c.prefix,
			Idempotent:   true,
		},
	}
}
