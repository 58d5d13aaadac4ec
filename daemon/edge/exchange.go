package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

const (
	// loadInterval is the time between exchanges.
	loadInterval = 200 * time.Millisecond
	// idleLoadInterval is the time between exchanges of a router that has reported
	// itself idle. It is shorter than the validity of the other routers' load, so that
	// the load is known for the first request after an idle period.
	idleLoadInterval = time.Second
	// loadExchangeTimeout is how long an aggregator may be silent in an exchange, and
	// maxLoadExchange bounds the exchange in sum; a later reply would be stale.
	loadExchangeTimeout = 300 * time.Millisecond
	maxLoadExchange     = time.Second
	// aggregatorAvoidance is how long an aggregator that has not answered is asked last.
	aggregatorAvoidance = 2 * time.Second
)

var loadExchangeLimits = transfer.Limits{Answer: loadExchangeTimeout, Silence: loadExchangeTimeout, Total: maxLoadExchange}

// exchanged is one kind of facts that the routers exchange. Each router sends what it has
// observed to an aggregator, which answers with what all routers together know. A report
// states everything that still holds, so that any router can take over as aggregator.
type exchanged interface {
	// report adds what this router has observed.
	report(now time.Time, out *rpc.LoadReport)
	// aggregate merges the report of a router at the aggregator and adds what that router
	// needs to know to the reply.
	aggregate(now time.Time, in *rpc.LoadReport, out *rpc.LoadReply)
	// apply takes over a reply.
	apply(now time.Time, in *rpc.LoadReply)
}

// isolated is an exchanged kind of facts that a router also evaluates on its own while no
// aggregator answers.
type isolated interface {
	exchanged
	// evaluateAlone decides by this router's own report.
	evaluateAlone(now time.Time, own *rpc.LoadReport)
}

// ExchangeLoad implements rpc.EdgePeer.
func (p peerServer) ExchangeLoad(_ context.Context, in *rpc.LoadReport) (*rpc.LoadReply, error) {
	return p.edge.aggregate(time.Now(), in), nil
}

// aggregate merges a report and returns the reply to its router.
func (e *Edge) aggregate(now time.Time, in *rpc.LoadReport) *rpc.LoadReply {
	out := &rpc.LoadReply{}
	if in.GetRouter() == "" {
		// A report of usage alone, from a router that exchanges the other facts elsewhere.
		e.duties.usage.aggregate(now, in, out)
		return out
	}
	for _, facts := range e.exchanged {
		facts.aggregate(now, in, out)
	}
	return out
}

// exchangeFacts periodically reports what this router has observed to one aggregator and
// receives what the other routers know. While no aggregator responds, this router goes by
// its own observations.
func (e *Edge) exchangeFacts(ctx context.Context) {
	var schedule loadSchedule
	failures := make(aggregatorFailures)
	for ctx.Err() == nil {
		news := e.waitForExchange(ctx)
		now := time.Now()
		if schedule.due(now, news || e.gateway.Chooser.Busy() || e.gateway.HasWaiting()) {
			e.exchangeOnce(ctx, e.report(now), failures)
		}
	}
}

// waitForExchange waits for the next exchange. It ends early, and reports so, when the store has a
// new era or a backend server leaves, which the other routers are to hear of at once.
func (e *Edge) waitForExchange(ctx context.Context) (news bool) {
	timer := time.NewTimer(loadInterval)
	defer timer.Stop()
	select {
	case <-e.controller.newerEra():
		return true
	case <-e.controller.departureNews:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// report returns what this router has observed.
func (e *Edge) report(now time.Time) *rpc.LoadReport {
	report := &rpc.LoadReport{Router: e.settings.VM}
	for _, facts := range e.exchanged {
		facts.report(now, report)
	}
	return report
}

// exchangeOnce sends the report to the first aggregator that responds.
func (e *Edge) exchangeOnce(ctx context.Context, report *rpc.LoadReport, failures aggregatorFailures) {
	for _, address := range failures.order(time.Now(), e.controller.loadAggregatorAddresses()) {
		if e.exchangeWith(ctx, address, report) {
			return
		}
		failures[address] = time.Now()
	}
	for _, facts := range e.exchanged {
		if f, ok := facts.(isolated); ok {
			f.evaluateAlone(time.Now(), report)
		}
	}
}

// aggregatorFailures holds when aggregators last did not answer, by address.
type aggregatorFailures map[string]time.Time

// order returns the addresses with those that failed a short time ago at the end, and drops
// the older failures.
func (f aggregatorFailures) order(now time.Time, addresses []string) []string {
	maps.DeleteFunc(f, func(_ string, at time.Time) bool { return now.Sub(at) >= aggregatorAvoidance })
	ordered := slices.Clone(addresses)
	slices.SortStableFunc(ordered, func(a, b string) int { return f[a].Compare(f[b]) })
	return ordered
}

// loadSchedule decides when a router exchanges its load.
type loadSchedule struct {
	lastExchange time.Time
	reportedIdle bool
}

// due reports whether an exchange is due and, if so, records it. A router that has
// become idle reports it at once.
func (s *loadSchedule) due(now time.Time, busy bool) bool {
	if !busy && s.reportedIdle && now.Sub(s.lastExchange) < idleLoadInterval {
		return false
	}
	s.lastExchange, s.reportedIdle = now, !busy
	return true
}

// exchangeWith performs one exchange. The empty address stands for this process.
func (e *Edge) exchangeWith(ctx context.Context, address string, report *rpc.LoadReport) bool {
	if address == "" {
		e.apply(e.aggregate(time.Now(), report))
		return true
	}
	exchange := transfer.New(ctx, loadExchangeLimits)
	defer exchange.Stop()
	reply, err := e.peerClient(address).ExchangeLoad(exchange.Context(), report)
	if err != nil {
		e.log.Debug().Err(err).Str("peer", address).Msg("exchange with peer failed")
		return false
	}
	e.apply(reply)
	return true
}

// apply takes over the reply of an aggregator.
func (e *Edge) apply(reply *rpc.LoadReply) {
	now := time.Now()
	for _, facts := range e.exchanged {
		facts.apply(now, reply)
	}
}
