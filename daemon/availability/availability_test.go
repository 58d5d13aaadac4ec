package availability

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/daemon/serverlimit"
	"cactusknot.example/daemon/topology"
)

var start = time.UnixMilli(1_800_000_000_000)

// fleetModel is a server with incarnations, as a test of random steps knows it.
type fleetModel struct {
	now           time.Time
	server        *topology.Server
	announcements *Announcements
	observed      Server
	// leavingSince is when this incarnation announced that it leaves; zero if it did not.
	leavingSince time.Time
	// pausedUntil is the earliest end of the pause of this incarnation, and pausedAtMost the
	// latest.
	pausedUntil, pausedAtMost time.Time
	// sent and answered count the requests since the end of the pause.
	sent, answered int
}

// check compares the answer of Check with the model.
func (m *fleetModel) check(t *rapid.T) {
	reason := m.observed.Check(&Query{Now: m.now, Server: m.server, Announced: m.announcements.Of(m.server.ID)})
	switch {
	case !m.leavingSince.IsZero():
		if reason != Leaving {
			t.Fatalf("%s after the server has announced that it leaves", reason)
		}
	case reason == Leaving:
		t.Fatal("leaving without an announcement of this incarnation")
	case m.now.Before(m.pausedUntil):
		if reason != Paused {
			t.Fatalf("%s in a pause that lasts %s more", reason, m.pausedUntil.Sub(m.now))
		}
	case m.now.After(m.pausedAtMost) && reason == Paused:
		t.Fatalf("paused %s after the latest end", m.now.Sub(m.pausedAtMost))
	case m.now.Sub(m.pausedAtMost) > rampTime && reason.Blocks():
		t.Fatalf("%s long after the end of all pauses", reason)
	}
	if !reason.Blocks() && m.now.Sub(m.pausedUntil) < rampTime && m.sent > rampStart+rampStep*m.answered {
		t.Fatalf("%d requests and %d answers since the end of the pause", m.sent, m.answered)
	}
	if !reason.Blocks() {
		m.observed.RecordSent(m.now)
		m.sent++
	}
}

func (m *fleetModel) pause(pause time.Duration) {
	m.announcements.ObservePause(m.now, m.server, pause, "q")
	pause = min(pause, MaxPause)
	if end := m.now.Add(pause); end.After(m.pausedUntil) {
		m.pausedUntil = end
	}
	if end := m.now.Add(pause + min(pause/10+1, maxPauseJitter)); end.After(m.pausedAtMost) {
		m.pausedAtMost = end
	}
	m.sent, m.answered = 0, 0
}

// restart begins an incarnation that the server list knows of.
func (m *fleetModel) restart() {
	m.now = m.now.Add(time.Millisecond)
	server := *m.server
	server.StartedMS = m.now.UnixMilli()
	m.server = &server
	m.leavingSince, m.pausedUntil, m.pausedAtMost, m.sent, m.answered = time.Time{}, time.Time{}, time.Time{}, 0, 0
}

// Guards against servers that get requests although they leave or pause, against announcements
// that outlive their incarnation or their time, and against a rush at the end of a pause, in all
// orders of announcements, news of peers, restarts and requests.
func TestAvailabilityInRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{
			now: start, observed: New(), announcements: &Announcements{},
			server: &topology.Server{ID: "a", StartedMS: start.Add(-time.Hour).UnixMilli()},
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"request", "request", "answer", "pause", "depart", "stay", "news", "old news", "restart", "prune"}).Draw(t, "step") {
			case "request":
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case "answer":
				if m.answered < m.sent {
					m.observed.RecordAnswer()
					m.answered++
				}
			case "pause":
				m.pause(time.Duration(rapid.Int64Range(1, int64(2*MaxPause)).Draw(t, "pause")))
			case "depart":
				m.announcements.ObserveDeparture(m.now, m.server, "q")
				m.leavingSince = m.now
			case "stay":
				m.now = m.now.Add(time.Millisecond)
				m.announcements.ObserveStay(m.now, m.server, "q")
				m.leavingSince = time.Time{}
			case "news":
				m.now = m.now.Add(time.Millisecond)
				m.announcements.Learn([]Departure{{Server: "a", LastStartMS: m.now.UnixMilli(), FirstAt: m.now, HeardAt: m.now, Source: PeerSource}})
				m.leavingSince = m.now
			case "old news":
				m.announcements.Learn([]Departure{{Server: "a", LastStartMS: m.server.StartedMS - 1, FirstAt: start, HeardAt: start, Source: PeerSource}})
			case "restart":
				m.restart()
			case "prune":
				m.announcements.Prune(m.now)
				if m.now.Sub(m.leavingSince) > DepartureTTL {
					m.leavingSince = time.Time{}
				}
			}
			m.check(t)
		}
	})
}

// Guards against a reason that hides a graver one: operators and log lines are told the first.
func TestReasonsInOrder(t *testing.T) {
	s, announcements := New(), &Announcements{}
	server := &topology.Server{ID: "a", ColdUntil: start.Add(time.Hour)}
	q := &Query{Now: start, Server: server, ColdRateLimit: 1, Routers: []string{"r"}, Limit: serverlimit.Closed}
	want := func(reason Reason) {
		t.Helper()
		if q.Announced = announcements.Of("a"); s.Check(q) != reason {
			t.Errorf("%s, want %s", s.Check(q), reason)
		}
	}
	s.RecordRefusal(start)
	s.RecordSent(start)
	want(Cold)
	server.ColdUntil, q.ColdRateLimit = time.Time{}, 0
	want(Limited)
	q.Limit = serverlimit.Unlimited
	want(Avoided)
	announcements.ObservePause(start, server, time.Second, "q")
	want(Paused)
	announcements.ObserveDeparture(start, server, "q")
	want(Leaving)
	q.Now = start.Add(time.Hour)
	announcements.Prune(q.Now)
	want(Available)
}
