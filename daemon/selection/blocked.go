package selection

import (
	"fmt"
	"strings"
	"time"

	"cactusknot.example/daemon/availability"
	"cactusknot.example/daemon/topology"
)

// query returns what the availability of servers for the request depends on.
func (r *Request) query(now time.Time) availability.Query {
	return availability.Query{Now: now, ColdRateLimit: r.ColdRateLimit, Self: r.Self, Routers: r.Routers}
}

// MaySend reports whether the server has announced nothing since it was chosen that forbids the
// request.
func (c *Choice) MaySend(now time.Time) bool {
	announced := c.chooser.Announcements.Of(c.Server.ID)
	return !announced.Leaving(c.Server) && announced.PausedFor(now, c.Server) == 0
}

// Blockage is why no server may take a request.
type Blockage struct {
	// tried counts the servers that the request has been sent to, and open those of them that
	// other requests may be sent to.
	tried, open int
	// reasons counts the other servers by the reason.
	reasons [availability.ReasonCount]int
	// pausedFor is the time until the first pause of a server ends.
	pausedFor time.Duration
}

// Blockage returns why no candidate may take the request now.
func (c *Chooser) Blockage(now time.Time, candidates []*topology.Server, r Request) Blockage {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b Blockage
	query := r.query(now)
	for _, server := range candidates {
		query.Server, query.Announced, query.Limit = server, c.Announcements.Of(server.ID), c.Limits.State(now, server.ID)
		reason := c.serverState(server.ID).availability.Check(&query)
		if left := query.Announced.PausedFor(now, server); left > 0 && (b.pausedFor == 0 || left < b.pausedFor) {
			b.pausedFor = left
		}
		if !r.Excluded[server.ID] {
			b.reasons[reason]++
			continue
		}
		b.tried++
		if !reason.Blocks() {
			b.open++
		}
	}
	return b
}

// Pause returns the time until the first pause ends, if servers pause and no other may take the
// request.
func (b Blockage) Pause() (left time.Duration, ok bool) {
	untried := 0
	for _, n := range b.reasons {
		untried += n
	}
	if b.pausedFor == 0 || b.reasons[availability.Paused]+b.reasons[availability.Leaving] != untried {
		return 0, false
	}
	return b.pausedFor, true
}

// OpenToOthers reports whether another request may be sent at once to a server that this one has
// tried.
func (b Blockage) OpenToOthers() bool { return b.open > 0 }

// String lists the reasons with the number of servers.
func (b Blockage) String() string {
	var list []string
	for reason, n := range b.reasons {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, availability.Reason(reason)))
		}
	}
	if b.tried > 0 {
		list = append(list, fmt.Sprintf("%d tried", b.tried))
	}
	return strings.Join(list, ", ")
}
