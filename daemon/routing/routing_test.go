package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/bundle"
)

// testState is the state that the commands of a datadriven file build up.
type testState struct {
	bundle  bundle.Bundle
	stops   []StopNotice
	quality Quality
	last    Decision
	lastReq Request
}

func arg(t *testing.T, d *datadriven.TestData, name string) string {
	value := ""
	d.MaybeScanArgs(t, name, &value)
	return value
}

func number(t *testing.T, d *datadriven.TestData, name string) float64 {
	var value float64
	if s := arg(t, d, name); s != "" {
		if _, err := fmt.Sscan(s, &value); err != nil {
			t.Fatalf("%s: %s: %v", d.Pos, name, err)
		}
	}
	return value
}

func (w *testState) snapshot() *Snapshot { return NewSnapshot(&w.bundle, 1, w.stops, w.quality) }

func (w *testState) request(t *testing.T, d *datadriven.TestData) Request {
	req := Request{ID: arg(t, d, "id"), Workspace: arg(t, d, "ws"), Kind: arg(t, d, "kind")}
	req.Model, req.Version, _ = strings.Cut(arg(t, d, "model"), "@")
	if id := arg(t, d, "session"); id != "" {
		req.Session = &Session{ID: id, Workspace: req.Workspace}
		if other := arg(t, d, "of"); other != "" {
			req.Session.Workspace = other
		}
		for _, pin := range strings.Fields(strings.ReplaceAll(arg(t, d, "pins"), "+", " ")) {
			name, version, _ := strings.Cut(pin, "@")
			req.Session.Pins = append(req.Session.Pins, Pin{name, version})
		}
	}
	return req
}

func (w *testState) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "bundle":
		w.bundle = bundle.Bundle{}
		decoder := json.NewDecoder(strings.NewReader(d.Input))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&w.bundle); err != nil {
			d.Fatalf(t, "%v", err)
		}
	case "stop":
		name, version, _ := strings.Cut(arg(t, d, "model"), "@")
		w.stops = append(w.stops, StopNotice{name, version, uint64(number(t, d, "generation"))})
	case "rating-service":
		w.quality.RatingAvailable = arg(t, d, "up") == "true"
	case "ratings":
		w.rate(t, d)
	case "place":
		w.lastReq = w.request(t, d)
		w.last = w.snapshot().Place(&w.lastReq, rand.NewPCG(1, 1), failOnViolation(d, t))
		return describe(&w.last)
	case "escalate":
		step := EscalationInput{Score: number(t, d, "score"), Rated: arg(t, d, "unrated") == "", Remaining: time.Minute}
		step.Expected = time.Duration(number(t, d, "expected") * float64(time.Second))
		out, ok := w.snapshot().Escalate(&w.lastReq, &w.last, step, failOnViolation(d, t))
		return fmt.Sprintf("%v %s", ok, describe(&out))
	case "growth":
		g := w.snapshot().CheckAdvance(arg(t, d, "rollout"), DefaultAdvanceRule())
		return fmt.Sprintf("hold=%s next=%d ratings=%d/%d\n", g.Hold, g.Next, g.Ratings, g.Needed)
	case "verdicts":
		var b strings.Builder
		for _, v := range w.snapshot().Verdicts(DefaultStopTest()) {
			fmt.Fprintf(&b, "%s@%s generation=%d %s alert=%v\n", v.Stop.Model, v.Stop.Version, v.Stop.Generation, v.Cause, v.Alert)
		}
		return b.String()
	case "explain":
		req := w.request(t, d)
		return explainText(w.snapshot().Explain(&req))
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

func (w *testState) rate(t *testing.T, d *datadriven.TestData) {
	tags := Tags{Kind: arg(t, d, "kind"), Rollout: arg(t, d, "rollout"), After: arg(t, d, "after"), Bin: NoBin}
	if s := arg(t, d, "bin"); s != "" {
		tags.Bin = int(number(t, d, "bin"))
	}
	name, version, _ := strings.Cut(arg(t, d, "model"), "@")
	n, mean := number(t, d, "n"), number(t, d, "mean")
	if w.quality.Ratings == nil {
		w.quality.Ratings = map[CounterKey]stats.Counter{}
	}
	key := CounterKey{arg(t, d, "ws"), name, version, tags.Encode()}
	c := stats.Counter{Count: uint64(n), Sum: n * mean, SumSquares: n * (mean*mean + 0.01)}
	w.quality.Ratings[key] = w.quality.Ratings[key].Plus(c)
}

// failOnViolation returns a checker that fails the test on a violated invariant.
func failOnViolation(d *datadriven.TestData, t *testing.T) *invariant.Checker {
	return &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
		d.Fatalf(t, "invariant %s: %s", name, detail)
	}}
}

func describe(d *Decision) string {
	if d.Refused {
		return fmt.Sprintf("refused %s %d %s@%s\n", d.Reason, d.Reason.Code().Number, d.Model, d.Version)
	}
	out := fmt.Sprintf("%s@%s %s", d.Model, d.Version, d.Reason)
	if d.MovedFrom != "" {
		out += " from=" + d.MovedFrom
	}
	if d.NewPin {
		out += " pin"
	}
	if d.Rollout != "" {
		out += " rollout=" + d.Rollout
	}
	if p := d.Policy; p != nil && p.Plan != nil {
		out += " then="
		for _, next := range p.Plan.Second {
			out += fmt.Sprintf("%.1s,", next+"-")
		}
		out += fmt.Sprintf(" below %.2f %s", p.Plan.CutBelow, p.Plan.CutSecond)
	}
	return out + "\n"
}

func explainText(e Explanation) string {
	var b strings.Builder
	b.WriteString(describe(&e.Decision))
	for _, c := range e.Candidates {
		second := ""
		if c.Policy != nil && c.Policy.Plan != nil {
			second = " cascade"
		}
		fmt.Fprintf(&b, "  %s@%s%s chosen=%v %s\n", c.Model, c.Version, second, c.Chosen, c.Reason)
	}
	return b.String()
}

// Checks the order in which placement applies its rules. Each file describes its case.
func TestDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := &testState{quality: Quality{RatingAvailable: true}}
		datadriven.RunTest(t, path, w.run)
	})
}

// A growing share must not move sessions away from the candidate.
func TestShareIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		small := rapid.Float64Range(0, 1).Draw(t, "small")
		large := rapid.Float64Range(small, 1).Draw(t, "large")
		if InShare(id, "r", small) && !InShare(id, "r", large) {
			t.Fatalf("%q is inside %v and outside %v", id, small, large)
		}
		if InShare(id, "r", 0) || !InShare(id, "r", 1) {
			t.Fatalf("%q: inside a share of 0 or outside a share of 1", id)
		}
	})
}

// Tags must survive the encoding in which nodes exchange them.
func TestTagsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9/-]*`)
		in := Tags{Kind: word.Draw(t, "kind"), Rollout: word.Draw(t, "rollout"), After: word.Draw(t, "after")}
		in.Bin = rapid.IntRange(NoBin, ScoreBins-1).Draw(t, "bin")
		if out, err := ParseTags(in.Encode()); err != nil || out != in {
			t.Fatalf("%+v became %+v, %v", in, out, err)
		}
	})
}

func sampleBundle() *bundle.Bundle {
	versions := []bundle.Version{{Name: "1", State: bundle.VersionServing}, {Name: "2", State: bundle.VersionServing}}
	return &bundle.Bundle{
		Models: []bundle.Model{
			{Name: "small", Current: "1", Versions: versions, InputPrice: 100, OutputPrice: 300},
			{Name: "large", Current: "1", Versions: versions, InputPrice: 2000, OutputPrice: 6000},
		},
		Rollouts: []bundle.Rollout{{
			ID: "r", Model: "small", From: "1", To: "2", Steps: []float64{0.1, 1},
			State: bundle.RolloutRunning, Generation: 1,
		}},
		Workspaces: []bundle.Workspace{{Name: "w", Allowed: []string{"small", "large"}, QualityTarget: 0.8, ExploreShare: 0.05}},
	}
}

// The invariants must detect errors in the derived tables: each inserted defect is
// counted and turns the placement into a refusal.
func TestInvariantsDetectInsertedDefects(t *testing.T) {
	session := &Session{ID: "s", Workspace: "w", Pins: []Pin{{"small", "1"}}}
	cases := []struct {
		name   invariant.Name
		req    Request
		change func(*bundle.Bundle) []StopNotice
		insert func(*Snapshot)
	}{
		{InvariantAllowed, Request{Workspace: "w", Model: "small"}, func(b *bundle.Bundle) []StopNotice {
			b.Workspaces[0].Allowed = []string{"small@2"}
			return nil
		}, func(s *Snapshot) { s.workspaces["w"].models["small"].base = s.models["small"].versions[0] }},
		{InvariantServing, Request{Workspace: "w", Model: "small", Version: "1"}, func(b *bundle.Bundle) []StopNotice {
			b.Models[0].Versions = []bundle.Version{{Name: "1", State: bundle.VersionWithdrawn}}
			return nil
		}, func(s *Snapshot) { s.models["small"].versions[0].state = ReasonNone }},
		{InvariantStopped, Request{Workspace: "w", Model: "small", Version: "2"}, func(*bundle.Bundle) []StopNotice {
			return []StopNotice{{"small", "2", 1}}
		}, func(s *Snapshot) { s.models["small"].versions[1].state = ReasonNone }},
		{InvariantSession, Request{Workspace: "w", Model: "small", Session: session}, func(*bundle.Bundle) []StopNotice {
			return nil
		}, func(s *Snapshot) {
			// The table lacks the session's version, so the session moves without need.
			a := s.workspaces["w"].models["small"]
			a.base, a.model.versions = a.model.versions[1], nil
			s.workspaces["w"].cfg.OnWithdrawal = bundle.WithdrawalMove
		}},
	}
	for _, c := range cases {
		b := sampleBundle()
		stops := c.change(b)
		s := NewSnapshot(b, 1, stops, Quality{})
		var inv invariant.Checker
		c.insert(s)
		d := s.Place(&c.req, rand.NewPCG(1, 1), &inv)
		if !d.Refused || inv.Counts()[c.name] != 1 {
			t.Errorf("%s: %+v, %v", c.name, d, inv.Counts())
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	s := NewSnapshot(sampleBundle(), 1, nil, Quality{RatingAvailable: true})
	src := rand.NewPCG(1, 1)
	var inv invariant.Checker
	for _, modelName := range []string{"small", AutoModel} {
		req := Request{ID: "0123456789abcdef", Workspace: "w", Model: modelName, Kind: "chat"}
		b.Run(modelName, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if d := s.Place(&req, src, &inv); d.Refused {
					b.Fatal(d.Reason)
				}
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	q := Quality{RatingAvailable: true, Ratings: map[CounterKey]stats.Counter{}}
	config := sampleBundle()
	for i := range 50 {
		w := config.Workspaces[0]
		w.Name = fmt.Sprint(i)
		config.Workspaces = append(config.Workspaces, w)
		for kind := range 3 {
			for bin := range ScoreBins {
				tags := Tags{Kind: fmt.Sprint(kind), Bin: bin}
				mean := (float64(bin) + 0.5) / ScoreBins
				c := stats.Counter{Count: 100, Sum: 100 * mean, SumSquares: 100 * mean * mean}
				q.Ratings[CounterKey{w.Name, "small", "1", tags.Encode()}] = c
				q.Ratings[CounterKey{w.Name, "large", "1", tags.Encode()}] = c
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		NewSnapshot(config, 1, nil, q)
	}
}
