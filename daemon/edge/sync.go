package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/relay"
)

const (
	// watchWait is how long one watch waits for changes. With 10 s, a router learned of
	// changes later than allowed when the store's watches reported nothing until a
	// compaction.
	watchWait = 2 * time.Second
	// readerWatchWait is the same for a router that other routers poll. It bounds the age
	// of its copy, which adds to the age of theirs.
	readerWatchWait = time.Second
	// watchPause is the delay after a watch that returned changes, so that changes in
	// quick succession take one call.
	watchPause = 300 * time.Millisecond
	// allKeys is the prefix of all keys.
	allKeys = ""
	// firstBackoff and maxBackoff bound the exponential backoff after failed calls.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// peerFallbackDelay is how long store calls must fail before changes are requested
	// from peers.
	peerFallbackDelay = 500 * time.Millisecond
)

// syncStore keeps the mirror up to date by watching the store and, during a store
// outage, by requesting changes from peers.
func (e *Edge) syncStore(ctx context.Context) {
	syncer := &storeSync{edge: e, lastResponse: time.Now()}
	syncer.selector = relay.Selector{Self: e.settings.VM, Jitter: rand.Float64}
	go e.pullFromPeers(ctx)
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := syncer.syncOnce(ctx)
		switch {
		case err == nil:
			backoff = firstBackoff
			continue
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrRestored):
			e.log.Warn().Err(err).Stringer("position", e.mirror.Position()).Msg("store does not have the history; reading all keys again")
			syncer.synced = false
		default:
			syncer.markUnavailable(err)
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// storeSync reads the store into the mirror and detects store outages.
type storeSync struct {
	edge *Edge
	// synced is false until all keys have been read, at the start and each time that the
	// store does not have the history.
	synced bool
	// unavailable is set during a store outage.
	unavailable bool
	// selector chooses between the store and its readers; reader is the latest choice, and
	// empty while this router reads the store itself.
	selector relay.Selector
	reader   string
	// answered is the reader that has answered the latest poll; empty after a failure.
	answered string
	// lastResponse is the time of the store's last response.
	lastResponse time.Time
}

// syncOnce asks the store or a reader for changes once and merges them. It reads all keys
// first if that is due.
func (s *storeSync) syncOnce(ctx context.Context) error {
	if !s.synced {
		if err := s.readAll(ctx); err != nil {
			return err
		}
	}
	if reader, ok := s.selector.Next(time.Now(), s.edge.controller.readers()); ok {
		s.follow(ctx, reader)
		return nil
	}
	s.setReader("")
	wait := watchWait
	if s.edge.controller.isReader() {
		wait = readerWatchWait
	}
	changes, at, err := s.edge.settings.Store.Watch(ctx, allKeys, s.edge.mirror.Position(), wait)
	if err != nil {
		return err
	}
	s.markAvailable()
	s.edge.controller.enqueue(s.edge.mirror.Apply(changes, at))
	if len(changes) > 0 {
		sleep(ctx, watchPause)
	}
	return nil
}

// readAll reads all keys of the store into the mirror.
func (s *storeSync) readAll(ctx context.Context) error {
	listing, at, err := s.edge.settings.Store.Range(ctx, allKeys)
	if err != nil {
		return err
	}
	s.synced = true
	s.markAvailable()
	s.edge.controller.noteEra(at.Era)
	before := s.edge.mirror.Position()
	applied := s.edge.mirror.Reset(listing, at)
	s.edge.log.Info().Stringer("position", at).Stringer("position_before", before).
		Int("keys", len(listing)).Int("applied", len(applied)).Msg("all keys of the store read")
	s.edge.controller.enqueue(applied)
	return nil
}

// markAvailable records a response of the store. It is called before the content is
// merged, because removals right after an outage may be of entries that expired only
// because they couldn't be renewed.
func (s *storeSync) markAvailable() {
	if s.unavailable {
		s.unavailable = false
		s.edge.log.Info().Dur("away_ms", time.Since(s.lastResponse)).Msg("store available again")
		s.edge.controller.endStoreOutage()
	}
	s.lastResponse = time.Now()
	s.edge.controller.recordStoreResponse()
}

// markUnavailable records a failed call to the store.
func (s *storeSync) markUnavailable(err error) {
	if !s.unavailable {
		s.unavailable = true
		s.edge.controller.beginStoreOutage()
		s.edge.log.Warn().Err(err).Msg("store unavailable")
	}
}

// mergeFromPeer merges changes from a peer, or its complete copy, into the mirror. It
// returns the number of changes that were new.
func (e *Edge) mergeFromPeer(changes []mirror.Change, at kv.Position, complete bool) int {
	e.controller.noteEra(at.Era)
	var merged []mirror.Change
	if complete {
		listing := make([]kv.Entry, 0, len(changes))
		for _, c := range changes {
			listing = append(listing, c.Entry)
		}
		merged = e.mirror.Reset(listing, at)
	} else {
		merged = e.mirror.Apply(changes, at)
	}
	e.controller.enqueue(merged)
	return len(merged)
}

// sleep waits for d or until ctx is cancelled, which the caller must check.
func sleep(ctx context.Context, d time.Duration) { _ = clock.System{}.Sleep(ctx, d) }
