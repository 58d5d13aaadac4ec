package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/upstream"
)

// Kinds of announcements, as metrics and log lines name them.
const (
	announcedLeaving = "leaving"
	announcedPause   = "pause"
)

const (
	// maxPauseWait is the rest of a pause for which a request waits at the router. A caller that
	// is told to come back loses one of its few retries.
	maxPauseWait = 250 * time.Millisecond
	// pauseReturnSpread is the largest random extension of the Retry-After of a caller that is
	// refused because of a pause, as a share of it.
	pauseReturnSpread = 0.1
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
		left := g.Chooser.Announcements.ObservePause(now, a.choice.Server, a.reply.Pause, a.call.ID)
		g.recordAnnouncement(a, announcedPause, true, left)
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

// refuseInPause returns the refusal of a request that no server may take because of pauses, or nil
// if it may wait. What was begun waits as long as it can still end.
func (g *Gateway) refuseInPause(now time.Time, x *requestState, request selection.Request) *result.Error {
	if g.Chooser.Announcements.Empty() {
		return nil
	}
	blockage := g.Chooser.Blockage(now, x.candidates, request)
	left, ok := blockage.Pause()
	if !ok || now.Add(left).Before(x.deadline) && (left <= maxPauseWait || x.started) {
		return nil
	}
	if !blockage.OpenToOthers() {
		x.retryAfter = left + time.Duration(rand.Float64()*pauseReturnSpread*float64(left))
	}
	return result.NoBackend.With("%s", blockage)
}
