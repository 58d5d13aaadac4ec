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
	// oracleBisectionSteps halve the range of the oracle's price of quality.
	oracleBisectionSteps = 60
	// maxOraclePrice is above any useful price of one unit of score, in millionths.
	maxOraclePrice = 1e7
	// splitSteps is the resolution of the static split.
	splitSteps = 200

	maxCostToOracle  = 1.15
	maxCostToDearest = 0.5
)

// costTotals is the cost and quality per workspace of one variant.
type costTotals struct {
	cost  float64
	score []float64
	count []float64
}

func newCostTotals(w *Workload) *costTotals {
	return &costTotals{score: make([]float64, len(w.Workspaces)), count: make([]float64, len(w.Workspaces))}
}

func (b *costTotals) add(workspace int, cost, score float64) {
	b.cost += cost
	b.score[workspace] += score
	b.count[workspace]++
}

// worstMargin returns the smallest difference of a workspace's mean true score to its
// target, and the number of workspaces that miss it.
func (b *costTotals) worstMargin(w *Workload) (worst float64, missed int) {
	worst = math.Inf(1)
	for i, ws := range w.Workspaces {
		margin := b.score[i]/math.Max(1, b.count[i]) - ws.QualityTarget
		worst = math.Min(worst, margin)
		if margin < 0 {
			missed++
		}
	}
	return worst, missed
}

// RunCost measures the cost per request at the quality target, from the first
// request on, so the cost of learning is included.
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

// costRuns runs as many deployments and seeds at one time as there are processors.
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

func costRun(w *Workload, seed uint64, n int) []Row {
	rng := rand.New(rand.NewPCG(seed, 1))
	requests := make([]syntheticRequest, n)
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
				{"cost per request", "millionths", b.totals.cost / float64(n)},
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
	b := newCostTotals(w)
	for i := range requests {
		a := &requests[i].answers[model]
		b.add(requests[i].workspace, a.cost, a.score)
	}
	return b
}

// staticSplitCost sends the same random share of every workspace to the dearest model
// and the rest to the cheapest: the smallest share that meets all targets.
func staticSplitCost(w *Workload, requests []syntheticRequest, rng *rand.Rand) *costTotals {
	draws := make([]float64, len(requests))
	for i := range draws {
		draws[i] = rng.Float64()
	}
	at := func(step int) *costTotals {
		b := newCostTotals(w)
		for i := range requests {
			model := 0
			if draws[i] < float64(step)/splitSteps {
				model = len(w.Models) - 1
			}
			a := &requests[i].answers[model]
			b.add(requests[i].workspace, a.cost, a.score)
		}
		return b
	}
	// A larger share replaces cheap answers by dear ones, so the targets are met
	// from one step on.
	step := sort.Search(splitSteps, func(step int) bool {
		_, missed := at(step).worstMargin(w)
		return missed == 0
	})
	return at(step)
}

// oracleCost knows the true score of every answer beforehand. Per workspace it
// takes the answer with the largest price*score-cost, at the lowest price of
// quality that meets the target. With perKind every kind of request meets the
// target, as the product's rule demands; else only the workspace's mean does.
func oracleCost(w *Workload, requests []syntheticRequest, perKind bool) *costTotals {
	groups := make(map[[2]int][]*syntheticRequest)
	for i := range requests {
		id := [2]int{requests[i].workspace, 0}
		if perKind {
			id[1] = requests[i].kind
		}
		groups[id] = append(groups[id], &requests[i])
	}
	b := newCostTotals(w)
	for id, group := range groups {
		addOracleGroup(b, w, group, w.Workspaces[id[0]].QualityTarget)
	}
	return b
}

func addOracleGroup(b *costTotals, w *Workload, group []*syntheticRequest, target float64) {
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
		b.add(d.workspace, a.cost, a.score)
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

// pendingRating is a rating that has not arrived yet.
type pendingRating struct {
	key    routing.CounterKey
	rating float64
}

// productCost runs the router's decisions on the requests. Ratings arrive one
// snapshot later than the answers.
func productCost(w *Workload, requests []syntheticRequest, seed uint64) *costTotals {
	src := rand.NewPCG(seed, 2)
	rng := rand.New(rand.NewPCG(seed, 3))
	who := newRequestGenerator(w, rng)
	table := stats.NewTable[routing.CounterKey](stats.Node{Name: "router", Incarnation: 1})
	b, out := w.bundle(), newCostTotals(w)
	inv := &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
		panic(fmt.Sprintf("invariant %s: %s", name, detail))
	}}
	interval := w.RequestsPerSecond * w.RatingDelaySeconds
	var snapshot *routing.Snapshot
	var late []pendingRating
	for i := range requests {
		if i%interval == 0 {
			snapshot = routing.NewSnapshot(b, 1, nil, routing.Quality{Ratings: table.Totals(), RatingAvailable: true})
			for _, l := range late {
				_ = table.Add(l.key, l.rating)
			}
			late = late[:0]
		}
		late = serveRequest(w, snapshot, &requests[i], who, src, inv, out, late)
	}
	return out
}

// serveRequest answers one request with at most two steps.
func serveRequest(w *Workload, s *routing.Snapshot, d *syntheticRequest, who *requestGenerator, src rand.Source, inv *invariant.Checker, out *costTotals, late []pendingRating) []pendingRating {
	req := who.request(d.workspace, d.kind, routing.AutoModel)
	first := s.Place(&req, src, inv)
	storePin(req.Session, &first)
	a := d.answers[w.modelIndex(first.Model)]
	cascade := first.Policy != nil && first.Policy.Plan != nil
	rated := cascade || who.rng.Float64() < w.RatedShare
	if rated {
		late = append(late, pendingRating{routing.FirstAnswerKey(&req, &first, a.rating), a.rating})
	}
	step := routing.EscalationInput{Score: a.rating, Rated: rated, Remaining: time.Minute, Expected: time.Second}
	second, escalated := s.Escalate(&req, &first, step, inv)
	if !escalated {
		out.add(d.workspace, a.cost, a.score)
		return late
	}
	storePin(req.Session, &second)
	costlier := d.answers[w.modelIndex(second.Model)]
	key := routing.SecondAnswerKey(&req, &first, &second, a.rating)
	late = append(late, pendingRating{key, costlier.rating})
	out.add(d.workspace, a.cost+costlier.cost, costlier.score)
	return late
}
