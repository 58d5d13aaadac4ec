package edge

import (
	"maps"
	"sync"
	"time"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/selection"
)

const (
	// paceInterval is the time between exchanges of a router that contain paces. They change
	// slowly, and with many servers they are the longest part of a report.
	paceInterval = 2 * time.Second
	// pooledPaceWeight is the weight of a router's report in the pooled pace of a server.
	pooledPaceWeight = 0.3
	// pooledPaceMaxAge is the age at which the aggregator drops a pace.
	pooledPaceMaxAge = time.Minute
	// minPooledPercent and maxPooledPercent bound the reports that count.
	minPooledPercent = 10
	maxPooledPercent = 1000
	// maxPooledPaces bounds the servers whose pace an aggregator keeps, and
	// maxPaceReceivers the routers of which it remembers when it has sent them.
	maxPooledPaces   = 10_000
	maxPaceReceivers = 2_000
)

// paceExchange is the part of the exchange that concerns the pace of backend servers, for
// routers that have not observed them. It implements exchanged.
type paceExchange struct {
	chooser *selection.Chooser

	mu         sync.Mutex
	reportedAt time.Time
	pooled     map[string]pooledPace
	// sentAt holds when paces were last sent to a router.
	sentAt map[string]time.Time
}

// pooledPace is the pace of a server in percent of its service's average.
type pooledPace struct {
	percent float64
	at      time.Time
}

func newPaceExchange(chooser *selection.Chooser) *paceExchange {
	return &paceExchange{chooser: chooser, pooled: make(map[string]pooledPace), sentAt: make(map[string]time.Time)}
}

func (p *paceExchange) report(now time.Time, out *rpc.LoadReport) {
	p.mu.Lock()
	due := now.Sub(p.reportedAt) >= paceInterval
	if due {
		p.reportedAt = now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	for _, pace := range p.chooser.Paces(now) {
		out.Paces = append(out.Paces, &rpc.ServerPace{Server: pace.ID, Percent: uint32(pace.Percent), AgeMs: uint32(pace.Age.Milliseconds())})
	}
}

func (p *paceExchange) aggregate(now time.Time, in *rpc.LoadReport, out *rpc.LoadReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pace := range in.GetPaces() {
		p.pool(now.Add(-time.Duration(pace.GetAgeMs())*time.Millisecond), pace)
	}
	if now.Sub(p.sentAt[in.GetRouter()]) < paceInterval {
		return
	}
	maps.DeleteFunc(p.sentAt, func(_ string, at time.Time) bool { return now.Sub(at) >= paceInterval })
	if len(p.sentAt) < maxPaceReceivers {
		p.sentAt[in.GetRouter()] = now
	}
	maps.DeleteFunc(p.pooled, func(_ string, pace pooledPace) bool { return now.Sub(pace.at) > pooledPaceMaxAge })
	for id, pace := range p.pooled {
		out.Paces = append(out.Paces, &rpc.ServerPace{
			Server: id, Percent: uint32(pace.percent + 0.5), AgeMs: uint32(max(now.Sub(pace.at), 0).Milliseconds()),
		})
	}
}

// pool adds a report on a server's pace that was observed at the given time.
func (p *paceExchange) pool(at time.Time, in *rpc.ServerPace) {
	if in.GetPercent() < minPooledPercent || in.GetPercent() > maxPooledPercent {
		return
	}
	known, ok := p.pooled[in.GetServer()]
	switch {
	case !ok && len(p.pooled) < maxPooledPaces:
		known = pooledPace{percent: float64(in.GetPercent()), at: at}
	case !ok:
		return
	default:
		known.percent += pooledPaceWeight * (float64(in.GetPercent()) - known.percent)
		if at.After(known.at) {
			known.at = at
		}
	}
	p.pooled[in.GetServer()] = known
}

func (p *paceExchange) apply(now time.Time, in *rpc.LoadReply) {
	if len(in.GetPaces()) == 0 {
		return
	}
	list := make([]selection.ServerPace, 0, len(in.GetPaces()))
	for _, pace := range in.GetPaces() {
		list = append(list, selection.ServerPace{
			ID: pace.GetServer(), Percent: int(pace.GetPercent()), Age: time.Duration(pace.GetAgeMs()) * time.Millisecond,
		})
	}
	p.chooser.LearnPaces(now, list)
}
