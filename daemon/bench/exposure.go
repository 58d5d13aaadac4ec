package bench

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/routing"
)

const (
	// goodRuns is the number of roll-outs of a good version behind each rate of
	// false stops.
	goodRuns = 300
	// badRuns is the number of roll-outs per seed and kind of bad version.
	badRuns = 6
	// exposureWorkers bounds the roll-outs simulated at one time.
	exposureWorkers = 3
	// configSeconds is the time until a new step of a roll-out is in force.
	configSeconds = 10

	exposureBound = 0.25
	falseStops    = 0.01
)

var errInvariant = errors.New("bench: an invariant was violated")

// evidenceScope tells whose ratings a router's test sees and what it does.
type evidenceScope int

const (
	// pooledEvidence: all routers' ratings; a notice stops the version everywhere.
	pooledEvidence evidenceScope = iota
	// ownEvidence: each router tests its own ratings and stops only itself.
	ownEvidence
	// ownWithNotices: own ratings, but a notice stops the version everywhere.
	ownWithNotices
	// timerOnly: steps by time, no test; operators halt the roll-out.
	timerOnly
)

var scopeNames = [...]string{"product", "per-router", "per-router with notices", "timer"}

// trial is one simulated roll-out.
type trial struct {
	workload *Workload
	scope    evidenceScope
	// failures is the share of failed answers of the candidate; 0 is a good version.
	failures float64
	test     stats.Sequential
}

// outcome of one roll-out.
type outcome struct {
	// exposed are the requests answered by the candidate.
	exposed int
	// stopped is true when any router stopped the candidate.
	stopped bool
	// largest is the largest evidence that any router saw while nothing stopped.
	largest float64
	err     error
}

// RunExposure measures the requests answered by a bad version. The per-router
// variants run at the level at which their measured rate of false stops is at
// most 1%, the product at its nominal level.
func RunExposure(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "exposure", Notes: fmt.Sprintf(
		"%d good roll-outs per variant, %d bad ones per seed and kind", int(goodRuns*o.Scale), badRuns)}
	workloads, err := loadWorkloads(o)
	if err != nil {
		return report, err
	}
	for _, w := range workloads {
		if err := exposureDeployment(ctx, &report, w, o); err != nil {
			return report, err
		}
	}
	return report, nil
}

func exposureDeployment(ctx context.Context, report *Report, w *Workload, o Options) error {
	var rate, level float64
	var err error
	for scope := pooledEvidence; scope <= timerOnly; scope++ {
		t := trial{workload: w, scope: scope, test: routing.DefaultStopTest()}
		if scope == pooledEvidence || scope == ownEvidence {
			rate, level, err = calibrate(ctx, t, max(10, int(goodRuns*o.Scale)))
			if err != nil {
				return err
			}
			report.Rows = append(report.Rows, Row{
				Measure: "false stops", Deployment: w.Name, Variant: scopeNames[scope],
				Values: []Value{{"rate at level 0.01", "", rate}, {"level for a rate of 1%", "", level}},
			})
			if scope == pooledEvidence {
				report.atMost(w.Name, "product false stops", falseStops, rate)
			}
		}
		if scope == ownEvidence || scope == ownWithNotices {
			// Notices change nothing while no version is stopped.
			t.test.Level = level
		}
		if err := exposureRows(ctx, report, t, o); err != nil {
			return err
		}
	}
	for _, failures := range w.Rollout.FailureShares {
		name := exposedName(failures)
		product, own := report.total(w.Name, scopeNames[pooledEvidence], name), report.total(w.Name, scopeNames[ownEvidence], name)
		report.atMost(w.Name, fmt.Sprintf("product / per-router, %.0f%% failures", failures*100), exposureBound, product/own)
		notices := report.total(w.Name, scopeNames[ownWithNotices], name)
		report.atMost(w.Name, fmt.Sprintf("product / per-router with notices, %.0f%% failures", failures*100), exposureBound, product/notices)
	}
	return nil
}

func exposedName(failures float64) string {
	return fmt.Sprintf("requests exposed, %.0f%% failures", failures*100)
}

// total returns the sum of the figure over all seeds.
func (r *Report) total(deployment, variant, name string) float64 {
	sum := 0.0
	for _, row := range r.Rows {
		for _, v := range row.Values {
			if row.Deployment == deployment && row.Variant == variant && v.Name == name {
				sum += v.Value
			}
		}
	}
	return sum
}

// calibrate runs good roll-outs without acting on the test. It returns the share
// whose evidence reached the level of t, and the largest level at which at most
// 1% would have been stopped.
func calibrate(ctx context.Context, t trial, runs int) (rate, level float64, err error) {
	t.test.Level, level = math.SmallestNonzeroFloat64, t.test.Level
	outcomes, err := runTrials(ctx, t, 1_000_000, runs)
	if err != nil {
		return 0, 0, err
	}
	var largest []float64
	over := 0
	for _, r := range outcomes {
		largest = append(largest, r.largest)
		if r.largest >= -math.Log(level) {
			over++
		}
	}
	slices.Sort(largest)
	allowed := int(falseStops * float64(runs))
	// The test fires at or above the threshold, which lies just above the first
	// roll-out that must not be stopped.
	threshold := math.Nextafter(largest[runs-1-allowed], math.Inf(1))
	return float64(over) / float64(runs), math.Min(1, math.Exp(-threshold)), nil
}

func exposureRows(ctx context.Context, report *Report, t trial, o Options) error {
	for _, seed := range o.Seeds {
		row := Row{Measure: "exposure", Deployment: t.workload.Name, Variant: scopeNames[t.scope], Seed: seed}
		for _, failures := range t.workload.Rollout.FailureShares {
			t.failures = failures
			outcomes, err := runTrials(ctx, t, seed*1000, badRuns)
			if err != nil {
				return err
			}
			exposed, stopped := 0, 0
			for _, r := range outcomes {
				exposed += r.exposed
				if r.stopped {
					stopped++
				}
			}
			row.Values = append(row.Values,
				Value{exposedName(failures), "", float64(exposed) / badRuns},
				Value{fmt.Sprintf("stopped, %.0f%% failures", failures*100), "", float64(stopped) / badRuns})
		}
		report.Rows = append(report.Rows, row)
	}
	return nil
}

// runTrials runs the roll-out with consecutive seeds.
func runTrials(ctx context.Context, t trial, seed uint64, runs int) ([]outcome, error) {
	out := make([]outcome, runs)
	var wait sync.WaitGroup
	slots := make(chan struct{}, exposureWorkers)
	for i := range out {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() == nil {
				out[i] = newSimulation(t, seed+uint64(i)).run()
			}
		})
	}
	wait.Wait()
	for i := range out {
		if out[i].err != nil {
			return out, out[i].err
		}
	}
	return out, ctx.Err()
}

// node is one router of the simulation.
type node struct {
	table    *stats.Table[routing.Key]
	snapshot *routing.Snapshot
	stops    []routing.Stop
	// sent is the table version up to which peers have its own rows.
	sent uint64
	// tested is the table version of the last test.
	tested uint64
}

// dueRating is a rating that reaches its router at second due.
type dueRating struct {
	due    int
	node   int
	key    routing.Key
	rating float64
}

type simulation struct {
	trial
	rng    *rand.Rand
	src    rand.Source
	who    *callers
	bundle *bundle.Bundle
	nodes  []*node
	due    []dueRating
	inv    invariant.Checker
	// growAt is the second at which the next step is in force; 0 when none is.
	growAt int
	out    outcome
}

func newSimulation(t trial, seed uint64) *simulation {
	s := &simulation{trial: t, rng: rand.New(rand.NewPCG(seed, 5)), src: rand.NewPCG(seed, 6)}
	s.who = newCallers(t.workload, s.rng)
	s.bundle = rolloutBundle(t.workload)
	for i := range t.workload.Routers {
		name := fmt.Sprintf("router-%d", i)
		s.nodes = append(s.nodes, &node{table: stats.NewTable[routing.Key](stats.Node{Name: name, Incarnation: 1})})
	}
	return s
}

// rolloutBundle holds the model that is rolled out alone, to keep snapshots cheap.
func rolloutBundle(w *Workload) *bundle.Bundle {
	b := w.bundle()
	m := b.Models[w.modelIndex(w.Rollout.Model)]
	m.Versions = append(m.Versions, bundle.Version{Name: "2", State: bundle.VersionServing})
	b.Models = []bundle.Model{m}
	b.Rollouts = []bundle.Rollout{{
		ID: "r", Model: m.Name, From: "1", To: "2", Steps: w.Rollout.Steps,
		State: bundle.RolloutRunning, Generation: 1,
	}}
	return b
}

func (s *simulation) run() outcome {
	w := s.workload
	for second := range w.Rollout.HorizonSeconds {
		s.deliver(second)
		s.grow(second)
		if second%w.SyncSeconds == 0 {
			s.sync(second)
		}
		for range w.RequestsPerSecond {
			s.request(second)
		}
	}
	if s.inv.Total() > 0 {
		s.out.err = fmt.Errorf("%w: %v", errInvariant, s.inv.Counts())
	}
	return s.out
}

func (s *simulation) deliver(second int) {
	n := 0
	for ; n < len(s.due) && s.due[n].due <= second; n++ {
		_ = s.nodes[s.due[n].node].table.Add(s.due[n].key, s.due[n].rating)
	}
	s.due = s.due[n:]
}

// sync tests, then exchanges counters and notices between all routers. A notice
// or counter thus is known elsewhere one interval after it was made.
func (s *simulation) sync(second int) {
	if s.scope == timerOnly && second > 0 {
		return
	}
	for _, n := range s.nodes {
		s.rebuild(n)
		s.judge(n)
	}
	s.propose(second)
	if s.scope == pooledEvidence {
		s.exchangeCounters()
	}
	if s.scope != ownEvidence {
		s.exchangeStops()
	}
}

func (s *simulation) rebuild(n *node) {
	q := routing.Quality{Ratings: n.table.Totals(), RatingUp: true}
	n.snapshot = routing.Build(s.bundle, 1, n.stops, q)
}

func (s *simulation) judge(n *node) {
	if s.scope == timerOnly || n.tested == n.table.Version() {
		return
	}
	n.tested = n.table.Version()
	for _, v := range n.snapshot.Verdicts(s.test) {
		if v.Cause == routing.CauseWorse {
			s.out.stopped = true
			n.stops = append(n.stops, v.Stop)
			s.rebuild(n)
		}
	}
	if s.failures == 0 {
		e := s.test.Worse(n.snapshot.Trial(&s.bundle.Rollouts[0]))
		s.out.largest = math.Max(s.out.largest, e.LogE)
	}
}

// propose asks the first router whether the roll-out may grow. With per-router
// evidence it sees only its share of the ratings, so it asks for as much less.
func (s *simulation) propose(second int) {
	if s.growAt > 0 || s.scope == timerOnly {
		return
	}
	rule := routing.GrowthRule{RatingsPerStep: s.workload.Rollout.RatingsPerStep, Test: routing.DefaultStopTest()}
	if s.scope != pooledEvidence {
		rule.RatingsPerStep /= uint64(len(s.nodes))
	}
	if g := s.nodes[0].snapshot.Growth("r", rule); g.Hold == "" {
		s.growAt = second + configSeconds
	}
}

func (s *simulation) grow(second int) {
	r := s.bundle.Rollouts[0]
	plan := s.workload.Rollout
	if s.scope == timerOnly {
		r.Step = min(second/plan.TimerSeconds, len(plan.Steps)-1)
		if second >= plan.OperatorSeconds {
			r.State = bundle.RolloutHalted
		}
	} else if s.growAt > 0 && second >= s.growAt {
		s.growAt = 0
		r.Step++
	}
	if r.Step == s.bundle.Rollouts[0].Step && r.State == s.bundle.Rollouts[0].State {
		return
	}
	b := *s.bundle
	b.Rollouts = []bundle.Rollout{r}
	s.bundle = &b
	for _, n := range s.nodes {
		s.rebuild(n)
	}
}

func (s *simulation) exchangeCounters() {
	deltas := make([][]stats.Entry[routing.Key], len(s.nodes))
	for i, n := range s.nodes {
		all, next := n.table.Delta(n.sent)
		n.sent = next
		for _, e := range all {
			if e.Node.Name == n.table.Self().Name {
				deltas[i] = append(deltas[i], e)
			}
		}
	}
	for i, n := range s.nodes {
		for j, delta := range deltas {
			if i != j {
				_, _ = n.table.Merge(delta)
			}
		}
	}
}

func (s *simulation) exchangeStops() {
	for _, n := range s.nodes {
		if len(n.stops) == 0 {
			continue
		}
		for _, other := range s.nodes {
			if len(other.stops) == 0 {
				other.stops = n.stops
			}
		}
		return
	}
}

func (s *simulation) request(second int) {
	w := s.workload
	d := w.draw(s.rng)
	req := s.who.request(d.workspace, d.kind, w.Rollout.Model)
	i := s.rng.IntN(len(s.nodes))
	decision := s.nodes[i].snapshot.Place(&req, s.src, &s.inv)
	if decision.Refused {
		return
	}
	remember(req.Session, &decision)
	rating := d.answers[w.modelIndex(w.Rollout.Model)].rating
	if decision.Version == "2" {
		s.out.exposed++
		if s.rng.Float64() < s.failures {
			rating = w.Rollout.FailureScore
		}
	}
	if s.rng.Float64() < w.RatedShare {
		key := routing.RatingKey(&req, &decision, rating)
		s.due = append(s.due, dueRating{second + w.RatingDelaySeconds, i, key, rating})
	}
}
