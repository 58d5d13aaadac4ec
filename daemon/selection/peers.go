package selection

import (
	"time"

	"cactusknot.example/daemon/serverlimit"
	"cactusknot.example/daemon/topology"
)

// MaxPeerWorkAge is how long a report of the other routers' outstanding work is used.
const MaxPeerWorkAge = 1500 * time.Millisecond

// OutstandingWork describes the unfinished requests that routers have sent to a
// backend server.
type OutstandingWork struct {
	InFlight int
	// PrefillTime is the estimated time to process the prompts of requests whose first
	// byte has not arrived.
	PrefillTime time.Duration
}

// Add returns the sum of w and o.
func (w OutstandingWork) Add(o OutstandingWork) OutstandingWork {
	return OutstandingWork{InFlight: w.InFlight + o.InFlight, PrefillTime: w.PrefillTime + o.PrefillTime}
}

// Sub returns the difference of w and o.
func (w OutstandingWork) Sub(o OutstandingWork) OutstandingWork {
	return OutstandingWork{InFlight: w.InFlight - o.InFlight, PrefillTime: w.PrefillTime - o.PrefillTime}
}

// OutstandingWork returns this router's outstanding work by the ID of the backend
// server. Servers without requests of this router are left out.
func (c *Chooser) OutstandingWork() map[string]OutstandingWork {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := make(map[string]OutstandingWork)
	for id, s := range c.servers {
		if s.inFlight > 0 {
			own[id] = OutstandingWork{InFlight: s.inFlight, PrefillTime: s.pendingPrefill}
		}
	}
	return own
}

// InFlight returns the unfinished requests of all routers by the ID of the backend server. ok is
// false without a recent report of the other routers.
func (c *Chooser) InFlight(now time.Time) (requests map[string]int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.peerWorkAt) >= MaxPeerWorkAge {
		return nil, false
	}
	requests = make(map[string]int, len(c.peerWork))
	for id, work := range c.peerWork {
		requests[id] = work.InFlight
	}
	for id, s := range c.servers {
		if s.inFlight > 0 {
			requests[id] += s.inFlight
		}
	}
	return requests, true
}

// Busy reports whether a request of this router is unfinished or has wanted a server with
// a rate limit since the last exchange.
func (c *Chooser) Busy() bool {
	if c.Limits.Asked() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s.inFlight > 0 {
			return true
		}
	}
	return false
}

// SetPeerWork replaces the outstanding work of the other routers, by the ID of the
// backend server.
func (c *Chooser) SetPeerWork(now time.Time, work map[string]OutstandingWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerWork, c.peerWorkAt = work, now
}

// PeerWorkAge returns the age of the latest report of the other routers' work. ok is
// false before the first report.
func (c *Chooser) PeerWorkAge(now time.Time) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.peerWorkAt), !c.peerWorkAt.IsZero()
}

// ServerStats is what this router has observed of a backend server.
type ServerStats struct {
	// InFlight is the number of this router's unfinished requests to the server.
	InFlight int
	// Failures counts consecutive failures. AvoidedFor is how much longer the server
	// is avoided because of them.
	Failures   int
	AvoidedFor time.Duration
	// Violation names the latest violation of the protocol, which was ViolationAge ago;
	// it is empty if there was none.
	Violation    string
	ViolationAge time.Duration
}

// ServerStats returns what was observed of the backend server with the ID.
func (c *Chooser) ServerStats(now time.Time, id string) ServerStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return ServerStats{}
	}
	stats := ServerStats{InFlight: s.inFlight, Failures: s.availability.Failures(), AvoidedFor: s.availability.AvoidedFor(now)}
	if s.violation != "" {
		stats.Violation, stats.ViolationAge = s.violation, now.Sub(s.violationAt)
	}
	return stats
}

// Backlog returns the mean time per server to process the prompts that all routers
// have sent and whose first byte has not arrived. Servers that pause, or whose rate limit allows no
// request, are no capacity and left out.
func (c *Chooser) Backlog(now time.Time, servers []*topology.Server, routers int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	assumed := c.assumedPeerPrefill(servers, routers)
	var sum time.Duration
	open := 0
	for _, server := range servers {
		if c.Limits.State(now, server.ID) == serverlimit.Closed || c.Announcements.Of(server.ID).PausedFor(now, server) > 0 {
			continue
		}
		open++
		sum += c.peerWorkOf(now, server.ID, assumed).PrefillTime
		if s := c.servers[server.ID]; s != nil {
			sum += s.pendingPrefill
		}
	}
	return sum / time.Duration(max(open, 1))
}

// peerWorkOf returns the other routers' work at a server. Without a recent report it
// falls back to the assumed prefill time; see assumedPeerPrefill.
func (c *Chooser) peerWorkOf(now time.Time, id string, assumed time.Duration) OutstandingWork {
	if now.Sub(c.peerWorkAt) < MaxPeerWorkAge {
		return c.peerWork[id]
	}
	return OutstandingWork{PrefillTime: assumed}
}
