package routing

import "math/rand/v2"

// Candidate is an alternative with the reason why it was or was not chosen. Policy is
// nil when the alternative is a version.
type Candidate struct {
	Model   string
	Version string
	Policy  *Policy
	Chosen  bool
	Reason  Reason
}

// Explanation is a decision with all alternatives, in the order in which they were
// considered.
type Explanation struct {
	Decision   Decision
	Candidates []Candidate
}

// Explain repeats Place without exploration and lists the alternatives: for AutoModel
// the policies, then the versions of the chosen model.
func (s *Snapshot) Explain(req *Request) Explanation {
	out := Explanation{Decision: s.Place(req, noExploration{}, nil)}
	w, ok := s.workspaces[req.Workspace]
	if !ok {
		return out
	}
	modelName := req.Model
	if req.Model == AutoModel {
		out.Candidates = explainPolicies(w, req, &out.Decision)
		modelName = out.Decision.Model
	}
	if a, ok := w.models[modelName]; ok {
		out.Candidates = append(out.Candidates, a.explainVersions(req, &out.Decision)...)
	}
	return out
}

// noExploration is a random source for policyChoice.pick. Its values fall into no
// exploration share below 1.
type noExploration struct{}

func (noExploration) Uint64() uint64 { return ^uint64(0) }

var _ rand.Source = noExploration{}

func explainPolicies(w *workspace, req *Request, d *Decision) []Candidate {
	c, ok := w.policies[req.Kind]
	if !ok {
		c = w.policies[""]
	}
	var out []Candidate
	for _, p := range c.all {
		out = append(out, Candidate{Model: p.First, Policy: p, Chosen: p == d.Policy, Reason: c.rejectionReason(p, d.Policy, w)})
	}
	return out
}

// rejectionReason returns why p was not chosen, or ReasonNone for the chosen policy.
func (c *policyChoice) rejectionReason(p, chosen *Policy, w *workspace) Reason {
	switch {
	case p == chosen:
		return ReasonNone
	case chosen != c.best && p.First != chosen.First:
		return ReasonPinned
	case p.Lower < w.cfg.QualityTarget:
		return ReasonNotProved
	case p.Cost >= chosen.Cost:
		return ReasonMoreExpensive
	}
	return ReasonOther
}

func (a *modelAccess) explainVersions(req *Request, d *Decision) []Candidate {
	var out []Candidate
	for i, v := range a.model.versions {
		c := Candidate{Model: a.model.cfg.Name, Version: v.name, Reason: a.unusableReason(i)}
		if !d.Refused && v.name == d.Version {
			c.Chosen, c.Reason = true, d.Reason
		}
		if c.Reason == ReasonNone {
			c.Reason = ReasonOther
			if v.candidate {
				c.Reason = ReasonOutsideShare
			}
		}
		out = append(out, c)
	}
	return out
}
