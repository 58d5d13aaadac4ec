package availability

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/daemon/topology"
)

const (
	// MaxPause bounds a pause, so that an absurd one does not end the use of a server.
	MaxPause = 10 * time.Minute
	// pauseJitter is the largest random extension of a pause as a share of it, and
	// maxPauseJitter the same as a time. The routers must not all come back at once.
	pauseJitter    = 0.1
	maxPauseJitter = time.Second
	// DepartureTTL is how long a departure is remembered that no answer and no router confirms.
	// It exceeds the time for which a server goes on after its announcement, and the age of the
	// copies from which a store is restored.
	DepartureTTL = 10 * time.Minute
	// refreshInterval is the time between updates of the same announcement.
	refreshInterval = time.Second
	// maxAnnouncements bounds the servers whose announcements are remembered.
	maxAnnouncements = 10_000
)

// Departure is the announcement of a server that it leaves, or its withdrawal.
type Departure struct {
	Server string
	// LastStartMS bounds the incarnation: a server with the same ID that has started later, as
	// Unix time in milliseconds, is another one.
	LastStartMS int64
	// FirstAt is when a server with this ID first announced it, HeardAt when it did so last.
	FirstAt, HeardAt time.Time
	// Source is the ID of the request whose answer announced it, or PeerSource.
	Source string
	// Withdrawn is set if the server has stated since that it does not leave.
	Withdrawn bool
}

// PeerSource is the source of what another router has heard.
const PeerSource = "peer"

func (d *Departure) applies(server *topology.Server) bool {
	return d.Server != "" && !d.Withdrawn && server.StartedMS <= d.LastStartMS
}

// supersedes reports whether d tells more than what is known. Times that routers tell each other
// are inexact, so the same state is news only if it concerns a later start.
func (d *Departure) supersedes(known *Departure) bool {
	if d.Withdrawn != known.Withdrawn {
		return d.HeardAt.After(known.HeardAt)
	}
	return d.LastStartMS > known.LastStartMS
}

// Pause is a time in which a server wants no requests from this router.
type Pause struct {
	lastStartMS  int64
	since, until time.Time
	source       string
}

func (p *Pause) applies(server *topology.Server) bool { return server.StartedMS <= p.lastStartMS }

// Announced is what a server has announced about itself; nil stands for nothing.
type Announced struct {
	Departure Departure
	Pause     Pause
}

// Leaving reports whether this incarnation of the server has announced that it leaves.
func (a *Announced) Leaving(server *topology.Server) bool {
	return a != nil && a.Departure.applies(server)
}

// PausedFor returns how much longer this incarnation of the server wants no requests.
func (a *Announced) PausedFor(now time.Time, server *topology.Server) time.Duration {
	if a == nil || !a.Pause.applies(server) {
		return 0
	}
	return max(a.Pause.until.Sub(now), 0)
}

// PauseSince returns when the latest pause began, and the ID of the request whose answer named
// it.
func (a *Announced) PauseSince() (since time.Time, source string) {
	return a.Pause.since, a.Pause.source
}

// Announcements holds what backend servers have announced, by their ID. It is safe for concurrent
// use; readers take no lock. The zero value is empty.
type Announcements struct {
	// DeparturesChanged is called when a departure is heard of, withdrawn or forgotten; nil for
	// none. It must not be changed after the first announcement, and must not block.
	DeparturesChanged func()

	mu      sync.Mutex
	current atomic.Pointer[map[string]*Announced]
}

// Empty reports whether there are no announcements.
func (t *Announcements) Empty() bool { return len(t.Snapshot()) == 0 }

// Snapshot returns what all servers have announced, by their ID; it must not be changed.
func (t *Announcements) Snapshot() map[string]*Announced {
	if m := t.current.Load(); m != nil {
		return *m
	}
	return nil
}

// Of returns what the server with the ID has announced, which must not be changed.
func (t *Announcements) Of(id string) *Announced { return t.Snapshot()[id] }

// departure returns the latest departure of a server; the zero value for none.
func (t *Announcements) departure(id string) Departure {
	if a := t.Of(id); a != nil {
		return a.Departure
	}
	return Departure{}
}

// update replaces what a server has announced.
func (t *Announcements) update(id string, change func(*Announced)) {
	next := maps.Clone(t.Snapshot())
	if next == nil {
		next = make(map[string]*Announced)
	}
	announced := &Announced{}
	if known := next[id]; known != nil {
		*announced = *known
	} else if len(next) >= maxAnnouncements {
		return
	}
	change(announced)
	next[id] = announced
	t.current.Store(&next)
}

// lastStartMS returns the bound of the incarnation that a server has at now. The server list may
// not know yet that the server has started again, so each start up to now counts.
func lastStartMS(now time.Time, server *topology.Server) int64 {
	return max(server.StartedMS, now.UnixMilli())
}

// ObserveDeparture records that an answer of the server has announced that it leaves. It reports
// whether that is new.
func (t *Announcements) ObserveDeparture(now time.Time, server *topology.Server, source string) bool {
	return t.observe(server, Departure{Server: server.ID, LastStartMS: lastStartMS(now, server), FirstAt: now, HeardAt: now, Source: source})
}

// ObserveStay records that the server has stated that it does not leave. It reports whether that
// is new.
func (t *Announcements) ObserveStay(now time.Time, server *topology.Server, source string) bool {
	return t.observe(server, Departure{Server: server.ID, LastStartMS: lastStartMS(now, server), FirstAt: now, HeardAt: now, Source: source, Withdrawn: true})
}

func (t *Announcements) observe(server *topology.Server, d Departure) (isNew bool) {
	known := t.departure(server.ID)
	isNew = known.applies(server) == d.Withdrawn
	if isNew || d.HeardAt.Sub(known.HeardAt) >= refreshInterval {
		t.merge(d, func(*Departure) bool { return true })
	}
	return isNew
}

// Learn takes over the departures that other routers have heard of, unless later ones are known.
// It returns those that are new.
func (t *Announcements) Learn(list []Departure) []Departure {
	var learned []Departure
	for _, d := range list {
		known := t.departure(d.Server)
		if t.merge(d, d.supersedes) && (known.Server == "" || known.Withdrawn != d.Withdrawn) {
			learned = append(learned, d)
		}
	}
	return learned
}

// merge takes over a departure if the one that is known allows it.
func (t *Announcements) merge(d Departure, allowed func(known *Departure) bool) bool {
	t.mu.Lock()
	known := t.departure(d.Server)
	ok := known.Server == "" || allowed(&known)
	if ok {
		if known.Server != "" && known.Withdrawn == d.Withdrawn {
			d.FirstAt, d.Source = known.FirstAt, known.Source
		}
		d.LastStartMS = max(d.LastStartMS, known.LastStartMS)
		t.update(d.Server, func(a *Announced) { a.Departure = d })
	}
	t.mu.Unlock()
	if ok && t.DeparturesChanged != nil {
		t.DeparturesChanged()
	}
	return ok
}

// ObservePause records that an answer of the server has asked for no requests for a time. Of two
// pauses the one that ends later holds. It returns the time for which this router sends none.
func (t *Announcements) ObservePause(now time.Time, server *topology.Server, pause time.Duration, source string) time.Duration {
	pause = min(pause, MaxPause)
	pause += time.Duration(rand.Float64() * float64(min(time.Duration(pauseJitter*float64(pause)), maxPauseJitter)))
	t.mu.Lock()
	defer t.mu.Unlock()
	announced := t.Of(server.ID)
	left := announced.PausedFor(now, server)
	if left >= pause {
		return left
	}
	t.update(server.ID, func(a *Announced) {
		if left == 0 {
			a.Pause = Pause{since: now, source: source}
		}
		a.Pause.lastStartMS, a.Pause.until = lastStartMS(now, server), now.Add(pause)
	})
	return pause
}

// Departures returns the departures that were heard within a time, sorted by server.
func (t *Announcements) Departures(now time.Time, within time.Duration) []Departure {
	var list []Departure
	for _, a := range t.Snapshot() {
		if a.Departure.Server != "" && now.Sub(a.Departure.HeardAt) <= within {
			list = append(list, a.Departure)
		}
	}
	slices.SortFunc(list, func(a, b Departure) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// Prune forgets what no longer matters.
func (t *Announcements) Prune(now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	next := maps.Clone(t.Snapshot())
	forgotten := false
	for id, old := range next {
		a := *old
		if a.Departure.Server != "" && now.Sub(a.Departure.HeardAt) > DepartureTTL {
			a.Departure, forgotten = Departure{}, true
		}
		if now.Sub(a.Pause.until) > rampTime {
			a.Pause = Pause{}
		}
		if next[id] = &a; a == (Announced{}) {
			delete(next, id)
		}
	}
	t.current.Store(&next)
	t.mu.Unlock()
	if forgotten && t.DeparturesChanged != nil {
		t.DeparturesChanged()
	}
}
