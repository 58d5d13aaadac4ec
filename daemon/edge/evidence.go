package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/gateway"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/rpc"
)

// ownCounts is this router's evidence on one roll-out.
type ownCounts struct {
	Order    uint64           `json:"order"`
	Evidence rollout.Evidence `json:"evidence"`
	target   string
	// exposed is set while the target gets requests; only answers of that time are
	// compared, because the old version may have failed for a reason of its own before.
	exposed bool
}

// mergeEvidence takes evidence that a router wrote to the store because it reached
// none of the routers that pool it.
func (r *rollouts) mergeEvidence(router string, change mirror.Change) {
	if router == r.edge.settings.VM || change.Deleted {
		return
	}
	reports := make(map[string]ownCounts)
	if err := json.Unmarshal(change.Value, &reports); err != nil {
		r.edge.log.Error().Err(err).Str("key", change.Key).Msg("evidence can't be read: skipped")
		return
	}
	r.hear(router, reports)
}

// hear takes another router's evidence. Counts of one order only grow, so an older
// report that arrives late has no effect.
func (r *rollouts) hear(router string, reports map[string]ownCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, counts := range reports {
		heard := r.heard[service]
		if heard == nil {
			heard = make(map[string]ownCounts)
			r.heard[service] = heard
		}
		old := heard[router]
		if counts.Order > old.Order || counts.Order == old.Order && counts.Evidence.Total() >= old.Evidence.Total() {
			heard[router] = counts
		}
	}
}

// observe counts an answer of the request path.
func (r *rollouts) observe(sample gateway.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts[sample.Service]
	if counts == nil || !counts.exposed {
		return
	}
	of := &counts.Evidence.Base
	if sample.Version == counts.target {
		of = &counts.Evidence.Target
	}
	if sample.Failed || sample.Slow {
		of.Bad++
	} else {
		of.Good++
	}
	r.changed = true
}

// pooled returns the evidence of all routers on a service's roll-out.
func (r *rollouts) pooled(service string) rollout.Evidence {
	s := r.of(service)
	var sum rollout.Evidence
	if s.order == nil {
		return sum
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.counts[service]; own != nil && own.Order == s.order.Revision {
		sum = own.Evidence
	}
	for _, p := range r.heard[service] {
		if p.Order == s.order.Revision {
			sum = sum.Add(p.Evidence)
		}
	}
	return sum
}

// setExposed tells whether answers count as evidence on a service's roll-out now.
func (r *rollouts) setExposed(service string, exposed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.counts[service]; own != nil {
		own.exposed = exposed
	}
}

// report sends this router's evidence to the routers that pool it.
func (r *rollouts) report(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed || r.pending || now.Sub(r.wroteAt) < evidenceInterval {
		return
	}
	report := &rpc.EvidenceReport{Router: r.edge.settings.VM}
	for service, c := range r.counts {
		report.Services = append(report.Services, &rpc.ServiceEvidence{
			Service: service, OrderRevision: c.Order,
			TargetGood: uint64(c.Evidence.Target.Good), TargetBad: uint64(c.Evidence.Target.Bad),
			BaseGood: uint64(c.Evidence.Base.Good), BaseBad: uint64(c.Evidence.Base.Bad),
		})
	}
	r.changed, r.pending, r.wroteAt = false, true, now
	go r.sendEvidence(ctx, report, r.routers.pooling())
}

// sendEvidence reports to each pooling router, and writes to the store where none
// takes the report.
func (r *rollouts) sendEvidence(ctx context.Context, report *rpc.EvidenceReport, addresses []string) {
	var failed error
	taken := false
	for _, address := range addresses {
		if _, err := r.edge.peerClient(address).Report(ctx, report); err != nil {
			failed = err
			continue
		}
		taken = true
	}
	if !taken && len(addresses) > 0 {
		err := r.storeEvidence(ctx, report)
		r.edge.log.Warn().AnErr("peers", failed).AnErr("store", err).Msg("evidence not taken by a peer: written to the store")
		taken = err == nil
	}
	r.mu.Lock()
	r.pending = false
	r.changed = r.changed || !taken && len(addresses) > 0
	r.mu.Unlock()
}

// storeEvidence writes a report to the store, where the pooling routers read it.
func (r *rollouts) storeEvidence(ctx context.Context, report *rpc.EvidenceReport) error {
	value, err := json.Marshal(decodeEvidence(report))
	if err != nil {
		return trace.Wrap(err)
	}
	key := evidencePrefix + r.edge.settings.VM
	_, err = r.edge.settings.Store.Commit(ctx, Txn{Writes: []Write{{Key: key, Value: value}}})
	return trace.Wrap(err)
}
