// Package availability decides whether a backend server may get a request of this router, and
// why not. It knows what the server has announced about itself, the rate limits, and what this
// router has observed. It needs no network; all methods that depend on the time take it as an
// argument.
package availability

import (
	"time"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/serverlimit"
	"cactusknot.example/daemon/topology"
)

const (
	// coldRateWindow is the window in which requests to a cold server are counted.
	coldRateWindow = time.Second
	// coldMargin is the fraction of the cold rate limit that is left unused; see
	// limit.PerMemberLimit.
	coldMargin = 0.15
	// warmShareFactor times its share of the cold rate limit is what a router may send
	// to a server that is not known to be cold, since it may have restarted without the
	// routers knowing yet. The factor may exceed 1 because routers seldom use their whole
	// shares of one server in the same second.
	warmShareFactor = 2
	// coldAfterDisconnect is how long a server is treated as cold after a broken
	// connection, which may mean that it has restarted.
	coldAfterDisconnect = 4 * time.Second
	// minAvoidance and MaxAvoidance bound how long a server is avoided after
	// consecutive failures. The time doubles with each failure.
	minAvoidance = 400 * time.Millisecond
	MaxAvoidance = 5 * time.Second
	// maxDoublings bounds the doublings of the avoidance.
	maxDoublings = 6
)

// Reason is why a server may not get a request.
type Reason uint8

// Reasons, in the order in which they are checked.
const (
	// Available: the server may get the request.
	Available Reason = iota
	// Leaving: the server has announced that it leaves.
	Leaving
	// Paused: the server has asked this router for no requests for a time.
	Paused
	// Resuming: a pause has ended, and the requests since have not been answered yet.
	Resuming
	// Cold: the rate limit of a cold server, or of one that may be cold, is used up.
	Cold
	// Limited: the router has no token for the rate limit that the server names.
	Limited
	// Avoided: the server has failed. It may get the request if there is no better one.
	Avoided

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{"available", "leaving", "paused", "resuming", "cold", "limited", "avoided"}

// String returns the name that log lines, metrics and the state use.
func (r Reason) String() string { return reasonNames[r] }

// Blocks reports whether a server may not get a request for this reason.
func (r Reason) Blocks() bool { return r != Available && r != Avoided }

// Query describes a request to a server.
type Query struct {
	Now    time.Time
	Server *topology.Server
	// Announced is what the server has announced; nil for nothing.
	Announced *Announced
	// ColdRateLimit bounds the requests per second that all routers together send to a
	// cold server; 0 means no limit.
	ColdRateLimit float64
	// Self is the name of this router. Routers names all routers that share the limit.
	Self    string
	Routers []string
	// Limit is the state of the rate limit that the server names.
	Limit serverlimit.State
}

// Server is what this router has observed of the availability of a backend server. It is not
// safe for concurrent use.
type Server struct {
	// sent counts the requests in the last coldRateWindow.
	sent *limit.SlidingWindow
	// failures is the number of consecutive failures.
	failures   int
	avoidUntil time.Time
	// coldUntil is set after a broken connection: until then the server may be cold.
	coldUntil time.Time
	ramp      ramp
}

// New returns a Server without observations.
func New() Server { return Server{sent: limit.NewSlidingWindow(coldRateWindow)} }

// Check tells whether the server may get a request, and why not.
func (s *Server) Check(q *Query) Reason {
	if q.Announced != nil {
		if reason := s.checkAnnounced(q); reason != Available {
			return reason
		}
	}
	switch {
	case q.ColdRateLimit != 0 && !s.withinColdLimit(q):
		return Cold
	case q.Limit == serverlimit.Closed:
		return Limited
	case s.Avoided(q.Now):
		return Avoided
	}
	return Available
}

// checkAnnounced is the part of Check that concerns what the server has announced.
func (s *Server) checkAnnounced(q *Query) Reason {
	switch {
	case q.Announced.Leaving(q.Server):
		return Leaving
	case q.Announced.PausedFor(q.Now, q.Server) > 0:
		return Paused
	case !s.ramp.allows(q.Now, q.Server, &q.Announced.Pause):
		return Resuming
	}
	return Available
}

// withinColdLimit tells whether the cold rate limit allows another request of this
// router to the server. With more routers than requests per second, only the routers
// with the lowest rendezvous ranks use a cold server.
func (s *Server) withinColdLimit(q *Query) bool {
	share := limit.PerMemberLimit(q.ColdRateLimit, coldMargin, len(q.Routers))
	if q.Now.After(q.Server.ColdUntil) && q.Now.After(s.coldUntil) {
		return s.sent.Count(q.Now) < max(warmShareFactor*share, warmShareFactor)
	}
	if s.sent.Count(q.Now) >= share {
		return false
	}
	users := limit.PerMemberLimit(q.ColdRateLimit, coldMargin, 1)
	return len(q.Routers) <= users || balance.Rank(q.Self, q.Routers, q.Server.ID) < users
}

// RecordSent records that a request is sent to the server.
func (s *Server) RecordSent(now time.Time) {
	s.sent.Count(now)
	s.sent.Add(now)
	s.ramp.sent++
}

// RecordAnswer records that the server has begun to answer a request.
func (s *Server) RecordAnswer() { s.ramp.answered() }

// RecordSuccess records a complete answer.
func (s *Server) RecordSuccess() { s.failures, s.avoidUntil = 0, time.Time{} }

// RecordRefusal records that the server did not take a request.
func (s *Server) RecordRefusal(now time.Time) {
	s.avoidUntil = now.Add(min(MaxAvoidance, minAvoidance<<min(s.failures, maxDoublings)))
	s.failures++
}

// RecordUnreachable records that no connection could be opened, or that one broke.
func (s *Server) RecordUnreachable(now time.Time) {
	s.RecordRefusal(now)
	s.coldUntil = now.Add(coldAfterDisconnect)
}

// Avoided reports whether the server is avoided because of its failures.
func (s *Server) Avoided(now time.Time) bool { return now.Before(s.avoidUntil) }

// AvoidedFor returns how much longer that is so.
func (s *Server) AvoidedFor(now time.Time) time.Duration { return max(s.avoidUntil.Sub(now), 0) }

// Failures returns the number of consecutive failures.
func (s *Server) Failures() int { return s.failures }
