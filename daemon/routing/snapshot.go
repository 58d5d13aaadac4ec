package routing

import (
	"slices"
	"strings"

	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
)

const (
	// The size of a typical request combines input and output prices into one price by
	// which models and policies are compared.
	typicalInputTokens  = 1000
	typicalOutputTokens = 300

	servicePrefix = "service:"
)

// StopNotice stops new work on a version. It is never revoked, but it applies only to the
// generation of the rollout that it names and to earlier ones.
type StopNotice struct {
	Model      string
	Version    string
	Generation uint64
}

// Quality holds the pooled ratings that a snapshot is built from.
type Quality struct {
	// Ratings holds the totals over all nodes.
	Ratings map[CounterKey]stats.Counter
	// RatingAvailable is false while the rating service does not answer.
	RatingAvailable bool
}

// Snapshot is the immutable input of all decisions. It is rebuilt when the bundle, the
// stop notices or the ratings change. It is safe for concurrent use.
type Snapshot struct {
	// BundleVersion is the version of the bundle that the snapshot is built from.
	BundleVersion uint64

	bundle          *bundle.Bundle
	stops           []StopNotice
	models          map[string]*model
	workspaces      map[string]*workspace
	services        map[string]*bundle.Service
	evidence        *evidence
	ratingAvailable bool
}

// model is a model of the bundle with its versions, in the order of the bundle.
type model struct {
	cfg *bundle.Model
	// price is that of a typical request.
	price    float64
	versions []*version
}

// version is a version of a model.
type version struct {
	name  string
	state Reason // ReasonNone, ReasonWithdrawn or ReasonStopped
	// generation is the highest generation of the rollouts to the version.
	generation uint64
	// candidate is true while a rollout to the version is not done.
	candidate bool
}

// workspace holds what one workspace may use and how its requests are answered.
type workspace struct {
	cfg    *bundle.Workspace
	models map[string]*modelAccess
	// ordered holds the models in ascending order of price.
	ordered  []*modelAccess
	services map[string]bool
	// policies holds the choices for AutoModel by kind; unknown kinds use "".
	policies map[string]*policyChoice
}

// modelAccess is a model of which a workspace may use at least one version.
type modelAccess struct {
	model   *model
	allowed []bool // by index of model.versions
	// base is the version for new sessions outside all rollout shares; nil when no
	// version accepts work.
	base       *version
	baseReason Reason
	shares     []rolloutShare
}

// rolloutShare directs a fraction of the new sessions to a candidate version.
type rolloutShare struct {
	rolloutID string
	fraction  float64
	to        *version
	// tag marks ratings of both versions as evidence in the rollout.
	tag  string
	from string
}

// NewSnapshot builds a snapshot of the bundle, the stop notices and the ratings. It
// keeps references to them, so they must not change afterwards.
func NewSnapshot(b *bundle.Bundle, bundleVersion uint64, stops []StopNotice, q Quality) *Snapshot {
	s := &Snapshot{
		BundleVersion:   bundleVersion,
		bundle:          b,
		stops:           stops,
		models:          make(map[string]*model, len(b.Models)),
		workspaces:      make(map[string]*workspace, len(b.Workspaces)),
		services:        make(map[string]*bundle.Service, len(b.Services)),
		ratingAvailable: q.RatingAvailable,
	}
	for i := range b.Models {
		s.models[b.Models[i].Name] = buildModel(b, &b.Models[i], stops)
	}
	for i := range b.Services {
		s.services[b.Services[i].Name] = &b.Services[i]
	}
	s.evidence = newEvidence(q.Ratings)
	for i := range b.Workspaces {
		w := s.buildWorkspace(&b.Workspaces[i])
		s.workspaces[w.cfg.Name] = w
	}
	return s
}

func buildModel(b *bundle.Bundle, cfg *bundle.Model, stops []StopNotice) *model {
	m := &model{cfg: cfg}
	m.price = typicalInputTokens*float64(cfg.InputPrice) + typicalOutputTokens*float64(cfg.OutputPrice)
	for i := range cfg.Versions {
		v := &version{name: cfg.Versions[i].Name}
		for j := range b.Rollouts {
			r := &b.Rollouts[j]
			if r.Model == cfg.Name && r.To == v.name {
				v.generation = max(v.generation, r.Generation)
				v.candidate = v.candidate || (r.State != bundle.RolloutDone && v.name != cfg.Current)
			}
		}
		switch {
		case cfg.Versions[i].State == bundle.VersionWithdrawn:
			v.state = ReasonWithdrawn
		case isStopped(stops, cfg.Name, v.name, v.generation):
			v.state = ReasonStopped
		}
		m.versions = append(m.versions, v)
	}
	return m
}

// isStopped tells whether a notice of the generation or a later one stops the version.
// A notice of a later generation means that this process has an older bundle.
func isStopped(stops []StopNotice, model, version string, generation uint64) bool {
	return slices.ContainsFunc(stops, func(s StopNotice) bool {
		return s.Model == model && s.Version == version && s.Generation >= generation
	})
}

// find returns the index and the version with the name, or -1 and nil.
func (m *model) find(name string) (int, *version) {
	for i, v := range m.versions {
		if v.name == name {
			return i, v
		}
	}
	return -1, nil
}

func (s *Snapshot) buildWorkspace(cfg *bundle.Workspace) *workspace {
	w := &workspace{cfg: cfg, models: make(map[string]*modelAccess), services: make(map[string]bool)}
	for _, entry := range cfg.Allowed {
		if name, ok := strings.CutPrefix(entry, servicePrefix); ok {
			w.services[name] = true
			continue
		}
		name, only, _ := strings.Cut(entry, "@")
		if m, ok := s.models[name]; ok {
			w.allow(m, only)
		}
	}
	for _, a := range w.ordered {
		a.chooseBase()
		a.chooseShares(s)
	}
	slices.SortStableFunc(w.ordered, func(a, b *modelAccess) int {
		return compareFloat(a.model.price, b.model.price)
	})
	w.policies = s.buildPolicies(w)
	return w
}

// allow adds a model to those that the workspace may use. If only is not empty, just
// the version of that name is allowed.
func (w *workspace) allow(m *model, only string) {
	a, ok := w.models[m.cfg.Name]
	if !ok {
		a = &modelAccess{model: m, allowed: make([]bool, len(m.versions))}
		w.models[m.cfg.Name] = a
		w.ordered = append(w.ordered, a)
	}
	for i, v := range m.versions {
		if only == "" || v.name == only {
			a.allowed[i] = true
		}
	}
}

// unusableReason returns why a version accepts no new work of the workspace, or
// ReasonNone if it does accept it.
func (a *modelAccess) unusableReason(i int) Reason {
	if !a.allowed[i] {
		return ReasonNotAllowed
	}
	return a.model.versions[i].state
}

// chooseBase selects the model's current version as base. If that accepts no work, it
// falls back to the nearest usable earlier version, then to the nearest usable later
// one. Candidates of open rollouts never become base, since they have not been
// accepted yet.
func (a *modelAccess) chooseBase() {
	current, _ := a.model.find(a.model.cfg.Current)
	if current >= 0 && a.unusableReason(current) == ReasonNone {
		a.base, a.baseReason = a.model.versions[current], ReasonCurrent
		return
	}
	a.baseReason = ReasonFallback
	for i := current - 1; i >= 0; i-- {
		if a.takeFallback(i) {
			return
		}
	}
	for i := current + 1; i < len(a.model.versions); i++ {
		if a.takeFallback(i) {
			return
		}
	}
}

// takeFallback makes version i the base if it may be used as fallback.
func (a *modelAccess) takeFallback(i int) bool {
	v := a.model.versions[i]
	if v.candidate || a.unusableReason(i) != ReasonNone {
		return false
	}
	a.base = v
	return true
}

// chooseShares collects the shares of the model's open rollouts whose candidate is
// usable.
func (a *modelAccess) chooseShares(s *Snapshot) {
	b := s.bundle
	for i := range b.Rollouts {
		r := &b.Rollouts[i]
		if r.Model != a.model.cfg.Name || r.Step < 0 || r.Step >= len(r.Steps) {
			continue
		}
		if r.State != bundle.RolloutRunning && r.State != bundle.RolloutPaused {
			continue
		}
		j, to := a.model.find(r.To)
		if to == nil || a.unusableReason(j) != ReasonNone || r.Generation < to.generation {
			continue
		}
		a.shares = append(a.shares, rolloutShare{
			rolloutID: r.ID,
			fraction:  r.Steps[s.step(r)],
			to:        to,
			from:      r.From,
			tag:       rolloutTag(r.ID, r.Generation),
		})
	}
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
