package router

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/failuredetector"
	"cactusknot.example/coord/limit"
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

const (
	// eventQueue is the size of the control goroutine's event queue. Events are
	// dropped when it is full; a dropped load report is replaced by the next reply.
	eventQueue = 4096
	// publishInterval is how long events are collected before a new view is built.
	publishInterval = 5 * time.Millisecond
	// tickInterval is the interval of the control goroutine's periodic work.
	tickInterval = 250 * time.Millisecond
	// exchangesPerSecond bounds the state exchanges of one router. Each takes 370 to
	// 540 bytes including headers, depending on the number of loaded versions. At 7
	// per second they use 2.7 KB/s of the 5 KB/s budget for control traffic; at 14
	// they used 5.4 KB/s. Under load there are fewer, because replies to requests
	// carry the agent's state as well.
	exchangesPerSecond = 7
	// exchangeInterval is the shortest interval between exchanges with one agent.
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	// busyExchangeFactor multiplies the interval for agents whose state arrives with
	// replies to requests.
	busyExchangeFactor = 5
	// subsetSize is the number of agents that one router uses. It is divided among
	// the pools in proportion to their size, with at least poolSubset for each. At
	// exchangesPerSecond every agent of the subset is asked once in 9 s, which is
	// less than suspectMax.
	subsetSize = 64
	poolSubset = 16
	// readyGrace is how long a starting router waits for the first state of all its
	// agents before it reports ready without them.
	readyGrace = 5 * time.Second
	// suspectMin and suspectMax bound the failure detector's adaptive timeout.
	suspectMin = 3 * time.Second
	suspectMax = 15 * time.Second
	// evaluationInterval is the shortest time between two evaluations of ratings.
	evaluationInterval = 500 * time.Millisecond
	// evaluationPauseFactor limits evaluations to 0.5% of a core: each is followed by
	// a pause of this many times its duration. An evaluation takes about 0.1 s with
	// 1,000 workspaces. The routers evaluate at different times, so with 350 of them
	// the first test fires as early as without the pauses.
	evaluationPauseFactor = 200
)

// event is a change that the control goroutine applies to its state.
type event interface{ apply(*controller) }

type (
	// configChangedEvent: the bundle, the stop notices or the availability of the
	// rating service changed.
	configChangedEvent struct{}
	// stateEvent: an agent reported its state.
	stateEvent struct {
		from  peer
		state *rpc.AgentState
	}
	// unreachableEvent: a call to an agent failed.
	unreachableEvent struct{ vm string }
	// counterEvent: a rating counter of another router arrived.
	counterEvent struct{ counter *rpc.QualityCounter }
	// ratingEvent: an answer sent by this router was rated.
	ratingEvent struct {
		key   routing.CounterKey
		score float64
	}
)

// send queues an event without blocking and drops it when the queue is full.
func (r *Router) send(e event) {
	select {
	case r.events <- e:
	default:
		r.metrics.droppedEvents.Inc()
	}
}

// reportState passes an agent's state to the control goroutine. It ignores a state
// that names another VM.
func (r *Router) reportState(from peer, state *rpc.AgentState) {
	if state != nil && state.GetVm() == from.vm {
		r.send(stateEvent{from: from, state: state})
	}
}

func (r *Router) reportUnreachable(vm string) { r.send(unreachableEvent{vm}) }

// agentRecord is what the router knows about an agent.
type agentRecord struct {
	process          node.Process
	state            *rpc.AgentState
	reportedAt       time.Time
	inFlight         *balance.InFlightCounter
	inFlightAtReport int
	unreachable      bool
	// prefixes are the cached prefixes from the last exchange; other replies carry
	// none.
	prefixes []uint64
	// exchangedAt is when the last exchange was started.
	exchangedAt time.Time
}

// controller is the state of the control goroutine. No other goroutine uses it.
type controller struct {
	router    *Router
	agents    map[string]*agentRecord
	suspicion *failuredetector.Detector
	table     *stats.Table[routing.CounterKey]
	routes    *routing.Snapshot
	keys      map[string]*bundle.Workspace
	// exchangeTokens is the token bucket that limits exchanges with known agents.
	exchangeTokens float64
	// processes is the list from which agents was built.
	processes *node.Processes
	// staleRoutes and staleView mark what the next view must rebuild.
	staleRoutes    bool
	staleView      bool
	evaluated      time.Time
	started        time.Time
	countersSentAt time.Time
	// evaluationPause is the shortest time from the last evaluation to the next.
	evaluationPause time.Duration
	// changedKeys are the own counters not yet passed to the syncer; sentVersion is
	// the table version up to which they were passed.
	changedKeys    map[routing.CounterKey]bool
	sentVersion    uint64
	ratingsChanged bool
}

// control runs the control goroutine: it applies events to the router's control
// state and publishes views until ctx is done.
func (r *Router) control(ctx context.Context) {
	detector, err := failuredetector.New(failuredetector.Config{MinTimeout: suspectMin, MaxTimeout: suspectMax})
	if err != nil {
		r.Log.Error().Err(err).Msg("could not start the control goroutine")
		return
	}
	c := &controller{
		router:      r,
		agents:      make(map[string]*agentRecord),
		suspicion:   detector,
		table:       stats.NewTable[routing.CounterKey](stats.Node{Name: r.settings.VM, Incarnation: uint64(r.Clock.Now().UnixNano())}),
		staleRoutes: true,
		started:     r.Clock.Now(),
		changedKeys: make(map[routing.CounterKey]bool),
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			e.apply(c)
			c.drain()
		case <-r.Directory.Changed():
			c.staleView = true
		case <-ticker.C:
			c.tick(ctx)
		}
		c.publish()
	}
}

// drain applies events for one publish interval, so that a burst of events leads
// to a single new view.
func (c *controller) drain() {
	until := time.After(publishInterval)
	for {
		select {
		case e := <-c.router.events:
			e.apply(c)
		case <-until:
			return
		}
	}
}

func (configChangedEvent) apply(c *controller) { c.staleRoutes = true }

func (e stateEvent) apply(c *controller) {
	record, ok := c.agents[e.from.vm]
	if !ok {
		return
	}
	now := c.router.Clock.Now()
	c.suspicion.Tick(now)
	c.suspicion.Observe(e.from.vm, now)
	c.router.Syncer.ObserveVersion(e.state.GetBundleVersion(), e.from.vm)
	c.router.Syncer.RecordContact(e.from.dataCentre, now)
	older := record.state != nil && record.state.GetIncarnation() == e.state.GetIncarnation() && record.state.GetSequence() >= e.state.GetSequence()
	if older {
		return
	}
	if len(e.state.GetCachedPrefixes()) > 0 || record.state.GetIncarnation() != e.state.GetIncarnation() {
		record.prefixes = e.state.GetCachedPrefixes()
	}
	record.state = e.state
	record.reportedAt = now
	record.inFlightAtReport = record.inFlight.Count()
	record.unreachable = false
	c.staleView = true
}

func (e unreachableEvent) apply(c *controller) {
	if record, ok := c.agents[e.vm]; ok {
		record.unreachable = true
		c.staleView = true
	}
}

// tick does the periodic work: it refreshes the agents, exchanges state with them
// and evaluates ratings.
func (c *controller) tick(ctx context.Context) {
	c.refreshAgents()
	c.exchange(ctx)
	c.evaluate()
	c.staleView = true
}

// refreshAgents selects a subset of the agents of each pool when the VM list has
// changed. A single subset of all agents would leave most routers without any agent
// of a service that runs on a few VMs. The selection costs O(agents x routers):
// 30 ms for 2,050 processes.
func (c *controller) refreshAgents() {
	processes := c.router.Directory.Processes()
	if processes == c.processes {
		return
	}
	c.processes = processes
	var routers []string
	total := 0
	pools := make(map[string][]string)
	for _, p := range processes.All {
		if p.Role == auth.RoleRouter {
			routers = append(routers, p.VM)
		} else {
			pools[p.Pool] = append(pools[p.Pool], p.VM)
			total++
		}
	}
	wanted := make(map[string]bool)
	for _, names := range pools {
		for _, i := range balance.Subset(c.router.settings.VM, routers, names, poolShare(len(names), total)) {
			wanted[names[i]] = true
			c.updateAgent(*processes.Find(names[i]))
		}
	}
	for vm := range c.agents {
		if !wanted[vm] {
			delete(c.agents, vm)
			c.suspicion.Remove(vm)
		}
	}
}

// poolShare returns the maximum size of a pool's subset, given the sizes of the pool
// and of all pools together.
func poolShare(pool, total int) int {
	if total <= subsetSize {
		return subsetSize
	}
	return max(subsetSize*pool/total, poolSubset)
}

func (c *controller) updateAgent(p node.Process) {
	record, ok := c.agents[p.VM]
	if !ok {
		record = &agentRecord{inFlight: &balance.InFlightCounter{}}
		c.agents[p.VM] = record
	}
	record.process = p
}

// exchange requests the state of agents that have not reported it lately: new ones
// immediately, the others at a limited rate.
func (c *controller) exchange(ctx context.Context) {
	interval := max(exchangeInterval, time.Duration(len(c.agents))*time.Second/exchangesPerSecond)
	now := c.router.Clock.Now()
	c.exchangeTokens = min(c.exchangeTokens+exchangesPerSecond*tickInterval.Seconds(), exchangesPerSecond)
	for _, record := range c.agents {
		// Replies to requests carry the state but no cached prefixes.
		quiet := now.Sub(record.reportedAt) >= interval
		if now.Sub(record.exchangedAt) < interval || !quiet && now.Sub(record.exchangedAt) < busyExchangeFactor*interval {
			continue
		}
		if !record.exchangedAt.IsZero() && c.exchangeTokens < 1 {
			continue
		}
		c.exchangeTokens = max(c.exchangeTokens-1, 0)
		record.exchangedAt = now
		go c.router.exchangeWith(ctx, c.peerOf(record))
	}
}

func (r *Router) exchangeWith(ctx context.Context, to peer) {
	state, err := r.askState(ctx, to)
	if err != nil {
		r.reportUnreachable(to.vm)
		return
	}
	r.reportState(to, state)
}

// askState exchanges state with an agent: it sends this router's bundle version and
// stop notices and returns the agent's state.
func (r *Router) askState(ctx context.Context, to peer) (*rpc.AgentState, error) {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := &rpc.ExchangeRequest{Router: r.settings.VM, BundleVersion: r.Syncer.Version(), Stops: r.Syncer.Stops().All()}
	response, err := rpc.NewAgentProtobufClient("https://"+to.address, r.RPC).Exchange(bounded, request)
	r.Syncer.RecordControlBytes("exchange", proto.Size(request)+proto.Size(response))
	return response.GetState(), err
}

func (c *controller) peerOf(record *agentRecord) peer {
	return peer{
		vm:          record.process.VM,
		dataCentre:  record.process.DataCentre,
		address:     record.process.Address,
		incarnation: record.state.GetIncarnation(),
		inFlight:    record.inFlight,
	}
}

// publish builds and stores a new view if the current one is stale.
func (c *controller) publish() {
	c.suspicion.Tick(c.router.Clock.Now())
	current := c.router.Syncer.Current()
	if current == nil || (!c.staleRoutes && !c.staleView) {
		return
	}
	if c.staleRoutes {
		c.routes = routing.NewSnapshot(current.Bundle, current.Version, node.Stops(c.router.Syncer), c.quality())
		c.keys = indexKeys(current.Bundle)
	}
	next := &view{current: current, routes: c.routes, keys: c.keys, peers: make(map[string]peer), homes: make(map[uint64]string)}
	next.servers = c.servers(next)
	previous := c.router.view.Swap(next)
	c.staleRoutes, c.staleView = false, false
	if c.knowsAgents() {
		c.router.SetConfigured()
	}
	if previous.version() != next.version() {
		c.router.Log.Info().Uint64("bundle_version", next.version()).Int("agents", len(c.agents)).Msg("configuration applied")
	}
}

// knowsAgents reports whether every agent of the subset has sent its state or could
// not be reached. A router that became ready earlier would refuse requests because
// it knows no backend server.
func (c *controller) knowsAgents() bool {
	if c.router.Clock.Now().Sub(c.started) > readyGrace {
		return true
	}
	for _, record := range c.agents {
		if record.state == nil && !record.unreachable {
			return false
		}
	}
	return len(c.agents) > 0
}

// servers builds the snapshot from which backend servers are chosen, and fills the
// agent maps of the view.
func (c *controller) servers(v *view) *balance.Snapshot {
	now := c.router.Clock.Now()
	var agents []balance.Agent
	for vm, record := range c.agents {
		if record.state == nil {
			continue
		}
		v.peers[vm] = c.peerOf(record)
		v.homes[record.state.GetIncarnation()] = vm
		agents = append(agents, c.serverOf(record, now))
	}
	return balance.NewSnapshot(balance.Config{Check: c.router.Checker}, agents, c.exclusion(v.current.Bundle))
}

func (c *controller) serverOf(record *agentRecord, now time.Time) balance.Agent {
	s := record.state
	suspicion := c.suspicion.SuspicionLevel(record.process.VM, now)
	if record.unreachable {
		suspicion = max(suspicion, 1)
	}
	targets := s.GetLoaded()
	if s.GetService() != "" {
		targets = []string{s.GetService()}
	}
	return balance.Agent{
		VM:               record.process.VM,
		DataCentre:       record.process.DataCentre,
		Distance:         c.distance(record.process),
		Phase:            phaseOf(s.GetPhase()),
		Free:             int(s.GetFreePermits()),
		Limit:            int(s.GetPermitLimit()),
		ReportedAt:       record.reportedAt,
		FirstTokenMS:     float64(s.GetFirstTokenMs()),
		TokenIntervalMS:  float64(s.GetTokenIntervalUs()) * float64(time.Microsecond) / float64(time.Millisecond),
		Targets:          targets,
		Prefixes:         record.prefixes,
		Suspicion:        suspicion,
		InFlight:         record.inFlight,
		InFlightAtReport: record.inFlightAtReport,
		PausedUntil:      record.reportedAt.Add(time.Duration(s.GetPausedMs()) * time.Millisecond),
	}
}

func (c *controller) distance(p node.Process) balance.Distance {
	switch {
	case p.DataCentre == c.router.settings.DataCentre:
		return balance.SameDataCentre
	case p.Region == c.router.settings.Region:
		return balance.SameRegion
	}
	return balance.OtherRegion
}

func phaseOf(p rpc.Phase) limit.Phase {
	switch p {
	case rpc.Phase_PHASE_COLD:
		return limit.Cold
	case rpc.Phase_PHASE_WARM:
		return limit.Warm
	case rpc.Phase_PHASE_LEAVING:
		return limit.Leaving
	}
	return limit.Down
}

// exclusion lists the VMs and data centres that the bundle takes out of service and
// the VMs that the VM list marks as leaving.
func (c *controller) exclusion(b *bundle.Bundle) balance.Exclusion {
	out := balance.Exclusion{VMs: make(map[string]bool), DataCentres: make(map[string]bool)}
	for _, vm := range b.VMs {
		if vm.OutOfService {
			out.VMs[vm.Name] = true
		}
	}
	for _, dc := range b.DataCentres {
		if dc.State == bundle.DataCentreOutOfService {
			out.DataCentres[dc.Name] = true
		}
	}
	for vm, record := range c.agents {
		if record.process.Leaving {
			out.VMs[vm] = true
		}
	}
	return out
}

// quality copies the rating totals of all routers for a routing snapshot.
func (c *controller) quality() routing.Quality {
	return routing.Quality{Ratings: c.table.Totals(), RatingAvailable: c.router.ratingUp.Load()}
}
