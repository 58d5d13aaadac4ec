package gateway

import (
	"fmt"

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
	if name := a.reply.InvalidAnnouncement; name != "" {
		g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_announcements_not_used_total{header=%q}", name)).Inc()
		g.logEvent(g.Log.Warn()).Str("server", a.target.ID).Str("request", a.call.ID).Str("header", name).
			Str("value", truncate(a.exchange.Header.Get(name))).Msg("announcement of backend server not used")
	}
	if a.reply.Leaving {
		g.recordAnnouncement(a, announcedLeaving)
	}
	if a.reply.Pause > 0 {
		g.recordAnnouncement(a, announcedPause)
	}
}

func (g *Gateway) recordAnnouncement(a *attempt, kind string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_announcements_total{kind=%q}", kind)).Inc()
	g.logEvent(g.Log.Info()).Str("server", a.target.ID).Str("request", a.call.ID).Str("kind", kind).
		Int("status", a.exchange.Status).Dur("pause_ms", a.reply.Pause).Msg("announcement of backend server")
}
