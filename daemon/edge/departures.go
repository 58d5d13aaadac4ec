package edge

import (
	"sync"
	"time"

	"cactusknot.example/daemon/availability"
	"cactusknot.example/daemon/rpc"
)

const (
	// departuresInterval is the time between exchanges of a router that contain all departures
	// that it knows, so that a router that has missed one learns it.
	departuresInterval = 2 * time.Second
	// recentDeparture is the age up to which a departure is part of each exchange. It exceeds the
	// time between two exchanges of an idle router.
	recentDeparture = 1200 * time.Millisecond
	// maxDepartureReceivers bounds the routers of which an aggregator remembers when it has sent
	// them all departures.
	maxDepartureReceivers = 2_000
)

// departureExchange is the part of the exchange that concerns the backend servers that have
// announced that they leave. It implements exchanged.
type departureExchange struct {
	edge *Edge

	mu         sync.Mutex
	reportedAt time.Time
	// sentAt holds when all departures were last sent to a router.
	sentAt map[string]time.Time
}

func (d *departureExchange) announcements() *availability.Announcements {
	return d.edge.gateway.Chooser.Announcements
}

func (d *departureExchange) report(now time.Time, out *rpc.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := now.Sub(d.reportedAt) >= departuresInterval
	if all {
		d.reportedAt = now
	}
	out.Departures = d.encode(now, all)
}

func (d *departureExchange) aggregate(now time.Time, in *rpc.LoadReport, out *rpc.LoadReply) {
	d.learn(now, in.GetDepartures())
	d.mu.Lock()
	defer d.mu.Unlock()
	all := now.Sub(d.sentAt[in.GetRouter()]) >= departuresInterval
	if all {
		d.recordSent(now, in.GetRouter())
	}
	out.Departures = d.encode(now, all)
}

// recordSent records that a router gets all departures. The caller holds the lock.
func (d *departureExchange) recordSent(now time.Time, router string) {
	if d.sentAt == nil || len(d.sentAt) >= maxDepartureReceivers {
		d.sentAt = make(map[string]time.Time)
	}
	d.sentAt[router] = now
}

func (d *departureExchange) apply(now time.Time, in *rpc.LoadReply) { d.learn(now, in.GetDepartures()) }

// learn takes over what another router has heard.
func (d *departureExchange) learn(now time.Time, list []*rpc.ServerDeparture) {
	departures := make([]availability.Departure, 0, len(list))
	for _, in := range list {
		departures = append(departures, availability.Departure{
			Server: in.GetServer(), LastStartMS: in.GetLastStartMs(), Withdrawn: in.GetWithdrawn(), Source: availability.PeerSource,
			FirstAt: timeAgo(now, in.GetFirstAgeMs()), HeardAt: timeAgo(now, in.GetAgeMs()),
		})
	}
	for _, learned := range d.announcements().Learn(departures) {
		d.edge.log.Info().Str("server", learned.Server).Bool("withdrawn", learned.Withdrawn).Dur("age_ms", now.Sub(learned.HeardAt)).
			Msg("announcement of backend server heard from a peer")
	}
}

// encode returns the departures that are to be sent.
func (d *departureExchange) encode(now time.Time, all bool) []*rpc.ServerDeparture {
	within := recentDeparture
	if all {
		within = availability.DepartureTTL
	}
	var list []*rpc.ServerDeparture
	for _, departure := range d.announcements().Departures(now, within) {
		list = append(list, &rpc.ServerDeparture{
			Server: departure.Server, LastStartMs: departure.LastStartMS, Withdrawn: departure.Withdrawn,
			FirstAgeMs: ageMS(now, departure.FirstAt), AgeMs: ageMS(now, departure.HeardAt),
		})
	}
	return list
}
