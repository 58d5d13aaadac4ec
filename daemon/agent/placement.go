package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cactusknot.example/coord/lease"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/placement"
)

const (
	// placeInterval is how often an agent compares what is loaded with its plan.
	placeInterval = 2 * time.Second
	// permitTTL is the life of a load permit in the store; permitMargin ends it
	// locally earlier, so that a paused agent finds it ended.
	permitTTL    = 30 * time.Second
	permitMargin = 10 * time.Second
	// loadTimeout bounds the wait for an order to take effect.
	loadTimeout = 5 * time.Minute
	// defaultConcurrentLoads bounds loads from the weight store at one time.
	defaultConcurrentLoads = 8
)

// errPermitEnded: the load permit ended before the order was sent.
var errPermitEnded = errors.New("agent: load permit ended")

// orderer sends orders to a backend server. The fencing token lets backend
// servers that check it refuse orders of an earlier holder.
type orderer interface {
	order(ctx context.Context, kind, version string, fence uint64) error
}

// place keeps the loaded versions at what the configuration asks for.
func (a *Agent) place(ctx context.Context) {
	target, ok := a.backend.(orderer)
	if !ok || a.settings.Backend.Kind != config.BackendEngine {
		return
	}
	random := node.NewRand()
	for a.Clock.Sleep(ctx, node.Jitter(random, placeInterval)) == nil {
		v := a.view.Load()
		if v.current == nil || v.leaving != "" || v.names == nil {
			continue
		}
		plan := placement.Decide(v.current.Bundle, a.self(), a.engines(), a.settings.Backend.Models, v.names)
		for _, version := range plan.Unload {
			a.carryOut(ctx, target, orderUnload, version, v.version())
		}
		if len(plan.Load) > 0 {
			a.carryOut(ctx, target, orderLoad, plan.Load[0], v.version())
		}
	}
}

func (a *Agent) self() placement.Engine {
	return placement.Engine{VM: a.settings.VM, Region: a.settings.Region}
}

func (a *Agent) engines() []placement.Engine {
	var out []placement.Engine
	for _, p := range a.Directory.Processes().All {
		if p.Role == auth.RoleAgent && !p.Leaving {
			out = append(out, placement.Engine{VM: p.VM, Region: p.Region})
		}
	}
	return out
}

// carryOut sends one order under a load permit and waits for its effect. Without
// the store there is no permit: loaded versions go on serving and orders wait.
func (a *Agent) carryOut(ctx context.Context, target orderer, kind, version string, bundleVersion uint64) {
	permit, err := a.permit(ctx)
	if err != nil {
		a.Log.Debug().Err(err).Str("order", kind).Str("version", version).Msg("no load permit")
		return
	}
	defer func() { _ = permit.Release(context.WithoutCancel(ctx)) }()
	renewed, stop := context.WithTimeout(ctx, loadTimeout)
	defer stop()
	go func() { _ = permit.Run(renewed) }()
	err = a.sendOrder(renewed, target, permit, kind, version)
	a.Log.Info().Str("order", kind).Str("version", version).Uint64("fence", permit.FencingToken()).
		Uint64("bundle_version", bundleVersion).AnErr("error", err).Msg("placement decided")
	if err != nil {
		return
	}
	for slices.Contains(a.backend.loaded(), version) != (kind == orderLoad) {
		if a.Clock.Sleep(renewed, probeInterval) != nil {
			return
		}
	}
}

// sendOrder checks the permit's local deadline directly before the order, because
// not all backend servers check the fencing token.
func (a *Agent) sendOrder(ctx context.Context, target orderer, permit *lease.Lease, kind, version string) error {
	if !permit.Valid() {
		return errPermitEnded
	}
	return target.order(ctx, kind, version, permit.FencingToken())
}

// permit takes one of the load permits that bound the use of the weight store.
func (a *Agent) permit(ctx context.Context) (*lease.Lease, error) {
	count := a.view.Load().current.Bundle.Limits.ConcurrentLoads
	if count == 0 {
		count = defaultConcurrentLoads
	}
	random := node.NewRand()
	settings := lease.Config{Client: a.Store, Clock: a.Clock, TTL: permitTTL, SafetyMargin: permitMargin}
	return lease.Acquire(ctx, settings, fmt.Sprintf("loads/%d", random.IntN(count)), a.settings.VM)
}
