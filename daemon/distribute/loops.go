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

	"google.golang.org/protobuf/proto"
)

const (
	// routerRound and agentRound are the mean times between gossip rounds. Agents
	// also hear routers with each request, so they gossip less.
	routerRound = time.Second
	agentRound  = 5 * time.Second
	// peersPerRound is how many peers a round calls.
	peersPerRound = 2
	// farRounds is the number of rounds after which one peer is of another region.
	farRounds = 5
	// startPeers is how many peers a starting process asks.
	startPeers = 5
	// startRetry is the mean wait between attempts to start.
	startRetry = time.Second
	// watchRetry is the mean wait after a failed watch.
	watchRetry = 2 * time.Second
	// pollInterval is the mean time between polls of an unconfirmed process. All
	// 2,050 processes polling at once cause 70 reads/s of the store's 2,000.
	pollInterval = 30 * time.Second
	// duty is the mean time between checks whether this process should watch or poll.
	duty = 3 * time.Second
	// catchUpRetry is the mean wait before a version is fetched again.
	catchUpRetry = time.Second
)

// Run keeps the bundle current until ctx ends. It first gets a bundle, which
// Current then shows; the process is not ready before. It returns ctx.Err().
func (s *Syncer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.startLoop, s.watchLoop, s.catchUpLoop, s.gossipLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

func (s *Syncer) sleep(ctx context.Context, mean time.Duration) bool {
	return s.cfg.Clock.Sleep(ctx, s.jitter(mean)) == nil
}

// wait returns when c is signalled, after a jittered mean, or when ctx ends.
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

func (s *Syncer) startLoop(ctx context.Context) {
	stopsRead := false
	for !stopsRead || s.Current() == nil {
		if s.Current() == nil {
			if err := s.Bootstrap(ctx); err != nil {
				s.cfg.Log.Warn().Err(err).Msg("no configuration yet")
			}
		}
		if !stopsRead {
			stopsRead = s.ReadStops(ctx) == nil
		}
		if (!stopsRead || s.Current() == nil) && !s.sleep(ctx, startRetry) {
			return
		}
	}
}

// Bootstrap makes one attempt to get a bundle: it asks the store and several peers
// and takes the highest version that verifies. It returns ErrNoSource when no
// source has one.
func (s *Syncer) Bootstrap(ctx context.Context) error {
	sources := append(s.peers(s.startMembers()), storeSource{keeper: s})
	found := s.ask(ctx, sources)
	slices.SortStableFunc(found, func(a, b answer) int { return b.compare(a) })
	var failed []error
	for _, a := range found {
		if _, err := s.pull(ctx, a, sources...); err != nil {
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

// startMembers picks peers of the own region and, for half of them, any region.
func (s *Syncer) startMembers() []Member {
	near := s.pick(startPeers/2, func(m Member) bool { return m.Region == s.cfg.Self.Region })
	far := s.pick(startPeers-len(near), func(m Member) bool { return !slices.Contains(near, m) })
	return append(near, far...)
}

// answer is a manifest that a source delivered, unverified.
type answer struct {
	source
	data    []byte
	version uint64
	// same is how many sources delivered this content.
	same int
}

func (a answer) manifest(context.Context) ([]byte, error) { return a.data, nil }

// compare orders by version, then by the number of sources with the content: a
// store restored with another content of a version must not win against peers.
func (a answer) compare(b answer) int {
	if a.version != b.version {
		if a.version < b.version {
			return -1
		}
		return 1
	}
	return a.same - b.same
}

// ask gets the manifests of all sources at the same time, and introduces this
// process to the peers, which answer with every stop notice.
func (k *Syncer) ask(ctx context.Context, sources []source) []answer {
	answers := make([]answer, len(sources))
	var wg sync.WaitGroup
	for i, s := range sources {
		wg.Go(func() {
			data, err := s.manifest(ctx)
			if err == nil {
				answers[i] = answer{source: s, data: data, version: versionOf(data)}
			}
			if p, ok := s.(peerSource); ok {
				k.syncWith(ctx, p)
			}
		})
	}
	wg.Wait()
	answers = slices.DeleteFunc(answers, func(a answer) bool { return a.version == 0 })
	counts := make(map[bundle.Hash]int)
	for _, a := range answers {
		counts[contentOf(a.data)]++
	}
	for i := range answers {
		answers[i].same = counts[contentOf(answers[i].data)]
	}
	return answers
}

func contentOf(data []byte) bundle.Hash {
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
	for ctx.Err() == nil {
		switch {
		case s.watching():
			next, err := s.watch(ctx, seen)
			seen = next
			if err == nil {
				continue
			}
			s.cfg.Log.Debug().Err(err).Msg("watch the store")
			seen = 0
			if !s.sleep(ctx, watchRetry) {
				return
			}
		case s.unconfirmed():
			s.poll(ctx)
			if !s.sleep(ctx, pollInterval) {
				return
			}
		default:
			if !s.sleep(ctx, duty) {
				return
			}
		}
	}
}

func (s *Syncer) unconfirmed() bool {
	return s.cfg.Clock.Now().Sub(s.LastConfirmed()) > FreshnessBound
}

func (s *Syncer) poll(ctx context.Context) {
	entry, err := s.readCurrent(ctx)
	if err == nil {
		s.fromStore(ctx, entry)
	}
}

// watch reads the manifest when seen is 0 and otherwise waits for a change. It
// returns the revision handled, or 0 when it must be read again.
func (s *Syncer) watch(ctx context.Context, seen kv.Revision) (kv.Revision, error) {
	if seen == 0 {
		entry, err := s.readCurrent(ctx)
		if err != nil {
			return 0, err
		}
		if entry.Revision != 0 || s.Current() != nil {
			return entry.Revision, s.fromStore(ctx, entry)
		}
	}
	sent := s.cfg.Clock.Now()
	wait, cancel := context.WithTimeout(ctx, storeWindow)
	defer cancel()
	entry, err := s.cfg.Store.Watch(wait, KeyCurrent, seen)
	s.meter.spend("store", len(entry.Value))
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return 0, s.pause(ctx)
	case err != nil && wait.Err() != nil && ctx.Err() == nil:
		return 0, nil
	case err != nil:
		return 0, fmt.Errorf("distribute: watch: %w", err)
	}
	s.storeAnswered(sent)
	if entry.Revision == seen {
		return seen, s.pause(ctx)
	}
	return entry.Revision, s.fromStore(ctx, entry)
}

// pause keeps a store that ends watches at once from being called in a loop.
func (s *Syncer) pause(ctx context.Context) error {
	s.sleep(ctx, watchRetry)
	return ctx.Err()
}

// fromStore accepts the manifest read from the store. A store that holds less
// than this process is repaired by watchers.
func (s *Syncer) fromStore(ctx context.Context, entry kv.Entry) error {
	spare := s.peers(s.pick(1, anyMember))
	presented, err := s.pull(ctx, storeSource{keeper: s, entry: &entry}, spare...)
	if presented < s.Version() && s.watching() {
		return s.repair(ctx, entry)
	}
	if transient(err) {
		return err
	}
	return nil
}

// transient reports whether fetching again may help. Other refusals are final
// for the content and have been counted.
func transient(err error) bool { return errors.Is(err, bundle.ErrMissingPart) }

// repair writes the bundle held to a store that was restored with older content.
// What the store held then was never in force above the version held.
func (s *Syncer) repair(ctx context.Context, entry kv.Entry) error {
	c := s.Current()
	s.cfg.Log.Warn().Uint64("version", c.Version).Msg("store holds an older configuration, writing the one in force")
	for hash, data := range c.Parts {
		if err := s.put(ctx, KeyPart+string(hash), data, 0); err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	err := s.put(ctx, KeyCurrent, c.Encoded, entry.Revision)
	if err == nil {
		s.count("cactusknot_config_repairs_total{store=%q}", "bundle")
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

// catchUpLoop fetches versions that peers claim and writes stop notices.
func (s *Syncer) catchUpLoop(ctx context.Context) {
	again := false
	for {
		mean := time.Minute
		if again {
			mean = max(catchUpRetry, stopRetry)
		}
		if !s.wait(ctx, s.wake, mean) {
			return
		}
		if s.Behind() {
			s.catchUp(ctx)
		}
		again = s.writeStops(ctx)
		again = again || s.Behind()
	}
}

// gossipLoop runs rounds, and one at once when there is news.
func (s *Syncer) gossipLoop(ctx context.Context) {
	mean := agentRound
	if s.cfg.Self.Router {
		mean = routerRound
	}
	for s.wait(ctx, s.spread, mean) {
		s.Gossip(ctx)
	}
}

// Gossip runs one round: it syncs with random peers.
func (k *Syncer) Gossip(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range k.peers(k.roundMembers()) {
		wg.Go(func() { k.syncWith(ctx, s.(peerSource)) })
	}
	wg.Wait()
}

// roundMembers picks random peers of the region. In each farRounds-th round of a
// router, in each round of an agent and of an unconfirmed process, one is of a
// data centre without a recent contact or else of another region.
func (s *Syncer) roundMembers() []Member {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	s.rounds++
	far := s.rounds%farRounds == 0 || !s.cfg.Self.Router
	s.mu.Unlock()
	near := s.pick(peersPerRound, func(m Member) bool { return m.Region == s.cfg.Self.Region })
	if !far && len(near) > 0 && !s.unconfirmed() {
		return near
	}
	stale := s.staleDataCentres(now)
	other := s.pick(1, func(m Member) bool { return stale[m.DataCentre] && !slices.Contains(near, m) })
	if len(other) == 0 {
		other = s.pick(1, func(m Member) bool { return m.Region != s.cfg.Self.Region })
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
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := p.client.Sync(ctx, in)
	if err != nil {
		s.meter.spend("sync", proto.Size(in))
		return
	}
	s.meter.spend("sync", proto.Size(in)+proto.Size(out))
	s.RecordContact(p.member.DataCentre, sent)
	s.MergeStops(out.GetStops())
	s.mergeCounters(out.GetCounters())
	s.ObserveVersion(out.GetBundleVersion(), p.member.Node)
}
