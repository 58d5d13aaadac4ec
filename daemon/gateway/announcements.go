package gateway

import (
	"fmt"
	"time"

	"cactusknot.example/daemon/upstream"
)

// Kinds of announcements, as metrics and log lines name them.
const (
	announcedLeaving = "leaving"
	announcedPause   = "pause"
)

// observeAnnouncements records what a backend server announces about itself in a response. A
// response that does not name this request may be another server's.
func (g *Gateway) observeAnnouncements(a *attempt) {
	if g.Codec.Owner(a.call, a.exchange.Header) != upstream.Own {
		return
	}
	now := time.Now()
	if name := a.reply.InvalidAnnouncement; name != "" {
		g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_announcements_not_used_total{header=%q}", name)).Inc()
		g.logEvent(g.Log.Warn()).Str("server", a.target.ID).Str("request", a.call.ID).Str("header", name).
			Str("value", truncate(a.exchange.Header.Get(name))).Msg("announcement of backend server not used")
	}
	if a.reply.Leaving {
		isNew := g.Chooser.Announcements.ObserveDeparture(now, a.choice.Server, a.call.ID)
		g.recordAnnouncement(a, announcedLeaving, isNew, 0)
	}
	if a.reply.Pause > 0 {
		g.recordAnnouncement(a, announcedPause, true, 0)
	}
}

// recordAnnouncement counts an announcement and logs it if it is new. left is the time for which
// the server gets no requests; 0 for no end.
func (g *Gateway) recordAnnouncement(a *attempt, kind string, isNew bool, left time.Duration) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_announcements_total{kind=%q}", kind)).Inc()
	if !isNew {
		return
	}
	g.logEvent(g.Log.Info()).Str("server", a.target.ID).Str("request", a.call.ID).Str("kind", kind).Int("status", a.exchange.Status).
		Dur("pause_ms", a.reply.Pause).Dur("left_ms", left).Msg("announcement of backend server")
}
