package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/gateway"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/rpc"
)

// routerEvidence is the evidence of one router on one rollout.
type routerEvidence struct {
	// Order identifies the order of the rollout.
	Order    kv.Position      `json:"order_position"`
	Evidence rollout.Evidence `json:"evidence"`
	target   string
	// exposed is set while the target gets requests. Responses are counted only then,
	// because the old version may have failed for an unrelated reason before.
	exposed bool
	// compared is set while both versions get requests.
	compared bool
}

// mergeEvidence merges evidence that a router wrote to the store because it couldn't
// reach any evidence aggregator.
func (r *rollouts) mergeEvidence(router string, change mirror.Change) {
	if router == r.edge.settings.VM || change.Deleted {
		return
	}
	reports := make(map[string]routerEvidence)
	if err := json.Unmarshal(change.Value, &reports); err != nil {
		r.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode rollout evidence; skipping it")
		return
	}
	r.mergeReports(router, reports)
}

// mergeReports merges the evidence of another router. Counts of one order only grow,
// so a delayed older report has no effect.
func (r *rollouts) mergeReports(router string, reports map[string]routerEvidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, counts := range reports {
		byRouter := r.peerEvidence[service]
		if byRouter == nil {
			byRouter = make(map[string]routerEvidence)
			r.peerEvidence[service] = byRouter
		}
		old := byRouter[router]
		if counts.Order.After(old.Order) || counts.Order == old.Order && counts.Evidence.Total() >= old.Evidence.Total() {
			byRouter[router] = counts
		}
	}
}

// observe counts the outcome of a request as evidence.
func (r *rollouts) observe(sample gateway.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.ownEvidence[sample.Service]
	if counts == nil || !counts.exposed {
		return
	}
	version, pace := &counts.Evidence.Base, &counts.Evidence.BasePace
	if sample.Version == counts.target {
		version, pace = &counts.Evidence.Target, &counts.Evidence.TargetPace
	}
	switch {
	case sample.EventInterval > 0 && !counts.compared:
		return
	case sample.EventInterval > 0:
		pace.Record(sample.EventInterval)
	case sample.Failed || sample.Slow:
		version.Bad++
	default:
		version.Good++
	}
	r.unreported = true
}

// pooledEvidence returns the sum of all routers' evidence on a service's rollout.
func (r *rollouts) pooledEvidence(service string) rollout.Evidence {
	s := r.forService(service)
	var sum rollout.Evidence
	if s.order == nil {
		return sum
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.ownEvidence[service]; own != nil && own.Order == s.orderID {
		sum = own.Evidence
	}
	for _, p := range r.peerEvidence[service] {
		if p.Order == s.orderID {
			sum = sum.Add(p.Evidence)
		}
	}
	return sum
}

// setPhase sets which responses count as evidence on a service's rollout. current is false
// if the phase is that of an earlier order.
func (r *rollouts) setPhase(service string, phase rollout.Phase, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.ownEvidence[service]; own != nil {
		own.exposed = current && rollout.Exposed(phase)
		own.compared = current && rollout.Compared(phase)
	}
}

// report sends this router's evidence to the evidence aggregators if it has changed.
func (r *rollouts) report(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unreported || r.reporting || now.Sub(r.reportedAt) < evidenceReportInterval {
		return
	}
	report := &rpc.EvidenceReport{Router: r.edge.settings.VM}
	for service, c := range r.ownEvidence {
		report.Services = append(report.Services, &rpc.ServiceEvidence{
			Service: service, OrderRevision: uint64(c.Order.Revision), OrderEra: c.Order.Era,
			TargetGood: uint64(c.Evidence.Target.Good), TargetBad: uint64(c.Evidence.Target.Bad),
			BaseGood: uint64(c.Evidence.Base.Good), BaseBad: uint64(c.Evidence.Base.Bad),
			TargetPace: encodePace(c.Evidence.TargetPace), BasePace: encodePace(c.Evidence.BasePace),
		})
	}
	r.unreported, r.reporting, r.reportedAt = false, true, now
	go r.sendEvidence(ctx, report, r.routers.evidenceAggregatorAddresses())
}

// sendEvidence sends a report to each evidence aggregator. If none accepts it, the
// report is written to the store.
func (r *rollouts) sendEvidence(ctx context.Context, report *rpc.EvidenceReport, addresses []string) {
	var peerErr error
	delivered := false
	for _, address := range addresses {
		if _, err := r.edge.peerClient(address).Report(ctx, report); err != nil {
			peerErr = err
			continue
		}
		delivered = true
	}
	if !delivered && len(addresses) > 0 {
		err := r.storeEvidence(ctx, report)
		r.edge.log.Warn().AnErr("peers", peerErr).AnErr("store", err).Msg("no peer accepted the rollout evidence; falling back to the store")
		delivered = err == nil
	}
	r.mu.Lock()
	r.reporting = false
	r.unreported = r.unreported || !delivered && len(addresses) > 0
	r.mu.Unlock()
}

func encodePace(p rollout.Pace) []uint32 {
	if p.Total() == 0 {
		return nil
	}
	buckets := make([]uint32, len(p))
	for i, n := range p {
		buckets[i] = uint32(n)
	}
	return buckets
}

func decodePace(buckets []uint32) (p rollout.Pace) {
	for i := range min(len(p), len(buckets)) {
		p[i] = int(buckets[i])
	}
	return p
}

// storeEvidence writes a report to the store, from where the aggregators read it.
func (r *rollouts) storeEvidence(ctx context.Context, report *rpc.EvidenceReport) error {
	value, err := json.Marshal(decodeEvidence(report))
	if err != nil {
		return trace.Wrap(err)
	}
	key := evidencePrefix + r.edge.settings.VM
	_, err = r.edge.settings.Store.Commit(ctx, Txn{Era: r.edge.mirror.Position().Era, Writes: []Write{{Key: key, Value: value}}})
	return trace.Wrap(err)
}
