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
	// peerFallbackDelay is how long store calls must fail before changes are requested
	// from peers.
	peerFallbackDelay = 500 * time.Millisecond
	// eraJitter spreads the listings of routers that hear of a new era at the same time.
	eraJitter = 100 * time.Millisecond
)

// syncStore keeps the mirror up to date by watching the store and, during a store
// outage, by requesting changes from peers.
func (e *Edge) syncStore(ctx context.Context) {
	syncer := &storeSync{edge: e}
	syncer.selector = relay.Selector{Self: e.settings.VM, Jitter: rand.Float64}
	go e.pullFromPeers(ctx)
	go e.fetcher.run(ctx)
	for ctx.Err() == nil {
		syncer.syncOnce(ctx)
	}
}

// storeSync reads the store into the mirror and detects store outages.
type storeSync struct {
	edge *Edge
	// synced is false until all keys have been read, at the start and each time that the
	// store does not have the history.
	synced bool
	// listedAt is the time of the last listing.
	listedAt time.Time
	// selector chooses between the store and its readers; reader is the latest choice, and
	// empty while this router reads the store itself.
	selector relay.Selector
	reader   string
	// answered is the reader that has answered the latest poll; empty after a failure.
	answered string
	// reached is set while the latest call to the store was answered and no reader has been
	// polled since. Otherwise the store may be away, and the next call does not wait.
	reached bool
	// overtime is how much longer than its wait the latest long poll took.
	overtime time.Duration
	// era is the latest era that this router has heard of and acted on; newerEra is closed when
	// there is a newer one.
	era      uint64
	newerEra <-chan struct{}
}

// syncOnce asks the store or a reader for changes once and merges them. It reads all keys
// first if that is due.
func (s *storeSync) syncOnce(ctx context.Context) {
	s.newerEra = s.edge.controller.newerEra()
	reader, ok := s.usableReader()
	if s.enterEra(ok) {
		sleep(ctx, rand.N(eraJitter))
		s.readAll(ctx)
		return
	}
	if ok {
		s.reached = false
		s.follow(ctx, reader)
		return
	}
	s.setReader("")
	if !s.synced {
		s.readAll(ctx)
		return
	}
	s.watch(ctx)
}

// enterEra reports whether all keys are to be read because this router has heard of a newer era
// than that of its copy; once for each era. A follower reads them from the store too, unless the
// listings of all routers would exceed the share of the store's reads; it then gets them from
// its reader.
func (s *storeSync) enterEra(follower bool) bool {
	era := s.edge.controller.era.Load()
	if era <= s.era {
		return false
	}
	s.era = era
	at := s.edge.mirror.Position()
	if at.Revision == 0 || at.Era >= era {
		return false
	}
	s.synced = false
	return !follower || s.edge.settings.mayListTogether(s.routers())
}

// usableReader returns the reader to poll. A router that holds nothing yet reads the store.
func (s *storeSync) usableReader() (reader relay.Member, ok bool) {
	if s.edge.mirror.Position().Revision == 0 {
		return relay.Member{}, false
	}
	return s.selector.Next(time.Now(), s.edge.controller.readers())
}

// pollWait returns how long the next long poll waits. It is short for some time after an
// outage.
func (s *storeSync) pollWait() time.Duration {
	wait := watchWait
	if s.edge.controller.isReader() {
		wait = readerWatchWait
	}
	if !s.edge.controller.contact.settled(time.Now()) {
		wait = min(wait, max(settleWait, s.probeInterval()))
	}
	return wait
}

func (s *storeSync) probeInterval() time.Duration {
	return s.edge.settings.probeInterval(s.routers())
}

// routers returns the number of routers that call the store.
func (s *storeSync) routers() int {
	if v := s.edge.view.Load(); v != nil {
		return len(v.Routers)
	}
	return 1 + len(s.edge.settings.SeedPeers)
}

// watch waits for changes of the store and merges them.
func (s *storeSync) watch(ctx context.Context) {
	after, wait := s.edge.mirror.Position(), s.pollWait()
	poll := func(wait time.Duration) storeCall {
		return func(ctx context.Context) (a storeAnswer) {
			a.changes, a.at, a.err = s.edge.settings.Store.Watch(ctx, allKeys, after, wait)
			return a
		}
	}
	allowance := wait + min(pollAllowance+2*s.overtime, maxPollAllowance)
	if !s.reached {
		wait, allowance = 0, s.probeInterval()
	}
	answer, ok := s.call(ctx, poll(wait), poll(0), allowance, s.probeInterval(), s.newerEra)
	if !ok {
		return
	}
	s.overtime = max(0, time.Since(answer.started)-wait)
	if answer.err != nil {
		s.edge.log.Warn().Err(answer.err).Stringer("position", after).Msg("store does not have the history; reading all keys again")
		s.synced = false
		return
	}
	s.edge.takeOver(s.edge.mirror.Apply(answer.changes, answer.at))
	if len(answer.changes) > 0 {
		sleep(ctx, watchPause)
	}
}

// readAll reads all keys of the store into the mirror. There is no delay but the one between
// two listings, which bounds their rate if the history is missing time and again.
func (s *storeSync) readAll(ctx context.Context) {
	sleep(ctx, s.probeInterval()-time.Since(s.listedAt))
	list := func(ctx context.Context) (a storeAnswer) {
		a.listing, a.at, a.err = s.edge.settings.Store.Range(ctx, allKeys)
		return a
	}
	interval := listingIntervals * s.probeInterval()
	// News of an era do not end a listing, which may be of that era already.
	answer, ok := s.call(ctx, list, list, interval, interval, nil)
	if !ok {
		return
	}
	s.synced, s.listedAt = true, time.Now()
	s.edge.controller.noteEra(answer.at.Era, eraFromStore)
	before := s.edge.mirror.Position()
	applied := s.edge.mirror.Reset(answer.listing, answer.at)
	s.edge.log.Info().Stringer("position", answer.at).Stringer("position_before", before).
		Int("keys", len(answer.listing)).Int("applied", len(applied)).Msg("all keys of the store read")
	s.edge.takeOver(applied)
}

// storeAnswer is the result of a call to the store.
type storeAnswer struct {
	listing []kv.Entry
	changes []mirror.Change
	at      kv.Position
	err     error
	// started is when the call was started.
	started time.Time
}

// received reports whether the store has answered, if only that it does not have the history.
func (a storeAnswer) received() bool {
	return a.err == nil || errors.Is(a.err, ErrCompacted) || errors.Is(a.err, ErrRestored)
}

type storeCall func(ctx context.Context) storeAnswer

// pendingCalls are calls to the store that have not been answered.
type pendingCalls struct {
	// arriving holds the progress of the calls.
	arriving *arrivals
	answers  chan storeAnswer
	// started holds when each of them was started.
	started map[time.Time]bool
}

// start starts a call, whose answer is dropped when ctx ends.
func (p *pendingCalls) start(ctx context.Context, call storeCall) {
	started := time.Now()
	p.started[started] = true
	go func() {
		progress := p.arriving.begin()
		answer := call(progress.Observe(ctx))
		p.arriving.end(progress)
		answer.started = started
		select {
		case p.answers <- answer:
		case <-ctx.Done():
		}
	}()
}

// call calls the store until it answers. If the first call is lost, or is not answered within
// its allowance, further calls are started while the older ones may still be answered, unless an
// answer is arriving; the first answer counts. ok is false if this router is to use another source, or ctx has ended, or
// interrupt is closed before a call was lost.
func (s *storeSync) call(ctx context.Context, first, again storeCall, allowance, interval time.Duration, interrupt <-chan struct{}) (answer storeAnswer, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.reached = false
	pending := pendingCalls{arriving: &s.edge.transfers.storeAnswers, answers: make(chan storeAnswer), started: make(map[time.Time]bool)}
	schedule := callSchedule{interval: interval, jitter: rand.Float64}
	schedule.first(time.Now(), allowance)
	pending.start(ctx, first)
	timer := time.NewTimer(allowance)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return storeAnswer{}, false
		case <-interrupt:
			if !schedule.lost {
				return storeAnswer{}, false
			}
			// The next answer names the era, and tells which calls were lost.
			interrupt = nil
			schedule.due = time.Now()
		case answer := <-pending.answers:
			delete(pending.started, answer.started)
			if answer.received() {
				s.reached = true
				s.markAnswered(answer, pending.started)
				return answer, true
			}
			s.markLost(answer, !schedule.lost)
			schedule.loseCall(time.Now())
		case now := <-timer.C:
			if arrived := pending.arriving.latest(); now.Sub(arrived) < interval {
				// Another call would take its share of the link and answer the same.
				schedule.due = arrived.Add(interval)
				break
			}
			if _, ok := s.usableReader(); ok {
				return storeAnswer{}, false
			}
			schedule.repeat(now)
			s.edge.storeMetrics.GetOrCreateCounter("cactusknot_store_probes_total").Inc()
			pending.start(ctx, again)
		}
		timer.Reset(time.Until(schedule.due))
	}
}

// markAnswered records an answer of the store. It is called before the content is merged,
// because removals right after an outage may be of entries that expired only because they
// couldn't be renewed. Calls that were started clearly before the one that was answered, and
// are still outstanding, are lost. An answer without the history does not confirm the copy,
// whose age followers go by; the outage goes on until the listing.
func (s *storeSync) markAnswered(answer storeAnswer, outstanding map[time.Time]bool) {
	now, contact := time.Now(), &s.edge.controller.contact
	for started := range outstanding {
		if answer.started.Sub(started) >= contactMargin {
			contact.lost(now, started)
		}
	}
	if answer.err != nil {
		return
	}
	s.edge.controller.recordStoreResponse(now)
	if answer.at.Era == s.edge.mirror.Position().Era {
		contact.inEra(now.Add(-contactMargin))
	}
}

// markLost records a call to the store that was not answered. first is set if it failed before
// any other call was due.
func (s *storeSync) markLost(answer storeAnswer, first bool) {
	record := s.edge.controller.contact.lost
	if first {
		record = s.edge.controller.contact.cut
	}
	if record(time.Now(), answer.started) {
		s.edge.log.Warn().Err(answer.err).Msg("store unavailable")
	}
}

// mergeFromPeer merges changes from a peer, or its complete copy, into the mirror. It
// returns the number of changes that were new.
func (e *Edge) mergeFromPeer(changes []mirror.Change, at kv.Position, complete bool) int {
	var merged []mirror.Change
	if complete {
		merged = e.mirror.ResetTo(changes, at)
	} else {
		merged = e.mirror.Apply(changes, at)
	}
	// The copy comes first, so that it is not read from the store as well; the era comes
	// before the changes, because they include removals that it makes doubtful.
	e.controller.noteEra(at.Era, eraFromPeer)
	e.takeOver(merged)
	e.fetcher.wake()
	return len(merged)
}

// sleep waits for d or until ctx is cancelled, which the caller must check.
func sleep(ctx context.Context, d time.Duration) { _ = clock.System{}.Sleep(ctx, d) }
