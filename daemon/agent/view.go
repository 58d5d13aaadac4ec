package agent

import (
	"sync/atomic"
	"time"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// view is the immutable state that request goroutines read. publishLoop publishes
// a new one on each change.
type view struct {
	current *distribute.Current
	routes  *routing.Snapshot
	// leaving is the reason for refusing new requests; empty while serving.
	leaving string
	// replaced is the time at which a newer view was published, or nil.
	replaced atomic.Pointer[time.Time]
	// loaded holds the model@version names the engine serves.
	loaded      map[string]bool
	loadedNames []string
}

// version returns the version of the bundle in force, 0 for none.
func (v *view) version() uint64 {
	if v.current == nil {
		return 0
	}
	return v.current.Version
}

// checkRequest checks the request against the agent's own configuration. It returns
// nil if the agent may run the request.
func (v *view) checkRequest(backend config.Backend, in *rpc.ExecuteRequest) *result.Error {
	if v.current == nil {
		return result.NotReady.With("no configuration")
	}
	if v.leaving != "" {
		return result.AgentLeaving.With("%s", v.leaving)
	}
	if backend.Kind == config.BackendService {
		return v.checkServiceRequest(backend, in)
	}
	if in.GetService() != "" {
		return result.NotLoaded.With("the backend server is a model engine")
	}
	reason := v.routes.Authorise(in.GetWorkspace(), in.GetModel(), in.GetVersion())
	if reason != routing.ReasonNone {
		return reason.Code().With("%s %s", target(in), reason)
	}
	if !v.loaded[target(in)] {
		return result.NotLoaded.With("%s", target(in))
	}
	return nil
}

func (v *view) checkServiceRequest(backend config.Backend, in *rpc.ExecuteRequest) *result.Error {
	if in.GetService() != backend.Service {
		return result.NotLoaded.With("the backend server is service %s", backend.Service)
	}
	operation, reason := v.routes.AuthoriseService(in.GetWorkspace(), in.GetService(), in.GetMethod(), in.GetPath())
	if reason != routing.ReasonNone {
		return reason.Code().With("%s %s", in.GetService(), reason)
	}
	if in.GetIdempotent() && !operation.Idempotent {
		// The router used an older configuration in which the operation is idempotent.
		return result.BadIdempotency.With("the operation is not idempotent in version %d", v.version())
	}
	return nil
}

// authorise reports whether the workspace may make the request and whether the
// request may run without an idempotency record.
func (v *view) authorise(in *rpc.ExecuteRequest) (idempotent bool, reason routing.Reason) {
	if in.GetService() == "" {
		return true, v.routes.Authorise(in.GetWorkspace(), in.GetModel(), in.GetVersion())
	}
	operation, reason := v.routes.AuthoriseService(in.GetWorkspace(), in.GetService(), in.GetMethod(), in.GetPath())
	return reason == routing.ReasonNone && operation.Idempotent && in.GetIdempotent(), reason
}

// price returns the charge of a finished step in millionths of the billing currency.
func (v *view) price(in *rpc.ExecuteRequest, tokensIn, tokensOut uint64) uint64 {
	const tokensPerPriceUnit = 1_000_000
	if in.GetService() != "" {
		operation, reason := v.routes.AuthoriseService(in.GetWorkspace(), in.GetService(), in.GetMethod(), in.GetPath())
		if reason != routing.ReasonNone {
			return 0
		}
		return operation.Price
	}
	model := v.current.Bundle.Model(in.GetModel())
	if model == nil {
		return 0
	}
	return (tokensIn*model.InputPrice + tokensOut*model.OutputPrice) / tokensPerPriceUnit
}

func target(in *rpc.ExecuteRequest) string { return in.GetModel() + "@" + in.GetVersion() }

// leavingReason returns why the bundle takes the VM out of service, or "" if it
// does not.
func leavingReason(b *bundle.Bundle, vm, dataCentre string) string {
	for i := range b.VMs {
		if b.VMs[i].Name == vm && b.VMs[i].OutOfService {
			return "the VM is out of service by the configuration"
		}
	}
	for i := range b.DataCentres {
		if b.DataCentres[i].Name == dataCentre && b.DataCentres[i].State == bundle.DataCentreOutOfService {
			return "the data centre is out of service by the configuration"
		}
	}
	return ""
}

// isolationError returns an error when this process has been without confirmation
// of its configuration for too long or knows of a newer version.
func isolationError(syncer *distribute.Syncer, now time.Time) *result.Error {
	if syncer.Isolated(now) {
		return result.Isolated.With("last confirmed %s", syncer.LastConfirmed().UTC().Format(time.RFC3339))
	}
	if syncer.Behind() {
		return result.AgentBehind.With("holds version %d", syncer.Version())
	}
	return nil
}
