package bench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sort"
	"sync"
	"time"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/routing"
)

const (
	costRequests = 300_000
	// oracleBisectionSteps is the number of bisection steps for the oracle's
	// price of quality.
	oracleBisectionSteps = 60
	// maxOraclePrice is above any useful price of one unit of score, in
	// millionths of the billing currency.
	maxOraclePrice = 1e7
	// splitSteps is the number of shares that the static split chooses from.
	splitSteps = 200

	maxCostToOracle  = 1.15
	maxCostToDearest = 0.5
)

// costTotals holds the total cost of one variant, and the sum of true scores
// and the number of requests per workspace.
type costTotals struct {
	cost  float64
	score []float64
	count []float64
}

func newCostTotals(w *Workload) *costTotals {
	return &costTotals{score: make([]float64, len(w.Workspaces)), count: make([]float64, len(w.Workspaces))}
}

func (t *costTotals) add(workspace int, cost, score float64) {
	t.cost += cost
	t.score[workspace] += score
	t.count[workspace]++
}

// worstMargin returns the smallest difference between a workspace's mean true
// score and its quality target, and the number of workspaces that miss the
// target.
func (t *costTotals) worstMargin(w *Workload) (worst float64, missed int) {
	worst = math.Inf(1)
	for i, ws := range w.Workspaces {
		margin := t.score[i]/math.Max(1, t.count[i]) - ws.QualityTarget
		worst = math.Min(worst, margin)
		if margin < 0 {
			missed++
		}
	}
	return worst, missed
}

// RunCost measures the cost per request at the quality target. The measurement
// begins with the first request, so it includes the cost of learning.
func RunCost(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "cost", Notes: fmt.Sprintf("%d requests per run, learning included", int(costRequests*o.Scale))}
	workloads, err := loadWorkloads(o)
	if err != nil {
		return report, err
	}
	rows, err := costRuns(ctx, workloads, o)
	if err != nil {
		return report, err
	}
	report.Rows = rows
	for _, w := range workloads {
		report.checkAtMost(w.Name, "product workspaces below target", 0, report.worstValue(w.Name, "product", "workspaces below target"))
		report.checkAtMost(w.Name, "product cost / oracle per kind", maxCostToOracle, report.worstValue(w.Name, "product", "cost / oracle per kind"))
		report.checkAtMost(w.Name, "product cost / oracle", maxCostToOracle, report.worstValue(w.Name, "product", "cost / oracle"))
		report.checkAtMost(w.Name, "product cost / dearest", maxCostToDearest, report.worstValue(w.Name, "product", "cost / dearest"))
	}
	return report, nil
}

// costRuns measures all deployments and seeds, as many in parallel as there are
// processors.
func costRuns(ctx context.Context, workloads []*Workload, o Options) ([]Row, error) {
	parts := make([][]Row, len(workloads)*len(o.Seeds))
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range parts {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() == nil {
				parts[i] = costRun(workloads[i/len(o.Seeds)], o.Seeds[i%len(o.Seeds)], int(costRequests*o.Scale))
			}
		})
	}
	wait.Wait()
	return slices.Concat(parts...), ctx.Err()
}

func costRun(w *Workload, seed uint64, requestCount int) []Row {
	rng := rand.New(rand.NewPCG(seed, 1))
	requests := make([]syntheticRequest, requestCount)
	for i := range requests {
		requests[i] = w.drawRequest(rng)
	}
	dearest := len(w.Models) - 1
	results := []struct {
		variant string
		totals  *costTotals
	}{
		{"product", productCost(w, requests, seed)},
		{"dearest", fixedModelCost(w, requests, dearest)},
		{"cheapest", fixedModelCost(w, requests, 0)},
		{"static split", staticSplitCost(w, requests, rng)},
		{"cascade with known means", knownMeansCost(w, requests)},
		{"oracle per kind", oracleCost(w, requests, true)},
		{"oracle", oracleCost(w, requests, false)},
	}
	last := len(results) - 1
	var rows []Row
	reference, perKind, top := results[last].totals.cost, results[last-1].totals.cost, results[1].totals.cost
	for _, b := range results {
		margin, missed := b.totals.worstMargin(w)
		rows = append(rows, Row{
			Measure: "cost", Deployment: w.Name, Variant: b.variant, Seed: seed,
			Values: []Value{
				{"cost per request", "millionths", b.totals.cost / float64(requestCount)},
				{"cost / oracle", "", b.totals.cost / reference},
				{"cost / oracle per kind", "", b.totals.cost / perKind},
				{"cost / dearest", "", b.totals.cost / top},
				{"worst margin to target", "", margin},
				{"workspaces below target", "", float64(missed)},
			},
		})
	}
	return rows
}

func fixedModelCost(w *Workload, requests []syntheticRequest, model int) *costTotals {
	totals := newCostTotals(w)
	for i := range requests {
		a := &requests[i].answers[model]
		totals.add(requests[i].workspace, a.cost, a.score)
	}
	return totals
}

// staticSplitCost sends a random share of the requests to the most expensive
// model and the rest to the cheapest. The share is the same for every workspace
// and the smallest with which all targets are met.
func staticSplitCost(w *Workload, requests []syntheticRequest, rng *rand.Rand) *costTotals {
	draws := make([]float64, len(requests))
	for i := range draws {
		draws[i] = rng.Float64()
	}
	at := func(step int) *costTotals {
		totals := newCostTotals(w)
		for i := range requests {
			model := 0
			if draws[i] < float64(step)/splitSteps {
				model = len(w.Models) - 1
			}
			a := &requests[i].answers[model]
			totals.add(requests[i].workspace, a.cost, a.score)
		}
		return totals
	}
	// A larger share replaces cheap answers by expensive ones, so the targets
	// are met from some step on and binary search applies.
	step := sort.Search(splitSteps, func(step int) bool {
		_, missed := at(step).worstMargin(w)
		return missed == 0
	})
	return at(step)
}

// oracleCost is the cost when the true score of every answer is known in
// advance. For each workspace it chooses the answers with the largest
// price*score-cost, at the lowest price of quality that meets the target. With
// perKind, every kind of request meets the target, as in the product; otherwise
// only the mean of the workspace does.
func oracleCost(w *Workload, requests []syntheticRequest, perKind bool) *costTotals {
	groups := make(map[[2]int][]*syntheticRequest)
	for i := range requests {
		id := [2]int{requests[i].workspace, 0}
		if perKind {
			id[1] = requests[i].kind
		}
		groups[id] = append(groups[id], &requests[i])
	}
	totals := newCostTotals(w)
	for id, group := range groups {
		addOracleGroup(totals, w, group, w.Workspaces[id[0]].QualityTarget)
	}
	return totals
}

func addOracleGroup(totals *costTotals, w *Workload, group []*syntheticRequest, target float64) {
	low, high := 0.0, maxOraclePrice
	for range oracleBisectionSteps {
		price := (low + high) / 2
		score := 0.0
		for _, d := range group {
			score += bestAnswerAtPrice(w, d, price).score
		}
		if score >= target*float64(len(group)) {
			high = price
		} else {
			low = price
		}
	}
	for _, d := range group {
		a := bestAnswerAtPrice(w, d, high)
		totals.add(d.workspace, a.cost, a.score)
	}
}

func bestAnswerAtPrice(w *Workload, d *syntheticRequest, price float64) *answer {
	best := &d.answers[0]
	for m := 1; m < len(w.Models); m++ {
		a := &d.answers[m]
		if price*a.score-a.cost > price*best.score-best.cost {
			best = a
		}
	}
	return best
}

// pendingRating is a rating that has not been counted yet.
type pendingRating struct {
	key    routing.CounterKey
	rating float64
}

// productCost places the requests with the router's own code. A rating is
// counted only after the next snapshot has been built, so it takes effect in
// the snapshot after that.
func productCost(w *Workload, requests []syntheticRequest, seed uint64) *costTotals {
	src := rand.NewPCG(seed, 2)
	rng := rand.New(rand.NewPCG(seed, 3))
	generator := newRequestGenerator(w, rng)
	table := stats.NewTable[routing.CounterKey](stats.Node{Name: "router", Incarnation: 1})
	b, out := w.bundle(), newCostTotals(w)
	inv := &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
		panic(fmt.Sprintf("invariant %s: %s", name, detail))
	}}
	interval := w.RequestsPerSecond * w.RatingDelaySeconds
	var snapshot *routing.Snapshot
	var pending []pendingRating
	for i := range requests {
		if i%interval == 0 {
			snapshot = routing.NewSnapshot(b, 1, nil, routing.Quality{Ratings: table.Totals(), RatingAvailable: true})
			for _, l := range pending {
				_ = table.Add(l.key, l.rating)
			}
			pending = pending[:0]
		}
		pending = serveRequest(w, snapshot, &requests[i], generator, src, inv, out, pending)
	}
	return out
}

// serveRequest answers a request with the first model and, if the router
// escalates, with a second one. It returns the pending ratings with those of
// this request.
func serveRequest(w *Workload, s *routing.Snapshot, d *syntheticRequest, generator *requestGenerator, src rand.Source, inv *invariant.Checker, out *costTotals, pending []pendingRating) []pendingRating {
	req := generator.request(d.workspace, d.kind, routing.AutoModel)
	first := s.Place(&req, src, inv)
	storePin(req.Session, &first)
	a := d.answers[w.modelIndex(first.Model)]
	cascade := first.Policy != nil && first.Policy.Plan != nil
	rated := cascade || generator.rng.Float64() < w.RatedShare
	if rated {
		pending = append(pending, pendingRating{routing.FirstAnswerKey(&req, &first, a.rating), a.rating})
	}
	step := routing.EscalationInput{Score: a.rating, Rated: rated, Remaining: time.Minute, Expected: time.Second}
	second, escalated := s.Escalate(&req, &first, step, inv)
	if !escalated {
		out.add(d.workspace, a.cost, a.score)
		return pending
	}
	storePin(req.Session, &second)
	costlier := d.answers[w.modelIndex(second.Model)]
	key := routing.SecondAnswerKey(&req, &first, &second, a.rating)
	pending = append(pending, pendingRating{key, costlier.rating})
	out.add(d.workspace, a.cost+costlier.cost, costlier.score)
	return pending
}
