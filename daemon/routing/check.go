package routing

import (
	"strings"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/bundle"
)

// Invariants of every placement.
const (
	// InvariantAllowed: a request runs only on a version its workspace allows.
	InvariantAllowed invariant.Name = "version_not_allowed_placed"
	// InvariantServing: a withdrawn version receives no new work.
	InvariantServing invariant.Name = "withdrawn_version_placed"
	// InvariantStopped: a stopped version receives no new work.
	InvariantStopped invariant.Name = "stopped_version_placed"
	// InvariantSession: a session keeps its version unless a move is announced.
	InvariantSession invariant.Name = "session_version_changed"
)

// checked asserts the invariants on the bundle and stop notices themselves, not
// on the tables made from them, so that a fault in a table is found.
func (s *Snapshot) checked(w *workspace, req *Request, d Decision, inv *invariant.Checker) Decision {
	if d.Refused {
		return d
	}
	pinned := req.Session.version(d.Model)
	kept := pinned == "" || pinned == d.Version || s.mayMove(w, d, pinned)
	state, generation := s.facts(d.Model, d.Version)
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

// mayMove tells whether the session's version truly takes no work and the
// decision announces the move.
func (s *Snapshot) mayMove(w *workspace, d Decision, pinned string) bool {
	if d.Reason != ReasonMoved || d.MovedFrom != pinned || w.cfg.OnWithdrawal != bundle.WithdrawalMove {
		return false
	}
	state, generation := s.facts(d.Model, pinned)
	return state == bundle.VersionWithdrawn || isStopped(s.stops, d.Model, pinned, generation)
}

// facts reads the state of a version and its roll-out generation from the bundle.
func (s *Snapshot) facts(modelName, versionName string) (bundle.VersionState, uint64) {
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

func allows(w *bundle.Workspace, modelName, versionName string) bool {
	for _, entry := range w.Allowed {
		name, only, found := strings.Cut(entry, "@")
		if name == modelName && (!found || only == versionName) {
			return true
		}
	}
	return false
}
