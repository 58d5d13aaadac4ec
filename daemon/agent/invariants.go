package agent

import (
	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// Invariants asserted where the agent hands a request to its backend server.
const (
	// invariantDispatch: only a version that the workspace may use and that takes
	// new work reaches the backend server.
	invariantDispatch invariant.Name = "forbidden_version_dispatched"
	// invariantNoRecord: a non-idempotent request runs only under a record.
	invariantNoRecord invariant.Name = "non_idempotent_without_record"
	// invariantLeaving: a leaving backend server receives no new work.
	invariantLeaving invariant.Name = "leaving_dispatched"
)

// assertVersion allows for one change of view since the gate: a configuration
// that arrives between the check and this point takes effect with the next request.
func (a *Agent) assertVersion(v *view, in *rpc.ExecuteRequest) {
	if v.current == nil {
		a.Check.Assert(false, invariantDispatch, "no configuration")
		return
	}
	if v.version() > in.GetBundleVersion() && v.current.Since.After(a.Clock.Now().Add(-viewGrace)) {
		return
	}
	a.Check.Assert(v.leaving == "" || a.Clock.Now().Sub(v.since) < viewGrace, invariantLeaving, "%s", v.leaving)
	reason := v.routes.Authorise(in.GetWorkspace(), in.GetModel(), in.GetVersion())
	a.Check.Assert(reason == routing.ReasonNone, invariantDispatch, "%s for %s in version %d: %s",
		target(in), in.GetWorkspace(), v.version(), reason)
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
