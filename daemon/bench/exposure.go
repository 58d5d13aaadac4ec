package bench

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/routing"
)

const (
	// goodRollouts is the number of rollouts of a good version from which each
	// false stop rate is measured.
	goodRollouts = 300
	// badRollouts is the number of rollouts per seed and failure share of a
	// bad version.
	badRollouts = 6
	// settleSeconds is the time that a simulation continues after every router
	// has stopped the candidate, so that the invariants are also checked while
	// its sessions move to another version.
	settleSeconds = 60
	// calibrationSeed is the first seed of the good rollouts. The seeds of bad
	// rollouts are lower.
	calibrationSeed = 1_000_000
	// configSeconds is the time from the decision for a rollout step until it
	// is in force.
	configSeconds = 10

	maxExposureRatio = 0.25
	maxFalseStopRate = 0.01
)

var errInvariant = errors.New("bench: an invariant was violated")

// evidenceScope selects the ratings that a router's stop test uses and the
// routers that a stop applies to.
type evidenceScope int

const (
	// pooledEvidence: the ratings of all routers; a stop notice applies to all
	// routers.
	pooledEvidence evidenceScope = iota
	// ownEvidence: the router's own ratings; a stop applies to this router
	// only.
	ownEvidence
	// ownWithNotices: the router's own ratings; a stop notice applies to all
	// routers.
	ownWithNotices
	// timerOnly: no stop test; the rollout advances by time until operators
	// halt it.
	timerOnly
)

var scopeNames = [...]string{"product", "per-router", "per-router with notices", "timer"}

// calibratedProductVariant is the product with a stop test whose level is
// calibrated to a false stop rate of 1%, as for the per-router variants.
const calibratedProductVariant = "product at a rate of 1%"

// rolloutConfig is the configuration of one simulated rollout.
type rolloutConfig struct {
	workload *Workload
	scope    evidenceScope
	// failureShare is the share of the candidate's answers that fail; 0 is a good
	// version.
	failureShare float64
	test         stats.Sequential
	// separateKeys keeps counters per workspace, kind and score interval, as
	// routers do. The stop test uses only their sums, so by default each
	// version has one key to make the simulation faster.
	separateKeys bool
}

// outcome is the result of one simulated rollout.
type outcome struct {
	// exposed counts the requests that the candidate answered.
	exposed int
	// stopped reports whether any router stopped the candidate.
	stopped bool
	// maxEvidence is the largest evidence at any router before a stop. It is
	// recorded for good versions only.
	maxEvidence float64
	err         error
}

// RunExposure measures the number of requests that a bad version answers. The
// level of the per-router variants' test is the one at which their measured
// false stop rate is at most 1%; the product runs at its nominal level.
func RunExposure(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "exposure", Notes: fmt.Sprintf(
		"%d good roll-outs per variant, %d bad ones per seed and kind", int(goodRollouts*o.Scale), badRollouts)}
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
	var level float64
	for scope := pooledEvidence; scope <= timerOnly; scope++ {
		t := rolloutConfig{workload: w, scope: scope, test: routing.DefaultStopTest()}
		if scope == pooledEvidence || scope == ownEvidence {
			runs := max(10, int(goodRollouts*o.Scale))
			falseStops, newLevel, err := calibrate(ctx, t, runs)
			if err != nil {
				return err
			}
			level = newLevel
			upper := rateUpperBound(falseStops, runs, rateConfidence)
			report.Rows = append(report.Rows, Row{
				Measure: "false stops", Deployment: w.Name, Variant: scopeNames[scope],
				Values: []Value{
					{"rate at level 0.01", "", float64(falseStops) / float64(runs)},
					{"upper 95% bound of the rate", "", upper},
					{"level for a rate of 1%", "", level},
				},
			})
			if scope == pooledEvidence {
				report.checkAtMost(w.Name, "product false stops, upper 95% bound", maxFalseStopRate, upper)
			}
		}
		if scope == ownEvidence || scope == ownWithNotices {
			// Calibrated for ownEvidence; notices make no difference to good
			// rollouts, in which no version is stopped.
			t.test.Level = level
		}
		if err := exposureRows(ctx, report, t, scopeNames[scope], o); err != nil {
			return err
		}
		if scope == pooledEvidence {
			t.test.Level = level
			if err := exposureRows(ctx, report, t, calibratedProductVariant, o); err != nil {
				return err
			}
		}
	}
	for _, failures := range w.Rollout.FailureShares {
		name := exposedName(failures)
		product, own := report.sumOverSeeds(w.Name, scopeNames[pooledEvidence], name), report.sumOverSeeds(w.Name, scopeNames[ownEvidence], name)
		report.checkAtMost(w.Name, fmt.Sprintf("product / per-router, %.0f%% failures", failures*100), maxExposureRatio, product/own)
		notices := report.sumOverSeeds(w.Name, scopeNames[ownWithNotices], name)
		report.checkAtMost(w.Name, fmt.Sprintf("product / per-router with notices, %.0f%% failures", failures*100), maxExposureRatio, product/notices)
	}
	return nil
}

func exposedName(failures float64) string {
	return fmt.Sprintf("requests exposed, %.0f%% failures", failures*100)
}

// sumOverSeeds returns the sum of a figure over all seeds.
func (r *Report) sumOverSeeds(deployment, variant, name string) float64 {
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

// calibrate runs good rollouts with a test that never stops a version. It
// returns the number of rollouts whose evidence reached the level of t at any
// router, and the largest level at which at most 1% of them would have been
// stopped.
func calibrate(ctx context.Context, t rolloutConfig, runs int) (falseStops int, level float64, err error) {
	t.test.Level, level = math.SmallestNonzeroFloat64, t.test.Level
	outcomes, err := runRolloutJobs(ctx, newRolloutJobs(t, calibrationSeed, runs))
	if err != nil {
		return 0, 0, err
	}
	var evidence []float64
	for _, r := range outcomes {
		evidence = append(evidence, r.maxEvidence)
		if r.maxEvidence >= -math.Log(level) {
			falseStops++
		}
	}
	slices.Sort(evidence)
	allowed := int(maxFalseStopRate * float64(runs))
	// The test rejects at or above its threshold, so the threshold is set just
	// above the evidence of the first rollout that must not be stopped.
	threshold := math.Nextafter(evidence[runs-1-allowed], math.Inf(1))
	return falseStops, math.Min(1, math.Exp(-threshold)), nil
}

// exposureRows runs the bad versions of all seeds in parallel, to use all
// processors.
func exposureRows(ctx context.Context, report *Report, t rolloutConfig, variant string, o Options) error {
	shares := t.workload.Rollout.FailureShares
	simulated := shares
	if t.scope == timerOnly {
		// Without a test the ratings have no effect, so the exposure is the
		// same for all failure shares.
		simulated = shares[:1]
	}
	var jobs []rolloutJob
	for _, seed := range o.Seeds {
		for _, t.failureShare = range simulated {
			jobs = append(jobs, newRolloutJobs(t, seed*1000, badRollouts)...)
		}
	}
	outcomes, err := runRolloutJobs(ctx, jobs)
	if err != nil {
		return err
	}
	for i, seed := range o.Seeds {
		row := Row{Measure: "exposure", Deployment: t.workload.Name, Variant: variant, Seed: seed}
		for j, failures := range shares {
			group := i*len(simulated) + min(j, len(simulated)-1)
			row.Values = append(row.Values, exposureValues(outcomes[group*badRollouts:][:badRollouts], failures)...)
		}
		report.Rows = append(report.Rows, row)
	}
	return nil
}

func exposureValues(outcomes []outcome, failures float64) []Value {
	exposed, stopped := 0, 0
	for _, r := range outcomes {
		exposed += r.exposed
		if r.stopped {
			stopped++
		}
	}
	return []Value{
		{exposedName(failures), "", float64(exposed) / badRollouts},
		{fmt.Sprintf("stopped, %.0f%% failures", failures*100), "", float64(stopped) / badRollouts},
	}
}

// rolloutJob is a rollout configuration with a seed.
type rolloutJob struct {
	config rolloutConfig
	seed   uint64
}

// newRolloutJobs returns jobs for the configuration with consecutive seeds.
func newRolloutJobs(t rolloutConfig, seed uint64, runs int) []rolloutJob {
	out := make([]rolloutJob, runs)
	for i := range out {
		out[i] = rolloutJob{t, seed + uint64(i)}
	}
	return out
}

// runRolloutJobs simulates the rollouts, as many in parallel as there are
// processors.
func runRolloutJobs(ctx context.Context, jobs []rolloutJob) ([]outcome, error) {
	out := make([]outcome, len(jobs))
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, j := range jobs {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() == nil {
				out[i] = newSimulation(j.config, j.seed).run()
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

// simulatedRouter is a router of the simulation.
type simulatedRouter struct {
	table    *stats.Table[routing.CounterKey]
	snapshot *routing.Snapshot
	stops    []routing.StopNotice
	// noticePending is set when another router's stop notice arrives, until the
	// notice takes effect at the next sync.
	noticePending bool
	// sentVersion is the table version up to which the peers have received this
	// router's own rows.
	sentVersion uint64
	// testedVersion is the table version at the last stop test.
	testedVersion uint64
}

// scheduledRating is a rating that reaches its router at dueSecond.
type scheduledRating struct {
	dueSecond int
	router    int
	key       routing.CounterKey
	rating    float64
}

type simulation struct {
	rolloutConfig
	rng      *rand.Rand
	src      rand.Source
	requests *requestGenerator
	bundle   *bundle.Bundle
	// keys holds the counter key of each version in the rollout.
	keys             map[string]routing.CounterKey
	routers          []*simulatedRouter
	scheduledRatings []scheduledRating
	inv              invariant.Checker
	// nextStepAt is the second at which the next step takes effect; 0 when no
	// step is scheduled.
	nextStepAt int
	// allStoppedAt is the second by which every router has stopped the
	// candidate; 0 before.
	allStoppedAt int
	out          outcome
}

func newSimulation(t rolloutConfig, seed uint64) *simulation {
	s := &simulation{rolloutConfig: t, rng: rand.New(rand.NewPCG(seed, 5)), src: rand.NewPCG(seed, 6)}
	s.requests = newRequestGenerator(t.workload, s.rng)
	s.bundle = rolloutBundle(t.workload)
	s.keys = rolloutKeys(&s.bundle.Rollouts[0])
	for i := range t.workload.Routers {
		name := fmt.Sprintf("router-%d", i)
		n := &simulatedRouter{table: stats.NewTable[routing.CounterKey](stats.Node{Name: name, Incarnation: 1})}
		s.rebuild(n)
		s.routers = append(s.routers, n)
	}
	return s
}

// rolloutKeys returns one counter key for each version of the rollout.
func rolloutKeys(r *bundle.Rollout) map[string]routing.CounterKey {
	tags := routing.Tags{Rollout: fmt.Sprintf("%s/%d", r.ID, r.Generation), Bin: routing.NoBin}
	out := make(map[string]routing.CounterKey)
	for _, version := range []string{r.From, r.To} {
		out[version] = routing.CounterKey{Model: r.Model, Version: version, Kind: tags.Encode()}
	}
	return out
}

// rolloutBundle returns a bundle that contains only the model of the rollout,
// so that snapshots are cheap to build.
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
		s.deliverRatings(second)
		s.advanceRollout(second)
		if second%w.SyncSeconds == 0 {
			s.sync(second)
		}
		for range w.RequestsPerSecond {
			s.sendRequest(second)
		}
		if s.allStoppedAt > 0 && second >= s.allStoppedAt+settleSeconds {
			break
		}
	}
	if s.inv.Total() > 0 {
		s.out.err = fmt.Errorf("%w: %v", errInvariant, s.inv.Counts())
	}
	return s.out
}

func (s *simulation) deliverRatings(second int) {
	n := 0
	for ; n < len(s.scheduledRatings) && s.scheduledRatings[n].dueSecond <= second; n++ {
		_ = s.routers[s.scheduledRatings[n].router].table.Add(s.scheduledRatings[n].key, s.scheduledRatings[n].rating)
	}
	s.scheduledRatings = s.scheduledRatings[n:]
}

// sync runs the stop tests, then exchanges counters and stop notices between
// all routers. Other routers therefore use a counter or notice one interval
// after it was made.
func (s *simulation) sync(second int) {
	if s.scope == timerOnly && second > 0 {
		return
	}
	for _, n := range s.routers {
		if n.noticePending {
			n.noticePending = false
			s.rebuild(n)
		}
		s.runStopTest(n)
	}
	s.scheduleNextStep(second)
	if s.scope == pooledEvidence {
		s.exchangeCounters()
	}
	if s.scope != ownEvidence {
		s.exchangeStopNotices()
	}
	running := func(n *simulatedRouter) bool { return len(n.stops) == 0 }
	if s.allStoppedAt == 0 && !slices.ContainsFunc(s.routers, running) {
		s.allStoppedAt = second
	}
}

// rebuild builds the snapshot that places requests. It needs no ratings:
// requests name their model, so placement depends only on the bundle and the
// stop notices.
func (s *simulation) rebuild(n *simulatedRouter) {
	n.snapshot = routing.NewSnapshot(s.bundle, 1, n.stops, routing.Quality{RatingAvailable: true})
}

// snapshotWithRatings returns a snapshot with the ratings that the router
// knows.
func (s *simulation) snapshotWithRatings(n *simulatedRouter) *routing.Snapshot {
	return routing.NewSnapshot(s.bundle, 1, n.stops, routing.Quality{Ratings: n.table.Totals(), RatingAvailable: true})
}

// runStopTest runs the stop test of a router. It skips the full evaluation when
// the upper bound of the evidence shows that it can neither stop the candidate
// nor raise maxEvidence.
func (s *simulation) runStopTest(n *simulatedRouter) {
	if s.scope == timerOnly || n.testedVersion == n.table.Version() || len(n.stops) > 0 {
		return
	}
	n.testedVersion = n.table.Version()
	bound := s.test.WorseUpperBound(s.rolloutRatings(n))
	mayStop := bound >= -math.Log(s.test.Level)
	if !mayStop && (s.failureShare > 0 || bound <= s.out.maxEvidence) {
		return
	}
	snapshot := s.snapshotWithRatings(n)
	for _, v := range snapshot.Verdicts(s.test) {
		if v.Cause == routing.CauseWorse {
			s.out.stopped = true
			n.stops = append(n.stops, v.Stop)
			s.rebuild(n)
		}
	}
	if s.failureShare == 0 {
		e := s.test.Worse(snapshot.TrialRatings(&s.bundle.Rollouts[0]))
		s.out.maxEvidence = math.Max(s.out.maxEvidence, e.LogE)
	}
}

// rolloutRatings returns the ratings of candidate and base version that the
// router knows.
func (s *simulation) rolloutRatings(n *simulatedRouter) (candidate, base stats.Counter) {
	if s.separateKeys {
		return s.snapshotWithRatings(n).TrialRatings(&s.bundle.Rollouts[0])
	}
	return n.table.Pooled(s.keys["2"]), n.table.Pooled(s.keys["1"])
}

// scheduleNextStep schedules the next step when the first router allows the
// rollout to advance. With per-router evidence this router has only its share
// of the ratings, so the required number is divided by the number of routers.
func (s *simulation) scheduleNextStep(second int) {
	r := &s.bundle.Rollouts[0]
	if s.nextStepAt > 0 || s.scope == timerOnly || r.Step+1 >= len(r.Steps) {
		return
	}
	rule := routing.AdvanceRule{RatingsPerStep: s.workload.Rollout.RatingsPerStep, Test: routing.DefaultStopTest()}
	if s.scope != pooledEvidence {
		rule.RatingsPerStep /= uint64(len(s.routers))
	}
	if candidate, _ := s.rolloutRatings(s.routers[0]); candidate.Count < rule.RatingsPerStep*uint64(r.Step+1) {
		// CheckAdvance would hold the rollout for too few ratings.
		return
	}
	if g := s.snapshotWithRatings(s.routers[0]).CheckAdvance("r", rule); g.Hold == "" {
		s.nextStepAt = second + configSeconds
	}
}

func (s *simulation) advanceRollout(second int) {
	r := s.bundle.Rollouts[0]
	plan := s.workload.Rollout
	if s.scope == timerOnly {
		r.Step = min(second/plan.TimerSeconds, len(plan.Steps)-1)
		if second >= plan.OperatorSeconds {
			r.State = bundle.RolloutHalted
		}
	} else if s.nextStepAt > 0 && second >= s.nextStepAt {
		s.nextStepAt = 0
		r.Step++
	}
	if r.Step == s.bundle.Rollouts[0].Step && r.State == s.bundle.Rollouts[0].State {
		return
	}
	b := *s.bundle
	b.Rollouts = []bundle.Rollout{r}
	s.bundle = &b
	for _, n := range s.routers {
		s.rebuild(n)
	}
}

func (s *simulation) exchangeCounters() {
	deltas := make([][]stats.Entry[routing.CounterKey], len(s.routers))
	for i, n := range s.routers {
		all, next := n.table.Delta(n.sentVersion)
		n.sentVersion = next
		for _, e := range all {
			if e.Node.Name == n.table.Self().Name {
				deltas[i] = append(deltas[i], e)
			}
		}
	}
	for i, n := range s.routers {
		for j, delta := range deltas {
			if i != j {
				_, _ = n.table.Merge(delta)
			}
		}
	}
}

func (s *simulation) exchangeStopNotices() {
	for _, n := range s.routers {
		if len(n.stops) == 0 {
			continue
		}
		for _, other := range s.routers {
			if len(other.stops) == 0 {
				other.stops, other.noticePending = n.stops, true
			}
		}
		return
	}
}

func (s *simulation) sendRequest(second int) {
	w := s.workload
	d := w.drawRequest(s.rng)
	req := s.requests.request(d.workspace, d.kind, w.Rollout.Model)
	i := s.rng.IntN(len(s.routers))
	decision := s.routers[i].snapshot.Place(&req, s.src, &s.inv)
	if decision.Refused {
		return
	}
	storePin(req.Session, &decision)
	rating := d.answers[w.modelIndex(w.Rollout.Model)].rating
	if decision.Version == "2" {
		s.out.exposed++
		if s.rng.Float64() < s.failureShare {
			rating = w.Rollout.FailureScore
		}
	}
	if s.rng.Float64() < w.RatedShare {
		s.scheduledRatings = append(s.scheduledRatings, scheduledRating{second + w.RatingDelaySeconds, i, s.ratingKey(&req, &decision, rating), rating})
	}
}

func (s *simulation) ratingKey(req *routing.Request, d *routing.Decision, rating float64) routing.CounterKey {
	if s.separateKeys || d.Rollout == "" {
		return routing.FirstAnswerKey(req, d, rating)
	}
	return s.keys[d.Version]
}
