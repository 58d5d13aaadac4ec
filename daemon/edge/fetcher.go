package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/content"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

const (
	// contentSilence is how long a router that is asked for content may be silent.
	contentSilence = 500 * time.Millisecond
	// contentBatch is the length in bytes of the parts that are requested in one call. What a call
	// has brought is kept when the next one fails.
	contentBatch = 128 << 10
	// sourceAvoidance is how long a router is not asked again that did not answer, or did not hold
	// what it was asked for.
	sourceAvoidance = time.Second
	// sourcesBeforeStore is the number of routers in a row that fail before the store is asked for
	// the whole value, and otherSources the number of routers, besides the readers, among which
	// a source is chosen.
	sourcesBeforeStore = 2
	otherSources       = 2
	// fetchRetryDelay is the delay while no source is left.
	fetchRetryDelay = 200 * time.Millisecond
	// startupFetchTime bounds how long the start of a process waits for a configuration of its peers.
	startupFetchTime = 3 * time.Second
)

var contentLimits = transfer.Limits{Answer: contentSilence, Silence: contentSilence, Total: maxPeerTransfer}

// Errors of a source of content.
var (
	errNotHeld    = errors.New("edge: router does not hold the content")
	errSuperseded = errors.New("edge: newer content is wanted")
)

// contentFetcher fetches the large values that this router has heard of, one at a time and part by
// part, from the routers that hold them. Small changes are not held up by it.
type contentFetcher struct {
	edge *Edge
	// library holds the latest large values, for peers and as a source of parts.
	library content.Library
	news    chan struct{}
	// named is the address of the router that has last told of changes.
	named atomic.Pointer[string]
	// offered is a configuration that a peer goes by and the store does not hold; nil for none.
	offered atomic.Pointer[offeredConfig]
	// current describes the fetch in progress; nil for none.
	current atomic.Pointer[fetchProgress]
	// avoided holds until when routers are not asked, by address. Only run uses it.
	avoided map[string]time.Time
}

// offeredConfig is a configuration that a peer goes by.
type offeredConfig struct {
	key    string
	ref    content.Ref
	holder string
	// done is closed when this router goes by the configuration, or has given it up.
	done chan struct{}
}

// fetchProgress describes a fetch in progress. It is immutable.
type fetchProgress struct {
	key             string
	size, remaining int
	since           time.Time
}

func newContentFetcher(e *Edge) *contentFetcher {
	return &contentFetcher{edge: e, news: make(chan struct{}, 1), avoided: make(map[string]time.Time)}
}

// takeOver passes changes of the mirror to the control loop and keeps large values for peers.
func (e *Edge) takeOver(changes []mirror.Change) {
	for _, c := range changes {
		if c.Content != (content.Ref{}) {
			e.fetcher.library.Add(c.Content, c.Value)
		}
	}
	e.controller.enqueue(changes)
}

// prefer makes the router at address the first source.
func (f *contentFetcher) prefer(address string) { f.named.Store(&address) }

// wake starts a fetch if a value is missing.
func (f *contentFetcher) wake() {
	if len(f.edge.mirror.Missing()) == 0 {
		return
	}
	notify(f.news)
	notify(f.edge.controller.outdated)
}

// offer makes the fetcher get a configuration from the peer that goes by it. A Ref that could not
// be decoded is ignored.
func (f *contentFetcher) offer(key string, ref content.Ref, holder string) {
	if ref == (content.Ref{}) {
		return
	}
	if old := f.offered.Load(); old != nil && old.ref == ref {
		return
	}
	f.offered.Store(&offeredConfig{key: key, ref: ref, holder: holder, done: make(chan struct{})})
	notify(f.news)
	notify(f.edge.controller.outdated)
}

// waitForOffered waits until the offered configuration has been fetched, or for a bounded time.
func (f *contentFetcher) waitForOffered(ctx context.Context) {
	offered := f.offered.Load()
	if offered == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startupFetchTime)
	defer cancel()
	select {
	case <-offered.done:
	case <-ctx.Done():
	}
}

// awaitsConfig reports whether this router knows of a configuration that it does not hold yet.
func (f *contentFetcher) awaitsConfig() bool {
	if f.offered.Load() != nil {
		return true
	}
	for _, c := range f.edge.mirror.Missing() {
		if _, ok, _ := f.edge.settings.Decoder.Config(kv.Entry{Key: c.Key}); ok {
			return true
		}
	}
	return false
}

// wanted is a value that is to be fetched.
type wanted struct {
	key string
	ref content.Ref
	// offered is set if a peer holds the value and the store does not.
	offered *offeredConfig
}

// next returns the value to fetch, the first one by key.
func (f *contentFetcher) next() (w wanted, ok bool) {
	for _, c := range f.edge.mirror.Missing() {
		if !ok || c.Key < w.key {
			w, ok = wanted{key: c.Key, ref: c.Content}, true
		}
	}
	if offered := f.offered.Load(); !ok && offered != nil {
		return wanted{offered.key, offered.ref, offered}, true
	}
	return w, ok
}

// fetch is the fetching of one value.
type fetch struct {
	wanted
	assembly *content.Assembly
	began    time.Time
	// failures counts the sources that have failed in a row.
	failures int
}

// run fetches values until ctx is cancelled.
func (f *contentFetcher) run(ctx context.Context) {
	var current *fetch
	for ctx.Err() == nil {
		w, ok := f.next()
		if !ok {
			current = nil
			f.current.Store(nil)
			f.waitForNews(ctx)
			continue
		}
		if value := f.library.Value(w.ref); value != nil {
			f.complete(w, value)
			continue
		}
		if current == nil || current.ref != w.ref {
			current = f.begin(w, current)
		}
		current.wanted = w
		f.attempt(ctx, current)
	}
}

func (f *contentFetcher) waitForNews(ctx context.Context) {
	select {
	case <-f.news:
	case <-ctx.Done():
	}
}

// begin starts the fetch of a value. The parts that a fetch before it has received are kept.
func (f *contentFetcher) begin(w wanted, before *fetch) *fetch {
	next := &fetch{wanted: w, began: time.Now()}
	var earlier *content.Assembly
	if before != nil {
		earlier, next.began = before.assembly, before.began
	}
	next.assembly = content.NewAssembly(w.ref, earlier)
	f.edge.log.Info().Str("key", w.key).Int("bytes", w.ref.Size).Bool("goes_on", before != nil).Msg("fetching a large value")
	return next
}

// attempt fetches from one source. A source that fails is avoided for some time.
func (f *contentFetcher) attempt(ctx context.Context, current *fetch) {
	f.report(current)
	if current.failures >= sourcesBeforeStore {
		current.failures = 0
		if current.offered != nil {
			// Its holder offers it again, if it still goes by it.
			f.offered.CompareAndSwap(current.offered, nil)
			close(current.offered.done)
			return
		}
		f.readFromStore(ctx, current)
		return
	}
	source, ok := f.source(time.Now(), current.wanted)
	if !ok {
		current.failures++
		sleep(ctx, fetchRetryDelay)
		return
	}
	value, err := f.fetchFrom(ctx, source, current)
	switch {
	case err == nil:
		f.edge.log.Info().Str("key", current.key).Str("source", source).Int("bytes", len(value)).Int("reused", current.assembly.Reused()).
			Dur("took_ms", time.Since(current.began)).Msg("large value fetched")
		f.complete(current.wanted, value)
	case errors.Is(err, errSuperseded) || ctx.Err() != nil:
	default:
		current.failures++
		f.avoid(time.Now(), source)
		f.edge.storeMetrics.GetOrCreateCounter("cactusknot_content_sources_left_total").Inc()
		f.edge.log.Warn().Err(err).Str("key", current.key).Str("source", source).Int("bytes", current.ref.Size).
			Int("remaining", current.assembly.Remaining()).Dur("took_ms", time.Since(current.began)).Msg("source of a large value left")
	}
}

// avoid records that a router is not asked for some time, and drops what has ended.
func (f *contentFetcher) avoid(now time.Time, source string) {
	maps.DeleteFunc(f.avoided, func(_ string, until time.Time) bool { return now.After(until) })
	f.avoided[source] = now.Add(sourceAvoidance)
}

// report publishes the progress of a fetch for the state and the metrics.
func (f *contentFetcher) report(current *fetch) {
	f.current.Store(&fetchProgress{key: current.key, size: current.ref.Size, remaining: current.assembly.Remaining(), since: current.began})
}

// source returns the router to ask: the one that has named the value, a reader, or another one.
func (f *contentFetcher) source(now time.Time, w wanted) (address string, ok bool) {
	for _, address := range f.sources(w) {
		if address != f.edge.settings.PeerAddress && now.After(f.avoided[address]) {
			return address, true
		}
	}
	return "", false
}

func (f *contentFetcher) sources(w wanted) []string {
	if w.offered != nil {
		return []string{w.offered.holder}
	}
	var list []string
	if named := f.named.Load(); named != nil {
		list = append(list, *named)
	}
	for _, reader := range f.edge.controller.readers() {
		list = append(list, reader.Address)
	}
	peers := f.edge.controller.peers()
	for range min(otherSources, len(peers)) {
		list = append(list, peers[rand.IntN(len(peers))])
	}
	return list
}

// fetchFrom fetches what is missing of a value from one router.
func (f *contentFetcher) fetchFrom(ctx context.Context, source string, current *fetch) (value []byte, err error) {
	client, ref := f.edge.peerClient(source), encodeContentRef(current.ref)
	if !current.assembly.Listed() {
		reply, err := f.call(ctx, client, &rpc.ContentRequest{Ref: ref})
		if err != nil {
			return nil, err
		}
		if err := current.assembly.SetParts(decodeParts(reply), f.library.Part); err != nil {
			return nil, err
		}
		f.count("cactusknot_content_reused_bytes_total", current.assembly.Reused())
	}
	for missing := current.assembly.Missing(contentBatch); len(missing) > 0; missing = current.assembly.Missing(contentBatch) {
		if w, ok := f.next(); !ok || w.ref != current.ref {
			return nil, errSuperseded
		}
		f.report(current)
		reply, err := f.call(ctx, client, &rpc.ContentRequest{Ref: ref, Parts: partIDs(missing)})
		if err != nil {
			return nil, err
		}
		data, err := decompress(reply.GetData(), missing)
		if err != nil {
			return nil, err
		}
		if err := current.assembly.Add(missing, data); err != nil {
			return nil, err
		}
		f.count("cactusknot_content_fetched_bytes_total", len(data))
	}
	return current.assembly.Value()
}

func (f *contentFetcher) count(counter string, n int) {
	f.edge.storeMetrics.GetOrCreateCounter(counter).Add(n)
}

func (f *contentFetcher) call(ctx context.Context, client rpc.EdgePeer, request *rpc.ContentRequest) (*rpc.ContentReply, error) {
	call := transfer.New(ctx, contentLimits)
	defer call.Stop()
	reply, err := client.Content(call.Context(), request)
	if err == nil && !reply.GetHeld() {
		err = errNotHeld
	}
	return reply, err
}

// readFromStore reads the whole entry from the store, because no router has answered with it.
func (f *contentFetcher) readFromStore(ctx context.Context, current *fetch) {
	entries, at, err := f.edge.settings.Store.Range(ctx, current.key)
	if err != nil {
		f.edge.log.Warn().Err(err).Str("key", current.key).Msg("failed to read a large value from the store")
		sleep(ctx, fetchRetryDelay)
		return
	}
	f.edge.controller.noteEra(at.Era, eraFromStore)
	changes := make([]mirror.Change, 0, len(entries))
	for _, e := range entries {
		changes = append(changes, mirror.Change{Entry: e, Era: at.Era})
	}
	// The listing is of this key, so that it says nothing of the other changes up to its position.
	f.edge.takeOver(f.edge.mirror.Apply(changes, kv.Position{Era: at.Era}))
}

// complete takes over a value that has been fetched.
func (f *contentFetcher) complete(w wanted, value []byte) {
	f.library.Add(w.ref, value)
	if resolved := f.edge.mirror.Resolve(w.ref, value); len(resolved) > 0 {
		f.edge.takeOver(resolved)
	}
	if w.offered != nil {
		f.edge.controller.enqueueConfig(kv.Entry{Key: w.key, Value: value}, w.offered.done)
		f.offered.CompareAndSwap(w.offered, nil)
	}
	notify(f.edge.controller.outdated)
}
