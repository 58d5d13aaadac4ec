package routing

import (
	"strings"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/bundle"
)

// Invariants of every placement.
const (
	// InvariantAllowed: a request runs only on a version that its workspace may use.
	InvariantAllowed invariant.Name = "version_not_allowed_placed"
	// InvariantServing: a withdrawn version gets no new work.
	InvariantServing invariant.Name = "withdrawn_version_placed"
	// InvariantStopped: a stopped version gets no new work.
	InvariantStopped invariant.Name = "stopped_version_placed"
	// InvariantSession: a session keeps its version unless its move is announced.
	InvariantSession invariant.Name = "session_version_changed"
)

// enforceInvariants turns a decision that violates an invariant into a refusal. It
// checks against the bundle and the stop notices rather than the tables derived from
// them, so that errors in the tables are detected.
func (s *Snapshot) enforceInvariants(w *workspace, req *Request, d Decision, inv *invariant.Checker) Decision {
	if d.Refused {
		return d
	}
	pinned := req.Session.version(d.Model)
	kept := pinned == "" || pinned == d.Version || s.moveAllowed(w, d, pinned)
	state, generation := s.versionInBundle(d.Model, d.Version)
	allowed := allows(w.cfg, d.Model, d.Version)
	serving := state != bundle.VersionWithdrawn
	running := !isStopped(s.stops, d.Model, d.Version, generation)
	if allowed && serving && running && kept {
		return d
	}
	inv.Assert(allowed, InvariantAllowed, "workspace %s: %s@%s", w.cfg.Name, d.Model, d.Version)
	inv.Assert(serving, InvariantServing, "workspace %s: %s@%s", w.cfg.Name, d.Model, d.Version)
	inv.Assert(running, InvariantStopped, "workspace %s: %s@%s", w.cfg.Name, d.Model, d.Version)
	inv.Assert(kept, InvariantSession, "workspace %s: %s@%s, session had %s", w.cfg.Name, d.Model, d.Version, pinned)
	return refuse(ReasonInvariant, d.Model, d.Version)
}

// moveAllowed tells whether the session's version accepts no work, the workspace lets
// its sessions move, and the decision announces the move.
func (s *Snapshot) moveAllowed(w *workspace, d Decision, pinned string) bool {
	if d.Reason != ReasonMoved || d.MovedFrom != pinned || w.cfg.OnWithdrawal != bundle.WithdrawalMove {
		return false
	}
	state, generation := s.versionInBundle(d.Model, pinned)
	return state == bundle.VersionWithdrawn || isStopped(s.stops, d.Model, pinned, generation)
}

// versionInBundle returns the state of a version and the highest generation of the
// rollouts to it. A version that is not in the bundle counts as withdrawn.
func (s *Snapshot) versionInBundle(modelName, versionName string) (bundle.VersionState, uint64) {
	state := bundle.VersionWithdrawn
	for i := range s.bundle.Models {
		m := &s.bundle.Models[i]
		if m.Name != modelName {
			continue
		}
		for j := range m.Versions {
			if m.Versions[j].Name == versionName {
				state = m.Versions[j].State
			}
		}
	}
	var generation uint64
	for i := range s.bundle.Rollouts {
		r := &s.bundle.Rollouts[i]
		if r.Model == modelName && r.To == versionName {
			generation = max(generation, r.Generation)
		}
	}
	return state, generation
}

// allows tells whether the workspace's configuration allows the version.
func allows(w *bundle.Workspace, modelName, versionName string) bool {
	for _, entry := range w.Allowed {
		name, only, found := strings.Cut(entry, "@")
		if name == modelName && (!found || only == versionName) {
			return true
		}
	}
	return false
}
