package agent

import (
	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// Invariants asserted before the agent sends a request to its backend server.
const (
	// invariantDispatch: a request is dispatched only if the workspace may use the
	// version and the version accepts new requests.
	invariantDispatch invariant.Name = "forbidden_version_dispatched"
	// invariantNoRecord: a non-idempotent request runs only with an idempotency record.
	invariantNoRecord invariant.Name = "non_idempotent_without_record"
	// invariantLeaving: a leaving backend server receives no new requests.
	invariantLeaving invariant.Name = "leaving_dispatched"
)

// assertDispatchInvariants checks the invariants immediately before the request is
// sent to the backend server, against the effective view.
func (e *execution) assertDispatchInvariants() {
	check := e.agent.Checker
	v := e.effectiveView()
	if !check.Assert(v.current != nil, invariantDispatch, "no configuration") {
		return
	}
	check.Assert(v.leaving == "", invariantLeaving, "%s", v.leaving)
	idempotent, reason := v.authorise(e.in)
	permitted := check.Assert(reason == routing.ReasonNone, invariantDispatch, "%s for %s in version %d: %s",
		logTarget(e.in), e.in.GetWorkspace(), v.version(), reason)
	check.Assert(!permitted || idempotent || e.ticket != nil, invariantNoRecord, "request %x has no at-most-once record", e.in.GetRequestId())
}

// effectiveView returns the newest view. A view that is replaced after a request
// passed its checks stays valid for that request for viewGrace; the new view
// applies from the next request.
func (e *execution) effectiveView() *view {
	newest := e.agent.view.Load()
	replaced := e.view.replaced.Load()
	if newest == e.view || replaced == nil || e.agent.Clock.Now().Sub(*replaced) < viewGrace {
		return e.view
	}
	return newest
}

func (a *Agent) logRefusal(e *execution, err *result.Error) {
	a.Log.Info().Hex("request", e.in.GetRequestId()).Uint32("attempt", e.in.GetAttempt()).Str("workspace", e.in.GetWorkspace()).
		Str("target", logTarget(e.in)).Int("code", err.Code.Number).Str("reason", err.Error()).
		Uint64("bundle_version", e.view.version()).Msg("request refused")
}

func (a *Agent) logOutcome(e *execution, r reply) {
	event := a.Log.Debug()
	if r.err != nil {
		event = a.Log.Info().Int("code", r.err.Code.Number).Str("reason", r.err.Error())
	}
	event.Hex("request", e.in.GetRequestId()).Uint32("attempt", e.in.GetAttempt()).Str("workspace", e.in.GetWorkspace()).
		Str("target", logTarget(e.in)).Int("status", r.status).Uint64("tokens_in", r.tokensIn).Uint64("tokens_out", r.tokensOut).
		Uint64("bundle_version", e.view.version()).Msg("request finished")
}

func logTarget(in *rpc.ExecuteRequest) string {
	if in.GetService() != "" {
		return in.GetService()
	}
	return target(in)
}
