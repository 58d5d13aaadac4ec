package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/topology"
)

const (
	// rankDelay is the delay between routers that may commit the same phase, by rank.
	rankDelay = 400 * time.Millisecond
	// revertRankDelay is the same for reverting a bad version. It is short because the
	// store may fail before the revert is committed, and a race costs only one call.
	revertRankDelay = 100 * time.Millisecond
	// evidenceReportInterval is the minimum time between this router's reports.
	evidenceReportInterval = 600 * time.Millisecond
	// evidenceAggregatorCount is the number of routers, the first ones by name, that
	// receive the evidence of all routers and decide on it. There are several because
	// any of them may fail.
	evidenceAggregatorCount = 3
)

// rollouts is this router's part in the rollouts of all services.
type rollouts struct {
	edge    *Edge
	routers *routers
	// byService is used by the control loop only.
	byService map[string]*serviceRollout

	// mu guards the fields below.
	mu sync.Mutex
	// ownEvidence is this router's own evidence by service.
	ownEvidence map[string]*routerEvidence
	// peerEvidence is the evidence of the other routers by service and router.
	peerEvidence map[string]map[string]routerEvidence
	// reporting is set while a report is being sent.
	reporting bool
	// reportedAt is the start of the last report.
	reportedAt time.Time
	// unreported is set if ownEvidence has changed since the last report.
	unreported bool
	// committing holds the services whose next phase is being committed.
	committing map[string]bool
}

// serviceRollout is the state of one service's rollout.
type serviceRollout struct {
	order *topology.RolloutOrder
	// orderID identifies the order: its position in the store when it was first seen. orderAt
	// is its latest position.
	orderID, orderAt kv.Position
	// replaced is the order before, at its latest position; nil if this router knows none.
	replaced   *topology.RolloutOrder
	replacedAt kv.Position
	state      rollout.State
	// stateRevision is the store revision of state; 0 if the store holds none.
	stateRevision kv.Revision
	// stateEra is the store's era in which state was last merged.
	stateEra uint64
	// lost is set while the store holds an older state than this router, or none.
	lost bool
	// startedAt is when the order was first seen, by this router or another one.
	startedAt time.Time
	// rejectedOrder identifies the order whose target this router has rejected.
	rejectedOrder kv.Position
	// traffic tells how the number of the service's requests changes.
	traffic trafficMeter
	// history tells the target's recent answers from those before.
	history rollout.History
	// nextPhase is the phase that this router intends to commit, nextPhaseSince the
	// time at which it first did.
	nextPhase      rollout.Phase
	nextPhaseSince time.Time
}

func newRollouts(e *Edge, r *routers) *rollouts {
	return &rollouts{
		edge: e, routers: r, byService: make(map[string]*serviceRollout),
		ownEvidence: make(map[string]*routerEvidence), peerEvidence: make(map[string]map[string]routerEvidence), committing: make(map[string]bool),
	}
}

// forService returns the state of a service's rollout, creating it if needed.
func (r *rollouts) forService(service string) *serviceRollout {
	s := r.byService[service]
	if s == nil {
		s = &serviceRollout{}
		r.byService[service] = s
	}
	return s
}

// merge applies a change of a rollout order, state or evidence. It reports whether the
// change was one of these.
func (r *rollouts) merge(change mirror.Change, decoder Decoder) bool {
	if service, ok := strings.CutPrefix(change.Key, statePrefix); ok {
		r.mergeState(service, change)
		return true
	}
	if router, ok := strings.CutPrefix(change.Key, evidencePrefix); ok {
		r.mergeEvidence(router, change)
		return true
	}
	if change.Deleted {
		return false
	}
	order, ok, err := decoder.Order(change.Entry)
	if !ok {
		return false
	}
	if err != nil {
		r.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode rollout order; skipping it")
		return true
	}
	r.mergeOrder(order, change.Position())
	return true
}

func (r *rollouts) mergeOrder(order *topology.RolloutOrder, at kv.Position) {
	s := r.forService(order.Service)
	if s.order != nil && s.restoredOrder(order, at) {
		r.edge.log.Info().Str("service", order.Service).Str("target", order.Target).Stringer("position", at).
			Msg("rollout order read again from the restored store")
		return
	}
	s.replaced, s.replacedAt = s.order, s.orderAt
	s.order, s.orderID, s.orderAt = order, at, at
	s.startedAt, s.traffic, s.history = time.Now(), trafficMeter{}, rollout.History{}
	r.mu.Lock()
	r.ownEvidence[order.Service] = &routerEvidence{Order: at, target: order.Target}
	r.mu.Unlock()
	r.adoptOrderID(s)
	r.adjustStart(s)
	r.edge.log.Info().Str("service", order.Service).Str("target", order.Target).Dur("duration_ms", order.Duration).
		Stringer("position", at).Msg("rollout ordered")
}

// current tells whether the state is that of the order.
func (s *serviceRollout) current() bool { return s.state.Order() == s.orderID }

func (r *rollouts) mergeState(service string, change mirror.Change) {
	s := r.forService(service)
	var state rollout.State
	s.stateRevision = 0
	if !change.Deleted {
		s.stateRevision = change.Revision
		err := json.Unmarshal(change.Value, &state)
		if err == nil && !state.Phase.Known() {
			err = fmt.Errorf("phase %q is not known", state.Phase)
		}
		if err != nil {
			r.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode rollout state")
			return
		}
	}
	s.lost = s.lostState(state, change.Era)
	s.stateEra = change.Era
	if s.lost {
		r.edge.log.Warn().Str("service", service).Str("target", s.state.Target).Str("phase", string(s.state.Phase)).
			Str("stored_phase", string(state.Phase)).Stringer("position", change.Position()).Msg("store has lost the phase of a rollout; writing it again")
		return
	}
	s.state = state
	r.adoptOrderID(s)
	r.adjustStart(s)
	r.setPhase(service, state.Phase, s.order != nil && s.current())
	r.edge.log.Info().Str("service", service).Str("target", state.Target).Str("phase", string(state.Phase)).
		Uint64("revision", uint64(change.Revision)).Interface("evidence", r.pooledEvidence(service)).Msg("rollout phase changed")
}

// adjustStart takes the start time from the stored state if another router saw the
// order earlier, for example because this process has just started.
func (r *rollouts) adjustStart(s *serviceRollout) {
	if s.order == nil || !s.current() {
		return
	}
	began := time.Now().Add(-time.Since(time.UnixMilli(s.state.StartedMS)))
	if began.Before(s.startedAt) && time.Since(began) < s.order.Duration+time.Minute {
		s.startedAt = began
	}
}

// tick commits the phases that are due and reports whether the view changes.
func (r *rollouts) tick(ctx context.Context, now time.Time) (changed bool) {
	active := false
	for service, s := range r.byService {
		if s.lost {
			r.propose(ctx, now, service, s, s.state, time.Duration(r.routers.rank())*revertRankDelay)
		}
		if s.order == nil {
			continue
		}
		current := s.current()
		if current && s.state.Final() {
			continue
		}
		active = active || current && rollout.Exposed(s.state.Phase)
		r.setPhase(service, s.state.Phase, current)
		evidence := r.pooledEvidence(service)
		evidence.Surge = s.traffic.surge(now, evidence.Total())
		evidence.Recent = s.history.Recent(evidence.Target)
		evidence.SingleRouter = r.routers.rank() >= evidenceAggregatorCount
		if evidence.TargetWorse() && s.rejectedOrder != s.orderID {
			s.rejectedOrder, changed = s.orderID, true
			r.edge.log.Warn().Str("service", service).Str("target", s.order.Target).Interface("evidence", evidence).
				Msg("version rejected; this router sends it no more requests")
		}
		next := rollout.Hold
		if current {
			next = rollout.NextPhase(s.state, evidence, now.Sub(s.startedAt), s.order.Duration)
		}
		if s.lost {
			continue
		}
		if current && next == s.state.Phase {
			s.nextPhase = ""
			continue
		}
		if needsPooledEvidence(next) && r.routers.rank() >= evidenceAggregatorCount {
			continue
		}
		state := s.stateIn(now).Enter(next, r.edge.settings.Exposure, evidence, now.Sub(s.startedAt), s.order.Duration)
		r.propose(ctx, now, service, s, state, commitDelay(next, r.routers.rank()))
	}
	if active {
		r.report(ctx, now)
	}
	return changed
}

// needsPooledEvidence reports whether entering a phase requires the evidence of all
// routers, which only the evidence aggregators have.
func needsPooledEvidence(next rollout.Phase) bool {
	return next == rollout.Wide || next == rollout.Full || next == rollout.Completed
}

// commitDelay returns how long a router waits for those of lower rank to commit a
// phase before it does so itself.
func commitDelay(next rollout.Phase, rank int) time.Duration {
	if next == rollout.Reverted {
		return time.Duration(rank) * revertRankDelay
	}
	return time.Duration(rank) * rankDelay
}

// stateIn returns the state of the order, in the phase that the stored state has.
func (s *serviceRollout) stateIn(now time.Time) rollout.State {
	state := rollout.State{
		Target: s.order.Target, OrderRevision: uint64(s.orderID.Revision), OrderEra: s.orderID.Era,
		StartedMS: now.Add(-now.Sub(s.startedAt)).UnixMilli(), Rejected: s.rejected(),
	}
	if s.current() {
		state.Budget = s.state.Budget
	}
	return state
}

// rejected returns the versions that earlier rollouts reverted.
func (s *serviceRollout) rejected() []string {
	if s.current() {
		return s.state.Rejected
	}
	return s.state.RejectedBefore(s.order.Target)
}

// propose commits a state after the delay of this router's rank.
func (r *rollouts) propose(ctx context.Context, now time.Time, service string, s *serviceRollout, state rollout.State, delay time.Duration) {
	if s.nextPhase != state.Phase {
		s.nextPhase, s.nextPhaseSince = state.Phase, now
	}
	if now.Sub(s.nextPhaseSince) < delay || !r.startCommit(service) {
		return
	}
	go r.commit(ctx, service, state, kv.Position{Era: r.edge.controller.mergedEra, Revision: s.stateRevision}, s.lost)
}

// startCommit marks a service's commit as in progress. It returns false if one is
// in progress already.
func (r *rollouts) startCommit(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.committing[service] {
		return false
	}
	r.committing[service] = true
	return true
}

// commit writes a rollout state and the status for operators to the store, if the state there
// is at the position. lost is set if the store has lost both. The result arrives through the
// watch, even if the response to the commit is lost.
func (r *rollouts) commit(ctx context.Context, service string, state rollout.State, position kv.Position, lost bool) {
	defer func() {
		r.mu.Lock()
		delete(r.committing, service)
		r.mu.Unlock()
	}()
	value, err := json.Marshal(state)
	if err != nil {
		r.edge.log.Error().Err(err).Msg("failed to encode rollout state")
		return
	}
	statusKey, status, err := r.edge.settings.Decoder.Status(service, state.Target, state.Phase)
	if err != nil {
		r.edge.log.Error().Err(err).Msg("failed to encode rollout status")
		return
	}
	key := statePrefix + service
	txn := Txn{
		Era:        position.Era,
		Conditions: []Condition{{Key: key, Revision: position.Revision}},
		Writes:     []Write{{Key: key, Value: value}},
	}
	if lost || state.Phase == rollout.Hold || state.Final() {
		txn.Writes = append(txn.Writes, Write{Key: statusKey, Value: status})
	}
	_, err = r.edge.settings.Store.Commit(ctx, txn)
	event := r.edge.log.Info()
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		event = r.edge.log.Warn()
	}
	event.Err(err).Str("service", service).Str("phase", string(state.Phase)).Msg("rollout phase commit finished")
}

// splits returns the current traffic split of each service with a rollout.
func (r *rollouts) splits(servers map[string][]*topology.Server) map[string]topology.TrafficSplit {
	splits := make(map[string]topology.TrafficSplit)
	for service, s := range r.byService {
		if split, ok := r.split(s, servers[service]); ok {
			splits[service] = split
		}
	}
	return splits
}

// split returns the traffic split of one rollout, and false if there is none. The
// target gets no requests before the first phase is committed or after this router
// has rejected it.
func (r *rollouts) split(s *serviceRollout, servers []*topology.Server) (topology.TrafficSplit, bool) {
	if s.order == nil {
		return topology.TrafficSplit{}, false
	}
	if !s.current() || s.rejectedOrder == s.orderID && !s.state.Final() {
		return topology.TrafficSplit{Target: s.order.Target, Rejected: s.rejected()}, true
	}
	split := topology.TrafficSplit{
		Target: s.state.Target, Share: s.state.Share(r.edge.settings.Exposure), Rejected: s.rejected(),
	}
	for _, server := range servers {
		split.Final = split.Final || s.state.Phase == rollout.Completed && server.Version == split.Target
	}
	if s.state.Phase == rollout.Completed && !split.Final {
		return topology.TrafficSplit{}, false
	}
	return split, true
}

// writeMetrics writes this router's evidence in the Prometheus text format.
func (r *rollouts) writeMetrics(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, c := range r.ownEvidence {
		fmt.Fprintf(w, "cactusknot_rollout_bad_answers{service=%q} %d\n", service, c.Evidence.Target.Bad)
		fmt.Fprintf(w, "cactusknot_rollout_good_answers{service=%q} %d\n", service, c.Evidence.Target.Good)
	}
}
