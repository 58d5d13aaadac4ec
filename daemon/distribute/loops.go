package distribute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"

	"google.golang.org/protobuf/proto"
)

const (
	// routerRound and agentRound are the mean times between gossip rounds. Agents
	// also learn versions from the requests of routers, so they gossip less often.
	routerRound = time.Second
	agentRound  = 5 * time.Second
	// peersPerRound is the number of peers called in one round.
	peersPerRound = 2
	// remoteRoundInterval: in every remoteRoundInterval-th round a router calls a peer
	// outside its usual choice, see roundMembers.
	remoteRoundInterval = 5
	// bootstrapPeers is the number of peers that a starting process asks.
	bootstrapPeers = 5
	// bootstrapRetry is the mean time between attempts to get a first bundle.
	bootstrapRetry = time.Second
	// watchRetry is the mean delay after a watch that reported no change before its time.
	watchRetry = 2 * time.Second
	// firstRetry and lastRetry bound the mean delay after failed store calls, which doubles
	// with each failure after the second. The first retry has no delay, since a restored
	// store usually refuses one call only. During an outage two watchers per data centre
	// call about once a second, and learn of its end within 1.5 s.
	firstRetry = 250 * time.Millisecond
	lastRetry  = time.Second
	// retryTimeout limits a read after a failure, so that a hung connection does not delay
	// the next one by storeTimeout. It leaves a slow store the time to answer.
	retryTimeout = 1500 * time.Millisecond
	// pollInterval is the mean time between polls of an unconfirmed process. If all
	// 2,050 processes poll, they cause 70 reads/s; the store allows 2,000.
	pollInterval = 30 * time.Second
	// roleCheckInterval is the mean time between checks whether this process should
	// watch or poll the store.
	roleCheckInterval = 3 * time.Second
	// catchUpRetry is the mean delay before a version is fetched again.
	catchUpRetry = time.Second
)

// Run keeps the bundle up to date until ctx ends and returns ctx.Err(). Current
// returns nil until Run has got the first bundle; the process is not ready before.
func (s *Syncer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.bootstrapLoop, s.watchLoop, s.catchUpLoop, s.gossipLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

func (s *Syncer) sleep(ctx context.Context, mean time.Duration) bool {
	return s.cfg.Clock.Sleep(ctx, s.jitter(mean)) == nil
}

// wait blocks until c is signalled, a jittered mean has passed, or ctx ends. It
// returns false if ctx has ended.
func (s *Syncer) wait(ctx context.Context, c <-chan struct{}, mean time.Duration) bool {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	slept := make(chan struct{})
	go func() {
		s.sleep(inner, mean)
		close(slept)
	}()
	select {
	case <-c:
	case <-slept:
	}
	return ctx.Err() == nil
}

func (s *Syncer) bootstrapLoop(ctx context.Context) {
	stopsRead := false
	for !stopsRead || s.Current() == nil {
		if s.Current() == nil {
			if err := s.Bootstrap(ctx); err != nil {
				s.cfg.Log.Warn().Err(err).Msg("no configuration from any source; retrying")
			}
		}
		if !stopsRead {
			stopsRead = s.ReadStops(ctx) == nil
		}
		if (!stopsRead || s.Current() == nil) && !s.sleep(ctx, bootstrapRetry) {
			return
		}
	}
}

// Bootstrap makes one attempt to get a first bundle: it asks the store and several
// peers and accepts the highest version that verifies. It returns ErrNoSource if no
// source has one.
func (s *Syncer) Bootstrap(ctx context.Context) error {
	sources := append(s.peerSources(s.bootstrapMembers()), storeSource{syncer: s})
	found := s.fetchManifests(ctx, sources)
	slices.SortStableFunc(found, func(a, b answer) int { return b.compare(a) })
	var failed []error
	for _, a := range found {
		if _, err := s.fetchBundle(ctx, a, sources...); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", a.name(), err))
			continue
		}
		break
	}
	if s.Current() == nil {
		return fmt.Errorf("%w: %w", ErrNoSource, errors.Join(failed...))
	}
	return nil
}

// bootstrapMembers picks random peers: up to half of them from the own region, the
// others from any region.
func (s *Syncer) bootstrapMembers() []Member {
	near := s.pickRouters(bootstrapPeers/2, func(m Member) bool { return m.Region == s.cfg.Self.Region })
	far := s.pickRouters(bootstrapPeers-len(near), func(m Member) bool { return !slices.Contains(near, m) })
	return append(near, far...)
}

// answer is an unverified manifest delivered by a source.
type answer struct {
	source
	data    []byte
	version uint64
	// matching is the number of sources that delivered this content.
	matching int
}

func (a answer) manifest(context.Context) ([]byte, error) { return a.data, nil }

// compare orders by version, then by the number of sources with the same content: a
// store restored with different content for a version must not win against the
// peers.
func (a answer) compare(b answer) int {
	if a.version != b.version {
		if a.version < b.version {
			return -1
		}
		return 1
	}
	return a.matching - b.matching
}

// fetchManifests reads the manifests of all sources concurrently. It also syncs with
// the peers, which return all stop notices to a process without a bundle.
func (s *Syncer) fetchManifests(ctx context.Context, sources []source) []answer {
	answers := make([]answer, len(sources))
	var wg sync.WaitGroup
	for i, src := range sources {
		wg.Go(func() {
			data, err := src.manifest(ctx)
			if err == nil {
				answers[i] = answer{source: src, data: data, version: claimedVersion(data)}
			}
			if p, ok := src.(peerSource); ok {
				s.syncWith(ctx, p)
			}
		})
	}
	wg.Wait()
	answers = slices.DeleteFunc(answers, func(a answer) bool { return a.version == 0 })
	counts := make(map[bundle.Hash]int)
	for _, a := range answers {
		counts[manifestHash(a.data)]++
	}
	for i := range answers {
		answers[i].matching = counts[manifestHash(answers[i].data)]
	}
	return answers
}

func manifestHash(data []byte) bundle.Hash {
	s, err := bundle.DecodeSignedManifest(data)
	if err != nil {
		return ""
	}
	return s.Hash()
}

// watchLoop watches the store when this process is a watcher, and polls it when
// this process is unconfirmed.
func (s *Syncer) watchLoop(ctx context.Context) {
	var seen kv.Revision
	failures := 0
	for ctx.Err() == nil {
		switch {
		case s.isWatcher():
			watched := seen != 0
			next, err := s.watch(ctx, seen, failures > 0)
			seen = next
			if err == nil {
				// A store that serves reads but refuses watches must not be called in a
				// tight loop, so a read alone does not end the backoff.
				if watched {
					failures = 0
				}
				continue
			}
			failures++
			s.cfg.Log.Debug().Err(err).Int("failures", failures).Msg("watching the store failed; retrying")
			seen = 0
			if d := retryDelay(failures); d > 0 && !s.sleep(ctx, d) {
				return
			}
		case s.unconfirmed():
			s.poll(ctx)
			if !s.sleep(ctx, pollInterval) {
				return
			}
		default:
			if !s.sleep(ctx, roleCheckInterval) {
				return
			}
		}
	}
}

// retryDelay returns the mean delay after a number of consecutive failures.
func retryDelay(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	return min(lastRetry, firstRetry<<min(failures-2, 8))
}

func (s *Syncer) unconfirmed() bool {
	return s.cfg.Clock.Now().Sub(s.LastConfirmed()) > FreshnessBound
}

func (s *Syncer) poll(ctx context.Context) {
	entry, err := s.readCurrent(ctx)
	if err == nil {
		s.acceptFromStore(ctx, entry)
	}
}

// watch reads the manifest if seen is 0 and otherwise waits for a change. It returns
// the revision handled, or 0 if the manifest must be read again. The read is short after a
// failure.
func (s *Syncer) watch(ctx context.Context, seen kv.Revision, failed bool) (kv.Revision, error) {
	if seen == 0 {
		read, cancel := context.WithCancel(ctx)
		if failed {
			read, cancel = context.WithTimeout(ctx, retryTimeout)
		}
		entry, err := s.readCurrent(read)
		cancel()
		if err != nil {
			return 0, err
		}
		if entry.Revision != 0 || s.Current() != nil {
			return entry.Revision, s.acceptFromStore(ctx, entry)
		}
	}
	sent := s.cfg.Clock.Now()
	wait, cancel := context.WithTimeout(ctx, storeWindow)
	defer cancel()
	era := s.cfg.StoreEra()
	s.setEndWatch(cancel)
	defer s.setEndWatch(nil)
	entry, err := s.cfg.Store.Watch(wait, KeyCurrent, seen)
	s.meter.spend("store", len(entry.Value))
	switch {
	case errors.Is(err, kv.ErrNotFound) && s.cfg.StoreEra() != era:
		return 0, nil
	case errors.Is(err, kv.ErrNotFound):
		return 0, s.backOff(ctx)
	case err != nil && wait.Err() != nil && ctx.Err() == nil:
		return 0, nil
	case err != nil:
		return 0, fmt.Errorf("distribute: watch: %w", err)
	}
	s.recordStoreRead(sent)
	if entry.Revision == seen {
		return seen, s.backOff(ctx)
	}
	return entry.Revision, s.acceptFromStore(ctx, entry)
}

func (s *Syncer) setEndWatch(end context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatch = end
}

// WakeForEra is called after the process has heard of a new era of the store. It tells peers and,
// in a watcher, ends the watch, so that the manifest is read again at once. A watch that was begun
// in the new era at a revision of the earlier one would report nothing until it ends.
func (s *Syncer) WakeForEra() {
	notify(s.gossipNow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endWatch != nil {
		s.endWatch()
	}
}

// backOff waits before the next watch, so that a store that ends watches immediately
// is not called in a tight loop.
func (s *Syncer) backOff(ctx context.Context) error {
	s.sleep(ctx, watchRetry)
	return ctx.Err()
}

// acceptFromStore accepts the manifest read from the store. If the store holds a
// lower version than this process, a watcher repairs the store.
func (s *Syncer) acceptFromStore(ctx context.Context, entry kv.Entry) error {
	fallback := s.peerSources(s.pickRouters(1, anyMember))
	presented, err := s.fetchBundle(ctx, storeSource{syncer: s, entry: &entry}, fallback...)
	if presented < s.Version() && s.isWatcher() {
		return s.repairStore(ctx, entry)
	}
	if transient(err) {
		return err
	}
	return nil
}

// transient reports whether fetching again may succeed. Other refusals are final for
// the content and have been counted.
func transient(err error) bool { return errors.Is(err, bundle.ErrMissingPart) }

// repairStore writes the bundle held to a store that was restored with older
// content. No version above the one held is lost by this.
func (s *Syncer) repairStore(ctx context.Context, entry kv.Entry) error {
	c := s.Current()
	s.cfg.Log.Warn().Uint64("version", c.Version).Msg("store holds an older configuration; writing the one in force")
	for hash, data := range c.Parts {
		if err := s.put(ctx, KeyPart+string(hash), data, 0); err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	err := s.put(ctx, KeyCurrent, c.Encoded, entry.Revision)
	if err == nil {
		s.incrementCounter("cactusknot_config_repairs_total{store=%q}", "bundle")
	}
	return err
}

func (s *Syncer) put(ctx context.Context, key string, value []byte, expect kv.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.cfg.Store.Put(ctx, key, value, expect, 0)
	s.meter.spend("store", len(key)+len(value))
	if err != nil {
		return fmt.Errorf("distribute: write %s: %w", key, err)
	}
	return nil
}

// catchUpLoop fetches the versions that peers claim and writes pending stop notices.
func (s *Syncer) catchUpLoop(ctx context.Context) {
	again := false
	for {
		mean := time.Minute
		if again {
			mean = max(catchUpRetry, stopRetry)
		}
		if !s.wait(ctx, s.catchUpNow, mean) {
			return
		}
		if s.Behind() {
			s.catchUp(ctx)
		}
		again = s.writeStops(ctx)
		again = again || s.Behind()
	}
}

// gossipLoop runs gossip rounds periodically and immediately after a change.
func (s *Syncer) gossipLoop(ctx context.Context) {
	mean := agentRound
	if s.cfg.Self.Router {
		mean = routerRound
	}
	for s.wait(ctx, s.gossipNow, mean) {
		s.Gossip(ctx)
	}
}

// Gossip runs one gossip round with random peers.
func (s *Syncer) Gossip(ctx context.Context) {
	var wg sync.WaitGroup
	for _, src := range s.peerSources(s.roundMembers()) {
		wg.Go(func() { s.syncWith(ctx, src.(peerSource)) })
	}
	wg.Wait()
}

// roundMembers picks random peers of the own region. In every
// remoteRoundInterval-th round of a router, and in every round of an agent or an
// unconfirmed process, one peer is from a data centre without a recent contact or
// else from another region.
func (s *Syncer) roundMembers() []Member {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	s.rounds++
	far := s.rounds%remoteRoundInterval == 0 || !s.cfg.Self.Router
	s.mu.Unlock()
	near := s.pickRouters(peersPerRound, func(m Member) bool { return m.Region == s.cfg.Self.Region })
	if !far && len(near) > 0 && !s.unconfirmed() {
		return near
	}
	stale := s.staleDataCentres(now)
	other := s.pickRouters(1, func(m Member) bool { return stale[m.DataCentre] && !slices.Contains(near, m) })
	if len(other) == 0 {
		other = s.pickRouters(1, func(m Member) bool { return m.Region != s.cfg.Self.Region })
	}
	if len(other) == 0 {
		return near
	}
	return append(near[:min(len(near), peersPerRound-1)], other...)
}

// syncWith exchanges versions, stop notices and counters with one peer.
func (s *Syncer) syncWith(ctx context.Context, p peerSource) {
	sent := s.cfg.Clock.Now()
	in := &rpc.SyncRequest{
		Node:           s.cfg.Self.Node,
		BundleVersion:  s.Version(),
		StoreReachable: s.StoreReachable(sent),
		Stops:          s.stopsToSend(),
		Counters:       s.countersToSend(),
		StoreEra:       s.cfg.StoreEra(),
	}
	call := transfer.New(ctx, peerLimits)
	defer call.Stop()
	out, err := p.client.Sync(call.Context(), in)
	if err != nil {
		s.meter.spend("sync", proto.Size(in))
		return
	}
	s.meter.spend("sync", proto.Size(in)+proto.Size(out))
	s.RecordContact(p.member.DataCentre, sent)
	s.MergeStops(out.GetStops())
	s.mergeCounters(out.GetCounters())
	s.ObserveVersion(out.GetBundleVersion(), p.member.Node)
	s.cfg.ObserveStoreEra(out.GetStoreEra())
}
