package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/bundle"
)

// hashBits is the number of hash or random bits that are converted to a fraction in
// [0, 1). A float64 represents 53 bits exactly.
const hashBits = 53

// Place decides on the model and version of a request, or refuses it. src is used only
// for exploration and must not be shared between goroutines. inv counts violated
// invariants and may be nil; a decision that violates one is turned into a refusal.
func (s *Snapshot) Place(req *Request, src rand.Source, inv *invariant.Checker) Decision {
	w, ok := s.workspaces[req.Workspace]
	if !ok {
		return refuse(ReasonUnknownWorkspace, req.Model, req.Version)
	}
	if req.Session != nil && req.Session.Workspace != req.Workspace {
		return refuse(ReasonSessionWorkspace, req.Model, req.Version)
	}
	var d Decision
	if req.Model == AutoModel {
		d = s.placeAuto(w, req, src)
	} else {
		d = s.placeModel(w, req, req.Model)
	}
	return s.enforceInvariants(w, req, d, inv)
}

// placeAuto applies the workspace's policy for the kind of request. A session stays
// with the model that it began with, so that it keeps its version.
func (s *Snapshot) placeAuto(w *workspace, req *Request, src rand.Source) Decision {
	c, ok := w.policies[req.Kind]
	if !ok {
		c = w.policies[""]
	}
	var p *Policy
	explored := false
	if req.Session != nil && len(req.Session.Pins) > 0 {
		first := req.Session.Pins[0].Model
		p = c.byFirst[first]
		if p == nil {
			p = &Policy{First: first}
		}
	} else {
		p, explored = c.pick(w.cfg.ExploreShare, src)
	}
	if p == nil {
		return refuse(ReasonNoModel, req.Model, req.Version)
	}
	d := s.placeModel(w, req, p.First)
	d.Policy, d.Explored = p, explored
	return d
}

// placeModel decides on the version of a model.
func (s *Snapshot) placeModel(w *workspace, req *Request, modelName string) Decision {
	a, reason := s.access(w, modelName)
	if reason != ReasonNone {
		return refuse(reason, modelName, req.Version)
	}
	pinned := req.Session.version(modelName)
	if req.Version != "" && req.Model != AutoModel {
		return a.placeRequested(req, pinned)
	}
	if pinned != "" {
		return a.placePinned(w, req, pinned)
	}
	return a.placeNew(req)
}

// placeRequested uses the version that the request names, unless the session is pinned
// to another one.
func (a *modelAccess) placeRequested(req *Request, pinned string) Decision {
	name := a.model.cfg.Name
	if pinned != "" && pinned != req.Version {
		return refuse(ReasonSessionVersion, name, req.Version)
	}
	i, v := a.model.find(req.Version)
	if v == nil {
		return refuse(ReasonUnknownVersion, name, req.Version)
	}
	if reason := a.unusableReason(i); reason != ReasonNone {
		return refuse(reason, name, req.Version)
	}
	reason := ReasonRequested
	if pinned != "" {
		reason = ReasonPinned
	}
	return Decision{Model: name, Version: v.name, Reason: reason, NewPin: req.Session != nil && pinned == ""}
}

// placePinned keeps the version of the session. If that version is withdrawn, stopped
// or removed, the session moves to another one if the workspace is configured so;
// otherwise the request is refused.
func (a *modelAccess) placePinned(w *workspace, req *Request, pinned string) Decision {
	name := a.model.cfg.Name
	i, v := a.model.find(pinned)
	reason := ReasonWithdrawn
	if v != nil {
		reason = a.unusableReason(i)
	}
	if reason == ReasonNone {
		return Decision{Model: name, Version: v.name, Reason: ReasonPinned, Rollout: a.tag(v.name)}
	}
	if reason == ReasonNotAllowed || w.cfg.OnWithdrawal != bundle.WithdrawalMove {
		return refuse(reason, name, pinned)
	}
	d := a.placeNew(req)
	if !d.Refused {
		d.Reason, d.MovedFrom = ReasonMoved, pinned
	}
	return d
}

// placeNew chooses a version for a request that is not pinned: the candidate of a
// rollout whose share covers the request, otherwise the base version.
func (a *modelAccess) placeNew(req *Request) Decision {
	name := a.model.cfg.Name
	for i := range a.shares {
		sh := &a.shares[i]
		if InShare(req.shareKey(), sh.rolloutID, sh.fraction) {
			return Decision{
				Model: name, Version: sh.to.name, Reason: ReasonCandidate,
				Rollout: sh.tag, NewPin: req.Session != nil,
			}
		}
	}
	if a.base == nil {
		return refuse(ReasonNoVersion, name, a.model.cfg.Current)
	}
	return Decision{
		Model: name, Version: a.base.name, Reason: a.baseReason,
		Rollout: a.tag(a.base.name), NewPin: req.Session != nil,
	}
}

// tag returns the tag of the rollout in which ratings of the version are evidence, or
// "".
func (a *modelAccess) tag(versionName string) string {
	for i := range a.shares {
		if a.shares[i].from == versionName || a.shares[i].to.name == versionName {
			return a.shares[i].tag
		}
	}
	return ""
}

// InShare tells whether the identity is inside the share of the rollout. An identity
// that is inside stays inside when the share grows.
func InShare(identity, rolloutID string, fraction float64) bool {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(rolloutID)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(identity)
	return float64(d.Sum64()>>(64-hashBits))/(1<<hashBits) < fraction
}

// EscalationInput is what is known once the first answer of a cascade has been rated.
type EscalationInput struct {
	// Score is the rating of the first answer.
	Score float64
	// Rated is false when the rating service gave no answer.
	Rated bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Expected is the expected duration of the second answer.
	Expected time.Duration
}

// Escalate decides whether the answer that was placed by the decision first is replaced
// by one of the policy's more expensive model. If so, it returns the decision for the
// second answer and true. Otherwise it returns first, with the reason why the answer is
// kept, and false. The snapshot may be newer than the one that first was made with.
func (s *Snapshot) Escalate(req *Request, first *Decision, in EscalationInput, inv *invariant.Checker) (Decision, bool) {
	kept := *first
	w, ok := s.workspaces[req.Workspace]
	if !ok {
		kept.Reason = ReasonUnknownWorkspace
		return kept, false
	}
	if kept.Reason = noEscalationReason(first, in); kept.Reason != ReasonNone {
		return kept, false
	}
	d := s.placeModel(w, req, first.Policy.Plan.next(in.Score))
	d.Policy, d.Explored = first.Policy, first.Explored
	d = s.enforceInvariants(w, req, d, inv)
	if d.Refused {
		kept.Reason = d.Reason
		return kept, false
	}
	if d.Reason != ReasonMoved {
		d.Reason = ReasonEscalated
	}
	return d, true
}

// noEscalationReason returns why the first answer is kept, or ReasonNone if it is to be
// replaced.
func noEscalationReason(first *Decision, in EscalationInput) Reason {
	switch {
	case first.Policy == nil || first.Policy.Plan == nil:
		return ReasonNoCascade
	case !in.Rated:
		return ReasonRatingUnavailable
	case first.Policy.Plan.next(in.Score) == "":
		return ReasonScoreSuffices
	case in.Expected > in.Remaining:
		return ReasonDeadline
	}
	return ReasonNone
}
