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
	// placeInterval is the mean time between two comparisons of the loaded versions
	// with the placement plan.
	placeInterval = 2 * time.Second
	// permitTTL is the lifetime of a load permit in the store. Locally the permit
	// expires permitMargin earlier, so that an agent that was paused finds it expired.
	permitTTL    = 30 * time.Second
	permitMargin = 10 * time.Second
	// loadTimeout limits the wait for an order to take effect.
	loadTimeout = 5 * time.Minute
	// defaultConcurrentLoads limits concurrent loads from the weight store.
	defaultConcurrentLoads = 8
)

// errPermitEnded is returned when the load permit expired before the order was sent.
var errPermitEnded = errors.New("agent: load permit expired before the order was sent")

// orderSender sends load and unload orders to a backend server. Backend servers
// that check the fencing token refuse orders of an earlier permit holder.
type orderSender interface {
	order(ctx context.Context, kind, version string, fence uint64) error
}

// placementLoop loads and unloads versions to match the placement plan.
func (a *Agent) placementLoop(ctx context.Context) {
	target, ok := a.backend.(orderSender)
	if !ok || a.settings.Backend.Kind != config.BackendEngine {
		return
	}
	random := node.NewRand()
	for a.Clock.Sleep(ctx, node.Jitter(random, placeInterval)) == nil {
		v := a.view.Load()
		if v.current == nil || v.leaving != "" || v.loadedNames == nil || a.pausedFor() > 0 {
			continue
		}
		plan := placement.Decide(v.current.Bundle, a.placementEngine(), a.engines(), a.settings.Backend.Models, v.loadedNames)
		for _, version := range plan.Unload {
			a.executeOrder(ctx, target, orderUnload, version, v.version())
		}
		if len(plan.Load) > 0 {
			a.executeOrder(ctx, target, orderLoad, plan.Load[0], v.version())
		}
	}
}

func (a *Agent) placementEngine() placement.Engine {
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

// executeOrder sends one order under a load permit and waits for it to take effect.
// While the store is unreachable no permit can be acquired: loaded versions keep
// serving and orders wait.
func (a *Agent) executeOrder(ctx context.Context, target orderSender, kind, version string, bundleVersion uint64) {
	permit, err := a.acquireLoadPermit(ctx)
	if err != nil {
		a.Log.Debug().Err(err).Str("order", kind).Str("version", version).Msg("load permit not acquired; order postponed")
		return
	}
	defer func() { _ = permit.Release(context.WithoutCancel(ctx)) }()
	renewed, stop := context.WithTimeout(ctx, loadTimeout)
	defer stop()
	go func() { _ = permit.Run(renewed) }()
	err = a.sendOrder(renewed, target, permit, kind, version)
	a.Log.Info().Str("order", kind).Str("version", version).Uint64("fence", permit.FencingToken()).
		Uint64("bundle_version", bundleVersion).AnErr("error", err).Msg("placement order attempted")
	if err != nil {
		return
	}
	for slices.Contains(a.backend.loaded(), version) != (kind == orderLoad) {
		if a.Clock.Sleep(renewed, probeInterval) != nil {
			return
		}
	}
}

// sendOrder checks the permit's local deadline immediately before it sends the
// order, because not all backend servers check the fencing token.
func (a *Agent) sendOrder(ctx context.Context, target orderSender, permit *lease.Lease, kind, version string) error {
	if !permit.Valid() {
		return errPermitEnded
	}
	return target.order(ctx, kind, version, permit.FencingToken())
}

// acquireLoadPermit acquires one of the load permits that limit concurrent reads
// from the weight store.
func (a *Agent) acquireLoadPermit(ctx context.Context) (*lease.Lease, error) {
	count := a.view.Load().current.Bundle.Limits.ConcurrentLoads
	if count == 0 {
		count = defaultConcurrentLoads
	}
	random := node.NewRand()
	settings := lease.Config{Client: a.Store, Clock: a.Clock, TTL: permitTTL, SafetyMargin: permitMargin}
	return lease.Acquire(ctx, settings, fmt.Sprintf("loads/%d", random.IntN(count)), a.settings.VM)
}
