// Package placement decides which versions each model engine loads. The decision
// is a pure function of configuration and engines, so every agent computes its own
// part without a coordinator.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cactusknot.example/daemon/bundle"
)

// minEngines is the number of engines that load a version with few sessions. Two
// survive the loss of one VM.
const minEngines = 2

// Engine is a model engine as far as placement needs it.
type Engine struct {
	VM     string
	Region string
}

// Plan is what one engine should load and unload.
type Plan struct {
	// Load lists versions as model@version, most needed first.
	Load []string
	// Unload lists versions that take no new work any more.
	Unload []string
}

// Decide returns the plan of the engine self, which may load the given models and
// has loaded what loaded lists. The engines are those of all VMs; self need not
// be among them.
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

func (p *Plan) add(b *bundle.Bundle, m *bundle.Model, v *bundle.Version, self Engine, engines []Engine, loaded []string) {
	name := m.Name + "@" + v.Name
	has := slices.Contains(loaded, name)
	if v.State == bundle.VersionWithdrawn {
		if has {
			p.Unload = append(p.Unload, name)
		}
		return
	}
	if has || rank(name, self, engines) >= wanted(share(b, m, v.Name), self.Region, engines) {
		return
	}
	if v.Name == m.Current {
		p.Load = slices.Insert(p.Load, 0, name)
		return
	}
	p.Load = append(p.Load, name)
}

// share returns the part of the engines that load the version.
func share(b *bundle.Bundle, m *bundle.Model, version string) float64 {
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
			return whole * headroom(r)
		}
	}
	// Sessions keep versions that are neither current nor rolled out.
	return 0
}

// headroom is the share of the roll-out's next step, of an automatic one the last
// step, so that engines have loaded the version before the sessions come.
func headroom(r *bundle.Rollout) float64 {
	if r.Automatic {
		return r.Steps[len(r.Steps)-1]
	}
	return r.Steps[min(r.Step+1, len(r.Steps)-1)]
}

// wanted returns the number of engines of the region that load a version.
func wanted(share float64, region string, engines []Engine) int {
	count := 0
	for _, e := range engines {
		if e.Region == region {
			count++
		}
	}
	return max(int(math.Ceil(share*float64(count))), minEngines)
}

// rank returns the place of self among the engines of its region by rendezvous
// hash. A growing share adds engines and moves none.
func rank(name string, self Engine, engines []Engine) int {
	own := score(name, self.VM)
	place := 0
	for _, e := range engines {
		if e.Region == self.Region && e.VM != self.VM && cmp.Compare(score(name, e.VM), own) > 0 {
			place++
		}
	}
	return place
}

func score(name, vm string) uint64 { return xxhash.Sum64String(name + "\x00" + vm) }
