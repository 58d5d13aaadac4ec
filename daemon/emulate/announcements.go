package emulate

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// HeaderLeaving is the header by which a backend server announces that it leaves.
const HeaderLeaving = "Server-Leaving"

// announcementGrace is how long after an announcement requests may still arrive.
const announcementGrace = 500 * time.Millisecond

// AnnouncementFaults makes a backend server announce that it leaves or pauses. An absent field
// leaves its fault unchanged; a restart of the server ends both.
type AnnouncementFaults struct {
	// Leaving adds HeaderLeaving to every answer.
	Leaving *bool `json:"leaving,omitempty"`
	// RetryAfter turns requests away with status 503 and these Retry-After headers, which may be
	// invalid; an empty list ends the fault.
	RetryAfter *[]string `json:"retry_after,omitempty"`
}

// Kinds of announcements.
const (
	AnnouncedLeaving = "leaving"
	AnnouncedPause   = "pause"
)

// Unheeded records a request that arrived in spite of an announcement, later than
// announcementGrace after the first answer with it.
type Unheeded struct {
	UnixMs int64 `json:"unix_ms"`
	// Kind is the kind of the announcement, and AfterMs the time since its first answer.
	Kind    string `json:"kind"`
	AfterMs int64  `json:"after_ms"`
}

// announcements holds what an emulated backend server announces.
type announcements struct {
	mu         sync.Mutex
	leaving    bool
	retryAfter []string
	// leavingToldAt is when the first answer announced that the server leaves; zero for none.
	leavingToldAt time.Time
	// pauseToldAt is when the first answer of the latest pause was sent, pausedUntil its end.
	pauseToldAt, pausedUntil time.Time
	turnedAway               int
	unheeded                 []Unheeded
}

// set changes the announcements that are present in f. A pause that was told goes on.
func (a *announcements) set(f AnnouncementFaults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	setIfPresent(&a.leaving, f.Leaving)
	setIfPresent(&a.retryAfter, f.RetryAfter)
	if !a.leaving {
		a.leavingToldAt = time.Time{}
	}
}

// reset ends the announcements, as a restart does.
func (a *announcements) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving, a.retryAfter = false, nil
	a.leavingToldAt, a.pausedUntil = time.Time{}, time.Time{}
}

// announceLeaving is the middleware that adds HeaderLeaving to all answers.
func (a *announcements) announceLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.leaving {
				return
			}
			c.Response().Header().Set(HeaderLeaving, "1")
			if a.leavingToldAt.IsZero() {
				a.leavingToldAt = time.Now()
			}
		})
		return next(c)
	}
}

// turnAway is the middleware that turns requests away in a pause.
func (a *announcements) turnAway(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		retryAfter := a.arrive(time.Now())
		if len(retryAfter) == 0 {
			return next(c)
		}
		c.Response().Header()[echo.HeaderRetryAfter] = retryAfter
		return writeError(c, http.StatusServiceUnavailable, "unavailable", "no requests are taken now")
	}
}

// arrive records the arrival of a request. It returns the Retry-After headers with which it is
// turned away; none if it is taken.
func (a *announcements) arrive(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leavingToldAt.IsZero() && now.Sub(a.leavingToldAt) > announcementGrace {
		a.unheeded = append(a.unheeded, Unheeded{now.UnixMilli(), AnnouncedLeaving, now.Sub(a.leavingToldAt).Milliseconds()})
	}
	if now.Before(a.pausedUntil) && now.Sub(a.pauseToldAt) > announcementGrace {
		a.unheeded = append(a.unheeded, Unheeded{now.UnixMilli(), AnnouncedPause, now.Sub(a.pauseToldAt).Milliseconds()})
	}
	if len(a.retryAfter) == 0 {
		return nil
	}
	a.turnedAway++
	if now.After(a.pausedUntil) {
		a.pauseToldAt = now
	}
	for _, text := range a.retryAfter {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil {
			if until := now.Add(time.Duration(seconds * float64(time.Second))); until.After(a.pausedUntil) {
				a.pausedUntil = until
			}
		}
	}
	return a.retryAfter
}

// TurnedAway returns the number of requests that were turned away because of
// AnnouncementFaults.RetryAfter.
func (a *announcements) TurnedAway() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.turnedAway
}

// unheededRequests returns the requests that arrived in spite of announcements.
func (a *announcements) unheededRequests() []Unheeded {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Unheeded{}, a.unheeded...)
}
