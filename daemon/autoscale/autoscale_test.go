package autoscale

import (
	"math"
	"testing"
	"time"
)

// testBounds and testSlots describe the simulated service. A server is cold for coldTime.
var testBounds = Bounds{Min: 1, Max: 20, BootTime: 20 * time.Second}

const (
	testSlots = 10
	coldTime  = 5
)

// simulation is a service in some data centres, in steps of a second.
type simulation struct {
	t       *testing.T
	at      int
	centres []string
	// born holds when the servers of a data centre started to serve; in the future while they boot.
	born      map[string][]int
	draining  map[string]int
	evacuated map[string]bool
	rollout   bool
	history   []Sample
	last      map[string]Order
	orders    []Decision
}

func newSimulation(t *testing.T, servers int, centres ...string) *simulation {
	s := &simulation{
		t: t, centres: centres, born: map[string][]int{}, draining: map[string]int{}, evacuated: map[string]bool{}, last: map[string]Order{},
	}
	for _, c := range centres {
		s.resize(c, servers, -100)
	}
	return s
}

// resize makes the number of servers of a data centre count; new ones serve from bornAt on.
func (s *simulation) resize(centre string, count, bornAt int) {
	for len(s.born[centre]) < count {
		s.born[centre] = append(s.born[centre], bornAt)
	}
	s.born[centre] = s.born[centre][:count]
}

// state returns the state of a data centre.
func (s *simulation) state(centre string) DataCentre {
	d := DataCentre{Draining: s.draining[centre], Evacuated: s.evacuated[centre]}
	for _, born := range s.born[centre] {
		switch age := s.at - born; {
		case age >= coldTime:
			d.Usable++
		case age >= 0:
			d.Cold++
			d.ColdCapacity += float64(age) / coldTime
		}
	}
	return d
}

// run plays a demand for some seconds and returns the orders.
func (s *simulation) run(seconds int, demand func(second int) float64) []Decision {
	s.t.Helper()
	first := len(s.orders)
	for i := range seconds {
		now := time.Unix(int64(s.at), 0)
		sample := Sample{At: now, Work: map[string]float64{}, Running: map[string]int{}}
		in := Input{
			Now: now, Bounds: testBounds, Slots: testSlots, DataCentres: map[string]DataCentre{}, RolloutInProgress: s.rollout, Last: s.last,
		}
		running := 0
		for _, c := range s.centres {
			in.DataCentres[c] = s.state(c)
			if !s.evacuated[c] {
				running += in.DataCentres[c].running()
			}
		}
		for _, c := range s.centres {
			if d := in.DataCentres[c]; !d.Evacuated {
				sample.Work[c] = demand(i) * float64(d.running()) / float64(max(running, 1))
			}
			sample.Running[c] = in.DataCentres[c].running()
		}
		s.history = append(s.history, sample)
		in.History = s.history
		for _, d := range Decide(in) {
			if last, ok := s.last[d.DataCentre]; ok && last.Count == d.Count {
				s.t.Errorf("second %d: order repeated: %+v", s.at, d)
			}
			s.last[d.DataCentre] = Order{Count: d.Count, At: now}
			s.resize(d.DataCentre, d.Count, s.at+int(testBounds.BootTime.Seconds()))
			s.orders = append(s.orders, d)
		}
		s.at++
	}
	return s.orders[first:]
}

func constant(demand float64) func(int) float64 { return func(int) float64 { return demand } }

// Guards against growth that comes too late for a rising wave, and against servers that are kept
// after it.
func TestWave(t *testing.T) {
	s := newSimulation(t, 3, "dc1", "dc2")
	wave := func(i int) float64 { return 70 - 50*math.Cos(2*math.Pi*float64(i)/600) }
	for range 20 {
		s.run(60, func(i int) float64 {
			at := s.at
			if s.at > 100 {
				if capacity := testSlots * (s.state("dc1").capacity() + s.state("dc2").capacity()); capacity < wave(at) {
					t.Errorf("second %d: capacity %v, demand %v", at, capacity, wave(at))
				}
			}
			return wave(at)
		})
	}
	highest := 0
	for _, d := range s.orders {
		highest = max(highest, d.Count)
	}
	if highest < 9 || highest > 16 {
		t.Errorf("at most %d servers were ordered", highest)
	}
	if n := s.last["dc1"].Count; n > 5 {
		t.Errorf("%d servers are left after the wave", n)
	}
	reversals, growing := 0, true
	for _, d := range s.orders {
		if d.DataCentre == "dc1" && growing != (d.Count > d.Before) {
			growing = !growing
			reversals++
		}
	}
	if reversals > 5 {
		t.Errorf("%d changes of the direction in two waves: %+v", reversals, s.orders)
	}
}

// Guards against a slow reaction to a burst, and against a loss of servers right after it.
func TestBurst(t *testing.T) {
	s := newSimulation(t, 3, "dc1", "dc2")
	s.run(100, constant(30))
	orders := s.run(5, constant(100))
	if len(orders) == 0 || s.last["dc1"].Count < 8 {
		t.Errorf("orders in the first 5 s of the burst: %+v", orders)
	}
	s.run(15, constant(100))
	for _, d := range s.run(30, constant(30)) {
		// 11 servers of each data centre can bear the burst alone.
		if d.Count < 11 {
			t.Errorf("reduced soon after the burst: %+v", d)
		}
	}
	s.run(120, constant(30))
	if n := s.last["dc1"].Count; n > 4 {
		t.Errorf("%d servers are left long after the burst", n)
	}
}

// Guards against orders that make the loss of servers permanent, and against a service that stays
// saturated.
func TestLossOfServers(t *testing.T) {
	s := newSimulation(t, 6, "dc1", "dc2")
	s.run(20, constant(70))
	s.resize("dc1", 1, 0)
	for _, d := range s.run(200, constant(20)) {
		t.Errorf("ordered while servers are missing: %+v", d)
	}
	if s.run(10, constant(69)); s.last["dc2"].Count <= 6 {
		t.Errorf("no growth of a saturated service: %+v", s.last)
	}
}

// Guards against servers that are removed while a data centre is evacuated, and against an
// evacuated data centre that counts as capacity.
func TestEvacuation(t *testing.T) {
	s := newSimulation(t, 5, "dc1", "dc2", "dc3")
	s.run(100, constant(80))
	s.evacuated["dc3"] = true
	before := len(s.orders)
	for _, d := range append(s.run(100, constant(120)), s.run(300, constant(10))...) {
		if d.DataCentre == "dc3" || d.Count < d.Before {
			t.Errorf("wrong order during the evacuation: %+v", d)
		}
	}
	if len(s.orders) == before || s.last["dc1"].Count < 9 {
		t.Errorf("the others don't take over: %+v", s.last)
	}
	s.evacuated["dc3"] = false
	if s.run(300, constant(10)); s.last["dc1"].Count > 2 {
		t.Errorf("never reduced after the evacuation: %+v", s.last)
	}
}

// Guards against servers that are removed during a rollout or a drain, and against growth that
// waits for their end.
func TestRolloutAndDrain(t *testing.T) {
	for _, rollout := range []bool{true, false} {
		s := newSimulation(t, 6, "dc1", "dc2")
		s.rollout = rollout
		if !rollout {
			s.draining["dc2"] = 1
		}
		for _, d := range s.run(300, constant(10)) {
			t.Errorf("rollout %v: ordered: %+v", rollout, d)
		}
		if s.run(10, constant(110)); s.last["dc1"].Count < 8 {
			t.Errorf("rollout %v: no growth: %+v", rollout, s.last)
		}
		s.rollout, s.draining["dc2"] = false, 0
		if s.run(300, constant(10)); s.last["dc1"].Count > 2 {
			t.Errorf("rollout %v: never reduced: %+v", rollout, s.last)
		}
	}
}

// Guards against orders that follow the noise of the demand.
func TestNoFlapping(t *testing.T) {
	s := newSimulation(t, 5, "dc1", "dc2")
	noise := func(i int) float64 { return 60 + 6*math.Sin(float64(i)*1.7) + 4*math.Sin(float64(i)*0.31) }
	s.run(120, noise)
	if orders := s.run(1200, noise); len(orders) > 0 {
		t.Errorf("orders under a constant noisy demand: %+v", orders)
	}
}

// Guards against counts with which the loss of one data centre is not borne.
func TestLossOfADataCentre(t *testing.T) {
	for _, demand := range []float64{5, 20, 60, 110, 170} {
		for _, centres := range [][]string{{"a", "b"}, {"a", "b", "c"}} {
			s := newSimulation(t, 20, centres...)
			s.run(600, constant(demand))
			if rest := float64(len(s.born["b"])*(len(centres)-1)) * testSlots; rest < demand {
				t.Errorf("demand %v, %d data centres: %v slots are left after a loss", demand, len(centres), rest)
			}
			if n := float64(len(s.born["a"])); n*testSlots*float64(len(centres)-1) > 2*demand+2*testSlots*float64(len(centres)) {
				t.Errorf("demand %v, %d data centres: %v servers each are too many", demand, len(centres), n)
			}
		}
	}
}

// Guards against orders out of bounds and against orders by an unknown demand.
func TestBoundsAndUnknownDemand(t *testing.T) {
	s := newSimulation(t, 2, "dc1", "dc2")
	if s.run(300, constant(1e6)); s.last["dc1"].Count != testBounds.Max {
		t.Errorf("orders under a huge demand: %+v", s.last)
	}
	if s.run(600, constant(0)); s.last["dc1"].Count != testBounds.Min {
		t.Errorf("orders without demand: %+v", s.last)
	}
	now := time.Unix(1000, 0)
	in := Input{
		Now: now, Bounds: testBounds, Slots: testSlots, DataCentres: map[string]DataCentre{"dc1": {Usable: 1}},
		History: []Sample{{At: now.Add(-2 * maxSampleAge), Work: map[string]float64{"dc1": 100}}},
	}
	if orders := Decide(in); len(orders) > 0 {
		t.Errorf("orders by an outdated demand: %+v", orders)
	}
	in.History[0].At = now
	if len(Decide(in)) == 0 {
		t.Error("no order by the present demand")
	}
	in.Bounds = Bounds{Min: 3, Max: 2}
	if orders := Decide(in); len(orders) > 0 {
		t.Errorf("orders within impossible bounds: %+v", orders)
	}
}

// Guards against each input that is left out of account: every case differs from the first one in
// one input, and its orders differ too.
func TestEachInputCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name   string
		demand func(age int) float64
		change func(in *Input)
		// want is the number ordered for dc1; 0 for no order.
		want int
	}{
		{"low demand", nil, nil, 2},
		{"gap", nil, func(in *Input) {
			in.History = append(in.History[:len(in.History)-30:len(in.History)-30], in.History[len(in.History)-10:]...)
		}, 0},
		{"outdated", nil, func(in *Input) { in.History = in.History[:len(in.History)-10] }, 0},
		{"short history", nil, func(in *Input) { in.History = in.History[len(in.History)-20:] }, 0},
		{"recent order", nil, func(in *Input) { in.Last = map[string]Order{"dc1": {Count: 6, At: now.Add(-10 * time.Second)}} }, 0},
		{"lost servers without an order", nil, func(in *Input) { in.History[0].Running = map[string]int{"dc1": 8} }, 0},
		{"lost servers after an order", nil, func(in *Input) { in.Last = map[string]Order{"dc1": {Count: 8}} }, 0},
		{"no demand, no minimum", func(int) float64 { return 0 }, func(in *Input) { in.Bounds.Min = 0 }, 1},
		{"rising", func(age int) float64 { return 80 - float64(age) }, nil, 11},
		{"saturated", func(int) float64 { return 119 }, nil, 19},
		{"saturated while cold", func(int) float64 { return 59 }, func(in *Input) {
			in.DataCentres["dc1"], in.DataCentres["dc2"] = DataCentre{Usable: 3, Cold: 3}, DataCentre{Usable: 3, Cold: 3}
		}, 10},
	}
	for _, c := range cases {
		in := Input{
			Now: now, Bounds: testBounds, Slots: testSlots, DataCentres: map[string]DataCentre{"dc1": {Usable: 6}, "dc2": {Usable: 6}},
		}
		for age := 63; age >= 0; age-- {
			demand := 10.0
			if c.demand != nil {
				demand = c.demand(age)
			}
			in.History = append(in.History, Sample{At: now.Add(-time.Duration(age) * time.Second), Work: map[string]float64{"dc1": demand / 2, "dc2": demand / 2}})
		}
		if c.change != nil {
			c.change(&in)
		}
		got := 0
		for _, d := range Decide(in) {
			if d.DataCentre == "dc1" {
				got = d.Count
			}
		}
		if got != c.want {
			t.Errorf("%s: ordered %d, want %d", c.name, got, c.want)
		}
	}
}
