package fleet

import (
	"fmt"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/emulate"
)

// SampleKey returns the API key of a workspace of the sample deployment.
func SampleKey(workspace string) string { return "key-of-" + workspace }

// Sample returns the spec of a small deployment. It has two data centres with a
// router, two model engines and one booking service each, two models, of which one
// has a second version that is not rolled out yet, and two workspaces.
func Sample() Spec {
	spec := Spec{Bundle: sampleBundle(), FatalInvariants: true}
	for _, dc := range []string{"a", "b"} {
		spec.Routers = append(spec.Routers, RouterSpec{VM: "router-" + dc, DataCentre: dc})
		for i := range 2 {
			spec.Agents = append(spec.Agents, sampleEngine(fmt.Sprintf("engine-%s%d", dc, i+1), dc))
		}
		spec.Agents = append(spec.Agents, sampleService("tickets-"+dc, dc))
	}
	return spec
}

func sampleEngine(vm, dataCentre string) AgentSpec {
	settings := emulate.DefaultEngineConfig()
	settings.Models = []emulate.EngineModel{
		{ID: "small@1", Quality: 0.8, Loaded: true},
		{ID: "small@2", Quality: 0.85},
		{ID: "large@1", Quality: 0.95, Loaded: true},
	}
	// The emulated engines are faster than real ones, so that the demo takes seconds.
	settings.StepUs, settings.StepPerRequestUs, settings.PrefillUs = 2000, 100, 5
	settings.ColdFactor, settings.WarmCompletions, settings.OrderMs = 3, 20, 200
	return AgentSpec{VM: vm, DataCentre: dataCentre, Engine: &settings, MaxConcurrent: 32, ColdConcurrent: 4}
}

func sampleService(vm, dataCentre string) AgentSpec {
	settings := emulate.DefaultServiceConfig()
	return AgentSpec{VM: vm, DataCentre: dataCentre, Service: &settings, ServiceName: "tickets", MaxConcurrent: 64, ColdConcurrent: 16}
}

func sampleBundle() bundle.Bundle {
	return bundle.Bundle{
		Models: []bundle.Model{
			{Name: "small", Current: "1", InputPrice: 100_000, OutputPrice: 400_000, Versions: []bundle.Version{
				{Name: "1", State: bundle.VersionServing, Weights: "small-1"},
				{Name: "2", State: bundle.VersionServing, Weights: "small-2"},
			}},
			{Name: "large", Current: "1", InputPrice: 1_000_000, OutputPrice: 4_000_000, Versions: []bundle.Version{
				{Name: "1", State: bundle.VersionServing, Weights: "large-1"},
			}},
		},
		Services: []bundle.Service{{Name: "tickets", Operations: []bundle.Operation{
			{Method: "POST", Path: "/bookings", Price: 1000},
			{Method: "GET", Path: "/bookings/*", Idempotent: true},
		}}},
		DataCentres: []bundle.DataCentre{
			{Name: "a", Region: region, State: bundle.DataCentreServing},
			{Name: "b", Region: region, State: bundle.DataCentreServing},
		},
		Workspaces: []bundle.Workspace{
			sampleWorkspace("aquarium", 0.75),
			sampleWorkspace("families", 0.7),
		},
	}
}

func sampleWorkspace(name string, target float64) bundle.Workspace {
	return bundle.Workspace{
		Name:          name,
		KeyHashes:     []string{auth.HashAPIKey(SampleKey(name))},
		Allowed:       []string{"small", "large", "service:tickets"},
		QualityTarget: target,
		ExploreShare:  0.05,
	}
}
