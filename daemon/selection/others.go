package selection

import (
	"time"

	"cactusknot.example/daemon/topology"
)

// OthersAge is how long the other routers' work counts after it was reported.
const OthersAge = 1500 * time.Millisecond

// Work is what routers have sent to a backend server and is not finished.
type Work struct {
	InFlight int
	// Reading is the time that prompts without an answer take to read.
	Reading time.Duration
}

// Plus adds work.
func (w Work) Plus(o Work) Work {
	return Work{InFlight: w.InFlight + o.InFlight, Reading: w.Reading + o.Reading}
}

// Own returns this router's work by backend server, without idle ones.
func (c *Chooser) Own() map[string]Work {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := make(map[string]Work)
	for id, s := range c.servers {
		if s.inFlight > 0 {
			own[id] = Work{InFlight: s.inFlight, Reading: s.reading}
		}
	}
	return own
}

// SetOthers replaces the work of the other routers by backend server.
func (c *Chooser) SetOthers(now time.Time, others map[string]Work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others, c.othersAt = others, now
}

// OthersAge returns the age of the other routers' work; ok is false before the
// first report.
func (c *Chooser) OthersAge(now time.Time) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.othersAt), !c.othersAt.IsZero()
}

// Seen is what this router has seen of a backend server.
type Seen struct {
	// InFlight is the number of this router's requests there.
	InFlight int
	// Failures in a row, and for how long the server is avoided because of them.
	Failures int
	Avoided  time.Duration
}

// Seen returns what was seen of a backend server.
func (c *Chooser) Seen(now time.Time, id string) Seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return Seen{}
	}
	return Seen{InFlight: s.inFlight, Failures: s.failures, Avoided: max(s.avoid.Sub(now), 0)}
}

// Backlog returns the time that prompts take to read which all routers have sent to
// the average server.
func (c *Chooser) Backlog(now time.Time, servers []*topology.Server, routers int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	average := c.averageReading(servers, routers)
	var sum time.Duration
	for _, server := range servers {
		sum += c.othersOf(now, server.ID, average).Reading
		if s := c.servers[server.ID]; s != nil {
			sum += s.reading
		}
	}
	return sum / time.Duration(max(len(servers), 1))
}

// othersOf returns the other routers' work at a server. While no report is fresh,
// each of them is assumed to have sent as much as this one to the average server.
func (c *Chooser) othersOf(now time.Time, id string, average time.Duration) Work {
	if now.Sub(c.othersAt) < OthersAge {
		return c.others[id]
	}
	return Work{Reading: average}
}
