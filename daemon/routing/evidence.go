package routing

import (
	"slices"

	"cactusknot.example/coord/stats"
)

// scoreCounters holds the ratings of one version by the score interval of the first
// answer.
type scoreCounters [ScoreBins]stats.Counter

func (b *scoreCounters) total() stats.Counter {
	var sum stats.Counter
	if b == nil {
		return sum
	}
	for _, c := range b {
		sum = sum.Plus(c)
	}
	return sum
}

// versionRatings holds the ratings of one version for one kind of request.
type versionRatings struct {
	// first holds the ratings of first answers by their own score interval.
	first scoreCounters
	// second holds the ratings of second answers of a cascade by the model and the
	// score interval of the first answer.
	second map[string]*scoreCounters
}

// secondAfter returns the ratings of second answers after a first answer of the model.
func (r *versionRatings) secondAfter(model string) *scoreCounters {
	if r == nil {
		return nil
	}
	return r.second[model]
}

func (r *versionRatings) firstCounters() *scoreCounters {
	if r == nil {
		return nil
	}
	return &r.first
}

func (r *versionRatings) add(t Tags, counter stats.Counter) {
	bin := t.Bin
	if bin == NoBin {
		bin = BinOf(counter.Mean())
	}
	if t.After == "" {
		r.first[bin] = r.first[bin].Plus(counter)
		return
	}
	b, ok := r.second[t.After]
	if !ok {
		b = &scoreCounters{}
		if r.second == nil {
			r.second = make(map[string]*scoreCounters)
		}
		r.second[t.After] = b
	}
	b[bin] = b[bin].Plus(counter)
}

// ratingsKey identifies a versionRatings. An empty workspace, version or kind stands
// for all of them.
type ratingsKey struct {
	workspace string
	model     string
	version   string
	kind      string
}

// trialKey identifies the ratings of one version in one generation of a rollout. The
// tag is that of rolloutTag.
type trialKey struct {
	tag     string
	model   string
	version string
}

// evidence indexes the ratings for the choice of policies and the sequential tests.
type evidence struct {
	ratings map[ratingsKey]*versionRatings
	trials  map[trialKey]stats.Counter
	kinds   []string
}

// newEvidence indexes the ratings. Keys with malformed tags are skipped, since another
// release may use other tags.
func newEvidence(ratings map[CounterKey]stats.Counter) *evidence {
	e := &evidence{ratings: make(map[ratingsKey]*versionRatings), trials: make(map[trialKey]stats.Counter), kinds: []string{""}}
	parsed := make(map[string]Tags) // many keys share a few kind fields
	for key, counter := range ratings {
		tags, ok := parsed[key.Kind]
		if !ok {
			var err error
			if tags, err = ParseTags(key.Kind); err != nil {
				continue
			}
			parsed[key.Kind] = tags
		}
		e.addRatings(key, tags, counter)
		if tags.Rollout != "" {
			id := trialKey{tags.Rollout, key.Model, key.Version}
			e.trials[id] = e.trials[id].Plus(counter)
		}
	}
	for _, tags := range parsed {
		if !slices.Contains(e.kinds, tags.Kind) {
			e.kinds = append(e.kinds, tags.Kind)
		}
	}
	return e
}

// addRatings adds the counter to all aggregates that the key belongs to.
func (e *evidence) addRatings(key CounterKey, tags Tags, counter stats.Counter) {
	kinds := []string{"", tags.Kind}
	if tags.Kind == "" {
		kinds = kinds[:1]
	}
	for _, kind := range kinds {
		e.ratingsFor(ratingsKey{key.Workspace, key.Model, key.Version, kind}).add(tags, counter)
		e.ratingsFor(ratingsKey{"", key.Model, key.Version, kind}).add(tags, counter)
		e.ratingsFor(ratingsKey{"", key.Model, "", kind}).add(tags, counter)
	}
}

func (e *evidence) ratingsFor(id ratingsKey) *versionRatings {
	r, ok := e.ratings[id]
	if !ok {
		r = &versionRatings{}
		e.ratings[id] = r
	}
	return r
}

// workspaceRatings holds one workspace's ratings of a version and those that serve as
// prior.
type workspaceRatings struct {
	own *versionRatings
	// all holds the ratings of all workspaces. Own ratings are subtracted on use.
	all *versionRatings
}

// forWorkspace returns the workspace's ratings of the version with their prior. While
// the version has fewer than priorStrength ratings, the ratings of all versions of the
// model are the prior.
func (e *evidence) forWorkspace(workspace, model, version, kind string) workspaceRatings {
	v := workspaceRatings{
		own: e.ratings[ratingsKey{workspace, model, version, kind}],
		all: e.ratings[ratingsKey{"", model, version, kind}],
	}
	if total := v.all.firstCounters().total(); total.Count < priorStrength {
		v.all = e.ratings[ratingsKey{"", model, "", kind}]
	}
	return v
}

// mixture combines a workspace's own ratings with scaled prior ratings, by score
// interval.
type mixture struct {
	own, prior scoreCounters
	// scale is the weight of one prior rating; an own rating has weight 1.
	scale float64
	// weight is the total weight of all ratings.
	weight float64
}

// mixFirst combines the own ratings of first answers with those of the other
// workspaces, which have a total weight of at most priorStrength.
func (v workspaceRatings) mixFirst() mixture {
	var m mixture
	if v.own != nil {
		m.own = v.own.first
	}
	if v.all != nil {
		for i := range m.prior {
			m.prior[i] = v.all.first[i].Minus(m.own[i])
		}
	}
	m.weight = float64(m.own.total().Count)
	if n := float64(m.prior.total().Count); n > 0 {
		strength := min(priorStrength, n)
		m.scale = strength / n
		m.weight += strength
	}
	return m
}

// interval returns the total weight of the ratings in interval i, their mean and their
// variance.
func (m *mixture) interval(i int) (weight, mean, variance float64) {
	weight = float64(m.own[i].Count) + m.scale*float64(m.prior[i].Count)
	if weight == 0 {
		return 0, 0, 0
	}
	mean = (m.own[i].Sum + m.scale*m.prior[i].Sum) / weight
	meanSquare := (m.own[i].SumSquares + m.scale*m.prior[i].SumSquares) / weight
	return weight, mean, max(0, meanSquare-mean*mean)
}

// singleEstimate estimates the mean rating of the model's answers without a cascade.
func (v workspaceRatings) singleEstimate() stats.Estimate {
	m := v.mixFirst()
	return stats.Shrink(m.own.total(), m.prior.total(), priorStrength)
}

// secondEstimate estimates the mean rating of the model's second answers after a first
// answer of the given model in score interval i. While there are too few such ratings,
// the mean is filled up with single, the estimate for the model without a cascade.
func (v workspaceRatings) secondEstimate(first string, i int, single stats.Estimate) stats.Estimate {
	var own, others stats.Counter
	if b := v.own.secondAfter(first); b != nil {
		own = b[i]
	}
	if b := v.all.secondAfter(first); b != nil {
		others = b[i].Minus(own)
	}
	e := stats.Shrink(own, others, priorStrength)
	if e.Weight >= minSecondRatings {
		return e
	}
	missing := minSecondRatings - e.Weight
	e.Mean = (e.Weight*e.Mean + missing*single.Mean) / minSecondRatings
	e.MeanVariance = defaultRatingVariance / minSecondRatings
	e.Weight = minSecondRatings
	return e
}
