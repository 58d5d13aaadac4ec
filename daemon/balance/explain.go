package balance

import (
	"slices"
	"time"

	"cactusknot.example/coord/limit"
)

// Candidate describes one agent in the decision log.
type Candidate struct {
	VM         string
	DataCentre string
	// Reason is "candidate", or why the agent can't be chosen or is a last resort:
	// "excluded", "leaving", "phase", "not_loaded", "paused", "suspected", "tried", "full".
	Reason string
	// Load is the estimated load with one more request; 1 is full.
	Load float64
	// CostMS is the estimated cost in ms.
	CostMS float64
	// Age is the age of the agent's report.
	Age time.Duration
	// Prefix is true when the prompt prefix is assumed to be cached.
	Prefix bool
}

// Explain returns all agents with the estimates that Choose uses, for the decision
// log. Unlike Choose it allocates.
func (s *Snapshot) Explain(now time.Time, r Request) []Candidate {
	p := s.pools[r.Target]
	if p == nil {
		p = &pool{medianFirstTokenMS: 1}
	}
	out := make([]Candidate, 0, len(s.agents))
	for i := range s.agents {
		a := &s.agents[i]
		out = append(out, Candidate{
			VM:         a.VM,
			DataCentre: a.DataCentre,
			Reason:     s.reason(a, now, p, r),
			Load:       s.load(a, now, p),
			CostMS:     s.cost(a, now, p, r),
			Age:        now.Sub(a.ReportedAt),
			Prefix:     r.Prefix != 0 && slices.Contains(a.Prefixes, r.Prefix),
		})
	}
	return out
}

func (s *Snapshot) reason(a *Agent, now time.Time, p *pool, r Request) string {
	switch {
	case s.exclusion.excludes(a):
		return "excluded"
	case a.Phase == limit.Leaving:
		return "leaving"
	case !acceptsWork(a.Phase):
		return "phase"
	case !slices.Contains(a.Targets, r.Target):
		return "not_loaded"
	case a.paused(now):
		return "paused"
	case a.Suspicion >= 1:
		return "suspected"
	case slices.Contains(r.Tried, a.VM):
		return "tried"
	case s.load(a, now, p) > 1:
		return "full"
	}
	return "candidate"
}
