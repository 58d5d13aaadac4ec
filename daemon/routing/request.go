// Package routing decides which model and version answers a request. Every
// function is pure: it reads an immutable Snapshot, the request and a random
// source, and changes nothing else.
package routing

import "cactusknot.example/daemon/result"

// AutoModel asks for the cheapest policy that meets the workspace's target.
const AutoModel = "auto"

// Pin binds a session to a version of a model.
type Pin struct {
	Model   string
	Version string
}

// Session holds the verified claims of a session token.
type Session struct {
	ID        string
	Workspace string
	// Pins has one entry per model that the session has used, in order of first
	// use. Requests for AutoModel stay with the first one.
	Pins []Pin
}

// version returns the pinned version of the model, or "".
func (s *Session) version(model string) string {
	if s == nil {
		return ""
	}
	for i := range s.Pins {
		if s.Pins[i].Model == model {
			return s.Pins[i].Version
		}
	}
	return ""
}

// Request is what a placement depends on.
type Request struct {
	// ID identifies the request; it decides the roll-out share without a session.
	ID        string
	Workspace string
	// Model is a model's name or AutoModel.
	Model string
	// Version is the requested version; empty leaves the choice to the router.
	Version string
	// Kind is the kind of request in quality counters; empty when unknown.
	Kind string
	// Session is nil without a session token.
	Session *Session
}

// shareKey is the identity that decides on which side of a share a request is.
func (r *Request) shareKey() string {
	if r.Session != nil {
		return r.Session.ID
	}
	return r.ID
}

// Decision is the outcome of Place or Escalate.
type Decision struct {
	Model   string
	Version string
	Reason  Reason
	// Refused is true when the request must not run; Reason then says why.
	Refused bool
	// MovedFrom is the session's earlier version when Reason is ReasonMoved; the
	// caller announces it in X-Session-Moved and replaces the pin.
	MovedFrom string
	// NewPin is true when (Model, Version) is to be added to the session.
	NewPin bool
	// Rollout tags ratings of the answer as evidence in a roll-out; see Tags.
	Rollout string
	// Policy is the policy that was followed for AutoModel, else nil.
	Policy *Policy
	// Explored is true when the policy was run to learn its quality.
	Explored bool
}

// Err returns the result error of a refusal, or nil.
func (d *Decision) Err() *result.Error {
	if !d.Refused {
		return nil
	}
	return d.Reason.Code().With("%s: model %s version %s", d.Reason, d.Model, d.Version)
}

func refuse(r Reason, model, version string) Decision {
	return Decision{Model: model, Version: version, Reason: r, Refused: true}
}
