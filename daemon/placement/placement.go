// Package placement decides which model versions each engine loads. The decision is a
// pure function of the bundle and the list of engines, so every agent computes the plan
// of its own engine without a coordinator.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cactusknot.example/daemon/bundle"
)

// minEngines is the minimum number of engines of a region that load a version. With
// two, the version survives the loss of one VM.
const minEngines = 2

// Engine holds the properties of a model engine that placement depends on.
type Engine struct {
	VM     string
	Region string
}

// Plan lists the versions, as model@version, that one engine should load and unload.
type Plan struct {
	// Load lists versions in order of urgency: current versions come first.
	Load []string
	// Unload lists loaded versions that are withdrawn.
	Unload []string
}

// Decide returns the plan of the engine self. models lists the models that it may load
// and loaded the versions that it has loaded. engines lists the engines of all VMs; self
// need not be among them.
func Decide(b *bundle.Bundle, self Engine, engines []Engine, models, loaded []string) Plan {
	var plan Plan
	for i := range b.Models {
		m := &b.Models[i]
		if !slices.Contains(models, m.Name) {
			continue
		}
		for j := range m.Versions {
			plan.add(b, m, &m.Versions[j], self, engines, loaded)
		}
	}
	return plan
}

// add adds the version to the plan if self should load or unload it.
func (p *Plan) add(b *bundle.Bundle, m *bundle.Model, v *bundle.Version, self Engine, engines []Engine, loaded []string) {
	name := m.Name + "@" + v.Name
	has := slices.Contains(loaded, name)
	if v.State == bundle.VersionWithdrawn {
		if has {
			p.Unload = append(p.Unload, name)
		}
		return
	}
	if has || rank(name, self, engines) >= engineCount(engineShare(b, m, v.Name), self.Region, engines) {
		return
	}
	if v.Name == m.Current {
		p.Load = slices.Insert(p.Load, 0, name)
		return
	}
	p.Load = append(p.Load, name)
}

// engineShare returns the fraction of the engines that load the version.
func engineShare(b *bundle.Bundle, m *bundle.Model, version string) float64 {
	whole := m.EngineShare
	if whole == 0 {
		whole = 1
	}
	if version == m.Current {
		return whole
	}
	for i := range b.Rollouts {
		r := &b.Rollouts[i]
		if r.Model == m.Name && r.To == version && r.Active() {
			return whole * preloadShare(r)
		}
	}
	// Other versions are used only by sessions that are pinned to them; minEngines
	// applies.
	return 0
}

// preloadShare returns the share of the rollout's next step, so that engines have
// loaded the version before sessions use it. For an automatic rollout it is the share
// of the last step.
func preloadShare(r *bundle.Rollout) float64 {
	if r.Automatic {
		return r.Steps[len(r.Steps)-1]
	}
	return r.Steps[min(r.Step+1, len(r.Steps)-1)]
}

// engineCount returns how many engines of the region load a version with the share.
func engineCount(share float64, region string, engines []Engine) int {
	count := 0
	for _, e := range engines {
		if e.Region == region {
			count++
		}
	}
	return max(int(math.Ceil(share*float64(count))), minEngines)
}

// rank returns the rank of self for the version among the engines of its region, by
// rendezvous hashing. A growing share thus only adds engines.
func rank(name string, self Engine, engines []Engine) int {
	own := score(name, self.VM)
	higher := 0
	for _, e := range engines {
		if e.Region == self.Region && e.VM != self.VM && cmp.Compare(score(name, e.VM), own) > 0 {
			higher++
		}
	}
	return higher
}

func score(name, vm string) uint64 { return xxhash.Sum64String(name + "\x00" + vm) }
