package routing

import (
	"slices"

	"cactusknot.example/coord/stats"
)

// bins are the ratings of one version by interval of the first answer's rating.
type bins [ScoreBins]stats.Counter

func (b *bins) total() stats.Counter {
	var sum stats.Counter
	if b == nil {
		return sum
	}
	for _, c := range b {
		sum = sum.Plus(c)
	}
	return sum
}

// cell is the evidence on one version for one kind.
type cell struct {
	// first are ratings of first answers by their own rating.
	first bins
	// after are ratings of second answers by model and rating of the first.
	after map[string]*bins
}

func (c *cell) afterModel(model string) *bins {
	if c == nil {
		return nil
	}
	return c.after[model]
}

func (c *cell) firstBins() *bins {
	if c == nil {
		return nil
	}
	return &c.first
}

func (c *cell) add(t Tags, counter stats.Counter) {
	bin := t.Bin
	if bin == NoBin {
		bin = BinOf(counter.Mean())
	}
	if t.After == "" {
		c.first[bin] = c.first[bin].Plus(counter)
		return
	}
	b, ok := c.after[t.After]
	if !ok {
		b = &bins{}
		if c.after == nil {
			c.after = make(map[string]*bins)
		}
		c.after[t.After] = b
	}
	b[bin] = b[bin].Plus(counter)
}

// cellID names a cell. An empty workspace, version or kind means all of them.
type cellID struct {
	workspace string
	model     string
	version   string
	kind      string
}

// trialID names one version's evidence in one generation of a roll-out.
type trialID struct {
	tag     string
	model   string
	version string
}

// evidence is the quality indexed for the choice of policies and the tests.
type evidence struct {
	cells  map[cellID]*cell
	trials map[trialID]stats.Counter
	kinds  []string
}

// gatherEvidence indexes the ratings. Keys with malformed tags are skipped: they
// come from a release with other tags.
func gatherEvidence(ratings map[CounterKey]stats.Counter) *evidence {
	e := &evidence{cells: make(map[cellID]*cell), trials: make(map[trialID]stats.Counter), kinds: []string{""}}
	parsed := make(map[string]Tags) // few kind fields are shared by many keys
	for key, counter := range ratings {
		tags, ok := parsed[key.Kind]
		if !ok {
			var err error
			if tags, err = ParseTags(key.Kind); err != nil {
				continue
			}
			parsed[key.Kind] = tags
		}
		e.addCells(key, tags, counter)
		if tags.Rollout != "" {
			id := trialID{tags.Rollout, key.Model, key.Version}
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

func (e *evidence) addCells(key CounterKey, tags Tags, counter stats.Counter) {
	kinds := []string{"", tags.Kind}
	if tags.Kind == "" {
		kinds = kinds[:1]
	}
	for _, kind := range kinds {
		e.cell(cellID{key.Workspace, key.Model, key.Version, kind}).add(tags, counter)
		e.cell(cellID{"", key.Model, key.Version, kind}).add(tags, counter)
		e.cell(cellID{"", key.Model, "", kind}).add(tags, counter)
	}
}

func (e *evidence) cell(id cellID) *cell {
	c, ok := e.cells[id]
	if !ok {
		c = &cell{}
		e.cells[id] = c
	}
	return c
}

// view is the evidence of one workspace on one version, with its prior.
type view struct {
	own *cell
	// others are the ratings of all workspaces; own ratings are taken off on use.
	others *cell
}

// view returns the evidence on the version. While the version has fewer ratings
// than a prior can use, those of all versions of the model serve as prior.
func (e *evidence) view(workspace, model, version, kind string) view {
	v := view{
		own:    e.cells[cellID{workspace, model, version, kind}],
		others: e.cells[cellID{"", model, version, kind}],
	}
	if total := v.others.firstBins().total(); total.Count < priorStrength {
		v.others = e.cells[cellID{"", model, "", kind}]
	}
	return v
}

// mixture is a set of intervals with own ratings and scaled prior ratings.
type mixture struct {
	own, prior bins
	// scale is the weight of one prior rating.
	scale  float64
	weight float64
}

// first mixes own ratings with those of the other workspaces, which count as at
// most priorStrength ratings.
func (v view) first() mixture {
	var m mixture
	if v.own != nil {
		m.own = v.own.first
	}
	if v.others != nil {
		for i := range m.prior {
			m.prior[i] = v.others.first[i].Minus(m.own[i])
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

// mass, mean and variance describe interval i of the mixture.
func (m *mixture) interval(i int) (mass, mean, variance float64) {
	mass = float64(m.own[i].Count) + m.scale*float64(m.prior[i].Count)
	if mass == 0 {
		return 0, 0, 0
	}
	mean = (m.own[i].Sum + m.scale*m.prior[i].Sum) / mass
	square := (m.own[i].SumSquares + m.scale*m.prior[i].SumSquares) / mass
	return mass, mean, max(0, square-mean*mean)
}

// single estimates the model's mean rating when it answers alone.
func (v view) single() stats.Estimate {
	m := v.first()
	return stats.Shrink(m.own.total(), m.prior.total(), priorStrength)
}

// second estimates the rating of the model's answer after an answer of the first
// model in interval i. Without enough such ratings the model's own mean serves.
func (v view) second(first string, i int, direct stats.Estimate) stats.Estimate {
	var own, others stats.Counter
	if b := v.own.afterModel(first); b != nil {
		own = b[i]
	}
	if b := v.others.afterModel(first); b != nil {
		others = b[i].Minus(own)
	}
	e := stats.Shrink(own, others, priorStrength)
	if e.Weight >= minSecondRatings {
		return e
	}
	missing := minSecondRatings - e.Weight
	e.Mean = (e.Weight*e.Mean + missing*direct.Mean) / minSecondRatings
	e.MeanVariance = guessVariance / minSecondRatings
	e.Weight = minSecondRatings
	return e
}
