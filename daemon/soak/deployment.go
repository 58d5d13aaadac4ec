package soak

import (
	"fmt"
	"time"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/fleet"
)

// region is the region of all data centres of the deployment.
const region = "north"

// drainDelay is the routers' drain delay. It is longer than the balancer needs
// to detect that a router is not ready.
const drainDelay = 1500 * time.Millisecond

// Names of models, services and workspaces.
const (
	modelSmall      = "small"
	modelLarge      = "large"
	serviceName     = "tickets"
	workspaceRefuse = "aquarium"
	workspaceMove   = "families"
	// workspaceLargeOnly may not use the small model.
	workspaceLargeOnly = "narrow"
)

// candidateVersions are the versions of the small model that rollouts move
// to.
var candidateVersions = []string{"2", "3"}

var dataCentres = []string{"a", "b", "c"}

// deployment returns the spec of 25 processes: three data centres, each with a
// router, two engines and a plain service, whose backend servers have an agent
// each, and the platform's four services.
func deployment() fleet.Spec {
	spec := fleet.Spec{Bundle: firstBundle(), FatalInvariants: true, DrainDelay: drainDelay}
	for _, dc := range dataCentres {
		spec.Routers = append(spec.Routers, fleet.RouterSpec{VM: "router-" + dc, DataCentre: dc})
		for i := range 2 {
			spec.Agents = append(spec.Agents, engineSpec(fmt.Sprintf("engine-%s%d", dc, i+1), dc))
		}
		service := emulate.DefaultServiceConfig()
		spec.Agents = append(spec.Agents, fleet.AgentSpec{
			VM: "tickets-" + dc, DataCentre: dc, Service: &service, ServiceName: serviceName, MaxConcurrent: 64, ColdConcurrent: 16,
		})
	}
	return spec
}

func engineSpec(vm, dataCentre string) fleet.AgentSpec {
	settings := emulate.DefaultEngineConfig()
	settings.Models = []emulate.EngineModel{
		{ID: "small@1", Quality: 0.8, Loaded: true},
		{ID: "small@2", Quality: 0.85},
		{ID: "small@3", Quality: 0.85},
		{ID: "large@1", Quality: 0.95, Loaded: true},
	}
	// Faster than a real engine, so that a run of seconds completes thousands of
	// requests. The ratio of cold to warm is that of a real engine.
	settings.StepUs, settings.StepPerRequestUs, settings.PrefillUs = 2000, 100, 5
	settings.ColdFactor, settings.WarmCompletions = 3, 20
	return fleet.AgentSpec{VM: vm, DataCentre: dataCentre, Engine: &settings, MaxConcurrent: 32, ColdConcurrent: 4}
}

// firstBundle returns the configuration at the start of a run.
func firstBundle() bundle.Bundle {
	serving := func(name, weights string) bundle.Version {
		return bundle.Version{Name: name, State: bundle.VersionServing, Weights: weights}
	}
	b := bundle.Bundle{
		Models: []bundle.Model{
			{Name: modelSmall, Current: "1", InputPrice: 100_000, OutputPrice: 400_000, Versions: []bundle.Version{
				serving("1", "small-1"), serving("2", "small-2"), serving("3", "small-3"),
			}},
			{Name: modelLarge, Current: "1", InputPrice: 1_000_000, OutputPrice: 4_000_000, Versions: []bundle.Version{
				serving("1", "large-1"),
			}},
		},
		Services: []bundle.Service{{Name: serviceName, Operations: []bundle.Operation{
			{Method: "POST", Path: "/bookings", Price: 1000},
			{Method: "GET", Path: "/bookings/*", Idempotent: true},
		}}},
	}
	for _, dc := range dataCentres {
		b.DataCentres = append(b.DataCentres, bundle.DataCentre{Name: dc, Region: region, State: bundle.DataCentreServing})
	}
	both := []string{modelSmall, modelLarge, "service:" + serviceName}
	b.Workspaces = []bundle.Workspace{
		workspace(workspaceRefuse, both, bundle.WithdrawalRefuse),
		workspace(workspaceMove, both, bundle.WithdrawalMove),
		workspace(workspaceLargeOnly, []string{modelLarge, "service:" + serviceName}, bundle.WithdrawalRefuse),
	}
	return b
}

func workspace(name string, allowed []string, policy bundle.WithdrawalPolicy) bundle.Workspace {
	return bundle.Workspace{
		Name:          name,
		KeyHashes:     []string{auth.HashAPIKey(fleet.SampleKey(name))},
		Allowed:       allowed,
		QualityTarget: 0.7,
		ExploreShare:  0.05,
		OnWithdrawal:  policy,
	}
}
