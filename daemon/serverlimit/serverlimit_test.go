package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetModel plays routers that share the limits of servers through a bank, without a
// network. A step is 10 ms.
type fleetModel struct {
	random *rand.Rand
	now    time.Time
	// perSecond are the servers' own limits.
	perSecond []float64
	routers   []*routerModel
	banks     []*Bank
	sent      map[int][]time.Time
	// lossy makes replies of the banks get lost.
	lossy bool
}

type routerModel struct {
	tokens *Tokens
	// frozenUntil is the end of a freeze. bank is the index of the bank that the router
	// reaches, or -1.
	frozenUntil time.Time
	bank        int
}

func newFleetModel(seed uint64, routers, servers int) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), sent: make(map[int][]time.Time), banks: []*Bank{{}, {}}}
	for range routers {
		m.routers = append(m.routers, &routerModel{tokens: &Tokens{}})
	}
	for range servers {
		m.perSecond = append(m.perSecond, 0.5+3*m.random.Float64())
	}
	return m
}

// request sends a request of a random router to the server that suits it best, or else to
// any other one that it may use.
func (m *fleetModel) request() {
	r := m.routers[m.random.IntN(len(m.routers))]
	if m.now.Before(r.frozenUntil) {
		return
	}
	first := m.random.IntN(len(m.perSecond))
	for i := range m.perSecond {
		server := (first + i) % len(m.perSecond)
		name := fmt.Sprint(server)
		if r.tokens.State(m.now, name) != Closed {
			r.tokens.Spend(m.now, name)
			r.tokens.Observe(m.now, name, m.perSecond[server])
			m.sent[server] = append(m.sent[server], m.now)
			return
		}
		if i == 0 {
			r.tokens.Want(name)
		}
	}
}

// exchange claims tokens from the bank that the router reaches. Sometimes the reply of that
// bank is lost, and the other one is asked.
func (m *fleetModel) exchange(r *routerModel) {
	if m.now.Before(r.frozenUntil) {
		return
	}
	claims, cursor := r.tokens.Claims(m.now)
	if r.bank < 0 {
		return
	}
	grants, next := m.banks[r.bank].Exchange(m.now, claims, cursor, shares[r.bank])
	if m.lossy && m.random.IntN(10) == 0 {
		other := 1 - r.bank
		grants, next = m.banks[other].Exchange(m.now, claims, cursor, shares[other])
	}
	r.tokens.Apply(m.now, grants, next)
}

// shares are the shares of the limits that the banks give out.
var shares = []float64{1, 0.5}

// play runs the model; disturb is called in each step.
func (m *fleetModel) play(during time.Duration, perSecond float64, disturb func()) {
	const step = 10 * time.Millisecond
	for end := m.now.Add(during); m.now.Before(end); m.now = m.now.Add(step) {
		disturb()
		for count := perSecond * step.Seconds(); count > 0 && m.random.Float64() < count; count-- {
			m.request()
		}
		for i, r := range m.routers {
			if (int(m.now.UnixMilli()/10)+i)%20 == 0 {
				m.exchange(r)
			}
		}
	}
}

// worst returns the largest number of requests to a server in 4 s after from, in relation
// to a bound on it.
func (m *fleetModel) worst(from time.Time, bound func(perSecond float64) float64) (worst float64) {
	for server, times := range m.sent {
		for i, at := range times {
			n := 0
			for _, other := range times[i:] {
				if other.Sub(at) < 4*time.Second {
					n++
				}
			}
			if at.After(from) {
				worst = max(worst, float64(n)/bound(m.perSecond[server]))
			}
		}
	}
	return worst
}

// oneBank is the bound while one bank gives out tokens: what it makes in 4 s and in the
// time that tokens last, a full bucket, and as many tokens that routers hold and return.
func oneBank(perSecond float64) float64 {
	return perSecond*(4+TokenTTL.Seconds()) + 2*max(minBucket, perSecond*burst.Seconds())
}

// platformBound is what the platform allows in 4 s: one and a half times the limit and 5
// requests more.
func platformBound(perSecond float64) float64 { return 1.5*4*perSecond + 5 }

// use returns the share of the limits that is used after from.
func (m *fleetModel) use(from time.Time) float64 {
	sent, possible := 0.0, 0.0
	for server := range m.perSecond {
		for _, at := range m.sent[server] {
			if at.After(from) {
				sent++
			}
		}
		possible += m.perSecond[server] * m.now.Sub(from).Seconds()
	}
	return sent / possible
}

// Guards against a limit that each router keeps by itself, so that the sum over all routers
// is over it, and against shares that nobody uses: few routers or many, slow ones or busy.
func TestLimitHoldsOverAllRouters(t *testing.T) {
	for _, size := range []struct {
		routers, servers int
		perSecond        float64
	}{{3, 8, 30}, {5, 8, 30}, {25, 32, 150}, {103, 112, 400}} {
		for seed := range uint64(4) {
			m := newFleetModel(seed, size.routers, size.servers)
			from := m.now.Add(3 * time.Second)
			m.play(25*time.Second, size.perSecond, func() {})
			if worst := m.worst(from, oneBank); worst > 1 {
				t.Errorf("%v, seed %d: %.2f of what is allowed", size, seed, worst)
			}
			if use := m.use(from); use < 0.6 || use > 1.1 {
				t.Errorf("%v, seed %d: %.2f of the limits used", size, seed, use)
			}
		}
	}
}

// Guards against tokens that outlive the time in which the bank counts on them.
func TestTokensLapse(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var tokens Tokens
	tokens.Observe(now, "s", 2)
	tokens.Apply(now, []Grant{{Server: "s", Observed: Observation{PerSecond: 2, At: now}, Tokens: 2}}, Cursor{})
	if tokens.State(now.Add(TokenTTL-time.Millisecond), "s") != Open || tokens.State(now.Add(TokenTTL), "s") != Closed {
		t.Error("tokens are not valid for their time")
	}
	if claims, _ := tokens.Claims(now.Add(TokenTTL)); len(claims) > 0 && claims[0].Returned > 0 {
		t.Errorf("claims %v return tokens that have lapsed", claims)
	}
}

// Guards against old credit of routers that are frozen and wake.
func TestFrozenRouterHasNoCredit(t *testing.T) {
	for seed := range uint64(12) {
		m := newFleetModel(seed, 12, 8)
		m.play(3*time.Second, 60, func() {})
		from := m.now
		m.play(30*time.Second, 60, func() {
			if r := m.routers[m.random.IntN(len(m.routers))]; m.random.IntN(20) == 0 {
				r.frozenUntil = m.now.Add(time.Duration(m.random.IntN(3000)) * time.Millisecond)
			}
		})
		if worst := m.worst(from, oneBank); worst > 1 {
			t.Errorf("seed %d: %.2f of what is allowed", seed, worst)
		}
	}
}

// Guards against credit that two routers have at the same time: while they use different
// banks or none, replies are lost, and banks are replaced.
func TestLimitHoldsThroughFailures(t *testing.T) {
	for seed := range uint64(12) {
		m := newFleetModel(seed, 12, 8)
		m.play(3*time.Second, 60, func() {})
		from := m.now
		m.lossy = true
		m.play(30*time.Second, 60, func() {
			r := m.routers[m.random.IntN(len(m.routers))]
			switch m.random.IntN(400) {
			case 0:
				r.frozenUntil = m.now.Add(time.Duration(1+m.random.IntN(20)) * time.Second)
			case 1, 2:
				r.bank = m.random.IntN(3) - 1
			case 3:
				m.banks[m.random.IntN(2)] = &Bank{}
			}
		})
		if worst := m.worst(from, platformBound); worst > 1 {
			t.Errorf("seed %d: %.2f of what is allowed", seed, worst)
		}
	}
}

// Guards against a limit that outlives what the server says, and against a router that
// forgets a limit which the bank still knows.
func TestLimitEnds(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var a, b Tokens
	var bank Bank
	exchange := func(tokens *Tokens) {
		claims, cursor := tokens.Claims(now)
		grants, cursor := bank.Exchange(now, claims, cursor, 1)
		tokens.Apply(now, grants, cursor)
	}
	a.Observe(now, "s", 2)
	exchange(&a)
	exchange(&b)
	if b.State(now, "s") != Closed {
		t.Fatal("a router that has seen no answer does not know the limit")
	}
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		a.Observe(now, "s", 2)
		exchange(&a)
		exchange(&b)
	}
	if b.State(now, "s") != Closed {
		t.Error("the limit was forgotten while it was named")
	}
	a.Observe(now.Add(time.Millisecond), "s", 0)
	now = now.Add(200 * time.Millisecond)
	exchange(&a)
	exchange(&b)
	if a.State(now, "s") == Closed || b.State(now, "s") == Closed {
		t.Error("the limit holds although it is no longer named")
	}
	a.Observe(now, "s", 2)
	exchange(&a)
	exchange(&b)
	for range 160 {
		now = now.Add(200 * time.Millisecond)
		exchange(&b)
	}
	if b.State(now, "s") == Closed {
		t.Error("a limit that no answer confirms does not end")
	}
}

// Guards against a token that two banks give out: its router asked the second one after the
// reply of the first was lost.
func TestTokensOfAnotherBankAreNotReturned(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var first, second Bank
	seen := Claim{Server: "s", Observed: Observation{PerSecond: 2, At: now}}
	_, cursor := first.Exchange(now, []Claim{seen}, Cursor{}, 1)
	second.Exchange(now, []Claim{seen}, Cursor{}, 1)
	grants, _ := second.Exchange(now, []Claim{{Server: "s", Returned: 2, Wanted: 2}}, cursor, 1)
	for _, g := range grants {
		if g.Tokens > 0 {
			t.Errorf("%d tokens of another bank", g.Tokens)
		}
	}
}
