package edge

import (
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/topology"
)

const (
	// reregistrationGrace is how long backend servers whose entries expired during a
	// store outage stay in use. Live servers write their entries again within about
	// two seconds.
	reregistrationGrace = 2200 * time.Millisecond
	// coldMargin extends the cold period of a server, because its entry may arrive late.
	coldMargin = time.Second
	// defaultColdStart is the cold period of servers whose service is not configured yet.
	defaultColdStart = 4 * time.Second
	// maxColdFactor times the cold start time of its service is the longest cold period that a
	// server may state, and maxUnconfiguredCold the same for a service without one.
	maxColdFactor       = 2
	maxUnconfiguredCold = time.Minute
)

// serverState is a backend server with its bookkeeping.
type serverState struct {
	*topology.Server
	// removeAfter is when a server whose entry expired is removed; zero for others.
	removeAfter time.Time
	// changedAt is when this process last saw its entry change.
	changedAt time.Time
}

// mergeServer takes over the entry of a backend server. restored is set if it may be older
// than what this router knows.
func (c *controller) mergeServer(server *topology.Server, err error, e kv.Entry, restored bool) {
	if err != nil {
		c.edge.log.Warn().Err(err).Str("key", e.Key).Msg("failed to decode backend server entry; skipping it")
		c.doubtServer(e.Key, time.Now())
		return
	}
	old := c.servers[server.ID]
	if restored && old != nil && old.StartedMS == server.StartedMS {
		// A server that leaves does not come back.
		server.Draining = server.Draining || old.Draining
	}
	if old == nil || old.Draining != server.Draining || old.Address != server.Address {
		c.edge.log.Info().Str("server", server.ID).Str("service", server.Service).Str("version", server.Version).
			Str("data_centre", server.DataCentre).Bool("draining", server.Draining).Uint64("revision", uint64(e.Revision)).
			Msg("backend server changed")
	}
	server.ColdUntil = c.coldUntil(server, old, time.Now())
	c.servers[server.ID] = &serverState{Server: server, changedAt: time.Now()}
	delete(c.restored.removedAt, server.ID)
}

// doubtServer removes a known server whose entry can't be used any more, unless it writes a usable
// one as soon as a live server would whose entry has expired.
func (c *controller) doubtServer(key string, now time.Time) {
	id, _ := c.edge.settings.Decoder.ServerID(key)
	if s := c.servers[id]; s != nil && s.removeAfter.IsZero() {
		s.removeAfter = now.Add(reregistrationGrace)
	}
}

// coldUntil returns the end of the cold period of a backend server. The period that
// the server reports applies, and also the cold start time of its service if this
// process has seen the server start.
func (c *controller) coldUntil(server *topology.Server, old *serverState, now time.Time) time.Time {
	until := time.Time{}
	if server.ColdFor > 0 {
		until = now.Add(min(server.ColdFor, c.maxCold(server.Service)) + coldMargin)
	}
	started := old == nil && c.initialized || old != nil && old.StartedMS != server.StartedMS
	if started {
		until = latest(until, now.Add(c.coldStart(server.Service)))
	}
	if old != nil {
		until = latest(until, old.ColdUntil)
	}
	return until
}

// maxCold returns the longest cold period that a server of a service may state. An absurd one must
// not keep the server cold after its entry is right again.
func (c *controller) maxCold(service string) time.Duration {
	if c.config == nil || c.config.Services[service] == nil || c.config.Services[service].ColdStart <= 0 {
		return maxUnconfiguredCold
	}
	return maxColdFactor * c.config.Services[service].ColdStart
}

// coldStart returns the cold start time of a service plus a margin.
func (c *controller) coldStart(service string) time.Duration {
	if c.config == nil || c.config.Services[service] == nil {
		return defaultColdStart
	}
	return c.config.Services[service].ColdStart + coldMargin
}

// markColdAfterEvacuation marks the servers of a data centre as cold when its
// evacuation ends.
func (c *controller) markColdAfterEvacuation(dataCentre string, now time.Time) {
	for id, s := range c.servers {
		if s.DataCentre == dataCentre {
			cold := *s.Server
			cold.ColdUntil = latest(cold.ColdUntil, now.Add(c.coldStart(cold.Service)))
			c.servers[id] = &serverState{Server: &cold, removeAfter: s.removeAfter, changedAt: s.changedAt}
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mergeServerRemoval removes a backend server. The removal is delayed shortly after a
// store outage: the entry may have expired only because the server couldn't renew it,
// and a live server writes it again.
func (c *controller) mergeServerRemoval(change mirror.Change, b changeBatch) {
	id, ok := c.edge.settings.Decoder.ServerID(change.Key)
	s := c.servers[id]
	if !ok || s == nil {
		return
	}
	until := c.contact.hold()
	if b.receivedAt.Before(until) && !c.leaving(s) {
		s.removeAfter = until
		c.edge.storeMetrics.GetOrCreateCounter("cactusknot_servers_held_total").Inc()
		c.edge.log.Info().Str("server", id).Dur("hold_ms", until.Sub(b.receivedAt)).Uint64("revision", uint64(change.Revision)).
			Msg("vanished backend server held")
		return
	}
	c.removeServer(id, "removed")
}

func (c *controller) removeServer(id, reason string) {
	delete(c.servers, id)
	c.restored.noteRemoval(id, time.Now())
	c.dirty = true
	c.edge.log.Info().Str("server", id).Str("reason", reason).Msg("backend server removed")
}

// leaving reports whether a server takes no further requests, by its entry or by what it has
// announced.
func (c *controller) leaving(s *serverState) bool {
	announced := c.edge.gateway.Chooser.Announcements.Of(s.ID)
	return s.Draining || announced.Leaving(s.Server)
}
