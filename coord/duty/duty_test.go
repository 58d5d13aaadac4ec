package duty

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/coord/kv"
)

const (
	testTTL    = 3 * time.Second
	testMargin = 500 * time.Millisecond
	testLate   = 5 * time.Second
	testKey    = "duty/x"
)

// world is a store, a fenced outside system and some machines with one process each, in virtual
// time.
type world struct {
	t        *rapid.T
	now      time.Duration
	content  content
	snapshot content
	machines []*machine
	// executions are calls and writes on their way.
	executions []execution
	// highest is the highest token that the outside system has seen, accepted its log.
	highest  Token
	accepted []acceptedCall
	owners   map[Token]string
	// clocksStep is set in runs in which wall clocks are set, frozen in those in which machines
	// are suspended: no clock is left to tell the time if both happen.
	clocksStep bool
}

// content is what the store holds of the duty.
type content struct {
	era       uint64
	revision  kv.Revision
	lastLease kv.LeaseID
	expiry    map[kv.LeaseID]time.Duration
	value     []byte // nil if there is no record
	at        kv.Position
	lease     kv.LeaseID
}

func (c content) clone() content {
	expiry := make(map[kv.LeaseID]time.Duration)
	for id, at := range c.expiry {
		expiry[id] = at
	}
	c.expiry = expiry
	return c
}

type execution struct {
	at  time.Duration
	run func()
}

type acceptedCall struct {
	at      time.Duration
	machine string
}

type news struct {
	value []byte
	at    kv.Position
}

// machine runs one process at a time.
type machine struct {
	w           *world
	name        string
	incarnation int
	owner       *Owner
	frozenUntil time.Duration
	// lag is the time for which the monotonic clock stood still, step how far the wall clock
	// was set.
	lag, step time.Duration
	// cutOff makes calls of the store fail, loseAnswers makes them take effect, perhaps late.
	cutOff, loseAnswers bool
	unread              []news
	refused             Token
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, owners: make(map[Token]string), clocksStep: rapid.Bool().Draw(t, "clocks step")}
	w.content = content{era: 1, revision: 1, expiry: make(map[kv.LeaseID]time.Duration)}
	w.snapshot = w.content.clone()
	for i := range 3 {
		m := &machine{w: w, name: fmt.Sprintf("m%d", i)}
		m.start(i)
		w.machines = append(w.machines, m)
	}
	return w
}

// start replaces the process of a machine by a new one.
func (m *machine) start(rank int) {
	m.incarnation++
	owner, err := New(Config{
		Store: m, Key: testKey, Self: Record{Holder: m.name, Incarnation: fmt.Sprint(m.incarnation)},
		TTL: testTTL, Margin: testMargin, LateTime: testLate, Now: m.now, Rank: func() (int, bool) { return rank, true },
	})
	if err != nil {
		m.w.t.Fatal(err)
	}
	m.owner, m.unread, m.refused = owner, nil, 0
	owner.Observe(m.w.content.value, kv.Position{Era: m.w.content.era, Revision: m.w.content.revision})
}

func (m *machine) now() Instant {
	return Instant{Monotonic: m.w.now - m.lag, Wall: time.Unix(1000, 0).Add(m.w.now + m.step)}
}

func (m *machine) frozen() bool { return m.w.now < m.frozenUntil }

// publish tells all machines of the state of the record.
func (w *world) publish(at kv.Position) {
	for _, m := range w.machines {
		m.unread = append(m.unread, news{w.content.value, at})
	}
}

func (w *world) removeRecord() {
	w.content.revision++
	w.content.value, w.content.lease = nil, 0
	w.publish(kv.Position{Era: w.content.era, Revision: w.content.revision})
}

// advance moves the time on, ends leases and runs the calls that arrive.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		step := min(50*time.Millisecond, end-w.now)
		w.now += step
		for _, m := range w.machines {
			if m.frozen() {
				m.lag += step
			}
		}
		if at, ok := w.content.expiry[w.content.lease]; w.content.value != nil && (!ok || w.now >= at) {
			w.removeRecord()
		}
		due := w.executions
		w.executions = nil
		for _, e := range due {
			if w.now >= e.at {
				e.run()
			} else {
				w.executions = append(w.executions, e)
			}
		}
		w.checkOneOwner()
	}
}

// checkOneOwner fails if two processes may act at the same time.
func (w *world) checkOneOwner() {
	n := 0
	for _, m := range w.machines {
		if !m.frozen() && m.owner.Token() != 0 {
			n++
		}
	}
	if n > 1 && !w.restoredLately() {
		w.t.Fatalf("%d owners at %v", n, w.now)
	}
}

// restoredLately tells whether a lease may have ended early because the store was restored.
func (w *world) restoredLately() bool { return w.content.expiry[0] > 0 && w.now < w.content.expiry[0] }

func (m *machine) Grant(context.Context, time.Duration) (Lease, error) {
	if m.cutOff {
		return Lease{}, kv.ErrUnavailable
	}
	c := &m.w.content
	c.lastLease++
	c.expiry[c.lastLease] = m.w.now + testTTL
	return Lease{ID: c.lastLease, Era: c.era}, nil
}

func (m *machine) Create(_ context.Context, _ string, value []byte, lease Lease) (kv.Position, error) {
	if m.cutOff {
		return kv.Position{}, kv.ErrUnavailable
	}
	create := func() (kv.Position, error) {
		c := &m.w.content
		if c.value != nil {
			return kv.Position{}, kv.ErrConflict
		}
		if at, ok := c.expiry[lease.ID]; !ok || m.w.now >= at || lease.Era != c.era {
			return kv.Position{}, kv.ErrNotFound
		}
		c.revision++
		c.value, c.lease, c.at = value, lease.ID, kv.Position{Era: c.era, Revision: c.revision}
		m.w.publish(c.at)
		return c.at, nil
	}
	if m.loseAnswers {
		m.w.late(func() { _, _ = create() })
		return kv.Position{}, kv.ErrUnknownOutcome
	}
	return create()
}

func (m *machine) KeepAlive(_ context.Context, lease Lease) error {
	at, ok := m.w.content.expiry[lease.ID]
	switch {
	case m.cutOff:
		return kv.ErrUnavailable
	case lease.Era != m.w.content.era || !ok || m.w.now >= at:
		return kv.ErrNotFound
	}
	m.w.content.expiry[lease.ID] = m.w.now + testTTL
	if m.loseAnswers {
		return kv.ErrUnknownOutcome
	}
	return nil
}

func (m *machine) Revoke(_ context.Context, lease Lease) error {
	if m.cutOff || lease.Era != m.w.content.era {
		return kv.ErrUnavailable
	}
	delete(m.w.content.expiry, lease.ID)
	if m.w.content.value != nil && m.w.content.lease == lease.ID {
		m.w.removeRecord()
	}
	return nil
}

// late runs something after a random time.
func (w *world) late(run func()) {
	after := time.Duration(rapid.IntRange(0, int(testLate/time.Millisecond)).Draw(w.t, "late ms")) * time.Millisecond
	w.executions = append(w.executions, execution{w.now + after, run})
}

// call makes a call of the outside system, if the machine's process believes to own the duty.
func (m *machine) call(mode string) {
	if mode == "none" {
		return
	}
	token := m.owner.BeginCall()
	if token == m.refused {
		m.w.t.Fatalf("%s calls again with the refused token %v", m.name, token)
	}
	self := fmt.Sprintf("%s/%d", m.name, m.incarnation)
	if before, ok := m.w.owners[token]; ok && before != self {
		m.w.t.Fatalf("token %d of %s and %s", token, before, self)
	}
	m.w.owners[token] = self
	switch mode {
	case "late":
		m.w.late(func() { m.w.execute(m.name, token) })
		m.owner.EndCall(token, Unanswered)
	case "lost":
		m.w.execute(m.name, token)
		m.owner.EndCall(token, Unanswered)
	default:
		if m.w.execute(m.name, token) {
			m.owner.EndCall(token, Answered)
			return
		}
		m.refused = token
		m.owner.EndCall(token, Refused)
	}
}

// execute executes a call unless a higher token was seen, and checks the order of the holders.
func (w *world) execute(name string, token Token) bool {
	if token < w.highest {
		return false
	}
	w.highest = token
	w.accepted = append(w.accepted, acceptedCall{w.now, name})
	other := false
	for _, c := range slices.Backward(w.accepted) {
		if w.now-c.at >= testTTL {
			break
		}
		if other && c.machine == name {
			w.t.Fatalf("%s acted before and after another holder within %v: %v", name, w.now-c.at, w.accepted[max(0, len(w.accepted)-6):])
		}
		other = other || c.machine != name
	}
	return true
}

// restore replaces the content by the older copy. Its leases go on for a whole lease time.
func (w *world) restore() {
	era, lastLease := w.content.era+1, w.content.lastLease
	w.content = w.snapshot.clone()
	w.content.era, w.content.at.Era, w.content.lastLease = era, era, lastLease
	for id := range w.content.expiry {
		w.content.expiry[id] = w.now + testTTL
	}
	w.content.expiry[0] = w.now + testTTL // lease 0 does not exist: see restoredLately
	w.publish(kv.Position{Era: era, Revision: w.content.revision})
}

// Guards against two holders with one token, two owners at a time, holders that act in the order
// A, B, A, and calls after a refusal, in any order of acquisitions, suspensions, late executions,
// lost answers, restores, clock steps, kills and planned stops.
func TestOwnersNeverInterleave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func() *machine { return w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(t, "machine")] }
		actions := map[string]func(){
			"advance": func() {
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					w.advance(150 * time.Millisecond)
					w.act(t)
				}
			},
			"fault": func() {
				m := pick()
				m.cutOff, m.loseAnswers = rapid.Bool().Draw(t, "cut off"), rapid.Bool().Draw(t, "lose answers")
			},
			"repair": func() {
				for _, m := range w.machines {
					m.cutOff, m.loseAnswers = false, false
				}
			},
			"clock or suspension": func() {
				m, d := pick(), time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "ms"))*time.Millisecond
				if w.clocksStep {
					m.step += d
				} else {
					m.frozenUntil = w.now + d
				}
			},
			"kill": func() { m := pick(); m.start(slices.Index(w.machines, m)) },
			"stop": func() {
				m := pick()
				m.owner.Release(context.Background())
				m.start(slices.Index(w.machines, m))
			},
			"snapshot": func() { w.snapshot = w.content.clone() },
			"restore":  func() { w.restore() },
		}
		names := slices.Sorted(maps.Keys(actions))
		for range 60 {
			actions["advance"]()
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
		}
	})
}

// act lets the processes work: news arrive, steps are made, and owners make calls.
func (w *world) act(t *rapid.T) {
	if rapid.Bool().Draw(t, "news") {
		w.deliver(t)
	}
	for _, m := range w.machines {
		if m.frozen() {
			continue
		}
		m.owner.Step(context.Background())
		if m.owner.Token() != 0 {
			m.call(rapid.SampledFrom([]string{"none", "answered", "late", "lost"}).Draw(t, "call"))
		}
	}
}

// deliver hands on the news of one machine in any order.
func (w *world) deliver(t *rapid.T) {
	for _, m := range w.machines {
		if m.frozen() || m.cutOff || len(m.unread) == 0 {
			continue
		}
		for _, i := range rapid.Permutation(indices(len(m.unread))).Draw(t, "order") {
			m.owner.Observe(m.unread[i].value, m.unread[i].at)
		}
		m.unread = nil
	}
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against a crashed owner that nobody replaces within the lease time and a margin, and
// against a planned stop that takes longer than a second.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		run := func(d time.Duration) (owner *machine) {
			for end := w.now + d; w.now < end && owner == nil; {
				w.advance(50 * time.Millisecond)
				w.deliver(t)
				for _, m := range w.machines {
					m.owner.Step(context.Background())
					if m.owner.Token() != 0 {
						owner = m
					}
				}
			}
			return owner
		}
		first := run(testTTL + testMargin + 200*time.Millisecond)
		if first != w.machines[0] {
			t.Fatalf("the first candidate does not own the duty after the start")
		}
		for range 100 {
			w.advance(100 * time.Millisecond)
			first.owner.Step(context.Background())
		}
		first.owner.Release(context.Background())
		second := run(time.Second)
		if second == nil || second == first {
			t.Fatal("no other owner a second after a planned stop")
		}
		second.frozenUntil = w.now + time.Hour
		second.start(9)
		w.machines = slices.DeleteFunc(w.machines, func(m *machine) bool { return m == second || m == first })
		if run(testTTL+testMargin) == nil {
			t.Fatal("no other owner after a crash")
		}
	})
}

// Guards against a configuration without time before the local deadline, and against positions
// whose tokens would not rise.
func TestLimits(t *testing.T) {
	if _, err := New(Config{TTL: time.Second, Margin: time.Second}); !errors.Is(err, ErrInvalidConfig) {
		t.Error(err)
	}
	for _, at := range []kv.Position{{}, {Era: 1 << 23, Revision: 1}, {Era: 1, Revision: 1 << 40}} {
		if TokenOf(at) != 0 {
			t.Errorf("%v has a token", at)
		}
	}
	late := TokenOf(kv.Position{Era: 1, Revision: 1<<40 - 1})
	early := TokenOf(kv.Position{Era: 2, Revision: 1})
	if early <= late || early.Position() != (kv.Position{Era: 2, Revision: 1}) {
		t.Error(early, late)
	}
}
