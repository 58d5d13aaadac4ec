package edge

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v4"

	"cactusknot.example/daemon/rollout"
)

// State is the state of one edge process as shown to operators. Ages are in
// milliseconds at the time of the response.
type State struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	// ConfigVersion is 0 while there is no configuration.
	ConfigVersion  uint64 `json:"config_version"`
	ConfigRevision uint64 `json:"config_revision"`
	ConfigAgeMS    int64  `json:"config_age_ms"`
	// MirrorRevision is the store revision up to which the mirror is complete, StoreEra its
	// era.
	MirrorRevision uint64 `json:"mirror_revision"`
	StoreEra       uint64 `json:"store_era"`
	// StoreAnswerAgeMS is the time since the store last responded. StoreOutageMS is the
	// duration of the current store outage; 0 while calls succeed.
	StoreAnswerAgeMS int64 `json:"store_answer_age_ms"`
	StoreOutageMS    int64 `json:"store_away_ms"`
	// Fetching is the large value that this process knows of and does not hold yet; absent if there
	// is none.
	Fetching *FetchState `json:"fetching,omitempty"`
	// StoreReaders are the routers that watch the store for this data centre. StoreReader is
	// the one that this process polls; empty while it reads the store itself.
	StoreReaders []string `json:"store_readers,omitempty"`
	StoreReader  string   `json:"store_reader,omitempty"`
	// LoadReportAgeMS is the age of the other routers' load; -1 before the first exchange.
	LoadReportAgeMS int64          `json:"load_report_age_ms"`
	Routers         []RouterState  `json:"routers"`
	Servers         []ServerState  `json:"servers"`
	Rollouts        []RolloutState `json:"rollouts"`
	// Waiting describes the requests that wait for room at backend servers.
	Waiting []WaitingState `json:"waiting,omitempty"`
	// QuarantinedParts are the prompt parts whose requests are refused, as log lines name
	// them.
	QuarantinedParts []string `json:"quarantined_parts,omitempty"`
	// Duties are the duties that one router at a time fulfils.
	Duties []DutyState `json:"duties,omitempty"`
}

// FetchState is a large value that is being fetched.
type FetchState struct {
	Key string `json:"key"`
	// Bytes is the length of the value, RemainingBytes that of the parts that have not arrived.
	Bytes          int `json:"bytes"`
	RemainingBytes int `json:"remaining_bytes"`
	// AgeMS is the time since this process began to lag behind.
	AgeMS int64 `json:"age_ms"`
}

// RouterState is a router that uses a share of the fleet's limits.
type RouterState struct {
	Name string `json:"name"`
	// Expired routers have no entry in the store any more but still count.
	Expired bool `json:"lapsed,omitempty"`
}

// Values of ServerState.State.
const (
	ServerUsable   = "usable"
	ServerCold     = "cold"
	ServerDraining = "draining"
	// ServerLeaving is a server whose entry says that it is available, but which has announced
	// that it leaves. ServerPaused has asked this router for no requests for a time.
	ServerLeaving   = "leaving"
	ServerPaused    = "paused"
	ServerEvacuated = "evacuated"
	// ServerMissing is a server whose entry expired during a store outage. It is still
	// used.
	ServerMissing = "missing"
)

// ServerState is a backend server as this process sees it.
type ServerState struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Version    string `json:"version"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	// AgeMS is the time since the entry last changed.
	AgeMS int64 `json:"age_ms"`
	// InFlight is the number of requests of this process that the server is running.
	InFlight int `json:"in_flight"`
	// Failures is the number of consecutive failures, AvoidedMS how much longer the
	// server is avoided because of them.
	Failures  int   `json:"failures"`
	AvoidedMS int64 `json:"avoided_ms"`
	// Violation is the latest violation of the protocol by the server, ViolationAgeMS the
	// time since.
	Violation      string `json:"violation,omitempty"`
	ViolationAgeMS int64  `json:"violation_age_ms,omitempty"`
	// Announced is what the server has announced and what still holds; nil for nothing.
	Announced *AnnouncedState `json:"announced,omitempty"`
}

// AnnouncedState is what a backend server has announced about itself.
type AnnouncedState struct {
	// Leaving is set if the server has announced that it leaves. LeavingSinceMS is the time since
	// then, LeavingSource the ID of the request whose answer did so, or "peer".
	Leaving        bool   `json:"leaving,omitempty"`
	LeavingSinceMS int64  `json:"leaving_since_ms,omitempty"`
	LeavingSource  string `json:"leaving_source,omitempty"`
	// PausedSinceMS is the time since the server asked for a pause, PauseLeftMS the time to its
	// end, and PauseSource the ID of the request whose answer asked for it.
	PausedSinceMS int64  `json:"paused_since_ms,omitempty"`
	PauseLeftMS   int64  `json:"pause_left_ms,omitempty"`
	PauseSource   string `json:"pause_source,omitempty"`
}

// WaitingState describes the requests of a priority class that wait for room at the servers of
// a service.
type WaitingState struct {
	Service string `json:"service"`
	// Class is the priority class; 0 is the most urgent.
	Class int `json:"class"`
	// OnTime requests can still meet their latency target, Late ones can't.
	OnTime int `json:"on_time"`
	Late   int `json:"late"`
	// WorkMS is the time that servers need for them, ExpectedWaitMS the wait of a request that
	// would arrive now.
	WorkMS         int64 `json:"work_ms"`
	ExpectedWaitMS int64 `json:"expected_wait_ms"`
}

// RolloutState is the state of a rollout with the evidence for its decisions.
type RolloutState struct {
	Service  string        `json:"service"`
	Target   string        `json:"target"`
	Phase    rollout.Phase `json:"phase"`
	AgeMS    int64         `json:"age_ms"`
	Rejected bool          `json:"condemned"`
	// Evidence covers all routers only at the evidence aggregators.
	Evidence rollout.Evidence `json:"evidence"`
}

// stateQuery is a request to the control loop for its state, which it sends back.
type stateQuery chan *State

// stateTimeout limits the wait for the control loop.
const stateTimeout = 2 * time.Second

// serveState writes the state as JSON.
func (e *Edge) serveState(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), stateTimeout)
	defer cancel()
	reply := make(stateQuery, 1)
	select {
	case e.controller.queries <- reply:
	case <-ctx.Done():
		return c.NoContent(http.StatusServiceUnavailable)
	}
	select {
	case state := <-reply:
		return c.JSON(http.StatusOK, state)
	case <-ctx.Done():
		return c.NoContent(http.StatusServiceUnavailable)
	}
}

// state returns the state at now.
func (c *controller) state(now time.Time) *State {
	e := c.edge
	at := e.mirror.Position()
	s := &State{
		VM: e.settings.VM, DataCentre: e.settings.DataCentre, Ready: e.ready(),
		MirrorRevision: uint64(at.Revision), StoreEra: at.Era,
		StoreAnswerAgeMS: c.storeResponseAge(now).Milliseconds(), StoreOutageMS: c.storeOutage().Milliseconds(),
		LoadReportAgeMS: -1, QuarantinedParts: c.quarantines.names(),
	}
	if fetch := e.fetcher.current.Load(); fetch != nil {
		s.Fetching = &FetchState{Key: fetch.key, Bytes: fetch.size, RemainingBytes: fetch.remaining, AgeMS: now.Sub(fetch.since).Milliseconds()}
	}
	for _, reader := range c.readers() {
		s.StoreReaders = append(s.StoreReaders, reader.Name)
	}
	if reader := c.currentReader.Load(); reader != nil {
		s.StoreReader = *reader
	}
	if age, ok := e.gateway.Chooser.PeerWorkAge(now); ok {
		s.LoadReportAgeMS = age.Milliseconds()
	}
	if c.config != nil {
		s.ConfigVersion, s.ConfigRevision = c.config.Version, c.configRevision
		s.ConfigAgeMS = now.Sub(c.configAppliedAt).Milliseconds()
	}
	for _, name := range c.routers.names(now) {
		_, expired := c.routers.expired[name]
		s.Routers = append(s.Routers, RouterState{Name: name, Expired: expired})
	}
	for _, server := range c.servers {
		s.Servers = append(s.Servers, c.serverState(now, server))
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].ID < s.Servers[j].ID })
	s.Rollouts = c.rollouts.states(now)
	for _, w := range e.gateway.Waiting() {
		s.Waiting = append(s.Waiting, WaitingState{
			Service: w.Service, Class: w.Class, OnTime: w.OnTime, Late: w.Late,
			WorkMS: w.Work.Milliseconds(), ExpectedWaitMS: w.ExpectedWait.Milliseconds(),
		})
	}
	s.Duties = e.duties.states(now)
	return s
}

// serverState returns the state of one backend server at now.
func (c *controller) serverState(now time.Time, s *serverState) ServerState {
	state := ServerUsable
	announced := c.announcedState(now, s)
	switch {
	case s.Draining:
		state = ServerDraining
	case announced != nil && announced.Leaving:
		state = ServerLeaving
	case c.evacuations[s.DataCentre]:
		state = ServerEvacuated
	case !s.removeAfter.IsZero():
		state = ServerMissing
	case announced != nil && announced.PauseLeftMS > 0:
		state = ServerPaused
	case now.Before(s.ColdUntil):
		state = ServerCold
	}
	observed := c.edge.gateway.Chooser.ServerStats(now, s.ID)
	return ServerState{
		ID: s.ID, Service: s.Service, Version: s.Version, DataCentre: s.DataCentre, State: state,
		AgeMS: now.Sub(s.changedAt).Milliseconds(), InFlight: observed.InFlight, Failures: observed.Failures,
		AvoidedMS: observed.AvoidedFor.Milliseconds(),
		Violation: observed.Violation, ViolationAgeMS: observed.ViolationAge.Milliseconds(),
		Announced: announced,
	}
}

// announcedState returns what a server has announced and what still holds, or nil.
func (c *controller) announcedState(now time.Time, s *serverState) *AnnouncedState {
	announced := c.edge.gateway.Chooser.Announcements.Of(s.ID)
	state := &AnnouncedState{}
	if announced.Leaving(s.Server) {
		state.Leaving = true
		state.LeavingSinceMS, state.LeavingSource = now.Sub(announced.Departure.FirstAt).Milliseconds(), announced.Departure.Source
	}
	if left := announced.PausedFor(now, s.Server); left > 0 {
		since, source := announced.PauseSince()
		state.PausedSinceMS, state.PauseLeftMS, state.PauseSource = now.Sub(since).Milliseconds(), left.Milliseconds(), source
	}
	if *state == (AnnouncedState{}) {
		return nil
	}
	return state
}

// states returns the states of the rollouts, sorted by service.
func (r *rollouts) states(now time.Time) []RolloutState {
	var list []RolloutState
	for service, s := range r.byService {
		if s.order == nil {
			continue
		}
		state := RolloutState{
			Service: service, Target: s.order.Target, AgeMS: now.Sub(s.startedAt).Milliseconds(),
			Rejected: s.rejectedOrder == s.orderID, Evidence: r.pooledEvidence(service),
		}
		if s.current() {
			state.Phase = s.state.Phase
		}
		list = append(list, state)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}
