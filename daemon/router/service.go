package router

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/dispatch"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// servicePrefix is the path prefix of service calls: /v1/services/{service}/{path}.
const servicePrefix = "/v1/services/"

// bindTimeout bounds the store write that binds a caller's own key to its home, the
// agent incarnation that runs the key's call and records its outcome.
const bindTimeout = 2 * time.Second

// rejoinInterval is the pause after a broken connection before the call is sent to
// its home again to get the outcome.
const rejoinInterval = 200 * time.Millisecond

// serviceFilters returns the filters of a service call.
func (r *Router) serviceFilters() filterChain {
	return filterChain{
		{"authenticate", r.authenticate},
		{"deadline", r.setDeadline},
		{"body", r.readBody},
		{"operation", r.findOperation},
		{"key", r.readKey},
		{"admit", r.admit},
		{"call", r.callService},
	}
}

func (r *Router) serveService(w http.ResponseWriter, request *http.Request) {
	r.serveCall(w, request, r.service, func(c *call) {
		rest := strings.TrimPrefix(request.URL.Path, servicePrefix)
		name, path, _ := strings.Cut(rest, "/")
		c.service, c.path = name, "/"+path
	})
}

// findOperation looks up the bundle's operation that matches the call's method and
// path, and checks that the workspace may use it.
func (r *Router) findOperation(_ context.Context, c *call) *result.Error {
	operation, reason := c.view.routes.AuthoriseService(c.workspace.Name, c.service, c.request.Method, c.path)
	if reason != routing.ReasonNone {
		return reason.Code().With("%s %s %s: %s", c.service, c.request.Method, c.path, reason)
	}
	if !utf8.ValidString(c.path) || !utf8.ValidString(c.request.Header.Get("Content-Type")) {
		return result.BadRequest.With("path or content type is not UTF-8")
	}
	c.operation = operation
	return c.identify()
}

// readKey parses the caller's idempotency key of a non-idempotent call.
func (r *Router) readKey(_ context.Context, c *call) *result.Error {
	if c.operation.Idempotent || !c.callerKey {
		return nil
	}
	key, err := idempotency.ParseKey(c.request.Header.Get(headerIdempotencyKey))
	if err != nil {
		return result.BadIdempotency.With("%v", err)
	}
	c.key = key
	return nil
}

// callService runs the call at an agent and sends the answer to the caller.
func (r *Router) callService(ctx context.Context, c *call) *result.Error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	out := &serviceAnswer{call: c}
	j := r.newServiceJob(c, out)
	attempt := r.runServiceJob(ctx, j)
	if attempt.err != nil {
		return attempt.err
	}
	if err := out.finish(); err != nil {
		return result.CallerGone.With("")
	}
	return nil
}

func (r *Router) runServiceJob(ctx context.Context, j *job) attemptResult {
	if j.idempotent {
		return r.runJob(ctx, j)
	}
	if !r.charges.Reserve() {
		return attemptResult{err: result.LedgerFull.With("")}
	}
	out := r.runOnce(ctx, j)
	if out.charge == nil {
		r.charges.Release()
		return out
	}
	r.commitCharge(out.charge)
	return out
}

func (r *Router) newServiceJob(c *call, out receiver) *job {
	return &job{
		call:       c,
		target:     c.service,
		out:        out,
		idempotent: c.operation.Idempotent,
		in: &rpc.ExecuteRequest{
			RequestId:    c.id[:],
			Workspace:    c.workspace.Name,
			Service:      c.service,
			Method:       c.request.Method,
			Path:         c.path,
			ContentType:  c.request.Header.Get("Content-Type"),
			Body:         c.body,
			Idempotent:   c.operation.Idempotent,
			PromptTokens: 1,
		},
	}
}

// runOnce runs a non-idempotent call at the home of its key. If the caller sent no
// key, the router creates one for each attempt at an agent: a key that its home
// refused never runs, so the call can be sent elsewhere under a new key.
func (r *Router) runOnce(ctx context.Context, j *job) attemptResult {
	if j.call.callerKey {
		home, err := r.findHome(ctx, j)
		if err != nil {
			return attemptResult{err: err}
		}
		return r.runAtHome(ctx, j, home)
	}
	s := &onceSender{agentSender{router: r, job: j, random: newRandom()}}
	s.last.err = dispatch.Run(ctx, r.dispatchRequest(j), s)
	return s.last
}

// onceSender sends the attempts of a non-idempotent call, each under a key whose
// home is the chosen agent. It implements dispatch.Sender.
type onceSender struct{ agentSender }

// Send makes one attempt under a new key.
func (s *onceSender) Send(ctx context.Context, to peer) dispatch.Outcome[peer] {
	r, j := s.router, s.job
	key, err := r.keys.New(to.incarnation)
	if err != nil {
		s.last = attemptResult{err: result.NoBackend.With("%v", err)}
		return r.outcome(s.last)
	}
	j.call.key = key
	j.call.writer.Header().Set(headerIdempotencyKey, key.String())
	s.last = r.runAtHome(ctx, j, to)
	if s.last.err != nil && s.last.err.Code == result.WrongHome {
		// The agent restarted after it was chosen. The call may run elsewhere under
		// another key.
		s.last.err = result.AgentLeaving.With("%s", s.last.err)
	}
	return r.outcome(s.last)
}

// runAtHome runs the call at its home. After a broken connection it sends the call
// to the same home again, which joins the running call or returns the recorded
// outcome. If the home itself reports an unknown outcome, that is final.
func (r *Router) runAtHome(ctx context.Context, j *job, home peer) attemptResult {
	j.in.IdempotencyKey = j.call.key.String()
	j.in.Home = home.incarnation
	sent := false
	for {
		out := r.attempt(ctx, j, home)
		if out.err == nil {
			return out
		}
		j.call.homeRefused = out.refused && out.err.Code != result.WrongHome
		final := out.err.Code == result.OutcomeUnknown
		unknown := out.err.Code.Run == result.Unknown
		sent = sent || unknown
		if !unknown && j.call.callerKey && homeLost(out) || sent && !unknown && !refusesKey(out.err.Code) {
			// An earlier attempt may have reached the home, and the refusal of this one
			// does not show that it has not run.
			out.err = result.OutcomeUnknown.With("%s", out.err)
			unknown = true
		}
		if !unknown || final || out.err.Code == result.OutcomeUnknown && !sent || j.attempts >= maxAttempts {
			return asOutcomeUnknown(out)
		}
		if r.Clock.Sleep(ctx, rejoinInterval) != nil {
			return asOutcomeUnknown(out)
		}
	}
}

// homeLost reports whether the attempt did not reach the incarnation that the key
// names. An earlier call under the key may have run there.
func homeLost(out attemptResult) bool {
	return out.err.Code.Run == result.NotRun && (!out.refused || out.err.Code == result.WrongHome)
}

// refineKeyError replaces a "not run" error of a call whose key may have been used
// before, because only the key's home knows whether the key has run.
func (c *call) refineKeyError(err *result.Error) *result.Error {
	const firstCapacityCode = 2000
	keyed := c.service != "" && c.request.Header.Get(headerIdempotencyKey) != ""
	idempotent := c.operation != nil && c.operation.Idempotent
	if err == nil || !keyed || idempotent || c.homeRefused || err.Code.Run != result.NotRun || err.Code.Number < firstCapacityCode {
		return err
	}
	return result.KeyNotAsked.With("%s", err)
}

// refusesKey reports whether a refusal applies to the key and not only to this
// attempt.
func refusesKey(code result.Code) bool { return code == result.KeyReused }

// asOutcomeUnknown maps every unknown outcome of a non-idempotent call to the code
// OutcomeUnknown, which does not suggest a retry under another key. CallerGone is
// kept.
func asOutcomeUnknown(out attemptResult) attemptResult {
	if out.err != nil && out.err.Code.Run == result.Unknown && out.err.Code != result.CallerGone {
		out.err = result.OutcomeUnknown.With("%s", out.err)
	}
	return out
}

// findHome finds the home of the caller's key. A key that the caller generated is
// first bound to a home in the store.
func (r *Router) findHome(ctx context.Context, j *job) (peer, *result.Error) {
	incarnation, generated := idempotency.Home(j.call.key)
	if !generated {
		bound, err := r.bind(ctx, j)
		if err != nil {
			return peer{}, err
		}
		incarnation = bound
	}
	v := r.view.Load()
	if to, ok := v.peers[v.homes[incarnation]]; ok {
		return to, nil
	}
	if to, ok := r.searchHome(ctx, incarnation); ok {
		return to, nil
	}
	return peer{}, result.OutcomeUnknown.With("the home of the key is gone")
}

// searchHome looks for the home among all agents, also those outside of this
// router's subset. It asks those whose VM name matches the incarnation, usually one
// and by chance two.
func (r *Router) searchHome(ctx context.Context, incarnation uint64) (peer, bool) {
	for _, p := range r.Directory.Processes().All {
		if p.Role != auth.RoleAgent || !idempotency.MatchesHost(incarnation, p.VM) {
			continue
		}
		to := peer{vm: p.VM, dataCentre: p.DataCentre, address: p.Address, incarnation: incarnation, inFlight: &balance.InFlightCounter{}}
		state, err := r.askState(ctx, to)
		if err == nil && state.GetIncarnation() == incarnation {
			return to, true
		}
	}
	return peer{}, false
}

func (r *Router) bind(ctx context.Context, j *job) (uint64, *result.Error) {
	random := newRandom()
	to, _, err := r.chooseServer(random, j)
	if err != nil {
		return 0, err
	}
	bounded, cancel := context.WithTimeout(ctx, bindTimeout)
	defer cancel()
	id := bindingID{j.call.service, j.call.workspace.Name, j.call.key}
	home, bindErr := idempotency.Bind(bounded, r.Store, id.service, id.workspace, id.key, r.bindings.home(id, to.incarnation))
	if bindErr == nil {
		r.bindings.keep(id, home)
		return home, nil
	}
	if suggestion, keyErr := r.keys.New(to.incarnation); keyErr == nil {
		j.call.writer.Header().Set(headerSuggestedKey, suggestion.String())
	}
	return 0, result.KeyNeedsStore.With("%v", bindErr)
}

// keyAnswer is the response body of POST /v1/idempotency-keys.
type keyAnswer struct {
	Key string `json:"key"`
}

// newKey serves POST /v1/idempotency-keys?service=NAME: it returns a key whose home
// currently serves the service.
func (r *Router) newKey(_ context.Context, c *call) *result.Error {
	service := c.request.URL.Query().Get("service")
	if !slices.Contains(c.workspace.Allowed, "service:"+service) {
		return result.NotAllowed.With("service %q", service)
	}
	to, _, err := r.chooseServer(newRandom(), &job{call: c, target: service})
	if err != nil {
		return err
	}
	key, keyErr := r.keys.New(to.incarnation)
	if keyErr != nil {
		return result.NoBackend.With("%v", keyErr)
	}
	return writeJSON(c.writer, http.StatusOK, keyAnswer{Key: key.String()})
}

// serviceAnswer buffers the answer of a service call. It implements receiver.
type serviceAnswer struct {
	call        *call
	status      int
	contentType string
	body        []byte
}

func (a *serviceAnswer) begin(status int, contentType string) error {
	a.status, a.contentType, a.body = status, contentType, nil
	return nil
}

func (a *serviceAnswer) chunk(data []byte) error {
	a.body = append(a.body, data...)
	return nil
}

// started returns false, because finish sends the whole answer at the end.
func (a *serviceAnswer) started() bool { return false }

func (a *serviceAnswer) finish() error {
	header := a.call.writer.Header()
	if a.contentType != "" {
		header.Set("Content-Type", a.contentType)
	}
	header.Set(headerRequestID, uuid.UUID(a.call.id).String())
	if a.call.key != (idempotency.Key{}) {
		header.Set(headerIdempotencyKey, a.call.key.String())
	}
	a.call.writer.WriteHeader(a.status)
	_, err := a.call.writer.Write(a.body)
	return err
}
