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
	state rollout.State
	// stateRevision is the store revision of state; 0 if the store holds none.
	stateRevision kv.Revision
	// startedAt is when the order was first seen, by this router or another one.
	startedAt time.Time
	// rejectedOrder is the revision of the order whose target this router has rejected.
	rejectedOrder uint64
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
	r.mergeOrder(order)
	return true
}

func (r *rollouts) mergeOrder(order *topology.RolloutOrder) {
	s := r.forService(order.Service)
	s.order = order
	s.startedAt = time.Now()
	r.adjustStart(s)
	r.mu.Lock()
	r.ownEvidence[order.Service] = &routerEvidence{Order: order.Revision, target: order.Target}
	r.mu.Unlock()
	r.edge.log.Info().Str("service", order.Service).Str("target", order.Target).Dur("duration_ms", order.Duration).
		Uint64("revision", order.Revision).Msg("rollout ordered")
}

func (r *rollouts) mergeState(service string, change mirror.Change) {
	s := r.forService(service)
	s.stateRevision = change.Revision
	if change.Deleted {
		s.state, s.stateRevision = rollout.State{}, 0
		return
	}
	var state rollout.State
	if err := json.Unmarshal(change.Value, &state); err != nil {
		r.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode rollout state")
		return
	}
	s.state = state
	r.adjustStart(s)
	r.setPhase(service, state.Phase, s.order != nil && state.OrderRevision == s.order.Revision)
	r.edge.log.Info().Str("service", service).Str("target", state.Target).Str("phase", string(state.Phase)).
		Uint64("revision", uint64(change.Revision)).Interface("evidence", r.pooledEvidence(service)).Msg("rollout phase changed")
}

// adjustStart takes the start time from the stored state if another router saw the
// order earlier, for example because this process has just started.
func (r *rollouts) adjustStart(s *serviceRollout) {
	if s.order == nil || s.state.OrderRevision != s.order.Revision {
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
		if s.order == nil {
			continue
		}
		current := s.state.OrderRevision == s.order.Revision
		if current && s.state.Final() {
			continue
		}
		active = active || current && rollout.Exposed(s.state.Phase)
		r.setPhase(service, s.state.Phase, current)
		evidence := r.pooledEvidence(service)
		evidence.SingleRouter = r.routers.rank() >= evidenceAggregatorCount
		if evidence.TargetWorse() && s.rejectedOrder != s.order.Revision {
			s.rejectedOrder, changed = s.order.Revision, true
			r.edge.log.Warn().Str("service", service).Str("target", s.order.Target).Interface("evidence", evidence).
				Msg("version rejected; this router sends it no more requests")
		}
		next := rollout.Hold
		if current {
			next = rollout.NextPhase(s.state, evidence, now.Sub(s.startedAt), s.order.Duration)
		}
		if current && next == s.state.Phase {
			s.nextPhase = ""
			continue
		}
		if needsPooledEvidence(next) && r.routers.rank() >= evidenceAggregatorCount {
			continue
		}
		r.propose(ctx, now, service, s, next)
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

// propose commits the next phase after the delay of this router's rank.
func (r *rollouts) propose(ctx context.Context, now time.Time, service string, s *serviceRollout, next rollout.Phase) {
	if s.nextPhase != next {
		s.nextPhase, s.nextPhaseSince = next, now
	}
	if now.Sub(s.nextPhaseSince) < commitDelay(next, r.routers.rank()) || !r.startCommit(service) {
		return
	}
	state := rollout.State{
		Target: s.order.Target, OrderRevision: s.order.Revision, Phase: next,
		StartedMS: now.Add(-now.Sub(s.startedAt)).UnixMilli(),
	}
	go r.commit(ctx, service, state, kv.Position{Era: r.edge.controller.mergedEra, Revision: s.stateRevision})
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

// commit writes a rollout state and the status for operators to the store. The result
// arrives through the watch, even if the response to the commit is lost.
func (r *rollouts) commit(ctx context.Context, service string, state rollout.State, position kv.Position) {
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
	if state.Phase == rollout.Hold || state.Final() {
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
	current := s.state.OrderRevision == s.order.Revision
	if !current || s.rejectedOrder == s.order.Revision && !s.state.Final() {
		return topology.TrafficSplit{Target: s.order.Target}, true
	}
	split := topology.TrafficSplit{Target: s.state.Target, Share: rollout.Share(s.state.Phase, r.edge.settings.ExposureShare)}
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
