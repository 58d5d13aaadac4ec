package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cactusknot.example/daemon/bundle"
)

func engines(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{VM: fmt.Sprintf("vm%d", i), Region: "north"}
	}
	return out
}

// loaders returns the VMs whose engines would load the version.
func loaders(b *bundle.Bundle, all []Engine, version string) []string {
	var out []string
	for _, e := range all {
		if slices.Contains(Decide(b, e, all, []string{"m"}, nil).Load, version) {
			out = append(out, e.VM)
		}
	}
	return out
}

// A rollout step must not drop engines of earlier steps, and a version that only
// pinned sessions use must stay on two engines.
func TestGrowingShareOnlyAddsEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := engines(rapid.IntRange(2, 40).Draw(t, "engines"))
		b := &bundle.Bundle{
			Models: []bundle.Model{{Name: "m", Current: "1", Versions: []bundle.Version{
				{Name: "0", State: bundle.VersionServing},
				{Name: "1", State: bundle.VersionServing},
				{Name: "2", State: bundle.VersionServing},
			}}},
			Rollouts: []bundle.Rollout{{ID: "r", Model: "m", From: "1", To: "2", Steps: []float64{0.01, 0.2, 0.5, 1}, State: bundle.RolloutRunning}},
		}
		if got := len(loaders(b, all, "m@1")); got != len(all) {
			t.Fatalf("current version on %d of %d engines", got, len(all))
		}
		if got := len(loaders(b, all, "m@0")); got != minEngines {
			t.Fatalf("version of pinned sessions on %d engines", got)
		}
		var before []string
		for step := range b.Rollouts[0].Steps {
			b.Rollouts[0].Step = step
			now := loaders(b, all, "m@2")
			for _, vm := range before {
				if !slices.Contains(now, vm) {
					t.Fatalf("step %d no longer loads on %s", step, vm)
				}
			}
			before = now
		}
		if len(before) != len(all) {
			t.Fatalf("last step loads on %d of %d engines", len(before), len(all))
		}
	})
}

// A withdrawn version must be unloaded and not be loaded again.
func TestWithdrawnVersionIsUnloaded(t *testing.T) {
	b := &bundle.Bundle{Models: []bundle.Model{{Name: "m", Current: "2", Versions: []bundle.Version{
		{Name: "1", State: bundle.VersionWithdrawn},
		{Name: "2", State: bundle.VersionServing},
	}}}}
	plan := Decide(b, engines(1)[0], engines(1), []string{"m"}, []string{"m@1", "m@2"})
	if !slices.Equal(plan.Unload, []string{"m@1"}) || len(plan.Load) != 0 {
		t.Fatalf("plan %+v", plan)
	}
	if plan = Decide(b, engines(1)[0], engines(1), []string{"other"}, []string{"m@1"}); len(plan.Unload) != 0 {
		t.Fatalf("plan for a model that the engine may not load: %+v", plan)
	}
}
