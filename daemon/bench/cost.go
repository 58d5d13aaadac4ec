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
	// oracleSteps halve the range of the oracle's price of quality.
	oracleSteps = 60
	// oraclePrice is above any useful price of one unit of score, in millionths.
	oraclePrice = 1e7
	// splitSteps is the resolution of the static split.
	splitSteps = 200

	costBoundOracle  = 1.15
	costBoundDearest = 0.5
)

// bill is the cost and quality per workspace of one variant.
type bill struct {
	cost  float64
	score []float64
	count []float64
}

func newBill(w *Workload) *bill {
	return &bill{score: make([]float64, len(w.Workspaces)), count: make([]float64, len(w.Workspaces))}
}

func (b *bill) add(workspace int, cost, score float64) {
	b.cost += cost
	b.score[workspace] += score
	b.count[workspace]++
}

// margin returns the smallest difference of a workspace's mean true score to its
// target, and the number of workspaces that miss it.
func (b *bill) margin(w *Workload) (worst float64, missed int) {
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
		report.atMost(w.Name, "product workspaces below target", 0, report.worst(w.Name, "product", "workspaces below target"))
		report.atMost(w.Name, "product cost / oracle per kind", costBoundOracle, report.worst(w.Name, "product", "cost / oracle per kind"))
		report.atMost(w.Name, "product cost / oracle", costBoundOracle, report.worst(w.Name, "product", "cost / oracle"))
		report.atMost(w.Name, "product cost / dearest", costBoundDearest, report.worst(w.Name, "product", "cost / dearest"))
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
	drafts := make([]draft, n)
	for i := range drafts {
		drafts[i] = w.draw(rng)
	}
	dearest := len(w.Models) - 1
	bills := []struct {
		variant string
		bill    *bill
	}{
		{"product", productBill(w, drafts, seed)},
		{"dearest", fixedBill(w, drafts, dearest)},
		{"cheapest", fixedBill(w, drafts, 0)},
		{"static split", splitBill(w, drafts, rng)},
		{"cascade with known means", informedBill(w, drafts)},
		{"oracle per kind", oracleBill(w, drafts, true)},
		{"oracle", oracleBill(w, drafts, false)},
	}
	last := len(bills) - 1
	var rows []Row
	reference, perKind, top := bills[last].bill.cost, bills[last-1].bill.cost, bills[1].bill.cost
	for _, b := range bills {
		margin, missed := b.bill.margin(w)
		rows = append(rows, Row{
			Measure: "cost", Deployment: w.Name, Variant: b.variant, Seed: seed,
			Values: []Value{
				{"cost per request", "millionths", b.bill.cost / float64(n)},
				{"cost / oracle", "", b.bill.cost / reference},
				{"cost / oracle per kind", "", b.bill.cost / perKind},
				{"cost / dearest", "", b.bill.cost / top},
				{"worst margin to target", "", margin},
				{"workspaces below target", "", float64(missed)},
			},
		})
	}
	return rows
}

func fixedBill(w *Workload, drafts []draft, model int) *bill {
	b := newBill(w)
	for i := range drafts {
		a := &drafts[i].answers[model]
		b.add(drafts[i].workspace, a.cost, a.score)
	}
	return b
}

// splitBill sends the same random share of every workspace to the dearest model
// and the rest to the cheapest: the smallest share that meets all targets.
func splitBill(w *Workload, drafts []draft, rng *rand.Rand) *bill {
	coins := make([]float64, len(drafts))
	for i := range coins {
		coins[i] = rng.Float64()
	}
	at := func(step int) *bill {
		b := newBill(w)
		for i := range drafts {
			model := 0
			if coins[i] < float64(step)/splitSteps {
				model = len(w.Models) - 1
			}
			a := &drafts[i].answers[model]
			b.add(drafts[i].workspace, a.cost, a.score)
		}
		return b
	}
	// A larger share replaces cheap answers by dear ones, so the targets are met
	// from one step on.
	step := sort.Search(splitSteps, func(step int) bool {
		_, missed := at(step).margin(w)
		return missed == 0
	})
	return at(step)
}

// oracleBill knows the true score of every answer beforehand. Per workspace it
// takes the answer with the largest price*score-cost, at the lowest price of
// quality that meets the target. With perKind every kind of request meets the
// target, as the product's rule demands; else only the workspace's mean does.
func oracleBill(w *Workload, drafts []draft, perKind bool) *bill {
	groups := make(map[[2]int][]*draft)
	for i := range drafts {
		id := [2]int{drafts[i].workspace, 0}
		if perKind {
			id[1] = drafts[i].kind
		}
		groups[id] = append(groups[id], &drafts[i])
	}
	b := newBill(w)
	for id, group := range groups {
		oracleGroup(b, w, group, w.Workspaces[id[0]].QualityTarget)
	}
	return b
}

func oracleGroup(b *bill, w *Workload, group []*draft, target float64) {
	low, high := 0.0, oraclePrice
	for range oracleSteps {
		price := (low + high) / 2
		score := 0.0
		for _, d := range group {
			score += oracleAnswer(w, d, price).score
		}
		if score >= target*float64(len(group)) {
			high = price
		} else {
			low = price
		}
	}
	for _, d := range group {
		a := oracleAnswer(w, d, high)
		b.add(d.workspace, a.cost, a.score)
	}
}

func oracleAnswer(w *Workload, d *draft, price float64) *answer {
	best := &d.answers[0]
	for m := 1; m < len(w.Models); m++ {
		a := &d.answers[m]
		if price*a.score-a.cost > price*best.score-best.cost {
			best = a
		}
	}
	return best
}

// lateRating is a rating that has not arrived yet.
type lateRating struct {
	key    routing.CounterKey
	rating float64
}

// productBill runs the router's decisions on the requests. Ratings arrive one
// snapshot later than the answers.
func productBill(w *Workload, drafts []draft, seed uint64) *bill {
	src := rand.NewPCG(seed, 2)
	rng := rand.New(rand.NewPCG(seed, 3))
	who := newCallers(w, rng)
	table := stats.NewTable[routing.CounterKey](stats.Node{Name: "router", Incarnation: 1})
	b, out := w.bundle(), newBill(w)
	inv := &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
		panic(fmt.Sprintf("invariant %s: %s", name, detail))
	}}
	interval := w.RequestsPerSecond * w.RatingDelaySeconds
	var snapshot *routing.Snapshot
	var late []lateRating
	for i := range drafts {
		if i%interval == 0 {
			snapshot = routing.NewSnapshot(b, 1, nil, routing.Quality{Ratings: table.Totals(), RatingAvailable: true})
			for _, l := range late {
				_ = table.Add(l.key, l.rating)
			}
			late = late[:0]
		}
		late = serve(w, snapshot, &drafts[i], who, src, inv, out, late)
	}
	return out
}

// serve answers one request with at most two steps.
func serve(w *Workload, s *routing.Snapshot, d *draft, who *callers, src rand.Source, inv *invariant.Checker, out *bill, late []lateRating) []lateRating {
	req := who.request(d.workspace, d.kind, routing.AutoModel)
	first := s.Place(&req, src, inv)
	remember(req.Session, &first)
	a := d.answers[w.modelIndex(first.Model)]
	cascade := first.Policy != nil && first.Policy.Plan != nil
	rated := cascade || who.rng.Float64() < w.RatedShare
	if rated {
		late = append(late, lateRating{routing.FirstAnswerKey(&req, &first, a.rating), a.rating})
	}
	step := routing.EscalationInput{Score: a.rating, Rated: rated, Remaining: time.Minute, Expected: time.Second}
	second, escalated := s.Escalate(&req, &first, step, inv)
	if !escalated {
		out.add(d.workspace, a.cost, a.score)
		return late
	}
	remember(req.Session, &second)
	dearer := d.answers[w.modelIndex(second.Model)]
	key := routing.SecondAnswerKey(&req, &first, &second, a.rating)
	late = append(late, lateRating{key, dearer.rating})
	out.add(d.workspace, a.cost+dearer.cost, dearer.score)
	return late
}
