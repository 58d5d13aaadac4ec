package selection

import (
	"time"

	"cactusknot.example/daemon/topology"
)

// MaxPeerWorkAge is how long the other routers' work counts after it was reported.
const MaxPeerWorkAge = 1500 * time.Millisecond

// OutstandingWork is what routers have sent to a backend server and is not finished.
type OutstandingWork struct {
	InFlight int
	// PrefillTime is the time that prompts without an answer take to read.
	PrefillTime time.Duration
}

// Add adds work.
func (w OutstandingWork) Add(o OutstandingWork) OutstandingWork {
	return OutstandingWork{InFlight: w.InFlight + o.InFlight, PrefillTime: w.PrefillTime + o.PrefillTime}
}

// OutstandingWork returns this router's work by backend server, without idle ones.
func (c *Chooser) OutstandingWork() map[string]OutstandingWork {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := make(map[string]OutstandingWork)
	for id, s := range c.servers {
		if s.inFlight > 0 {
			own[id] = OutstandingWork{InFlight: s.inFlight, PrefillTime: s.reading}
		}
	}
	return own
}

// SetPeerWork replaces the work of the other routers by backend server.
func (c *Chooser) SetPeerWork(now time.Time, others map[string]OutstandingWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others, c.othersAt = others, now
}

// PeerWorkAge returns the age of the other routers' work; ok is false before the
// first report.
func (c *Chooser) PeerWorkAge(now time.Time) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.othersAt), !c.othersAt.IsZero()
}

// ServerStats is what this router has seen of a backend server.
type ServerStats struct {
	// InFlight is the number of this router's requests there.
	InFlight int
	// Failures in a row, and for how long the server is avoided because of them.
	Failures   int
	AvoidedFor time.Duration
}

// ServerStats returns what was seen of a backend server.
func (c *Chooser) ServerStats(now time.Time, id string) ServerStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return ServerStats{}
	}
	return ServerStats{InFlight: s.inFlight, Failures: s.failures, AvoidedFor: max(s.avoid.Sub(now), 0)}
}

// Backlog returns the time that prompts take to read which all routers have sent to
// the average server.
func (c *Chooser) Backlog(now time.Time, servers []*topology.Server, routers int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	average := c.averageReading(servers, routers)
	var sum time.Duration
	for _, server := range servers {
		sum += c.othersOf(now, server.ID, average).PrefillTime
		if s := c.servers[server.ID]; s != nil {
			sum += s.reading
		}
	}
	return sum / time.Duration(max(len(servers), 1))
}

// othersOf returns the other routers' work at a server. While no report is fresh,
// each of them is assumed to have sent as much as this one to the average server.
func (c *Chooser) othersOf(now time.Time, id string, average time.Duration) OutstandingWork {
	if now.Sub(c.othersAt) < MaxPeerWorkAge {
		return c.others[id]
	}
	return OutstandingWork{PrefillTime: average}
}
