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

// view is the immutable state that request goroutines read. The control
// goroutine publishes a new one on each change.
type view struct {
	current *distribute.Current
	routes  *routing.Snapshot
	// leaving names the reason why no new work is taken; empty while serving.
	leaving string
	// replaced is when a newer view was published; nil before.
	replaced atomic.Pointer[time.Time]
	// loaded holds the model@version names the engine serves.
	loaded map[string]bool
	names  []string
}

// version returns the version of the bundle in force, 0 for none.
func (v *view) version() uint64 {
	if v.current == nil {
		return 0
	}
	return v.current.Version
}

// permit tells whether this agent may run the request by its own configuration.
// A nil result means yes.
func (v *view) permit(backend config.Backend, in *rpc.ExecuteRequest) *result.Error {
	if v.current == nil {
		return result.NotReady.With("no configuration")
	}
	if v.leaving != "" {
		return result.AgentLeaving.With("%s", v.leaving)
	}
	if backend.Kind == config.BackendService {
		return v.permitService(backend, in)
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

func (v *view) permitService(backend config.Backend, in *rpc.ExecuteRequest) *result.Error {
	if in.GetService() != backend.Service {
		return result.NotLoaded.With("the backend server is service %s", backend.Service)
	}
	operation, reason := v.routes.AuthoriseService(in.GetWorkspace(), in.GetService(), in.GetMethod(), in.GetPath())
	if reason != routing.ReasonNone {
		return reason.Code().With("%s %s", in.GetService(), reason)
	}
	if in.GetIdempotent() && !operation.Idempotent {
		// The router acted on an older configuration that allowed repeating the call.
		return result.BadIdempotency.With("the operation is not idempotent in version %d", v.version())
	}
	return nil
}

// authorise tells whether the workspace may make the request and whether the
// request may run without an at-most-once record.
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

// leavingReason tells why a VM takes no new work by the bundle; empty when it does.
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

// isolationError refuses work when the configuration can't be confirmed any more.
func isolationError(keeper *distribute.Syncer, now time.Time) *result.Error {
	if keeper.Isolated(now) {
		return result.Isolated.With("last confirmed %s", keeper.LastConfirmed().UTC().Format(time.RFC3339))
	}
	if keeper.Behind() {
		return result.AgentBehind.With("holds version %d", keeper.Version())
	}
	return nil
}
