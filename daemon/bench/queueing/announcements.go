package queueing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactusknot.example/daemon/availability"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

const (
	announcingSlots = 8
	// announcingQueue is the number of waiting requests at which a server turns more away.
	announcingQueue = 8
	announcingWork  = 200 * time.Millisecond
	// announcingDeadline is the time that callers wait.
	announcingDeadline = 2 * time.Second
	announcingAttempts = 3
	// announcingDelay is the network delay in one direction.
	announcingDelay = time.Millisecond
	// heedTime is how long after an announcement a router may still send requests.
	heedTime = 100 * time.Millisecond
	// leavingTime is how long a leaving server goes on, and entryDelay when its entry is removed
	// from the view: before it ends for one half of the servers, and after it for the other.
	leavingTime = 3 * time.Second
	entryDelay  = 2 * time.Second
	// exchangeDelay is the time in which routers tell each other of departures.
	exchangeDelay = 400 * time.Millisecond
	// retryWait is the delay before another attempt, and roomPoll the time between two looks
	// for a server that may take a request.
	retryWait = 5 * time.Millisecond
	roomPoll  = 10 * time.Millisecond
)

// AnnouncementScenario measures requests to servers that announce that they leave or pause. The
// routers choose servers by package selection.
type AnnouncementScenario struct {
	Servers, Routers int
	// Load is the load as a share of the capacity of the servers that don't leave.
	Load float64
	// LeavingShare and PausingShare are the shares of the servers that leave, and of those that
	// ask for one pause. Both happen at random times from WarmUp to the end.
	LeavingShare, PausingShare float64
	Pause                      time.Duration
	WarmUp, Measured           time.Duration
}

// NewAnnouncementScenario returns the scenario in which a third of the servers leaves and half of
// them pauses.
func NewAnnouncementScenario(servers int) AnnouncementScenario {
	return AnnouncementScenario{
		Servers: servers, Routers: 5, Load: 0.8, LeavingShare: 1.0 / 3, PausingShare: 0.5,
		Pause: time.Second, WarmUp: 5 * time.Second, Measured: 30 * time.Second,
	}
}

// AnnouncementResult is the result of one policy.
type AnnouncementResult struct {
	Policy string
	Counts Counts
	Total  Percentiles
	// SentToLeaving and SentToPaused count the requests that a router has sent more than 100 ms
	// after an answer had told it.
	SentToLeaving, SentToPaused int
}

// Run measures routers that heed announcements, then routers that drop them.
func (s AnnouncementScenario) Run(ctx context.Context, seed uint64) ([]AnnouncementResult, error) {
	var out []AnnouncementResult
	for _, heeds := range []bool{true, false} {
		m := newAnnouncementModel(s, seed, heeds)
		end := s.WarmUp + s.Measured
		for at := time.Second; at <= end+announcingDeadline; at += time.Second {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			m.loop.runUntil(at)
		}
		out = append(out, m.result())
	}
	return out, nil
}

// announcementModel is the state of one run.
type announcementModel struct {
	AnnouncementScenario
	loop    *loop
	rng     *rand.Rand
	heeds   bool
	servers map[string]*announcingServer
	view    []*topology.Server
	routers []*announcementRouter
	names   []string
	out     AnnouncementResult
	total   *hdrhistogram.Histogram
}

func newAnnouncementModel(s AnnouncementScenario, seed uint64, heeds bool) *announcementModel {
	m := &announcementModel{
		AnnouncementScenario: s, loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 5)), heeds: heeds,
		servers: make(map[string]*announcingServer), total: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	m.out.Policy = "announcements heeded"
	if !heeds {
		m.out.Policy = "announcements dropped"
	}
	for i := range s.Routers {
		m.names = append(m.names, fmt.Sprintf("r%d", i))
		m.routers = append(m.routers, &announcementRouter{model: m, name: m.names[i], chooser: selection.New(), told: make(map[string]time.Duration), pauses: make(map[string]toldPause)})
	}
	leaving, pausing := int(s.LeavingShare*float64(s.Servers)), int(s.PausingShare*float64(s.Servers))
	for i := range s.Servers {
		server := &announcingServer{model: m, Server: &topology.Server{ID: fmt.Sprintf("s%d", i), Slots: announcingSlots}}
		m.servers[server.ID] = server
		m.view = append(m.view, server.Server)
		at := s.WarmUp + time.Duration(m.rng.Int64N(int64(s.Measured)))
		switch {
		case i < leaving:
			m.loop.after(at, func() { m.leave(server, i%2 == 0) })
		case i < leaving+pausing:
			m.loop.after(at, func() { server.pausedUntil = m.loop.now + s.Pause })
		}
	}
	m.loop.after(0, m.arrive)
	return m
}

// leave begins the departure of a server. Its entry leaves the view before or after its end.
func (m *announcementModel) leave(s *announcingServer, entryFirst bool) {
	s.leaving = true
	delay := leavingTime + entryDelay
	if entryFirst {
		delay = entryDelay
	}
	m.loop.after(leavingTime, s.end)
	m.loop.after(delay, func() {
		var view []*topology.Server
		for _, other := range m.view {
			if other != s.Server {
				view = append(view, other)
			}
		}
		m.view = view
	})
}

// arrive lets one request arrive and plans the next one.
func (m *announcementModel) arrive() {
	if m.loop.now >= m.WarmUp+m.Measured {
		return
	}
	staying := m.Servers - int(m.LeavingShare*float64(m.Servers))
	perSecond := m.Load * float64(staying*announcingSlots) / announcingWork.Seconds()
	m.loop.after(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), m.arrive)
	r := m.routers[m.rng.IntN(len(m.routers))]
	work := time.Duration((0.5 + m.rng.Float64()) * float64(announcingWork))
	q := &announcementRequest{router: r, arrivedAt: m.loop.now, work: work, tried: make(map[string]bool)}
	r.send(q)
}

func (m *announcementModel) result() AnnouncementResult {
	m.out.Total = quantiles(m.total)
	return m.out
}

// finish records the outcome of a request.
func (m *announcementModel) finish(q *announcementRequest, o outcome) {
	if q.arrivedAt < m.WarmUp {
		return
	}
	took := m.loop.now - q.arrivedAt
	if o == outcomeDone && took > announcingDeadline {
		o = outcomeTimeout
	}
	m.out.Counts.Requests++
	switch o {
	case outcomeDone:
		m.out.Counts.InTime++
		_ = m.total.RecordValue(took.Microseconds())
	case outcomeRefused:
		m.out.Counts.Refused++
	case outcomeBroken:
		m.out.Counts.Broken++
	case outcomeTimeout:
		m.out.Counts.TimedOut++
	}
}

// announcementRequest is one request of a caller. It must not run twice.
type announcementRequest struct {
	router    *announcementRouter
	arrivedAt time.Duration
	work      time.Duration
	tried     map[string]bool
	choice    *selection.Choice
}

// announcementRouter is a router with what it was told.
type announcementRouter struct {
	model   *announcementModel
	name    string
	chooser *selection.Chooser
	// told is when an answer first said that a server leaves, pauses the latest pause of a server.
	told   map[string]time.Duration
	pauses map[string]toldPause
}

// toldPause is a pause with the time of the first answer that named it.
type toldPause struct {
	at, until time.Duration
}

// send makes an attempt at the server that the router chooses.
func (r *announcementRouter) send(q *announcementRequest) {
	m := r.model
	now := m.loop.currentTime()
	request := selection.Request{Service: "svc", Self: r.name, Routers: m.names, Excluded: q.tried}
	choice, ok := r.chooser.Choose(now, m.view, request)
	if !ok {
		r.waitForRoom(q, now, request)
		return
	}
	q.choice = choice
	id := choice.Server.ID
	q.tried[id] = true
	if told, ok := r.told[id]; ok && m.loop.now > told+heedTime {
		m.out.SentToLeaving++
	}
	if p := r.pauses[id]; m.loop.now < p.until && m.loop.now > p.at+heedTime {
		m.out.SentToPaused++
	}
	m.loop.after(announcingDelay, func() { m.servers[id].receive(q) })
}

// waitForRoom refuses a request at once if all servers pause, and looks again later otherwise.
func (r *announcementRouter) waitForRoom(q *announcementRequest, now time.Time, request selection.Request) {
	m := r.model
	_, paused := r.chooser.Blockage(now, m.view, request).Pause()
	if paused || len(q.tried) >= announcingAttempts || m.loop.now+roomPoll > q.arrivedAt+announcingDeadline {
		m.finish(q, outcomeRefused)
		return
	}
	m.loop.after(roomPoll, func() { r.send(q) })
}

// announcementAnswer is what a router learns from an answer of a server.
type announcementAnswer struct {
	outcome outcome
	leaving bool
	pause   time.Duration
	load    selection.Load
}

// receive takes over an answer.
func (r *announcementRouter) receive(q *announcementRequest, a announcementAnswer) {
	m, now, choice := r.model, r.model.loop.currentTime(), q.choice
	r.observe(q, a)
	switch a.outcome {
	case outcomeDone:
		choice.RecordFirstByte(now)
		choice.RecordLoad(now, a.load)
		choice.End(now, selection.Succeeded)
		m.finish(q, outcomeDone)
	case outcomeRefused:
		choice.RecordLoad(now, a.load)
		choice.End(now, selection.Refused)
		r.retry(q)
	case outcomeBroken:
		// There was no connection, so the request was not sent.
		choice.End(now, selection.Unreachable)
		r.retry(q)
	}
}

func (r *announcementRouter) retry(q *announcementRequest) {
	if len(q.tried) >= announcingAttempts {
		r.model.finish(q, outcomeRefused)
		return
	}
	r.model.loop.after(retryWait, func() { r.send(q) })
}

// observe takes over the announcements of an answer, and tells the other routers.
func (r *announcementRouter) observe(q *announcementRequest, a announcementAnswer) {
	m, now, server := r.model, r.model.loop.currentTime(), q.choice.Server
	if a.leaving && r.told[server.ID] == 0 {
		r.told[server.ID] = m.loop.now
	}
	if a.pause > 0 {
		p := r.pauses[server.ID]
		if m.loop.now >= p.until {
			p.at = m.loop.now
		}
		p.until = max(p.until, m.loop.now+a.pause)
		r.pauses[server.ID] = p
	}
	if !m.heeds {
		return
	}
	if a.pause > 0 {
		r.chooser.Announcements.ObservePause(now, server, a.pause, q.router.name)
	}
	if !a.leaving || !r.chooser.Announcements.ObserveDeparture(now, server, q.router.name) {
		return
	}
	heard := r.chooser.Announcements.Departures(now, availability.DepartureTTL)
	m.loop.after(exchangeDelay, func() {
		for _, other := range m.routers {
			other.chooser.Announcements.Learn(heard)
		}
	})
}

// announcingServer is a backend server with slots and a short queue.
type announcingServer struct {
	*topology.Server
	model          *announcementModel
	running        map[*announcementRequest]bool
	waiting        []*announcementRequest
	leaving, ended bool
	pausedUntil    time.Duration
}

// receive starts a request, queues it or turns it away.
func (s *announcingServer) receive(q *announcementRequest) {
	now := s.model.loop.now
	switch {
	case s.ended:
		s.reply(q, announcementAnswer{outcome: outcomeBroken})
	case now < s.pausedUntil:
		s.reply(q, announcementAnswer{outcome: outcomeRefused, pause: s.pausedUntil - now})
	case len(s.running) < announcingSlots:
		s.start(q)
	case len(s.waiting) < announcingQueue:
		s.waiting = append(s.waiting, q)
	default:
		s.reply(q, announcementAnswer{outcome: outcomeRefused})
	}
}

func (s *announcingServer) start(q *announcementRequest) {
	if s.running == nil {
		s.running = make(map[*announcementRequest]bool)
	}
	s.running[q] = true
	s.model.loop.after(q.work, func() {
		if s.ended {
			return
		}
		delete(s.running, q)
		s.reply(q, announcementAnswer{outcome: outcomeDone})
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
	})
}

// reply sends an answer with what the server announces.
func (s *announcingServer) reply(q *announcementRequest, a announcementAnswer) {
	a.leaving = s.leaving && !s.ended
	a.load = selection.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: announcingSlots}
	s.model.loop.after(announcingDelay, func() { q.router.receive(q, a) })
}

// end stops the server and cuts its requests off.
func (s *announcingServer) end() {
	cut := s.waiting
	for q := range s.running {
		cut = append(cut, q)
	}
	s.ended = true
	for _, q := range cut {
		s.model.loop.after(announcingDelay, func() {
			q.choice.End(s.model.loop.currentTime(), selection.Unreachable)
			s.model.finish(q, outcomeBroken)
		})
	}
}
