package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/content"
	"cactusknot.example/daemon/gateway"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/relay"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/daemon/upstream"
)

const (
	// controlInterval is the period of the control loop.
	controlInterval = 250 * time.Millisecond
	// pruneInterval is the time between removals of unused connections and observations.
	pruneInterval = 2 * time.Second
	// changeQueueSize is the number of batches that may wait for the control loop.
	changeQueueSize = 256
)

// changeBatch is a set of store changes for the control loop.
type changeBatch struct {
	changes    []mirror.Change
	receivedAt time.Time
	// restored is set if the changes are the first ones of a new era of the store. They then
	// are a listing of the restored copy.
	restored bool
	// peerConfig is a configuration that a peer goes by and the store does not hold; nil for
	// none.
	peerConfig *kv.Entry
	// published is closed once a view with the changes is published; nil for none.
	published chan struct{}
}

// controller holds this process's state of the fleet. Only the control loop changes
// it; the request path reads the published view.
type controller struct {
	edge    *Edge
	batches chan changeBatch
	queries chan stateQuery
	// outdated receives a value when the published view is out of date for another reason than a
	// change of the store: a backend server has announced that it leaves, or a large value is
	// being fetched. departureNews receives one for the exchange with the other routers.
	outdated, departureNews chan struct{}

	config *topology.Config
	// configRevision is the store revision of the configuration, 0 for one that came from a
	// peer; configAppliedAt is the time at which this process applied it.
	configRevision  uint64
	configAppliedAt time.Time
	// servers holds the known backend servers by ID.
	servers map[string]*serverState
	// evacuations holds the data centres that are being evacuated.
	evacuations map[string]bool
	rollouts    *rollouts
	routers     *routers
	quarantines *quarantines
	lastPrune   time.Time
	// departureChecks are the health checks of servers that have announced that they leave.
	departureChecks departureChecks
	// mergedEra is the store's era of the merged changes. All revisions that the control loop
	// keeps are of this era, because the first changes of an era cover all keys.
	mergedEra uint64
	// firstView is closed when the first view is published.
	firstView chan struct{}
	// dirty is set if the published view is out of date.
	dirty bool
	// initialized is set after the first batch. Servers that appear later have just
	// started.
	initialized bool
	// restored holds what a restore of the store leaves in doubt.
	restored restoreDoubts

	// contact records when this router reaches the store.
	contact storeContact
	// era is the latest era of the store that this router has heard of; 0 before the first.
	era atomic.Uint64
	// eraMu guards eraNews, which is closed and replaced when a newer era is heard of.
	eraMu   sync.Mutex
	eraNews chan struct{}
	// currentReader is the reader that this router polls; empty while it reads the store.
	currentReader atomic.Pointer[string]

	// peerMu guards the address lists below.
	peerMu          sync.Mutex
	peerAddresses   []string
	seedPeers       []string
	loadAggregators []string
	storeReaders    []relay.Member
	// followed is set while this router is a reader that others poll.
	followed bool
}

func newController(e *Edge) *controller {
	c := &controller{
		edge: e, batches: make(chan changeBatch, changeQueueSize), queries: make(chan stateQuery),
		outdated: make(chan struct{}, 1), departureNews: make(chan struct{}, 1), servers: make(map[string]*serverState),
		evacuations: make(map[string]bool), firstView: make(chan struct{}), eraNews: make(chan struct{}),
	}
	c.contact.bound, c.contact.minLapse, c.contact.respondedAt = e.settings.contactBound(), e.settings.minLapse(), time.Now()
	c.routers = newRouters(e)
	c.rollouts = newRollouts(e, c.routers)
	c.quarantines = newQuarantines(e)
	c.seedPeers = e.settings.SeedPeers
	return c
}

// enqueue passes changes to the control loop.
func (c *controller) enqueue(changes []mirror.Change) {
	c.batches <- changeBatch{changes: changes, receivedAt: time.Now()}
}

// enqueueConfig passes the configuration of a peer to the control loop, which closes published,
// unless it is nil, once it goes by it.
func (c *controller) enqueueConfig(e kv.Entry, published chan struct{}) {
	c.batches <- changeBatch{peerConfig: &e, receivedAt: time.Now(), published: published}
}

// firstViewPublished reports whether a view has been published.
func (c *controller) firstViewPublished() bool {
	select {
	case <-c.firstView:
		return true
	default:
		return false
	}
}

// waitForView waits until the first view is published, or returns false when ctx ends.
func (c *controller) waitForView(ctx context.Context) bool {
	select {
	case <-c.firstView:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordStoreResponse records a response of the store.
func (c *controller) recordStoreResponse(now time.Time) {
	if c.contact.resumed(now) {
		c.edge.storeMetrics.GetOrCreateCounter("cactusknot_store_polls_resumed_total").Inc()
	}
	if away := c.contact.responded(now); away > 0 {
		c.edge.log.Info().Dur("away_ms", away).Dur("hold_ms", max(0, c.contact.hold().Sub(now))).Msg("store available again")
	}
}

// storeResponseAge returns the time since the store last responded, or since the
// start of the process.
func (c *controller) storeResponseAge(now time.Time) time.Duration { return c.contact.responseAge(now) }

// Values of the field source of the line about a new era.
const (
	eraFromStore    = "store"
	eraFromPeer     = "peer"
	eraFromExchange = "exchange"
)

// noteEra records an era of the store that this router has heard of. A new one counts as the
// end of a disruption: entries that are missing in the restored copy are written again.
func (c *controller) noteEra(era uint64, source string) {
	before := c.era.Load()
	for era > before && !c.era.CompareAndSwap(before, era) {
		before = c.era.Load()
	}
	if era <= before || !c.firstViewPublished() {
		return
	}
	c.contact.restored(time.Now())
	c.routers.storeRestored()
	c.eraMu.Lock()
	close(c.eraNews)
	c.eraNews = make(chan struct{})
	c.eraMu.Unlock()
	c.edge.log.Warn().Uint64("era", era).Uint64("era_before", before).Str("source", source).
		Dur("answer_age_ms", c.storeResponseAge(time.Now())).Msg("store was restored from an older copy")
}

// newerEra returns a channel that is closed when this router hears of a newer era than now.
func (c *controller) newerEra() <-chan struct{} {
	c.eraMu.Lock()
	defer c.eraMu.Unlock()
	return c.eraNews
}

// outageEndedAgo returns the time since the end of the last store outage, or 0 if there
// was none.
func (c *controller) outageEndedAgo(now time.Time) time.Duration {
	ended := c.contact.holdSince()
	if ended.IsZero() {
		return 0
	}
	return now.Sub(ended)
}

// storeOutage returns the duration of the current store outage, or 0.
func (c *controller) storeOutage() time.Duration { return c.contact.outage(time.Now()) }

// peers returns the addresses of the other routers, or the seed peers while none is
// registered.
func (c *controller) peers() []string {
	c.peerMu.Lock()
	defer c.peerMu.Unlock()
	if len(c.peerAddresses) == 0 {
		return c.seedPeers
	}
	return c.peerAddresses
}

// loadAggregatorAddresses returns the addresses of the routers that aggregate the
// load. The empty address stands for this router.
func (c *controller) loadAggregatorAddresses() []string {
	c.peerMu.Lock()
	defer c.peerMu.Unlock()
	return c.loadAggregators
}

// readers returns the routers that watch the store for this data centre.
func (c *controller) readers() []relay.Member {
	c.peerMu.Lock()
	defer c.peerMu.Unlock()
	return c.storeReaders
}

// isReader reports whether other routers of the data centre poll this one.
func (c *controller) isReader() bool {
	c.peerMu.Lock()
	defer c.peerMu.Unlock()
	return c.followed
}

// setSeedPeers replaces the peers that are used while no other router is registered.
func (c *controller) setSeedPeers(seedPeers []string) {
	c.peerMu.Lock()
	defer c.peerMu.Unlock()
	c.seedPeers = seedPeers
}

// observe records the outcome of a request.
func (c *controller) observe(s gateway.Sample) { c.rollouts.observe(s) }

// run is the control loop.
func (c *controller) run(ctx context.Context) {
	go c.routers.register(ctx)
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-c.batches:
			c.mergeBatch(b)
			if b.published != nil {
				c.publish(time.Now())
				close(b.published)
			}
		case reply := <-c.queries:
			reply <- c.state(time.Now())
		case <-c.outdated:
			c.dirty = true
		case now := <-ticker.C:
			c.tick(ctx, now)
		case now := <-due.C:
			c.endHolds(now)
		}
		if at := c.nextHoldEnd(); !at.IsZero() {
			due.Reset(time.Until(at))
		}
		if c.dirty {
			c.publish(time.Now())
		}
	}
}

func (c *controller) mergeBatch(b changeBatch) {
	b.restored = c.initialized && len(b.changes) > 0 && b.changes[0].Era != c.mergedEra
	for _, change := range b.changes {
		c.mergedEra = change.Era
		if b.restored && c.deferChange(change, b.receivedAt) {
			continue
		}
		c.restored.settle(change.Key)
		c.merge(change, b)
	}
	if b.peerConfig != nil {
		c.mergePeerConfig(*b.peerConfig)
	}
	c.dirty = c.dirty || len(b.changes) > 0 || b.peerConfig != nil
	c.initialized = c.initialized || b.peerConfig == nil
}

func (c *controller) tick(ctx context.Context, now time.Time) {
	if c.rollouts.tick(ctx, now) || c.routers.changed(now) {
		c.dirty = true
	}
	c.quarantines.tick(ctx, now)
	if now.Sub(c.lastPrune) > pruneInterval {
		c.lastPrune = now
		c.prune(now)
		c.checkDepartures(ctx, now)
	}
}

// endHolds removes the servers and takes over the changes whose hold has ended.
func (c *controller) endHolds(now time.Time) {
	c.mergeDeferred(now)
	for id, s := range c.servers {
		if !s.removeAfter.IsZero() && !now.Before(s.removeAfter) {
			c.removeServer(id, "gone")
		}
	}
}

// nextHoldEnd returns when the next hold ends; zero if there is none.
func (c *controller) nextHoldEnd() time.Time {
	var next time.Time
	for _, s := range c.servers {
		next = earliest(next, s.removeAfter)
	}
	for _, at := range c.restored.deferred {
		next = earliest(next, at)
	}
	return next
}

// earliest returns the earlier one of two times, of which zero stands for none.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// prune drops connections to and observations of removed servers.
func (c *controller) prune(now time.Time) {
	inUse := make(map[upstream.Target]bool, len(c.servers))
	for id, s := range c.servers {
		inUse[upstream.Target{ID: id, Address: s.Address}] = true
	}
	c.edge.gateway.Pool.Prune(now, inUse)
	c.edge.gateway.Chooser.Retain(func(id string) bool { return c.servers[id] != nil })
	c.edge.gateway.Chooser.Announcements.Prune(now)
	c.restored.prune(now)
}

// noteDeparture makes the control loop publish a view without the servers that have announced
// that they leave, and the exchange tell the other routers.
func (c *controller) noteDeparture() {
	notify(c.outdated)
	notify(c.departureNews)
}

// notify sends to a channel with room for one value, unless it holds one.
func notify(listener chan<- struct{}) {
	select {
	case listener <- struct{}{}:
	default:
	}
}

// merge applies one change to the controller's state.
func (c *controller) merge(change mirror.Change, b changeBatch) {
	decoder := c.edge.settings.Decoder
	if c.edge.duties.merge(change) {
		return
	}
	if c.routers.merge(change) || c.rollouts.merge(change, decoder) || c.quarantines.merge(change, b.restored) {
		return
	}
	if dataCentre, ok := decoder.Evacuation(change.Entry); ok {
		c.mergeEvacuation(dataCentre, change)
		return
	}
	if change.Deleted {
		c.mergeServerRemoval(change, b)
		return
	}
	if config, ok, err := decoder.Config(change.Entry); ok {
		c.mergeConfig(config, err, change.Entry)
		return
	}
	if server, ok, err := decoder.Server(change.Entry); ok {
		c.mergeServer(server, err, change.Entry, b.restored)
	}
}

func (c *controller) mergeEvacuation(dataCentre string, change mirror.Change) {
	if change.Deleted {
		delete(c.evacuations, dataCentre)
		c.markColdAfterEvacuation(dataCentre, time.Now())
	} else {
		c.evacuations[dataCentre] = true
	}
	c.edge.log.Info().Str("data_centre", dataCentre).Bool("out_of_service", !change.Deleted).
		Uint64("revision", uint64(change.Revision)).Msg("data centre evacuation state changed")
}

func (c *controller) mergeConfig(config *topology.Config, err error, e kv.Entry) {
	if err != nil {
		c.edge.log.Error().Err(err).Uint64("revision", uint64(e.Revision)).Msg("failed to decode configuration; keeping the current one")
		return
	}
	if c.config != nil && config.Version < c.config.Version {
		c.edge.log.Warn().Uint64("version", config.Version).Uint64("in_force", c.config.Version).Uint64("era", c.mergedEra).
			Msg("ignoring configuration older than the current one")
		return
	}
	c.applyConfig(config, e, c.mergedEra)
}

// mergePeerConfig applies the configuration of a peer if it is newer than the current one.
func (c *controller) mergePeerConfig(e kv.Entry) {
	config, ok, err := c.edge.settings.Decoder.Config(e)
	if !ok || err != nil {
		c.edge.log.Error().Err(err).Str("key", e.Key).Msg("failed to decode configuration of a peer")
		return
	}
	if c.config == nil || config.Version > c.config.Version {
		c.applyConfig(config, e, 0)
	}
}

// applyConfig puts a configuration in force. era is that of the store which held it, 0 if it
// came from a peer.
func (c *controller) applyConfig(config *topology.Config, e kv.Entry, era uint64) {
	config.InheritWithdrawals(c.config)
	c.config, c.configRevision, c.configAppliedAt = config, uint64(e.Revision), time.Now()
	c.edge.config.current.Store(&configInForce{version: config.Version, entry: e, ref: content.RefOf(e.Value), era: era})
	c.edge.log.Info().Uint64("version", config.Version).Uint64("revision", uint64(e.Revision)).Uint64("era", era).Msg("configuration applied")
	if problems := config.Problems(); len(problems) > 0 {
		c.edge.log.Warn().Uint64("version", config.Version).Int("count", len(problems)).Str("first", problems[0]).
			Msg("configuration has problems")
	}
}

// publish builds a new view and makes it visible to the request path.
func (c *controller) publish(now time.Time) {
	c.dirty = false
	c.peerMu.Lock()
	c.peerAddresses = c.routers.addresses()
	c.loadAggregators = c.routers.loadAggregatorAddresses()
	c.storeReaders = c.routers.storeReaders()
	c.followed = c.routers.followed(c.storeReaders)
	c.peerMu.Unlock()
	view := &topology.View{
		At: now, Config: c.config, Servers: make(map[string][]*topology.Server),
		Routers: c.routers.names(now), ConfigBehind: c.edge.fetcher.awaitsConfig(),
	}
	for _, s := range c.servers {
		if !c.leaving(s) && !c.evacuations[s.DataCentre] {
			view.Servers[s.Service] = append(view.Servers[s.Service], s.Server)
		}
	}
	view.Splits = c.rollouts.splits(view.Servers)
	c.edge.duties.membership.Store(c.routers.membership())
	if a := c.edge.duties.autoscale; a != nil {
		a.fleet.Store(c.fleetState())
	}
	if c.edge.view.Swap(view) == nil {
		close(c.firstView)
		c.edge.log.Info().Msg("first view published")
	}
}

// deregister revokes the lease of this router's store entry.
func (c *controller) deregister(ctx context.Context) { c.routers.deregister(ctx) }
