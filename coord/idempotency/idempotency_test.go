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

func keyAt(ms int64, random uint64) Key {
	return newHomeKey(epoch.Add(time.Duration(ms)*time.Millisecond), home, random<<(64-randomBits))
}

// Home must return the incarnation that the key was generated for, and ParseKey
// must reject every text that is not a UUIDv7 or UUIDv8 in the 36-character form.
func TestKeyLayout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := rapid.Uint64Range(1, homeMask).Draw(t, "home")
		ms := rapid.Int64Range(0, 1<<48-1).Draw(t, "ms")
		k := newHomeKey(time.UnixMilli(ms), h, rapid.Uint64().Draw(t, "random"))
		back, err := ParseKey(k.String())
		got, ok := Home(back)
		if err != nil || back != k || !ok || got != h || k.TimestampMillis() != uint64(ms) {
			t.Fatalf("%v: %v %x %v %d", k, err, got, ok, k.TimestampMillis())
		}
	})
	v7, _ := uuid.NewV7()
	if _, ok := Home(Key(v7)); ok {
		t.Fatal("a UUIDv7 key must not have a home")
	}
	for _, text := range []string{"", uuid.New().String(), "{" + v7.String() + "}", "urn:uuid:" + v7.String()} {
		if _, err := ParseKey(text); !errors.Is(err, ErrKeyFormat) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Checks random sequences of begins, outcomes, evictions and clock steps: no key
// may run twice, replays must return the recorded response, the floor must not
// fall and the limits must hold.
func TestRecordsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.NewManual(epoch)
		chk := &invariant.Checker{}
		r := New(Config{Home: home, Clock: clk, Checker: chk, MaxEntries: 4, MaxBytes: 4*recordBytes + 40})
		running := map[Key]*Execution{}
		ran := map[Key]string{}
		floor := uint64(0)
		begin := func(t *rapid.T) {
			k := keyAt(rapid.Int64Range(0, 12).Draw(t, "ms"), rapid.Uint64Range(0, 1).Draw(t, "random"))
			hash := RequestHash{rapid.Byte().Draw(t, "hash") % 2}
			d, execution := r.Begin(k, hash)
			body, hasRun := ran[k]
			switch d {
			case Run:
				if hasRun || running[k] != nil {
					t.Fatalf("%v ran twice", k)
				}
				running[k] = execution
			case Join:
				if running[k] == nil {
					t.Fatalf("%v joined a run that does not exist", k)
				}
			case Replay:
				o, err := execution.Wait(context.Background())
				if err != nil || !hasRun || string(o.Body) != body {
					t.Fatalf("replay %v: %v %v, want %q", k, o, err, body)
				}
			case Full:
				if s := r.Stats(); s.Entries < 4 && s.Bytes+recordBytes <= 4*recordBytes+40 {
					t.Fatal("decision Full although a record fits", s)
				}
			}
		}
		finish := func(t *rapid.T) {
			for k, execution := range running {
				o := Outcome{
					Kind: rapid.SampledFrom([]OutcomeKind{OutcomeUnknown, OutcomeDone, OutcomeNotRun}).Draw(t, "kind"),
					Body: make([]byte, rapid.IntRange(0, 60).Draw(t, "body")),
				}
				execution.Finish(o)
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

// When many retries arrive concurrently, exactly one may run, and the joined
// requests must get the outcome of that run.
func TestConcurrentBegin(t *testing.T) {
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), MaxBytes: recordBytes + 4})
	var runs atomic.Int32
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			d, execution := r.Begin(keyAt(1, 0), RequestHash{1})
			if d == Unknown {
				return // the response was too large to retain
			}
			if d == Run {
				runs.Add(1)
				execution.Finish(Outcome{Kind: OutcomeDone, Body: []byte("too large")})
			}
			if o, err := execution.Wait(context.Background()); err != nil || string(o.Body) != "too large" {
				t.Error(d, o, err)
			}
		})
	}
	wg.Wait()
	if runs.Load() != 1 {
		t.Fatal(runs.Load())
	}
}

// Begin must not run keys with another home, keys below the floor or keys far in
// the future, and must not evict the records of running requests.
func TestDecisions(t *testing.T) {
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), MaxEntries: 2})
	expect := func(want Decision, d Decision, execution *Execution) *Execution {
		t.Helper()
		if d != want {
			t.Fatalf("%v, want %v", d, want)
		}
		return execution
	}
	begin := func(k Key) (Decision, *Execution) { return r.Begin(k, RequestHash{}) }
	d, _ := begin(newHomeKey(epoch, home+1, 0))
	expect(Unknown, d, nil)
	v7, _ := uuid.NewV7()
	d, _ = r.BeginBound(Key(v7), home+1, RequestHash{})
	expect(Unknown, d, nil)
	d, _ = begin(keyAt(2*DefaultMaxFutureSkew.Milliseconds(), 0))
	expect(TooEarly, d, nil)
	d, first := begin(keyAt(5, 0))
	expect(Run, d, first)
	d, second := begin(keyAt(6, 0))
	expect(Run, d, second)
	d, _ = begin(keyAt(7, 0))
	expect(Full, d, nil)
	d, _ = r.Begin(keyAt(5, 0), RequestHash{1})
	expect(Conflict, d, nil)
	second.Finish(Outcome{Kind: OutcomeUnknown})
	d, _ = begin(keyAt(6, 0))
	expect(Unknown, d, nil)
	d, _ = begin(keyAt(4, 0))
	expect(Full, d, nil)
	d, _ = begin(keyAt(7, 0))
	expect(Run, d, nil)
	d, _ = begin(keyAt(6, 1))
	expect(Unknown, d, nil)
	d, _ = begin(keyAt(5, 0))
	expect(Join, d, nil)
	first.Finish(Outcome{Kind: OutcomeNotRun})
	if o, err := first.Wait(context.Background()); err != nil || o.Kind != OutcomeNotRun {
		t.Fatal(o, err)
	}
}

// The RanTwice invariant must detect a second grant for one key, with a record
// present and below the floor.
func TestRanTwiceIsAsserted(t *testing.T) {
	chk := &invariant.Checker{}
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), Checker: chk})
	r.grant(keyAt(1, 0), RequestHash{})
	if d, _ := r.grant(keyAt(1, 0), RequestHash{}); d != Unknown || chk.Counts()[RanTwice] != 1 {
		t.Fatal(d, chk.Counts())
	}
	r.floor = keyAt(9, 0).TimestampMillis()
	if d, _ := r.grant(keyAt(2, 0), RequestHash{}); d != Unknown || chk.Counts()[RanTwice] != 2 {
		t.Fatal(d, chk.Counts())
	}
}

// A key chosen by a caller must get a single home when routers bind it
// concurrently and responses of the store are lost.
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

// Lookup must not report a key that ran as new, nor a key with another home or
// below the floor.
func TestLookup(t *testing.T) {
	r := New(Config{Home: home, Clock: clock.NewManual(epoch), MaxEntries: 1})
	first, second := keyAt(0, 1), keyAt(1, 2)
	known := func(k Key, h uint64, want Decision, wantOK bool) {
		t.Helper()
		if d, _, ok := r.Lookup(k, h, RequestHash{}); d != want || ok != wantOK {
			t.Errorf("%v %v, want %v %v", d, ok, want, wantOK)
		}
	}
	known(first, home, Unknown, false)
	_, execution := r.Begin(first, RequestHash{})
	known(first, home, Join, true)
	execution.Finish(Outcome{Kind: OutcomeDone, Charge: []byte("line")})
	known(first, home, Replay, true)
	if _, again, _ := r.Lookup(first, home, RequestHash{}); string(again.record.outcome.Charge) != "line" {
		t.Error("the charge was not replayed")
	}
	known(second, home+1, Unknown, true)
	known(second, home, Unknown, false)
	// The second record evicts the first one, whose key is then at the floor.
	if d, _ := r.Begin(second, RequestHash{}); d != Run {
		t.Fatalf("second key: %v", d)
	}
	known(first, home, Unknown, true)
}
