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

// chooseService chooses the service by the route's weights and finds the servers of the
// session's version.
func (g *Gateway) chooseService(x *requestState) *result.Error {
	name := pickWeightedService(x.route.Shares)
	x.service = x.view.Config.Services[name]
	if x.service == nil {
		return result.NoBackend.With("service is not configured")
	}
	x.dispatch.RetryPolicy = dispatch.RetryPolicy{
		Idempotent: x.route.MayRepeat(), Resumable: x.route.Resumable,
		MaxAttempts: x.route.MaxAttempts, Deadline: x.deadline,
	}
	x.dispatch.Now = time.Now
	x.dispatch.Budget = g.retryBudget(name)
	x.dispatch.Budget.RecordFirstAttempt(x.startedAt)
	return g.refreshCandidates(x)
}

// refreshCandidates updates the backend servers that the request may use. Each attempt
// calls it, because a server may have started draining since the request arrived.
func (g *Gateway) refreshCandidates(x *requestState) *result.Error {
	x.view = g.View()
	x.dispatch.Routers = len(x.view.Routers)
	name := x.service.Name
	servers := serversInRegions(x.view.Servers[name], x.route.Regions, x.regions)
	x.candidates = serversForSession(servers, x.view.Splits[name], sessionKey(x.call))
	if len(x.candidates) == 0 {
		return result.NoBackend.With("no backend server is available")
	}
	return nil
}

// serversInRegions returns the servers whose region is in each of the lists; an empty
// list allows all regions.
func serversInRegions(servers []*topology.Server, lists ...[]string) []*topology.Server {
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

// pickWeightedService picks a service at random in proportion to the weights.
func pickWeightedService(shares []topology.Share) string {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	remaining := rand.Float64() * total
	for _, s := range shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].Service
}

// sessionKey returns what identifies the session of a call: its session ID, else the
// last part of its prompt, else its attempt ID.
func sessionKey(call *Call) string {
	if call.Session != "" {
		return call.Session
	}
	if n := len(call.PartIDs); n > 0 {
		return call.PartIDs[n-1]
	}
	return call.ID
}

// InRolloutShare reports whether a session belongs to the share of sessions that a
// rollout sends to its target version. It hashes the session, so a session in the
// share stays in it as the share grows.
func InRolloutShare(target, session string, share float64) bool {
	fraction := float64(xxhash.Sum64String(target+"/"+session)) / math.MaxUint64
	return fraction < share
}

// serversForSession returns the servers of the version that the session uses. A session
// in the target's share falls back to the old version if the target has no server; the
// reverse would expose a session to an unproven version.
func serversForSession(all []*topology.Server, split topology.TrafficSplit, session string) []*topology.Server {
	if split.Target == "" {
		return all
	}
	inTarget := split.Final || InRolloutShare(split.Target, session, split.Share)
	var target, old []*topology.Server
	for _, s := range all {
		switch {
		case s.Version == split.Target:
			target = append(target, s)
		case !slices.Contains(split.Rejected, s.Version):
			old = append(old, s)
		}
	}
	if inTarget && len(target) > 0 || split.Final {
		return target
	}
	return old
}
