package availability

import (
	"time"

	"cactusknot.example/daemon/topology"
)

const (
	// rampTime is how long after a pause the number of requests is limited.
	rampTime = 5 * time.Second
	// rampStart is the number of requests that may be sent at the end of a pause. Each answer
	// allows rampStep more, so that the requests in progress double with each round trip.
	rampStart = 1
	rampStep  = 2
)

// ramp limits the requests to a server after the end of a pause: the server may still be short
// of resources, and all routers come back.
type ramp struct {
	// since is the end of the pause.
	since time.Time
	// sent is the number of requests since then, and allowed its limit.
	sent, allowed int
}

// allows reports whether a request may be sent after the latest pause of the server.
func (r *ramp) allows(now time.Time, server *topology.Server, p *Pause) bool {
	if now.Sub(p.until) >= rampTime || !p.applies(server) {
		return true
	}
	if r.since != p.until {
		*r = ramp{since: p.until, allowed: rampStart}
	}
	return r.sent < r.allowed
}

func (r *ramp) answered() { r.allowed += rampStep }
