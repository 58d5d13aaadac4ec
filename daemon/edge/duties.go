package edge

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/coord/duty"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/relay"
)

const (
	// dutyPrefix is followed by the name of a duty.
	dutyPrefix = keyPrefix + "duty/"
	// dutyMarginShare is the margin of the local lease deadline, as a share of the lease
	// duration. It covers the drift of the clocks.
	dutyMarginShare = 6
	// dutyInterval is the time between two calls of dutyWork.act at the owner, idleDutyInterval
	// that at the other routers, which have little to do.
	dutyInterval     = 100 * time.Millisecond
	idleDutyInterval = 500 * time.Millisecond
	// apiCallTimeout limits one call of the API.
	apiCallTimeout = 3 * time.Second
	// apiLateTime is how long after a call without an answer it may still be executed.
	apiLateTime = 5 * time.Second
	// apiRateShare is the share of the API's rate that one duty uses. A router that has just
	// lost the duty may have used some of it.
	apiRateShare = 0.4
	// firstAPIBackoff and maxAPIBackoff bound the backoff after failed API calls.
	firstAPIBackoff = 250 * time.Millisecond
	maxAPIBackoff   = 2 * time.Second
)

// dutyWork is what the owner of a duty does. Its methods are called by one goroutine.
type dutyWork interface {
	// act does what is due. It is called every dutyInterval at the owner and every
	// idleDutyInterval at the other routers. A call of the API is made by role.call.
	act(ctx context.Context, now time.Time, role *dutyRole)
	// observe takes over a change of the store, and reports whether it was one of its keys.
	observe(change mirror.Change) bool
	// wanted reports whether there may be anything to do. It is safe for concurrent use.
	wanted() bool
}

// duties are this router's parts in the duties that one router at a time fulfils.
type duties struct {
	edge  *Edge
	roles []*dutyRole
	// usage counts the requests; its work is that of the role named UsageDuty.
	usage *usageWork
	// autoscale orders servers; nil unless the settings name AutoscaleDuty.
	autoscale *autoscaleWork
	// membership is the latest snapshot of the routers. Candidates for a duty try in its order.
	membership atomic.Pointer[membership]
}

// newDuties returns the duties that the settings name. There are none without an API.
func newDuties(e *Edge) *duties {
	d := &duties{edge: e}
	d.usage = newUsageWork(e)
	if d.usage.enabled {
		d.add(UsageDuty, d.usage)
	}
	if e.settings.has(AutoscaleDuty) {
		d.autoscale = newAutoscaleWork(e)
		d.add(AutoscaleDuty, d.autoscale)
	}
	return d
}

// has reports whether the routers have a duty.
func (s *Settings) has(name string) bool {
	return s.CloudAPI != nil && slices.Contains(s.Duties.Names, name)
}

// add adds a duty with its work.
func (d *duties) add(name string, work dutyWork) {
	settings := d.edge.settings
	incarnation := binary.BigEndian.AppendUint64(nil, d.usage.incarnation)
	role := &dutyRole{edge: d.edge, name: name, work: work, log: d.edge.log.With().Str("duty", name).Logger()}
	began := time.Now()
	owner, err := duty.New(duty.Config{
		Store: dutyStore{settings.Store}, Key: dutyPrefix + name,
		Self: duty.Record{Holder: settings.VM, Incarnation: hex.EncodeToString(incarnation)},
		TTL:  settings.Duties.LeaseDuration, Margin: settings.Duties.LeaseDuration / dutyMarginShare,
		LateTime: apiLateTime,
		Now: func() duty.Instant {
			now := time.Now()
			return duty.Instant{Monotonic: now.Sub(began), Wall: now.Round(0)}
		},
		Rank: func() (int, bool) {
			rank, ok := d.rank()
			return rank, ok && work.wanted()
		},
		Notify: role.notify,
	})
	if err != nil {
		d.edge.log.Error().Err(err).Str("duty", name).Msg("duty not taken part in")
		return
	}
	role.owner = owner
	d.roles = append(d.roles, role)
}

// start runs the duties until ctx ends.
func (d *duties) start(ctx context.Context) {
	for _, role := range d.roles {
		go role.owner.Run(ctx)
		go role.run(ctx)
	}
}

// release gives up the duties, so that other routers take them over at once.
func (d *duties) release() {
	for _, role := range d.roles {
		role.owner.Release(context.Background())
	}
}

// merge applies a change of a duty's record or of the keys of its work. It reports whether the
// change was one.
func (d *duties) merge(change mirror.Change) bool {
	name, ok := strings.CutPrefix(change.Key, dutyPrefix)
	for _, role := range d.roles {
		if ok && role.name == name {
			value := change.Value
			if change.Deleted {
				value = nil
			}
			role.owner.Observe(value, change.Position())
		}
		if role.work.observe(change) {
			return true
		}
	}
	return ok
}

// members returns the latest snapshot of the registered routers.
func (d *duties) members() *membership {
	if m := d.membership.Load(); m != nil {
		return m
	}
	return &membership{}
}

// rank returns the position of this router among the candidates for a duty; ok is false while
// it does not reach the store or is not registered.
func (d *duties) rank() (rank int, ok bool) {
	ranked := d.members().ranked
	rank = slices.IndexFunc(ranked, func(m relay.Member) bool { return m.Name == d.edge.settings.VM })
	if rank < 0 {
		return len(ranked), false
	}
	return rank, d.edge.controller.storeOutage() == 0 && !d.edge.stopping.Load()
}

// aggregators returns the two routers with the most processor share; the names of those that
// don't exist are empty.
func (d *duties) aggregators() (first, second relay.Member) {
	ranked := append(slices.Clone(d.members().ranked), relay.Member{}, relay.Member{})
	return ranked[0], ranked[1]
}

// owns reports whether this router owns a duty.
func (d *duties) owns(name string) bool {
	for _, role := range d.roles {
		if role.name == name {
			return role.owner.Token() != 0
		}
	}
	return false
}

// dutyRole is this router's part in one duty.
type dutyRole struct {
	edge  *Edge
	name  string
	owner *duty.Owner
	work  dutyWork
	log   zerolog.Logger

	mu sync.Mutex
	// last is the latest call of the API.
	last apiCall
	// notBefore is the earliest time of the next call, backoff the delay after a failure.
	notBefore time.Time
	backoff   time.Duration
}

// apiCall is a call of the API with its result.
type apiCall struct {
	at      time.Time
	subject string
	result  string
	token   duty.Token
}

// run lets the work act until ctx ends. Once all keys of the store are known, it tells the owner
// if there is no record: the absence of a key is no change.
func (r *dutyRole) run(ctx context.Context) {
	if !r.edge.controller.waitForView(ctx) {
		return
	}
	at := r.edge.mirror.Position()
	if _, ok := r.edge.mirror.Get(dutyPrefix + r.name); !ok {
		r.owner.Observe(nil, at)
	}
	for ctx.Err() == nil {
		interval := idleDutyInterval
		if r.owner.Token() != 0 {
			interval = dutyInterval
		}
		sleep(ctx, interval)
		r.work.act(ctx, time.Now(), r)
	}
}

// errNoCallNow is returned for a call that is not made because this router does not own the duty,
// or because it is too early for the next call.
var errNoCallNow = errors.New("edge: no call of the API may be made now")

// ready reports whether a call may be made at a time, apart from the ownership.
func (r *dutyRole) ready(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.notBefore)
}

// call makes one call of the API under this router's token, if it owns the duty and the rate
// allows for it. subject names what the call is about, age how long it has been due.
func (r *dutyRole) call(ctx context.Context, subject string, age time.Duration, send func(context.Context, DutyCaller) error) error {
	began := time.Now()
	if !r.ready(began) {
		return errNoCallNow
	}
	token := r.owner.BeginCall()
	if token == 0 {
		return errNoCallNow
	}
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	err := send(ctx, DutyCaller{Holder: r.edge.settings.VM, Token: uint64(token)})
	cancel()
	r.owner.EndCall(token, answerOf(err))
	result := apiResult(err)
	r.pace(time.Now(), err)
	r.mu.Lock()
	r.last = apiCall{at: began, subject: subject, result: result, token: token}
	r.mu.Unlock()
	r.edge.storeMetrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_duty_calls_total{duty=%q,result=%q}", r.name, result)).Inc()
	event := r.log.Info()
	if err != nil {
		event = r.log.Warn()
	}
	event.Err(err).Str("subject", subject).Uint64("token", uint64(token)).Str("result", result).
		Dur("age_ms", age).Dur("took_ms", time.Since(began)).Msg("duty call finished")
	return err
}

// answerOf returns what an error says of the execution of a call.
func answerOf(err error) duty.Answer {
	switch {
	case errors.Is(err, ErrTokenRefused):
		return duty.Refused
	case err == nil, errors.Is(err, ErrOverRate):
		return duty.Answered
	}
	return duty.Unanswered
}

// pace sets the earliest time of the next call.
func (r *dutyRole) pace(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := time.Duration(float64(time.Second) / (apiRateShare * r.edge.settings.Duties.CallsPerSecond))
	if err == nil {
		r.backoff = 0
	} else {
		r.backoff = min(max(2*r.backoff, firstAPIBackoff), maxAPIBackoff)
		delay = max(delay, r.backoff/2+rand.N(r.backoff))
	}
	r.notBefore = now.Add(delay)
}

// Values of the result of an API call.
const (
	resultOK           = "ok"
	resultTokenRefused = "token_refused"
	resultOverRate     = "over_rate"
	resultUnavailable  = "unavailable"
	resultUnknown      = "unknown"
	resultFailed       = "failed"
)

func apiResult(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, ErrTokenRefused):
		return resultTokenRefused
	case errors.Is(err, ErrOverRate):
		return resultOverRate
	case errors.Is(err, ErrAPIUnavailable):
		return resultUnavailable
	case errors.Is(err, ErrAPIUnknownOutcome):
		return resultUnknown
	}
	return resultFailed
}

// notify logs and counts the events of the owner.
func (r *dutyRole) notify(e duty.Event) {
	r.edge.storeMetrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_duty_events_total{duty=%q,event=%q}", r.name, e.Kind)).Inc()
	event := r.log.Info()
	if e.Err != nil {
		event = r.log.Warn()
	}
	event.Err(e.Err).Str("event", string(e.Kind)).Str("holder", e.Holder.Holder).Uint64("token", uint64(e.Token)).
		Stringer("position", e.At).Str("reason", e.Reason).Dur("lease_age_ms", e.Age).Msg("duty ownership event")
}

// dutyStore adapts a Store to the interface of package duty.
type dutyStore struct{ store Store }

// Grant implements duty.Store.
func (s dutyStore) Grant(ctx context.Context, ttl time.Duration) (duty.Lease, error) {
	lease, err := s.store.Grant(ctx, ttl)
	return duty.Lease(lease), err
}

// Create implements duty.Store.
func (s dutyStore) Create(ctx context.Context, key string, value []byte, lease duty.Lease) (kv.Position, error) {
	return s.store.Commit(ctx, Txn{
		Era: lease.Era, Conditions: []Condition{{Key: key}}, Writes: []Write{{Key: key, Value: value, Lease: lease.ID}},
	})
}

// KeepAlive implements duty.Store.
func (s dutyStore) KeepAlive(ctx context.Context, lease duty.Lease) error {
	return s.store.KeepAlive(ctx, Lease(lease))
}

// Revoke implements duty.Store.
func (s dutyStore) Revoke(ctx context.Context, lease duty.Lease) error {
	return s.store.Revoke(ctx, Lease(lease))
}

// DutyState is the state of a duty as one process sees it.
type DutyState struct {
	Name string `json:"name"`
	// Owner is the known owner; empty for none. Own is set if it is this process.
	Owner string `json:"owner"`
	Own   bool   `json:"own"`
	Token uint64 `json:"token"`
	// LastCall names the subject of the latest call of this process; empty for none.
	LastCall       string `json:"last_call,omitempty"`
	LastResult     string `json:"last_result,omitempty"`
	LastCallAgeMS  int64  `json:"last_call_age_ms"`
	LastSettled    int64  `json:"last_settled,omitempty"`
	LastSent       int64  `json:"last_sent,omitempty"`
	UnsettledCount int    `json:"unsettled,omitempty"`
}

// states returns the states of the duties.
func (d *duties) states(now time.Time) []DutyState {
	var list []DutyState
	for _, role := range d.roles {
		holder, token := role.owner.Holder()
		s := DutyState{Name: role.name, Owner: holder.Holder, Own: role.owner.Token() != 0, Token: uint64(token), LastCallAgeMS: -1}
		role.mu.Lock()
		if last := role.last; !last.at.IsZero() {
			s.LastCall, s.LastResult, s.LastCallAgeMS = last.subject, last.result, now.Sub(last.at).Milliseconds()
		}
		role.mu.Unlock()
		if role.name == UsageDuty {
			ledger := d.usage.ledger.State(now)
			s.LastSettled, s.LastSent, s.UnsettledCount = ledger.LastSettled, ledger.LastSent, ledger.Unsettled
		}
		list = append(list, s)
	}
	return list
}

// writeMetrics writes the state of the duties in the Prometheus text format.
func (d *duties) writeMetrics(w io.Writer) {
	for _, s := range d.states(time.Now()) {
		own := 0
		if s.Own {
			own = 1
		}
		fmt.Fprintf(w, "cactusknot_duty_owned{duty=%q} %d\n", s.Name, own)
		if s.Name == UsageDuty {
			fmt.Fprintf(w, "cactusknot_usage_unsettled_windows %d\n", s.UnsettledCount)
			fmt.Fprintf(w, "cactusknot_usage_last_settled_window %d\n", s.LastSettled)
		}
	}
	if d.autoscale != nil {
		d.autoscale.writeMetrics(w)
	}
}
