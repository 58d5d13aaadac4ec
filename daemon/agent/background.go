package agent

import (
	"context"
	"errors"
	"time"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

const (
	requestIDBytes = 16
	// probeInterval is the mean time between two probes of the backend server.
	probeInterval = 500 * time.Millisecond
	// deliverAfter is the age from which the agent delivers a charge itself; until
	// then the router of the request is expected to deliver it.
	deliverAfter = 15 * time.Second
	// deliverInterval is the mean time between two deliveries.
	deliverInterval = 2 * time.Second
	// handOverInterval is the time between two attempts to hand charges over during
	// a graceful shutdown.
	handOverInterval = 200 * time.Millisecond
	// viewGrace is how long a request that passed the checks under the previous view
	// may take to reach the backend server.
	viewGrace = 2 * time.Second
	// maxDeliverLines limits the number of lines in one delivery.
	maxDeliverLines = 500
)

// probeLoop polls the backend server to detect starts, stops and changes of the
// loaded versions.
func (a *Agent) probeLoop(ctx context.Context) {
	random := node.NewRand()
	var last probeReport
	for {
		last = a.probeOnce(ctx, last)
		if a.Clock.Sleep(ctx, node.Jitter(random, probeInterval)) != nil {
			return
		}
	}
}

func (a *Agent) probeOnce(ctx context.Context, last probeReport) probeReport {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := a.backend.probe(bounded)
	if err != nil {
		var refusal *result.Error
		if errors.As(err, &refusal) && refusal.Code == result.BackendDown {
			a.admission.SetDown(true)
		}
		return last
	}
	a.admission.SetDown(false)
	if last.epoch != 0 && report.epoch != last.epoch {
		a.Log.Info().Uint64("epoch", report.epoch).Msg("backend server restarted")
		a.backend.clearPrefixes()
		a.forgetAnnouncements()
		a.admission.ReportColdStart(limit.ColdRestarted)
	}
	if len(report.loaded) != len(last.loaded) || !sameNames(report.loaded, last.loaded) {
		a.requestPublish()
	}
	return report
}

func sameNames(a, b []string) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// chargeLine returns the charge of a finished request.
func (e *execution) chargeLine(r reply) ledger.Line {
	return ledger.Line{
		RequestID:     [requestIDBytes]byte(e.in.GetRequestId()),
		Step:          e.in.GetStep(),
		Attempt:       e.in.GetAttempt(),
		Workspace:     e.in.GetWorkspace(),
		Model:         e.in.GetModel() + e.in.GetService(),
		Version:       e.in.GetVersion(),
		TokensIn:      r.tokensIn,
		TokensOut:     r.tokensOut,
		AmountMicros:  e.view.price(e.in, r.tokensIn, r.tokensOut),
		BundleVersion: e.view.version(),
		CompletedMS:   e.agent.Clock.Now().UnixMilli(),
	}
}

func chargeToProto(l ledger.Line) *rpc.ChargeLine { return node.ChargeLineToProto(l) }

// deliverChargesLoop sends charges that no router has delivered to a collector.
func (a *Agent) deliverChargesLoop(ctx context.Context) {
	random := node.NewRand()
	for {
		a.DeliverPending(ctx, a.charges, deliverAfter, maxDeliverLines)
		if a.Clock.Sleep(ctx, node.Jitter(random, deliverInterval)) != nil {
			return
		}
	}
}

// handOverCharges blocks until every charge is stored or held by a router. It also hands over the
// stored charges that are kept.
func (a *Agent) handOverCharges() {
	ctx := context.Background()
	for !a.HandOver(ctx, a.charges, maxDeliverLines) {
		if a.Clock.Sleep(ctx, handOverInterval) != nil {
			return
		}
	}
	a.HandOverKept(ctx, a.charges, maxDeliverLines, handOverInterval)
}
