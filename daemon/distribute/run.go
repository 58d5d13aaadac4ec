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
func (k *Keeper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){k.startLoop, k.watchLoop, k.catchUpLoop, k.gossipLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

func (k *Keeper) sleep(ctx context.Context, mean time.Duration) bool {
	return k.cfg.Clock.Sleep(ctx, k.jitter(mean)) == nil
}

// wait returns when c is signalled, after a jittered mean, or when ctx ends.
func (k *Keeper) wait(ctx context.Context, c <-chan struct{}, mean time.Duration) bool {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	slept := make(chan struct{})
	go func() {
		k.sleep(inner, mean)
		close(slept)
	}()
	select {
	case <-c:
	case <-slept:
	}
	return ctx.Err() == nil
}

func (k *Keeper) startLoop(ctx context.Context) {
	stopsRead := false
	for !stopsRead || k.Current() == nil {
		if k.Current() == nil {
			if err := k.Start(ctx); err != nil {
				k.cfg.Log.Warn().Err(err).Msg("no configuration yet")
			}
		}
		if !stopsRead {
			stopsRead = k.ReadStops(ctx) == nil
		}
		if (!stopsRead || k.Current() == nil) && !k.sleep(ctx, startRetry) {
			return
		}
	}
}

// Start makes one attempt to get a bundle: it asks the store and several peers
// and takes the highest version that verifies. It returns ErrNoSource when no
// source has one.
func (k *Keeper) Start(ctx context.Context) error {
	sources := append(k.peers(k.startMembers()), storeSource{keeper: k})
	found := k.ask(ctx, sources)
	slices.SortStableFunc(found, func(a, b answer) int { return b.compare(a) })
	var failed []error
	for _, a := range found {
		if _, err := k.pull(ctx, a, sources...); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", a.name(), err))
			continue
		}
		break
	}
	if k.Current() == nil {
		return fmt.Errorf("%w: %w", ErrNoSource, errors.Join(failed...))
	}
	return nil
}

// startMembers picks peers of the own region and, for half of them, any region.
func (k *Keeper) startMembers() []Member {
	near := k.pick(startPeers/2, func(m Member) bool { return m.Region == k.cfg.Self.Region })
	far := k.pick(startPeers-len(near), func(m Member) bool { return !slices.Contains(near, m) })
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
func (k *Keeper) ask(ctx context.Context, sources []source) []answer {
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
func (k *Keeper) watchLoop(ctx context.Context) {
	var seen kv.Revision
	for ctx.Err() == nil {
		switch {
		case k.watching():
			next, err := k.watch(ctx, seen)
			seen = next
			if err == nil {
				continue
			}
			k.cfg.Log.Debug().Err(err).Msg("watch the store")
			seen = 0
			if !k.sleep(ctx, watchRetry) {
				return
			}
		case k.unconfirmed():
			k.poll(ctx)
			if !k.sleep(ctx, pollInterval) {
				return
			}
		default:
			if !k.sleep(ctx, duty) {
				return
			}
		}
	}
}

func (k *Keeper) unconfirmed() bool {
	return k.cfg.Clock.Now().Sub(k.Confirmed()) > FreshnessBound
}

func (k *Keeper) poll(ctx context.Context) {
	entry, err := k.readCurrent(ctx)
	if err == nil {
		k.fromStore(ctx, entry)
	}
}

// watch reads the manifest when seen is 0 and otherwise waits for a change. It
// returns the revision handled, or 0 when it must be read again.
func (k *Keeper) watch(ctx context.Context, seen kv.Revision) (kv.Revision, error) {
	if seen == 0 {
		entry, err := k.readCurrent(ctx)
		if err != nil {
			return 0, err
		}
		if entry.Revision != 0 || k.Current() != nil {
			return entry.Revision, k.fromStore(ctx, entry)
		}
	}
	sent := k.cfg.Clock.Now()
	wait, cancel := context.WithTimeout(ctx, storeWindow)
	defer cancel()
	entry, err := k.cfg.Store.Watch(wait, KeyCurrent, seen)
	k.meter.spend("store", len(entry.Value))
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return 0, k.pause(ctx)
	case err != nil && wait.Err() != nil && ctx.Err() == nil:
		return 0, nil
	case err != nil:
		return 0, fmt.Errorf("distribute: watch: %w", err)
	}
	k.storeAnswered(sent)
	if entry.Revision == seen {
		return seen, k.pause(ctx)
	}
	return entry.Revision, k.fromStore(ctx, entry)
}

// pause keeps a store that ends watches at once from being called in a loop.
func (k *Keeper) pause(ctx context.Context) error {
	k.sleep(ctx, watchRetry)
	return ctx.Err()
}

// fromStore accepts the manifest read from the store. A store that holds less
// than this process is repaired by watchers.
func (k *Keeper) fromStore(ctx context.Context, entry kv.Entry) error {
	spare := k.peers(k.pick(1, anyMember))
	presented, err := k.pull(ctx, storeSource{keeper: k, entry: &entry}, spare...)
	if presented < k.Version() && k.watching() {
		return k.repair(ctx, entry)
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
func (k *Keeper) repair(ctx context.Context, entry kv.Entry) error {
	c := k.Current()
	k.cfg.Log.Warn().Uint64("version", c.Version).Msg("store holds an older configuration, writing the one in force")
	for hash, data := range c.Parts {
		if err := k.put(ctx, KeyPart+string(hash), data, 0); err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	err := k.put(ctx, KeyCurrent, c.Encoded, entry.Revision)
	if err == nil {
		k.count("cactusknot_config_repairs_total{store=%q}", "bundle")
	}
	return err
}

func (k *Keeper) put(ctx context.Context, key string, value []byte, expect kv.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := k.cfg.Store.Put(ctx, key, value, expect, 0)
	k.meter.spend("store", len(key)+len(value))
	if err != nil {
		return fmt.Errorf("distribute: write %s: %w", key, err)
	}
	return nil
}

// catchUpLoop fetches versions that peers claim and writes stop notices.
func (k *Keeper) catchUpLoop(ctx context.Context) {
	again := false
	for {
		mean := time.Minute
		if again {
			mean = max(catchUpRetry, stopRetry)
		}
		if !k.wait(ctx, k.wake, mean) {
			return
		}
		if k.Behind() {
			k.catchUp(ctx)
		}
		again = k.writeStops(ctx)
		again = again || k.Behind()
	}
}

// gossipLoop runs rounds, and one at once when there is news.
func (k *Keeper) gossipLoop(ctx context.Context) {
	mean := agentRound
	if k.cfg.Self.Router {
		mean = routerRound
	}
	for k.wait(ctx, k.spread, mean) {
		k.Gossip(ctx)
	}
}

// Gossip runs one round: it syncs with random peers.
func (k *Keeper) Gossip(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range k.peers(k.roundMembers()) {
		wg.Go(func() { k.syncWith(ctx, s.(peerSource)) })
	}
	wg.Wait()
}

// roundMembers picks random peers of the region. In each farRounds-th round of a
// router, in each round of an agent and of an unconfirmed process, one is of a
// data centre without a recent contact or else of another region.
func (k *Keeper) roundMembers() []Member {
	now := k.cfg.Clock.Now()
	k.mu.Lock()
	k.rounds++
	far := k.rounds%farRounds == 0 || !k.cfg.Self.Router
	k.mu.Unlock()
	near := k.pick(peersPerRound, func(m Member) bool { return m.Region == k.cfg.Self.Region })
	if !far && len(near) > 0 && !k.unconfirmed() {
		return near
	}
	stale := k.staleDataCentres(now)
	other := k.pick(1, func(m Member) bool { return stale[m.DataCentre] && !slices.Contains(near, m) })
	if len(other) == 0 {
		other = k.pick(1, func(m Member) bool { return m.Region != k.cfg.Self.Region })
	}
	if len(other) == 0 {
		return near
	}
	return append(near[:min(len(near), peersPerRound-1)], other...)
}

// syncWith exchanges versions, stop notices and counters with one peer.
func (k *Keeper) syncWith(ctx context.Context, p peerSource) {
	sent := k.cfg.Clock.Now()
	in := &rpc.SyncRequest{
		Node:           k.cfg.Self.Node,
		BundleVersion:  k.Version(),
		StoreReachable: k.StoreReachable(sent),
		Stops:          k.stopsToSend(),
		Counters:       k.countersToSend(),
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := p.client.Sync(ctx, in)
	if err != nil {
		k.meter.spend("sync", proto.Size(in))
		return
	}
	k.meter.spend("sync", proto.Size(in)+proto.Size(out))
	k.Contact(p.member.DataCentre, sent)
	k.Learn(out.GetStops())
	k.mergeCounters(out.GetCounters())
	k.Heard(out.GetBundleVersion(), p.member.Node)
}
