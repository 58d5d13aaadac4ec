package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/selection"
)

const (
	// loadInterval is the time between load exchanges.
	loadInterval = 200 * time.Millisecond
	// idleLoadInterval is the time between load exchanges of a router that has reported
	// itself idle. It is shorter than the validity of the other routers' load, so that
	// the load is known for the first request after an idle period.
	idleLoadInterval = time.Second
	// loadReportMaxAge is the age at which the aggregator drops a router's report.
	loadReportMaxAge = 2 * time.Second
	// loadExchangeTimeout limits one exchange; a later reply would be stale.
	loadExchangeTimeout = 300 * time.Millisecond
	// loadAggregatorCount is the number of routers that may aggregate the load. The first of them that responds is used.
	loadAggregatorCount = 2
)

// loadAggregator sums the load reports of the routers. An exchange costs as much as the
// report and the sum are long, however many routers there are.
type loadAggregator struct {
	mu      sync.Mutex
	reports map[string]loadReport
	// total is the sum of all reports; servers without work are left out.
	total map[string]selection.OutstandingWork
	// expiredAt is when outdated reports were last removed.
	expiredAt time.Time
}

type loadReport struct {
	at      time.Time
	servers map[string]selection.OutstandingWork
}

// exchange stores the report of a router and returns the total load of the others.
func (l *loadAggregator) exchange(now time.Time, router string, servers map[string]selection.OutstandingWork) map[string]selection.OutstandingWork {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports, l.total = make(map[string]loadReport), make(map[string]selection.OutstandingWork)
	}
	l.expire(now)
	l.remove(router)
	others := maps.Clone(l.total)
	l.reports[router] = loadReport{at: now, servers: servers}
	for id, work := range servers {
		l.total[id] = l.total[id].Add(work)
	}
	return others
}

// expire removes the outdated reports.
func (l *loadAggregator) expire(now time.Time) {
	if now.Sub(l.expiredAt) < loadInterval {
		return
	}
	l.expiredAt = now
	for router, report := range l.reports {
		if now.Sub(report.at) > loadReportMaxAge {
			l.remove(router)
		}
	}
}

// remove removes the report of a router.
func (l *loadAggregator) remove(router string) {
	for id, work := range l.reports[router].servers {
		rest := l.total[id].Sub(work)
		if rest == (selection.OutstandingWork{}) {
			delete(l.total, id)
			continue
		}
		l.total[id] = rest
	}
	delete(l.reports, router)
}

// ExchangeLoad implements rpc.EdgePeer. It returns the load of the other routers.
func (p peerServer) ExchangeLoad(_ context.Context, in *rpc.LoadReport) (*rpc.LoadReply, error) {
	sum := p.edge.load.exchange(time.Now(), in.GetRouter(), decodeLoad(in.GetServers()))
	return &rpc.LoadReply{Servers: encodeLoad(sum)}, nil
}

func decodeLoad(servers []*rpc.ServerLoad) map[string]selection.OutstandingWork {
	load := make(map[string]selection.OutstandingWork, len(servers))
	for _, s := range servers {
		load[s.GetServer()] = selection.OutstandingWork{
			InFlight: int(s.GetInFlight()), PrefillTime: time.Duration(s.GetReadingMs()) * time.Millisecond,
		}
	}
	return load
}

func encodeLoad(load map[string]selection.OutstandingWork) []*rpc.ServerLoad {
	servers := make([]*rpc.ServerLoad, 0, len(load))
	for id, work := range load {
		servers = append(servers, &rpc.ServerLoad{
			Server: id, InFlight: uint32(work.InFlight), ReadingMs: uint32(work.PrefillTime.Milliseconds()),
		})
	}
	return servers
}

// exchangeLoad periodically reports this router's load to one aggregator and receives
// the load of the other routers. While no aggregator responds, servers are chosen by
// this router's own load alone.
func (e *Edge) exchangeLoad(ctx context.Context) {
	var schedule loadSchedule
	for ctx.Err() == nil {
		sleep(ctx, loadInterval)
		own := e.gateway.Chooser.OutstandingWork()
		if !schedule.due(time.Now(), len(own) > 0) {
			continue
		}
		for _, address := range e.controller.loadAggregatorAddresses() {
			if e.exchangeWith(ctx, address, own) {
				break
			}
		}
	}
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
func (e *Edge) exchangeWith(ctx context.Context, address string, own map[string]selection.OutstandingWork) bool {
	if address == "" {
		now := time.Now()
		e.gateway.Chooser.SetPeerWork(now, e.load.exchange(now, e.settings.VM, own))
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, loadExchangeTimeout)
	defer cancel()
	reply, err := e.peerClient(address).ExchangeLoad(ctx, &rpc.LoadReport{Router: e.settings.VM, Servers: encodeLoad(own)})
	if err != nil {
		e.log.Debug().Err(err).Str("peer", address).Msg("load exchange with peer failed")
		return false
	}
	e.gateway.Chooser.SetPeerWork(time.Now(), decodeLoad(reply.GetServers()))
	return true
}
