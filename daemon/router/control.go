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
	// eventQueue bounds events that wait for the control goroutine. Load reports
	// are dropped when it is full, since the next reply carries a newer one.
	eventQueue = 4096
	// publishInterval is the shortest time between two views.
	publishInterval = 5 * time.Millisecond
	// tickInterval is how often the control goroutine looks for work of its own.
	tickInterval = 250 * time.Millisecond
	// exchangesPerSecond bounds the exchanges of one router. Each costs 370 to 540
	// bytes by the number of loaded versions, headers included, so that they take
	// 2.7 KB/s of the 5 KB/s for control; 14 took 5.4 KB/s. Agents that answer
	// requests are not asked, so under load there are fewer.
	exchangesPerSecond = 7
	// exchangeInterval is the shortest interval of exchanges with one agent.
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	// busyExchanges is how many intervals pass between exchanges with an agent
	// that replies to traffic.
	busyExchanges = 5
	// subsetSize is the number of agents that one router uses, shared by the pools
	// in proportion to their size; a small pool gets at least poolSubset. At the
	// exchange rate above each is asked every 9 s, below the bound of suspicion.
	subsetSize = 64
	poolSubset = 16
	// readyGrace is how long a router that starts waits for the first state of its
	// agents before it takes requests all the same.
	readyGrace = 5 * time.Second
	// suspectMin and suspectMax bound the adaptive timeout of suspicion.
	suspectMin = 3 * time.Second
	suspectMax = 15 * time.Second
	// evidenceInterval is the shortest time between two evaluations of ratings.
	evidenceInterval = 500 * time.Millisecond
	// evidencePart bounds the evaluations to 0.5% of a core: each is followed by a
	// pause of so many times its own time. With 1,000 workspaces it takes some
	// 0.1 s. The routers evaluate at different times, so that with 350 of them the
	// first test fires as early as before.
	evidencePart = 200
)

// event is news for the control goroutine.
type event interface{ apply(*controller) }

type (
	// changedEvent: bundle, stop notices or VM list changed.
	changedEvent struct{}
	// stateEvent: an agent reported its state.
	stateEvent struct {
		from  peer
		state *rpc.AgentState
	}
	// unreachableEvent: a call to an agent failed.
	unreachableEvent struct{ vm string }
	// counterEvent: another router's ratings arrived.
	counterEvent struct{ counter *rpc.QualityCounter }
	// ratingEvent: an answer of this router was rated.
	ratingEvent struct {
		key   routing.CounterKey
		score float64
	}
)

// send passes an event without blocking and drops it when the queue is full.
func (r *Router) send(e event) {
	select {
	case r.events <- e:
	default:
		r.metrics.droppedEvents.Inc()
	}
}

// report passes an agent's state to the control goroutine.
func (r *Router) report(from peer, state *rpc.AgentState) {
	if state != nil && state.GetVm() == from.vm {
		r.send(stateEvent{from: from, state: state})
	}
}

func (r *Router) unreachable(vm string) { r.send(unreachableEvent{vm}) }

// agentRecord is what the router knows of an agent.
type agentRecord struct {
	process     node.Process
	state       *rpc.AgentState
	at          time.Time
	flight      *balance.InFlightCounter
	flightAt    int
	unreachable bool
	// prefixes are those of the last exchange; other replies carry none.
	prefixes []uint64
	// asked is when the last exchange was sent.
	asked time.Time
}

// controller is the state of the control goroutine, its only user.
type controller struct {
	router    *Router
	agents    map[string]*agentRecord
	suspicion *failuredetector.Detector
	table     *stats.Table[routing.CounterKey]
	routes    *routing.Snapshot
	keys      map[string]*bundle.Workspace
	// mayExchange is how many known agents may be asked now.
	mayExchange float64
	// processes is the list from which agents was made.
	processes *node.Processes
	// stale marks what the next view must renew.
	staleRoutes bool
	staleView   bool
	evaluated   time.Time
	started     time.Time
	spreadAt    time.Time
	// evidencePause is the time from the last evaluation to the next.
	evidencePause time.Duration
	// changedKeys are own ratings not yet handed to the keeper; spread is the
	// table version up to which they were.
	changedKeys map[routing.CounterKey]bool
	spread      uint64
	newEvidence bool
}

// control owns all control state of the router and publishes the views.
func (r *Router) control(ctx context.Context) {
	detector, err := failuredetector.New(failuredetector.Config{MinTimeout: suspectMin, MaxTimeout: suspectMax})
	if err != nil {
		r.Log.Error().Err(err).Msg("control not started")
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

// drain applies what waits, for at most one publish interval.
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

func (changedEvent) apply(c *controller) { c.staleRoutes = true }

func (e stateEvent) apply(c *controller) {
	record, ok := c.agents[e.from.vm]
	if !ok {
		return
	}
	now := c.router.Clock.Now()
	c.suspicion.Tick(now)
	c.suspicion.Observe(e.from.vm, now)
	c.router.Keeper.Heard(e.state.GetBundleVersion(), e.from.vm)
	c.router.Keeper.Contact(e.from.dataCentre, now)
	older := record.state != nil && record.state.GetIncarnation() == e.state.GetIncarnation() && record.state.GetSequence() >= e.state.GetSequence()
	if older {
		return
	}
	if len(e.state.GetCachedPrefixes()) > 0 || record.state.GetIncarnation() != e.state.GetIncarnation() {
		record.prefixes = e.state.GetCachedPrefixes()
	}
	record.state = e.state
	record.at = now
	record.flightAt = record.flight.Count()
	record.unreachable = false
	c.staleView = true
}

func (e unreachableEvent) apply(c *controller) {
	if record, ok := c.agents[e.vm]; ok {
		record.unreachable = true
		c.staleView = true
	}
}

// tick refreshes the list of agents, exchanges with quiet ones and evaluates ratings.
func (c *controller) tick(ctx context.Context) {
	c.refreshAgents()
	c.exchange(ctx)
	c.evaluate()
	c.staleView = true
}

// refreshAgents takes over the subset of agents of each pool when the VM list has
// changed. One subset of all agents would leave most routers without any agent of
// a service that runs on a few VMs. The subset costs O(agents x routers): 30 ms for 2,050 processes.
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
			c.keep(*processes.Find(names[i]))
		}
	}
	for vm := range c.agents {
		if !wanted[vm] {
			delete(c.agents, vm)
			c.suspicion.Remove(vm)
		}
	}
}

// poolShare returns the size of the subset of a pool.
func poolShare(pool, total int) int {
	if total <= subsetSize {
		return subsetSize
	}
	return max(subsetSize*pool/total, poolSubset)
}

func (c *controller) keep(p node.Process) {
	record, ok := c.agents[p.VM]
	if !ok {
		record = &agentRecord{flight: &balance.InFlightCounter{}}
		c.agents[p.VM] = record
	}
	record.process = p
}

// exchange asks agents that have not replied lately for their state, new ones at
// once and the others spread over the interval.
func (c *controller) exchange(ctx context.Context) {
	interval := max(exchangeInterval, time.Duration(len(c.agents))*time.Second/exchangesPerSecond)
	now := c.router.Clock.Now()
	c.mayExchange = min(c.mayExchange+exchangesPerSecond*tickInterval.Seconds(), exchangesPerSecond)
	for _, record := range c.agents {
		// Replies to traffic carry the state but no prefixes.
		quiet := now.Sub(record.at) >= interval
		if now.Sub(record.asked) < interval || !quiet && now.Sub(record.asked) < busyExchanges*interval {
			continue
		}
		if !record.asked.IsZero() && c.mayExchange < 1 {
			continue
		}
		c.mayExchange = max(c.mayExchange-1, 0)
		record.asked = now
		go c.router.exchangeWith(ctx, c.peerOf(record))
	}
}

func (r *Router) exchangeWith(ctx context.Context, to peer) {
	state, err := r.askState(ctx, to)
	if err != nil {
		r.unreachable(to.vm)
		return
	}
	r.report(to, state)
}

// askState asks an agent for its state and tells it what this router knows.
func (r *Router) askState(ctx context.Context, to peer) (*rpc.AgentState, error) {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := &rpc.ExchangeRequest{Router: r.settings.VM, BundleVersion: r.Keeper.Version(), Stops: r.Keeper.Stops().All()}
	response, err := rpc.NewAgentProtobufClient("https://"+to.address, r.Client).Exchange(bounded, request)
	r.Keeper.Spend("exchange", proto.Size(request)+proto.Size(response))
	return response.GetState(), err
}

func (c *controller) peerOf(record *agentRecord) peer {
	return peer{
		vm:          record.process.VM,
		dataCentre:  record.process.DataCentre,
		address:     record.process.Address,
		incarnation: record.state.GetIncarnation(),
		flight:      record.flight,
	}
}

// publish builds a new view when something changed.
func (c *controller) publish() {
	c.suspicion.Tick(c.router.Clock.Now())
	current := c.router.Keeper.Current()
	if current == nil || (!c.staleRoutes && !c.staleView) {
		return
	}
	if c.staleRoutes {
		c.routes = routing.NewSnapshot(current.Bundle, current.Version, node.Stops(c.router.Keeper), c.quality())
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
		c.router.Log.Info().Uint64("bundle_version", next.version()).Int("agents", len(c.agents)).Msg("configuration in force")
	}
}

// knowsAgents tells whether every agent of the subset has answered or failed to.
// A router that took requests before would refuse them for want of a backend
// server.
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

// servers builds the snapshot for the choice of backend servers.
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
	return balance.NewSnapshot(balance.Config{Check: c.router.Check}, agents, c.exclusion(v.current.Bundle))
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
		ReportedAt:       record.at,
		FirstTokenMS:     float64(s.GetFirstTokenMs()),
		TokenIntervalMS:  float64(s.GetTokenIntervalUs()) * float64(time.Microsecond) / float64(time.Millisecond),
		Targets:          targets,
		Prefixes:         record.prefixes,
		Suspicion:        suspicion,
		InFlight:         record.flight,
		InFlightAtReport: record.flightAt,
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

// exclusion lists what is out of service by the bundle or leaving by the VM list.
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

// quality copies the pooled ratings for the immutable snapshot.
func (c *controller) quality() routing.Quality {
	return routing.Quality{Ratings: c.table.Totals(), RatingAvailable: c.router.ratingUp.Load()}
}
