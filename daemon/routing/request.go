// Package routing decides which model and version answers a request. Every decision is
// a pure function of an immutable Snapshot, the request and a random source.
package routing

import "cactusknot.example/daemon/result"

// AutoModel is the model name that requests the cheapest policy that meets the
// workspace's quality target.
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
	// Pins has one entry per model that the session has used, in order of first use.
	// Requests for AutoModel use the model of the first pin.
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

// Request holds the properties of a request that a placement depends on.
type Request struct {
	// ID identifies the request. Without a session it decides whether the request is
	// inside the share of a rollout.
	ID        string
	Workspace string
	// Model is the name of a model, or AutoModel.
	Model string
	// Version is the requested version; if empty, the router chooses one.
	Version string
	// Kind is the kind of request in quality counters; empty when unknown.
	Kind string
	// Session is nil when the request has no session token.
	Session *Session
}

// shareKey returns the identity that decides whether the request is inside a share.
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
	// Refused is true when the request must not run. Reason then says why.
	Refused bool
	// MovedFrom is the session's earlier version when Reason is ReasonMoved. The caller
	// announces it in X-Session-Moved and replaces the pin.
	MovedFrom string
	// NewPin is true when the caller must add a pin to (Model, Version) to the session.
	NewPin bool
	// Rollout tags ratings of the answer as evidence in a rollout; see Tags.
	Rollout string
	// Policy is the policy that was applied for AutoModel, otherwise nil.
	Policy *Policy
	// Explored is true when the policy was chosen in order to learn its quality.
	Explored bool
}

// Err returns the error of a refusal, or nil.
func (d *Decision) Err() *result.Error {
	if !d.Refused {
		return nil
	}
	return d.Reason.Code().With("%s: model %s version %s", d.Reason, d.Model, d.Version)
}

func refuse(r Reason, model, version string) Decision {
	return Decision{Model: model, Version: version, Reason: r, Refused: true}
}
