package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusknot.example/daemon/dispatch"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/topology"
)

// split chooses the service and the version: by the route's weights and, during
// a roll-out, by a hash of the session, so that a session keeps its version.
func (g *Gateway) split(x *requestState) *result.Error {
	name := pickShare(x.route.Shares)
	x.service = x.view.Config.Services[name]
	if x.service == nil {
		return result.NoBackend.With("service is not configured")
	}
	x.dispatch.RetryPolicy = dispatch.RetryPolicy{
		Idempotent: x.route.MayRepeat(), Resumable: x.route.Resumable,
		MaxAttempts: x.route.MaxAttempts, Deadline: x.deadline,
	}
	x.dispatch.Now = time.Now
	x.dispatch.Budget = g.budgetOf(name)
	x.dispatch.Budget.RecordFirstAttempt(x.began)
	return g.refresh(x)
}

// refresh reads the backend servers that may be used now. Every attempt does so:
// a server may have begun to leave since the request arrived.
func (g *Gateway) refresh(x *requestState) *result.Error {
	x.view = g.View()
	x.dispatch.Routers = len(x.view.Routers)
	name := x.service.Name
	servers := inRegions(x.view.Servers[name], x.route.Regions, x.regions)
	x.candidates = versionServers(servers, x.view.Splits[name], sessionOf(x.call))
	if len(x.candidates) == 0 {
		return result.NoBackend.With("no backend server is available")
	}
	return nil
}

// inRegions returns the servers in a region of each list; an empty list allows all.
func inRegions(servers []*topology.Server, lists ...[]string) []*topology.Server {
	for _, allowed := range lists {
		if len(allowed) == 0 {
			continue
		}
		var kept []*topology.Server
		for _, s := range servers {
			if slices.Contains(allowed, s.Region) {
				kept = append(kept, s)
			}
		}
		servers = kept
	}
	return servers
}

func pickShare(shares []topology.Share) string {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	point := rand.Float64() * total
	for _, s := range shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].Service
}

// sessionOf returns what identifies the session of a call: its name, or the last
// part of its prompt.
func sessionOf(call *Call) string {
	if call.Session != "" {
		return call.Session
	}
	if n := len(call.PartIDs); n > 0 {
		return call.PartIDs[n-1]
	}
	return call.ID
}

// InTarget tells whether a session belongs to the share of a roll-out's target.
// The set of sessions only grows with the share.
func InTarget(target, session string, share float64) bool {
	point := float64(xxhash.Sum64String(target+"/"+session)) / math.MaxUint64
	return point < share
}

// versionServers returns the servers of the version that the session uses. A
// session falls back to the old version where the target has no server; never
// the other way round, which would expose it to an unproven version.
func versionServers(all []*topology.Server, split topology.TrafficSplit, session string) []*topology.Server {
	if split.Target == "" {
		return all
	}
	inTarget := split.Final || InTarget(split.Target, session, split.Share)
	var target, old []*topology.Server
	for _, s := range all {
		if s.Version == split.Target {
			target = append(target, s)
		} else {
			old = append(old, s)
		}
	}
	if inTarget && len(target) > 0 || split.Final {
		return target
	}
	return old
}
