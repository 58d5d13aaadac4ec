package edge

import (
	"context"
	"sync"
	"time"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/selection"
)

const (
	// loadInterval is the pause between exchanges of load.
	loadInterval = 200 * time.Millisecond
	// idleLoadInterval is the same for a router without work that has said so. It is
	// shorter than the time that the others' sum counts, so that the first request
	// after a pause finds it.
	idleLoadInterval = time.Second
	// loadAge is how long a router's report counts at the router that sums them.
	loadAge = 2 * time.Second
	// loadTimeout bounds one exchange; later it would be stale.
	loadTimeout = 300 * time.Millisecond
	// summers is the number of routers, the first ones by name, of which the first
	// that answers sums up the load.
	summers = 2
)

// loadSums collects the routers' reports of their work.
type loadSums struct {
	mu      sync.Mutex
	reports map[string]loadReport
}

type loadReport struct {
	at      time.Time
	servers map[string]selection.OutstandingWork
}

// exchange takes a router's report and returns the sum of the others.
func (l *loadSums) exchange(now time.Time, router string, servers map[string]selection.OutstandingWork) map[string]selection.OutstandingWork {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = make(map[string]loadReport)
	}
	l.reports[router] = loadReport{at: now, servers: servers}
	sum := make(map[string]selection.OutstandingWork)
	for name, report := range l.reports {
		if now.Sub(report.at) > loadAge {
			delete(l.reports, name)
			continue
		}
		if name == router {
			continue
		}
		for id, work := range report.servers {
			sum[id] = sum[id].Add(work)
		}
	}
	return sum
}

// ExchangeLoad sums up the load for a peer.
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

// exchangeLoad tells one router of this one's work and learns that of the others.
// While no router answers, choices rest on this router's own work.
func (e *Edge) exchangeLoad(ctx context.Context) {
	var pace loadPace
	for ctx.Err() == nil {
		sleep(ctx, loadInterval)
		own := e.gateway.Chooser.OutstandingWork()
		if !pace.due(time.Now(), len(own) > 0) {
			continue
		}
		for _, address := range e.control.summers() {
			if e.exchangeWith(ctx, address, own) {
				break
			}
		}
	}
}

// loadPace decides when a router exchanges its load.
type loadPace struct {
	at   time.Time
	idle bool
}

// due tells whether an exchange is due, and records it. A router that has become
// idle says so at once.
func (p *loadPace) due(now time.Time, busy bool) bool {
	if !busy && p.idle && now.Sub(p.at) < idleLoadInterval {
		return false
	}
	p.at, p.idle = now, !busy
	return true
}

// exchangeWith makes one exchange; the empty address is this process.
func (e *Edge) exchangeWith(ctx context.Context, address string, own map[string]selection.OutstandingWork) bool {
	if address == "" {
		now := time.Now()
		e.gateway.Chooser.SetPeerWork(now, e.load.exchange(now, e.settings.VM, own))
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	reply, err := e.peerClient(address).ExchangeLoad(ctx, &rpc.LoadReport{Router: e.settings.VM, Servers: encodeLoad(own)})
	if err != nil {
		e.log.Debug().Err(err).Str("peer", address).Msg("load not exchanged")
		return false
	}
	e.gateway.Chooser.SetPeerWork(time.Now(), decodeLoad(reply.GetServers()))
	return true
}
