package bundle

import (
	"fmt"
	"strings"
)

// servicePrefix precedes the name of a service in Workspace.Allowed.
const servicePrefix = "service:"

// reservedModel is the model name in requests that let the router choose the model.
const reservedModel = "auto"

// checker validates one bundle and collects its problems.
type checker struct {
	bundle   *Bundle
	problems []Problem
}

func (c *checker) add(reason, path string, args ...any) {
	c.problems = append(c.problems, Problem{Path: fmt.Sprintf(path, args...), Reason: reason})
}

// unique adds a problem if the value at path was seen before. seen maps each value to the
// path of its first use.
func (c *checker) unique(seen map[string]string, value, path string) {
	first, used := seen[value]
	if used {
		c.add(fmt.Sprintf("%q is already used by %s", value, first), "%s", path)
		return
	}
	seen[value] = path
}

// Model returns the model with the given name, or nil.
func (b *Bundle) Model(name string) *Model {
	for i := range b.Models {
		if b.Models[i].Name == name {
			return &b.Models[i]
		}
	}
	return nil
}

// Version returns the version with the given name, or nil.
func (m *Model) Version(name string) *Version {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i]
		}
	}
	return nil
}

// Rollout returns the rollout with the given id, or nil.
func (b *Bundle) Rollout(id string) *Rollout {
	for i := range b.Rollouts {
		if b.Rollouts[i].ID == id {
			return &b.Rollouts[i]
		}
	}
	return nil
}

// Active reports whether the rollout is running or paused.
func (r *Rollout) Active() bool {
	return r.State == RolloutRunning || r.State == RolloutPaused
}

func (c *checker) models() {
	names := make(map[string]string)
	for i := range c.bundle.Models {
		m := &c.bundle.Models[i]
		at := fmt.Sprintf("models[%d]", i)
		c.unique(names, m.Name, at+".name")
		if m.Name == reservedModel {
			c.add(`"auto" is reserved`, "%s.name", at)
		}
		versions := make(map[string]string)
		for j, v := range m.Versions {
			c.unique(versions, v.Name, fmt.Sprintf("%s.versions[%d].name", at, j))
		}
		c.current(m, at)
	}
}

func (c *checker) current(m *Model, at string) {
	if m.Current == "" {
		return
	}
	v := m.Version(m.Current)
	if v == nil {
		c.add(fmt.Sprintf("version %q does not exist", m.Current), "%s.current", at)
		return
	}
	if v.State != VersionServing {
		c.add(fmt.Sprintf("version %q is not serving", m.Current), "%s.current", at)
	}
}

func (c *checker) services() {
	names := make(map[string]string)
	for i, s := range c.bundle.Services {
		c.unique(names, s.Name, fmt.Sprintf("services[%d].name", i))
	}
}

func (c *checker) rollouts() {
	ids := make(map[string]string)
	active := make(map[string]string)
	for i := range c.bundle.Rollouts {
		r := &c.bundle.Rollouts[i]
		at := fmt.Sprintf("rollouts[%d]", i)
		c.unique(ids, r.ID, at+".id")
		c.steps(r, at)
		c.rolloutVersions(r, at)
		if !r.Active() {
			continue
		}
		if first, used := active[r.Model]; used {
			c.add(fmt.Sprintf("model %q already has an active roll-out at %s", r.Model, first), "%s.model", at)
			continue
		}
		active[r.Model] = at
	}
}

func (c *checker) steps(r *Rollout, at string) {
	for i := 1; i < len(r.Steps); i++ {
		if r.Steps[i] <= r.Steps[i-1] {
			c.add("must be in ascending order", "%s.steps", at)
			break
		}
	}
	if len(r.Steps) > 0 && r.Step >= len(r.Steps) {
		c.add(fmt.Sprintf("%d must be below the number of steps, %d", r.Step, len(r.Steps)), "%s.step", at)
	}
}

func (c *checker) rolloutVersions(r *Rollout, at string) {
	m := c.bundle.Model(r.Model)
	if m == nil {
		c.add(fmt.Sprintf("model %q does not exist", r.Model), "%s.model", at)
		return
	}
	if m.Version(r.From) == nil {
		c.add(fmt.Sprintf("version %q of model %q does not exist", r.From, r.Model), "%s.from", at)
	}
	to := m.Version(r.To)
	if to == nil {
		c.add(fmt.Sprintf("version %q of model %q does not exist", r.To, r.Model), "%s.to", at)
		return
	}
	if !r.Active() {
		return
	}
	if to.State != VersionServing {
		c.add(fmt.Sprintf("version %q is not serving; halt the roll-out", r.To), "%s.to", at)
	}
	if m.Current != r.From {
		c.add(fmt.Sprintf("must be the current version %q while the roll-out is active", m.Current), "%s.from", at)
	}
}

func (c *checker) topology() {
	names := make(map[string]string)
	for i, d := range c.bundle.DataCentres {
		c.unique(names, d.Name, fmt.Sprintf("data_centres[%d].name", i))
	}
	vms := make(map[string]string)
	for i, v := range c.bundle.VMs {
		c.unique(vms, v.Name, fmt.Sprintf("vms[%d].name", i))
	}
}

func (c *checker) workspaces() {
	allowedTargets := c.bundle.allowedTargets()
	names := make(map[string]string)
	hashes := make(map[string]string)
	for i := range c.bundle.Workspaces {
		w := &c.bundle.Workspaces[i]
		at := fmt.Sprintf("workspaces[%d]", i)
		c.unique(names, w.Name, at+".name")
		for j, h := range w.KeyHashes {
			c.unique(hashes, h, fmt.Sprintf("%s.key_hashes[%d]", at, j))
		}
		allowed := make(map[string]string)
		for j, entry := range w.Allowed {
			here := fmt.Sprintf("%s.allowed[%d]", at, j)
			c.unique(allowed, entry, here)
			if !allowedTargets[entry] {
				c.add(missingReason(entry), "%s", here)
			}
		}
	}
}

// allowedTargets returns the entries that Workspace.Allowed may contain.
func (b *Bundle) allowedTargets() map[string]bool {
	out := make(map[string]bool)
	for _, m := range b.Models {
		out[m.Name] = true
		for _, v := range m.Versions {
			out[m.Name+"@"+v.Name] = true
		}
	}
	for _, s := range b.Services {
		out[servicePrefix+s.Name] = true
	}
	return out
}

// missingReason says that the target of an entry of Workspace.Allowed does not exist.
func missingReason(entry string) string {
	if name, ok := strings.CutPrefix(entry, servicePrefix); ok {
		return fmt.Sprintf("service %q does not exist", name)
	}
	if strings.Contains(entry, "@") {
		return fmt.Sprintf("version %q does not exist", entry)
	}
	return fmt.Sprintf("model %q does not exist", entry)
}

func (c *checker) keys() {
	k := c.bundle.Keys
	if k.SignOffs > len(k.Operators) {
		c.add(fmt.Sprintf("%d must be at most the number of operators, %d", k.SignOffs, len(k.Operators)), "keys.sign_offs")
	}
	names := make(map[string]string)
	public := make(map[string]string)
	for i, o := range k.Operators {
		at := fmt.Sprintf("keys.operators[%d]", i)
		c.unique(names, o.Name, at+".name")
		c.unique(public, o.PublicKey, at+".public_key")
	}
}
