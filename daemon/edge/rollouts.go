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
	// rankDelay is the time between the routers that may make the same step.
	rankDelay = 400 * time.Millisecond
	// revertDelay is the same for giving up a bad version. It is urgent: the store may
	// fail next, and a race costs no more than a call.
	revertDelay = 100 * time.Millisecond
	// evidenceInterval is the shortest pause between this router's reports.
	evidenceInterval = 600 * time.Millisecond
	// poolers is the number of routers, the first ones by name, that get the evidence
	// of all and decide on it. Several do, because any of them may be gone.
	poolers = 3
)

// rollouts takes part in the roll-outs of all services.
type rollouts struct {
	edge    *Edge
	routers *routers
	// byService belongs to the control loop, except counts.
	byService map[string]*serviceRollout

	mu sync.Mutex
	// counts is this router's own evidence.
	counts map[string]*ownCounts
	// heard is the evidence of the other routers, by service and router.
	heard   map[string]map[string]ownCounts
	pending bool
	wroteAt time.Time
	changed bool
	// committing is set while a step is being written.
	committing map[string]bool
}

// serviceRollout is what is known of one service's roll-out.
type serviceRollout struct {
	order    *topology.RolloutOrder
	plan     rollout.State
	revision kv.Revision
	seenAt   time.Time
	// condemned is the order whose target this router has given up already.
	condemned uint64
	// wantedAt is since when this router wants the phase wanted.
	wanted   rollout.Phase
	wantedAt time.Time
}

func newRollouts(e *Edge, r *routers) *rollouts {
	return &rollouts{
		edge: e, routers: r, byService: make(map[string]*serviceRollout),
		counts: make(map[string]*ownCounts), heard: make(map[string]map[string]ownCounts), committing: make(map[string]bool),
	}
}

func (r *rollouts) of(service string) *serviceRollout {
	s := r.byService[service]
	if s == nil {
		s = &serviceRollout{}
		r.byService[service] = s
	}
	return s
}

// merge takes a change of an order, a plan or evidence and tells whether it was one.
func (r *rollouts) merge(change mirror.Change, decoder Decoder) bool {
	if service, ok := strings.CutPrefix(change.Key, planPrefix); ok {
		r.mergePlan(service, change)
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
		r.edge.log.Error().Err(err).Str("key", change.Key).Msg("order of a roll-out can't be read: skipped")
		return true
	}
	r.mergeOrder(order)
	return true
}

func (r *rollouts) mergeOrder(order *topology.RolloutOrder) {
	s := r.of(order.Service)
	s.order = order
	s.seenAt = time.Now()
	r.adjustStart(s)
	r.mu.Lock()
	r.counts[order.Service] = &ownCounts{Order: order.Revision, target: order.Target}
	r.mu.Unlock()
	r.edge.log.Info().Str("service", order.Service).Str("target", order.Target).Dur("duration_ms", order.Duration).
		Uint64("revision", order.Revision).Msg("roll-out ordered")
}

func (r *rollouts) mergePlan(service string, change mirror.Change) {
	s := r.of(service)
	s.revision = change.Revision
	if change.Deleted {
		s.plan, s.revision = rollout.State{}, 0
		return
	}
	var plan rollout.State
	if err := json.Unmarshal(change.Value, &plan); err != nil {
		r.edge.log.Error().Err(err).Str("key", change.Key).Msg("plan of a roll-out can't be read")
		return
	}
	s.plan = plan
	r.adjustStart(s)
	r.setExposed(service, s.order != nil && plan.OrderRevision == s.order.Revision && rollout.Exposed(plan.Phase))
	r.edge.log.Info().Str("service", service).Str("target", plan.Target).Str("phase", string(plan.Phase)).
		Uint64("revision", uint64(change.Revision)).Interface("evidence", r.pooled(service)).Msg("roll-out phase")
}

// adjustStart takes the start from the plan where this process saw the order
// later than the others, for example because it has just started.
func (r *rollouts) adjustStart(s *serviceRollout) {
	if s.order == nil || s.plan.OrderRevision != s.order.Revision {
		return
	}
	began := time.Now().Add(-time.Since(time.UnixMilli(s.plan.StartedMS)))
	if began.Before(s.seenAt) && time.Since(began) < s.order.Duration+time.Minute {
		s.seenAt = began
	}
}

// tick makes the steps that are due and tells whether the view changes.
func (r *rollouts) tick(ctx context.Context, now time.Time) (changed bool) {
	active := false
	for service, s := range r.byService {
		if s.order == nil {
			continue
		}
		current := s.plan.OrderRevision == s.order.Revision
		if current && s.plan.Final() {
			continue
		}
		exposed := current && rollout.Exposed(s.plan.Phase)
		active = active || exposed
		r.setExposed(service, exposed)
		evidence := r.pooled(service)
		evidence.SingleRouter = r.routers.rank() >= poolers
		if evidence.TargetWorse() && s.condemned != s.order.Revision {
			s.condemned, changed = s.order.Revision, true
			r.edge.log.Warn().Str("service", service).Str("target", s.order.Target).Interface("evidence", evidence).
				Msg("version condemned: it gets no more requests here")
		}
		next := rollout.Hold
		if current {
			next = rollout.NextPhase(s.plan, evidence, now.Sub(s.seenAt), s.order.Duration)
		}
		if current && next == s.plan.Phase {
			s.wanted = ""
			continue
		}
		if needsEvidence(next) && r.routers.rank() >= poolers {
			continue
		}
		r.propose(ctx, now, service, s, next)
	}
	if active {
		r.report(ctx, now)
	}
	return changed
}

// needsEvidence tells whether a phase is entered because of pooled evidence, which
// only some routers have.
func needsEvidence(next rollout.Phase) bool {
	return next == rollout.Wide || next == rollout.Full || next == rollout.Completed
}

// turn returns how long the router of a rank waits for those before it to make a
// step.
func turn(next rollout.Phase, rank int) time.Duration {
	if next == rollout.Reverted {
		return time.Duration(rank) * revertDelay
	}
	return time.Duration(rank) * rankDelay
}

// propose writes the next phase once this router's turn has come.
func (r *rollouts) propose(ctx context.Context, now time.Time, service string, s *serviceRollout, next rollout.Phase) {
	if s.wanted != next {
		s.wanted, s.wantedAt = next, now
	}
	if now.Sub(s.wantedAt) < turn(next, r.routers.rank()) || !r.begin(service) {
		return
	}
	plan := rollout.State{
		Target: s.order.Target, OrderRevision: s.order.Revision, Phase: next,
		StartedMS: now.Add(-now.Sub(s.seenAt)).UnixMilli(),
	}
	go r.commit(ctx, service, plan, s.revision)
}

func (r *rollouts) begin(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.committing[service] {
		return false
	}
	r.committing[service] = true
	return true
}

// commit writes a plan and the state for operators. Its outcome is learnt from
// the watch, also where the answer is lost.
func (r *rollouts) commit(ctx context.Context, service string, plan rollout.State, revision kv.Revision) {
	defer func() {
		r.mu.Lock()
		delete(r.committing, service)
		r.mu.Unlock()
	}()
	value, err := json.Marshal(plan)
	if err != nil {
		r.edge.log.Error().Err(err).Msg("plan can't be encoded")
		return
	}
	statusKey, status, err := r.edge.settings.Decoder.Status(service, plan.Target, plan.Phase)
	if err != nil {
		r.edge.log.Error().Err(err).Msg("state of a roll-out can't be encoded")
		return
	}
	key := planPrefix + service
	txn := Txn{
		Conditions: []Condition{{Key: key, Revision: revision}},
		Writes:     []Write{{Key: key, Value: value}},
	}
	if plan.Phase == rollout.Hold || plan.Final() {
		txn.Writes = append(txn.Writes, Write{Key: statusKey, Value: status})
	}
	_, err = r.edge.settings.Store.Commit(ctx, txn)
	line := r.edge.log.Info()
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		line = r.edge.log.Warn()
	}
	line.Err(err).Str("service", service).Str("phase", string(plan.Phase)).Msg("roll-out step written")
}

// splits returns the present split of each service with a roll-out.
func (r *rollouts) splits(servers map[string][]*topology.Server) map[string]topology.TrafficSplit {
	splits := make(map[string]topology.TrafficSplit)
	for service, s := range r.byService {
		if split, ok := r.split(s, servers[service]); ok {
			splits[service] = split
		}
	}
	return splits
}

func (r *rollouts) split(s *serviceRollout, servers []*topology.Server) (topology.TrafficSplit, bool) {
	if s.order == nil {
		return topology.TrafficSplit{}, false
	}
	current := s.plan.OrderRevision == s.order.Revision
	if !current || s.condemned == s.order.Revision && !s.plan.Final() {
		return topology.TrafficSplit{Target: s.order.Target}, true
	}
	split := topology.TrafficSplit{Target: s.plan.Target, Share: rollout.Share(s.plan.Phase, r.edge.settings.ExposureShare)}
	for _, server := range servers {
		split.Final = split.Final || s.plan.Phase == rollout.Completed && server.Version == split.Target
	}
	if s.plan.Phase == rollout.Completed && !split.Final {
		return topology.TrafficSplit{}, false
	}
	return split, true
}

// writeMetrics writes the phases as text.
func (r *rollouts) writeMetrics(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, c := range r.counts {
		fmt.Fprintf(w, "cactusknot_rollout_bad_answers{service=%q} %d\n", service, c.Evidence.Target.Bad)
		fmt.Fprintf(w, "cactusknot_rollout_good_answers{service=%q} %d\n", service, c.Evidence.Target.Good)
	}
}
