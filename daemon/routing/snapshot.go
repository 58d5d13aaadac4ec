package routing

import (
	"slices"
	"strings"

	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
)

const (
	// The typical size of a request weighs input against output prices when
	// policies are compared.
	typicalInputTokens  = 1000
	typicalOutputTokens = 300

	servicePrefix = "service:"
)

// StopNotice is a latched stop notice.
type StopNotice struct {
	Model      string
	Version    string
	Generation uint64
}

// Quality is the pooled evidence that a snapshot is built from.
type Quality struct {
	// Ratings are the totals of all nodes by key.
	Ratings map[CounterKey]stats.Counter
	// RatingAvailable is false while the rating service does not answer.
	RatingAvailable bool
}

// Snapshot is the immutable input of all decisions, built once per change of
// bundle, stop notices or quality. It is safe for concurrent use.
type Snapshot struct {
	// BundleVersion is the version of the bundle in force.
	BundleVersion uint64

	bundle     *bundle.Bundle
	stops      []StopNotice
	models     map[string]*model
	workspaces map[string]*workspace
	services   map[string]*bundle.Service
	evidence   *evidence
	ratingUp   bool
}

// model is a model of the bundle with its versions.
type model struct {
	cfg      *bundle.Model
	price    float64
	versions []*version
}

type version struct {
	name  string
	state Reason // ReasonNone, ReasonWithdrawn or ReasonStopped
	// generation is that of the latest roll-out to the version.
	generation uint64
	// candidate is true while a roll-out to the version is not done.
	candidate bool
}

// workspace is what one workspace may use.
type workspace struct {
	cfg      *bundle.Workspace
	models   map[string]*access
	ordered  []*access
	services map[string]bool
	// policies are the choices for AutoModel by kind; unknown kinds use "".
	policies map[string]*choice
}

// access is a model that a workspace may use at least in part.
type access struct {
	model   *model
	allowed []bool // by index of model.versions
	// base is the version of new sessions outside a share; nil when none takes work.
	base       *version
	baseReason Reason
	shares     []share
}

// share sends a part of the new sessions to a candidate version.
type share struct {
	rolloutID string
	part      float64
	to        *version
	tag       string
	from      string
}

// NewSnapshot returns the snapshot of the bundle with the stop notices and quality
// known. It keeps references to the bundle and the ratings, which must not
// change afterwards.
func NewSnapshot(b *bundle.Bundle, bundleVersion uint64, stops []StopNotice, q Quality) *Snapshot {
	s := &Snapshot{
		BundleVersion: bundleVersion,
		bundle:        b,
		stops:         stops,
		models:        make(map[string]*model, len(b.Models)),
		workspaces:    make(map[string]*workspace, len(b.Workspaces)),
		services:      make(map[string]*bundle.Service, len(b.Services)),
		ratingUp:      q.RatingAvailable,
	}
	for i := range b.Models {
		s.models[b.Models[i].Name] = buildModel(b, &b.Models[i], stops)
	}
	for i := range b.Services {
		s.services[b.Services[i].Name] = &b.Services[i]
	}
	s.evidence = gatherEvidence(q.Ratings)
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

// isStopped tells whether a notice of the generation or a later one stops the
// version. A later generation means that this process has an older bundle.
func isStopped(stops []StopNotice, model, version string, generation uint64) bool {
	return slices.ContainsFunc(stops, func(s StopNotice) bool {
		return s.Model == model && s.Version == version && s.Generation >= generation
	})
}

func (m *model) find(name string) (int, *version) {
	for i, v := range m.versions {
		if v.name == name {
			return i, v
		}
	}
	return -1, nil
}

func (s *Snapshot) buildWorkspace(cfg *bundle.Workspace) *workspace {
	w := &workspace{cfg: cfg, models: make(map[string]*access), services: make(map[string]bool)}
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
	slices.SortStableFunc(w.ordered, func(a, b *access) int {
		return compareFloat(a.model.price, b.model.price)
	})
	w.policies = s.buildPolicies(w)
	return w
}

// allow adds a model, or the one version only when it is not empty.
func (w *workspace) allow(m *model, only string) {
	a, ok := w.models[m.cfg.Name]
	if !ok {
		a = &access{model: m, allowed: make([]bool, len(m.versions))}
		w.models[m.cfg.Name] = a
		w.ordered = append(w.ordered, a)
	}
	for i, v := range m.versions {
		if only == "" || v.name == only {
			a.allowed[i] = true
		}
	}
}

// usable tells why a version takes no new work of the workspace; ReasonNone
// means that it does.
func (a *access) usable(i int) Reason {
	if !a.allowed[i] {
		return ReasonNotAllowed
	}
	return a.model.versions[i].state
}

// chooseBase takes the version in force. When it takes no work, the nearest
// earlier version that was already in force follows, then the nearest later
// one. Candidates of open roll-outs have not been accepted and never serve as base.
func (a *access) chooseBase() {
	current, _ := a.model.find(a.model.cfg.Current)
	if current >= 0 && a.usable(current) == ReasonNone {
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

func (a *access) takeFallback(i int) bool {
	v := a.model.versions[i]
	if v.candidate || a.usable(i) != ReasonNone {
		return false
	}
	a.base = v
	return true
}

func (a *access) chooseShares(s *Snapshot) {
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
		if to == nil || a.usable(j) != ReasonNone || r.Generation < to.generation {
			continue
		}
		a.shares = append(a.shares, share{
			rolloutID: r.ID,
			part:      r.Steps[s.step(r)],
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
