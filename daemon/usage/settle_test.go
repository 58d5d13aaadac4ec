package usage

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/coord/duty"
	"cactusknot.example/coord/kv"
)

const (
	testWindow = Windows(time.Second)
	testDelay  = 4 * time.Second
)

// fleet is a store, the API and some routers in virtual time. Routers settle and send as the
// edge process does.
type fleet struct {
	t       *rapid.T
	now     time.Time
	store   storeContent
	copied  storeContent
	routers []*router
	// late are writes and calls on their way.
	late     []func()
	highest  duty.Token
	reported map[int64]map[string]uint64
}

// storeContent is what the store holds: the records and the token of the duty's record.
type storeContent struct {
	era      uint64
	revision kv.Revision
	records  map[int64]Record
	owner    duty.Token
}

func (c storeContent) clone() storeContent {
	c.records = maps.Clone(c.records)
	return c
}

type router struct {
	f           *fleet
	name        string
	incarnation uint64
	ledger      *Ledger
	table       *Table
	counter     *Counter
	// token is set while the router believes to own the duty.
	token  duty.Token
	frozen bool
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: time.Unix(1_700_000_000, 0), reported: make(map[int64]map[string]uint64)}
	f.store = storeContent{era: 1, revision: 1, records: make(map[int64]Record)}
	f.copied = f.store.clone()
	for _, name := range []string{"a", "b", "c"} {
		r := &router{f: f, name: name}
		r.start()
		f.routers = append(f.routers, r)
	}
	return f
}

// start replaces the process of a router, which then reads the store.
func (r *router) start() {
	r.incarnation = NewIncarnation(r.f.now, rapid.Uint64().Draw(r.f.t, "random"))
	r.ledger, r.table = NewLedger(Settings{Window: testWindow, Delay: testDelay, Started: r.f.now}), &Table{}
	r.counter, r.token, r.frozen = NewCounter(testWindow), 0, false
	r.read()
}

// read takes over the content of the store.
func (r *router) read() {
	r.ledger.EnterEra(r.f.now, r.f.store.era)
	for window, record := range r.f.store.records {
		r.ledger.Observe(r.f.now, window, &record, r.f.store.era)
	}
}

// report tells all routers what this one has counted.
func (r *router) report() {
	counts := r.ledger.OpenCounts(r.f.now, r.counter)
	for _, to := range r.f.routers {
		to.table.Merge(r.f.now, Report{Router: r.name, Incarnation: r.incarnation, AsOf: r.f.now, Windows: counts}, false)
	}
}

// elect gives the duty to a router. No other one believes to own it, unless the store has been
// restored.
func (r *router) elect() {
	f := r.f
	for _, other := range f.routers {
		if other.token.Position().Era == f.store.era {
			other.token = 0
		}
	}
	f.store.revision++
	f.store.owner = duty.TokenOf(kv.Position{Era: f.store.era, Revision: f.store.revision})
	r.read()
	r.token = f.store.owner
}

// commit writes a record if no other one exists and, for a settlement, the duty's record has
// the revision of a token.
func (f *fleet) commit(window int64, record Record, token duty.Token) bool {
	if _, exists := f.store.records[window]; exists || token != 0 && f.store.owner.Position().Revision != token.Position().Revision {
		return false
	}
	f.store.revision++
	f.store.records[window] = record
	return true
}

// outcome runs something with a random outcome: acknowledged, its answer lost, executed later
// or not at all.
func (f *fleet) outcome(run func() bool) (acknowledged bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "answer lost", "late", "lost"}).Draw(f.t, "outcome") {
	case "ok":
		return run()
	case "answer lost":
		run()
	case "late":
		f.late = append(f.late, func() { run() })
	}
	return false
}

// act does what an edge process does in one round.
func (r *router) act() {
	f := r.f
	r.ledger.Own(f.now, r.token)
	known := r.ledger.era == f.store.era
	if w, record, ok := r.ledger.Lost(f.now); ok && known && f.outcome(func() bool { return f.commit(w, record, 0) }) {
		r.ledger.Restored(w, f.store.era)
	}
	names := []string{"a", "b", "c"}
	if s, ok := r.ledger.Settle(f.now, r.table, names, names); ok {
		token := r.token
		if f.outcome(func() bool { return f.commit(s.Window, s.Record, token) }) && f.store.era == token.Position().Era {
			r.ledger.Settled(token, s)
		}
	}
	if w, record, ok := r.ledger.Unsent(f.now); ok && r.token != 0 {
		token := r.token
		if f.outcome(func() bool { return f.execute(token, w, record) }) {
			r.ledger.Sent(w)
		}
	}
}

// execute executes a call of the API and fails if a window has two sums.
func (f *fleet) execute(token duty.Token, window int64, record Record) bool {
	if token < f.highest {
		return false
	}
	f.highest = token
	if before, ok := f.reported[window]; ok && !maps.Equal(before, record.Counts) {
		f.t.Fatalf("window %d reported as %v and as %v", window, before, record.Counts)
	}
	f.reported[window] = record.Counts
	return true
}

// round lets 300 ms pass.
func (f *fleet) round() {
	f.now = f.now.Add(300 * time.Millisecond)
	late := f.late
	f.late = nil
	for _, run := range late {
		if rapid.Bool().Draw(f.t, "arrives") {
			run()
		} else {
			f.late = append(f.late, run)
		}
	}
	for _, r := range f.routers {
		if r.frozen {
			continue
		}
		r.counter.Add("w", f.now, 1)
		if rapid.IntRange(0, 3).Draw(f.t, "in touch") > 0 {
			r.read()
		}
		if r.ledger.era == f.store.era || r.token == 0 {
			r.report()
		}
		r.act()
	}
}

// Guards against two sums for one window, in any order of elections, suspensions, late or lost
// writes and calls, restores and kills.
func TestOneSumPerWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		pick := func() *router { return f.routers[rapid.IntRange(0, 2).Draw(t, "router")] }
		for range 40 {
			for range rapid.IntRange(1, 10).Draw(t, "rounds") {
				f.round()
			}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				pick().elect()
			case 2:
				pick().start()
			case 3:
				f.copied = f.store.clone()
			case 4:
				era := f.store.era + 1
				f.store = f.copied.clone()
				f.store.era = era
			case 5:
				r := pick()
				r.frozen = !r.frozen
			}
		}
	})
}

// Guards against counts that are lost or doubled: by a router that dies after its report, by one
// that restarts, and by a restore of the store.
func TestSums(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	k := testWindow.At(now)
	l := NewLedger(Settings{Window: testWindow, Delay: testDelay, Started: now.Add(-time.Hour)})
	table := &Table{}
	merge := func(router string, incarnation uint64, asOf time.Time, n uint32) {
		table.Merge(asOf, Report{router, NewIncarnation(now.Add(-time.Minute), incarnation), asOf, map[int64]Counts{k: {"w": n}}}, false)
	}
	l.EnterEra(now.Add(-time.Hour), 1)
	l.Own(now.Add(-time.Hour), duty.TokenOf(kv.Position{Era: 1, Revision: 9}))
	l.learn(k-1, Record{})
	end := testWindow.End(k)
	merge("a", 1, now, 1)
	merge("a", 1, now.Add(500*time.Millisecond), 2)
	merge("a", 2, end, 4)
	merge("b", 3, now.Add(500*time.Millisecond), 8)
	if _, ok := l.Settle(end.Add(testDelay/2-1), table, []string{"a", "b"}, nil); ok {
		t.Error("settled without a report past the end of the window")
	}
	s, ok := l.Settle(end.Add(testDelay/2), table, []string{"a", "b"}, nil)
	if !ok || s.Window != k || s.Record.Counts["w"] != 14 || len(s.Missing) != 1 {
		t.Errorf("%+v %v", s, ok)
	}
	merge("b", 3, end, 9)
	if again, _ := l.Settle(end.Add(testDelay), table, []string{"a", "b"}, nil); again.Record.Counts["w"] != 14 {
		t.Errorf("a window without an acknowledgement got another sum: %+v", again)
	}
}

// Guards against an allocation or a lock on each request.
func TestCounting(t *testing.T) {
	c, at := NewCounter(testWindow), time.Unix(7, 5)
	c.Add("w", at, 2)
	if n := testing.AllocsPerRun(100, func() { c.Add("w", at, 1) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	c.Add("w", at, -1)
	if got := c.Counts(func(w int64) bool { return w == 7 }); got[7]["w"] != 102 {
		t.Error(got)
	}
	if got := c.Counts(func(int64) bool { return false }); len(got) != 0 || len(*c.counts.Load()) != 0 {
		t.Error(got)
	}
}
