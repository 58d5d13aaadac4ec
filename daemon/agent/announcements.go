package agent

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cactusknot.example/daemon/availability"
)

const (
	// headerLeaving announces that the backend server leaves, and headerRetryAfter, with status
	// 503, that it wants no requests for a time.
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
	// departureDoubt is how long after its last announcement a server that answers without one
	// counts as staying. A server that leaves announces it in each answer, those to the probes
	// included.
	departureDoubt = 10 * time.Second
)

// announcements holds what the backend server has announced in its answers. The agent is the
// only process that sends it requests, so that admission and the state that routers get are all
// that has to follow.
type announcements struct {
	mu sync.Mutex
	// leavingAt is the time of the latest announcement that the server leaves; zero for none.
	leavingAt time.Time
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
}

// observeResponse takes over what a response of the backend server announces.
func (a *Agent) observeResponse(status int, header http.Header) {
	leaving, ok := availability.ParseLeaving(header.Get(headerLeaving))
	if !ok {
		a.reportUnusable(headerLeaving, header)
	}
	if leaving {
		a.countAnnouncement("leaving")
	}
	a.observeLeaving(leaving)
	// With other statuses, Retry-After concerns the request alone.
	if status != http.StatusServiceUnavailable {
		return
	}
	pause, ok := availability.ParsePause(header.Values(headerRetryAfter))
	if !ok {
		a.reportUnusable(headerRetryAfter, header)
	}
	if pause > 0 {
		a.countAnnouncement("pause")
		a.observePause(pause)
	}
}

func (a *Agent) countAnnouncement(kind string) {
	a.Metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_announcements_total{kind=%q}", kind)).Inc()
}

// reportUnusable logs and counts an announcement that can't be used.
func (a *Agent) reportUnusable(name string, header http.Header) {
	const logBytes = 64
	value := header.Get(name)
	a.Metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_announcements_not_used_total{header=%q}", name)).Inc()
	a.Log.Warn().Str("header", name).Str("value", value[:min(len(value), logBytes)]).Msg("announcement of backend server not used")
}

// observeLeaving records whether an answer announces that the backend server leaves.
func (a *Agent) observeLeaving(leaving bool) {
	now, s := a.Clock.Now(), &a.announced
	s.mu.Lock()
	before := !s.leavingAt.IsZero()
	switch {
	case leaving:
		s.leavingAt = now
	case before && now.Sub(s.leavingAt) >= departureDoubt:
		s.leavingAt = time.Time{}
	}
	after := !s.leavingAt.IsZero()
	s.mu.Unlock()
	if before == after {
		return
	}
	a.Log.Info().Bool("leaving", after).Msg("backend server announced whether it leaves")
	a.requestPublish()
}

// observePause records that the backend server has asked for no requests for a time. Of two
// pauses the one that ends later holds.
func (a *Agent) observePause(pause time.Duration) {
	until, s := a.Clock.Now().Add(pause), &a.announced
	s.mu.Lock()
	isNew := until.After(s.pausedUntil)
	if isNew {
		s.pausedUntil = until
	}
	// Under the lock, so that pausedFor does not end a pause that has just been extended.
	a.admission.SetPaused(true)
	s.mu.Unlock()
	if isNew {
		a.Log.Info().Dur("pause_ms", pause).Msg("backend server asked for a pause")
	}
}

// pausedFor returns how much longer the backend server wants no requests. It ends the pause at
// its time.
func (a *Agent) pausedFor() time.Duration {
	s := &a.announced
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.pausedUntil.Sub(a.Clock.Now())
	if left <= 0 {
		a.admission.SetPaused(false)
		return 0
	}
	return left
}

// forgetAnnouncements ends what an earlier start of the backend server has announced.
func (a *Agent) forgetAnnouncements() {
	s := &a.announced
	s.mu.Lock()
	s.leavingAt, s.pausedUntil = time.Time{}, time.Time{}
	s.mu.Unlock()
	a.requestPublish()
}

// announcedLeaving reports whether the backend server has announced that it leaves.
func (a *Agent) announcedLeaving() bool {
	s := &a.announced
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leavingAt.IsZero()
}
