package edge

import (
	"maps"
	"sync"
	"time"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/selection"
)

const (
	// loadReportMaxAge is the age at which the aggregator drops a router's report.
	loadReportMaxAge = 2 * time.Second
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

// loadExchange is the part of the exchange that concerns the outstanding work at the
// backend servers. It implements exchanged.
type loadExchange struct{ edge *Edge }

func (l loadExchange) report(_ time.Time, out *rpc.LoadReport) {
	out.Servers = encodeLoad(l.edge.gateway.Chooser.OutstandingWork())
}

func (l loadExchange) aggregate(now time.Time, in *rpc.LoadReport, out *rpc.LoadReply) {
	out.Servers = encodeLoad(l.edge.load.exchange(now, in.GetRouter(), decodeLoad(in.GetServers())))
}

func (l loadExchange) apply(now time.Time, in *rpc.LoadReply) {
	l.edge.gateway.Chooser.SetPeerWork(now, decodeLoad(in.GetServers()))
	l.edge.gateway.WakeWaiting()
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
