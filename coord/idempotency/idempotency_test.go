package idempotency

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
)

const home = 0xabcdef012345

var epoch = time.UnixMilli(1_700_000_000_000)

func at(ms int64, random uint64) Key {
	return assemble(epoch.Add(time.Duration(ms)*time.Millisecond), home, random<<(64-randomBits))
}

// Guards against a layout in which another home could be read from a key.
func TestKeyLayout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := rapid.Uint64Range(1, homeMask).Draw(t, "home")
		ms := rapid.Int64Range(0, 1<<48-1).Draw(t, "ms")
		k := assemble(time.UnixMilli(ms), h, rapid.Uint64().Draw(t, "random"))
		back, err := ParseKey(k.String())
		got, ok := Home(back)
		if err != nil || back != k || !ok || got != h || k.Millis() != uint64(ms) {
			t.Fatalf("%v: %v %x %v %d", k, err, got, ok, k.Millis())
		}
	})
	v7, _ := uuid.NewV7()
	if _, ok := Home(Key(v7)); ok {
		t.Fatal("a caller's key names no home")
	}
	for _, text := range []string{"", uuid.New().String(), "{" + v7.String() + "}", "urn:uuid:" + v7.String()} {
		if _, err := ParseKey(text); !errors.Is(err, ErrKeyFormat) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Guards against a second run, a wrong replay, a falling floor and a broken
// bound under any order of begins, outcomes, evictions and clock steps.
func TestRecordsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.NewManual(epoch)
		chk := &invariant.Checker{}
		r := New(Config{Home: home, Clock: clk, Checker: chk, MaxEntries: 4, MaxBytes: 4*recordBytes + 40})
		running := map[Key]*Execution{}
		ran := map[Key]string{}
		floor := uint64(0)
		begin := func(t *rapid.T) {
			k := at(rapid.Int64Range(0, 12).Draw(t, "ms"), rapid.Uint64Range(0, 1).Draw(t, "random"))
			hash := RequestHash{rapid.Byte().Draw(t, "hash") % 2}
			d, ticket := r.Begin(k, hash)
			body, hasRun := ran[k]
			switch d {
			case Run:
				if hasRun || running[k] != nil {
					t.Fatalf("%v runs twice", k)
				}
				running[k] = ticket
			case Join:
				if running[k] == nil {
					t.Fatalf("%v joins nothing", k)
				}
			case Replay:
				o, err := ticket.Wait(context.Background())
				if err != nil || !hasRun || string(o.Body) != body {
					t.Fatalf("replay %v: %v %v, want %q", k, o, err, body)
				}
			case Full:
				if s := r.Stats(); s.Entries < 4 && s.Bytes+recordBytes <= 4*recordBytes+40 {
					t.Fatal("full with room left", s)
				}
			}
		}
		finish := func(t *rapid.T) {
			for k, ticket := range running {
				o := Outcome{
					Kind: rapid.SampledFrom([]OutcomeKind{OutcomeUnknown, OutcomeDone, OutcomeNotRun}).Draw(t, "kind"),
					Body: make([]byte, rapid.IntRange(0, 60).Draw(t, "body")),
				}
				ticket.Finish(o)
				delete(running, k)
				if o.Kind != OutcomeNotRun {
					ran[k] = string(o.Body)
				}
				return
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":  begin,
			"finish": finish,
			"step": func(t *rapid.T) {
				clk.Advance(time.Duration(rapid.IntRange(-7200, 7200).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				s := r.Stats()
				if s.FloorMillis < floor || s.Entries > 4 || s.Bytes > 4*recordBytes+40 || s.Running != len(running) || chk.Total() != 0 {
					t.Fatal(s, floor, len(running), chk.Counts())
				}
				floor = s.FloorMillis
			},
		})
	})
}

// Guards against two permissions when many retries arrive at once, and against
// joined requests that get another outcome than the one that ran.
func TestConcurrentBegin(t *testing.T) {
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), MaxBytes: recordBytes + 4})
	var runs atomic.Int32
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			d, ticket := r.Begin(at(1, 0), RequestHash{1})
			if d == Unknown {
				return // the answer was too large to keep
			}
			if d == Run {
				runs.Add(1)
				ticket.Finish(Outcome{Kind: OutcomeDone, Body: []byte("too large")})
			}
			if o, err := ticket.Wait(context.Background()); err != nil || string(o.Body) != "too large" {
				t.Error(d, o, err)
			}
		})
	}
	wg.Wait()
	if runs.Load() != 1 {
		t.Fatal(runs.Load())
	}
}

// Guards against running keys that belong elsewhere, keys below the floor, keys
// of the far future, and against evicting running records.
func TestDecisions(t *testing.T) {
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), MaxEntries: 2})
	expect := func(want Decision, d Decision, ticket *Execution) *Execution {
		t.Helper()
		if d != want {
			t.Fatalf("%v, want %v", d, want)
		}
		return ticket
	}
	begin := func(k Key) (Decision, *Execution) { return r.Begin(k, RequestHash{}) }
	d, _ := begin(assemble(epoch, home+1, 0))
	expect(Unknown, d, nil)
	v7, _ := uuid.NewV7()
	d, _ = r.BeginBound(Key(v7), home+1, RequestHash{})
	expect(Unknown, d, nil)
	d, _ = begin(at(2*DefaultMaxAhead.Milliseconds(), 0))
	expect(TooEarly, d, nil)
	d, first := begin(at(5, 0))
	expect(Run, d, first)
	d, second := begin(at(6, 0))
	expect(Run, d, second)
	d, _ = begin(at(7, 0))
	expect(Full, d, nil)
	d, _ = r.Begin(at(5, 0), RequestHash{1})
	expect(Conflict, d, nil)
	second.Finish(Outcome{Kind: OutcomeUnknown})
	d, _ = begin(at(6, 0))
	expect(Unknown, d, nil)
	d, _ = begin(at(4, 0))
	expect(Full, d, nil)
	d, _ = begin(at(7, 0))
	expect(Run, d, nil)
	d, _ = begin(at(6, 1))
	expect(Unknown, d, nil)
	d, _ = begin(at(5, 0))
	expect(Join, d, nil)
	first.Finish(Outcome{Kind: OutcomeNotRun})
	if o, err := first.Wait(context.Background()); err != nil || o.Kind != OutcomeNotRun {
		t.Fatal(o, err)
	}
}

// Plants the defect: the permission for one key is handed out a second time.
func TestRanTwiceIsAsserted(t *testing.T) {
	chk := &invariant.Checker{}
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), Checker: chk})
	r.grant(at(1, 0), RequestHash{})
	if d, _ := r.grant(at(1, 0), RequestHash{}); d != Unknown || chk.Counts()[RanTwice] != 1 {
		t.Fatal(d, chk.Counts())
	}
	r.floor = at(9, 0).Millis()
	if d, _ := r.grant(at(2, 0), RequestHash{}); d != Unknown || chk.Counts()[RanTwice] != 2 {
		t.Fatal(d, chk.Counts())
	}
}

// Guards against two homes for one caller's key when routers race and answers
// are lost.
func TestBind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := kv.NewMemoryStore(clock.System{}, rand.NewPCG(1, 2))
		m.SetFaults(kv.Faults{LostResponseRate: 0.5, Delay: time.Millisecond})
		client := kv.NewClient(m, kv.ClientConfig{Clock: clock.System{}, Random: rand.NewPCG(3, 4), CallsPerSecond: 1e6, Burst: 1000})
		v7, _ := uuid.NewV7()
		var bound [8]uint64
		var wg sync.WaitGroup
		for i := range bound {
			wg.Go(func() {
				var err error
				if bound[i], err = Bind(ctx, client, "s/a", "w", Key(v7), uint64(i+1)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		for _, b := range bound {
			if b == 0 || b != bound[0] {
				t.Fatal(bound)
			}
		}
		m.SetFaults(kv.Faults{Outage: true})
		if _, err := Bind(ctx, client, "s/a", "w", Key(v7), 1); !errors.Is(err, kv.ErrUnavailable) {
			t.Fatal(err)
		}
	})
}

// Guards against a refusal as "not run" of a key that ran, and against a key of
// another home or below the floor that passes for a new one.
func TestKnown(t *testing.T) {
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), MaxEntries: 1})
	first, second := at(0, 1), at(1, 2)
	known := func(k Key, h uint64, want Decision, wantOK bool) {
		t.Helper()
		if d, _, ok := r.Lookup(k, h, RequestHash{}); d != want || ok != wantOK {
			t.Errorf("%v %v, want %v %v", d, ok, want, wantOK)
		}
	}
	known(first, home, Unknown, false)
	_, ticket := r.Begin(first, RequestHash{})
	known(first, home, Join, true)
	ticket.Finish(Outcome{Kind: OutcomeDone, Charge: []byte("line")})
	known(first, home, Replay, true)
	if _, again, _ := r.Lookup(first, home, RequestHash{}); string(again.record.outcome.Charge) != "line" {
		t.Error("the charge is not replayed")
	}
	known(second, home+1, Unknown, true)
	known(second, home, Unknown, false)
	// The second record evicts the first one, whose key is then below the floor.
	if d, _ := r.Begin(second, RequestHash{}); d != Run {
		t.Fatalf("second key: %v", d)
	}
	known(first, home, Unknown, true)
}
