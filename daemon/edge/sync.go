package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
)

const (
	// watchWait is how long one watch waits. With 10 s a router missed changes past
	// their bound while the store's watches heard nothing before a compaction.
	watchWait = 2 * time.Second
	// watchPause is the pause after a watch that returned changes, so that changes in
	// quick succession cost one call.
	watchPause = 300 * time.Millisecond
	// everything is the prefix of all keys.
	everything = ""
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// peersAfter is how long calls to the store must fail before peers are asked.
	peersAfter = 500 * time.Millisecond
)

// synchronise keeps the mirror up to date: by a watch on the store and, while
// the store does not answer, by asking peers.
func (e *Edge) synchronise(ctx context.Context) {
	link := &storeLink{edge: e, lastAnswer: time.Now()}
	go e.pullFromPeers(ctx)
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := link.step(ctx)
		switch {
		case err == nil:
			backoff = firstBackoff
			continue
		case errors.Is(err, ErrCompacted):
			e.log.Warn().Uint64("revision", uint64(e.mirror.Revision())).Msg("store has dropped its history: reading everything")
			link.listed = false
			continue
		}
		link.down(err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// storeLink is the state of this process's access to the store.
type storeLink struct {
	edge *Edge
	// listed is false until everything has been read since the last loss of history.
	listed bool
	lost   bool
	// lastAnswer is when the store last answered; only step writes it.
	lastAnswer time.Time
}

// step makes one call and merges what it returns.
func (l *storeLink) step(ctx context.Context) error {
	if !l.listed {
		listing, at, err := l.edge.settings.Store.Range(ctx, everything)
		if err != nil {
			return err
		}
		l.listed = true
		l.up()
		l.edge.control.apply(l.edge.mirror.Reset(listing, at))
		return nil
	}
	changes, at, err := l.edge.settings.Store.Watch(ctx, everything, l.edge.mirror.Revision(), watchWait)
	if err != nil {
		return err
	}
	l.up()
	l.edge.control.apply(l.edge.mirror.Apply(changes, at))
	if len(changes) > 0 {
		sleep(ctx, watchPause)
	}
	return nil
}

// up notes an answer before its content is merged: removals that follow an
// outage may be of entries that only lapsed.
func (l *storeLink) up() {
	if l.lost {
		l.lost = false
		l.edge.log.Info().Dur("away_ms", time.Since(l.lastAnswer)).Msg("store regained")
		l.edge.control.storeRegained()
	}
	l.lastAnswer = time.Now()
	l.edge.control.storeAnswered()
}

func (l *storeLink) down(err error) {
	if !l.lost {
		l.lost = true
		l.edge.control.storeLost()
		l.edge.log.Warn().Err(err).Msg("store lost")
	}
}

// mergeFromPeer merges a peer's copy and returns the number of changes.
func (e *Edge) mergeFromPeer(changes []mirror.Change, at kv.Revision, complete bool) int {
	var news []mirror.Change
	if complete {
		listing := make([]kv.Entry, 0, len(changes))
		for _, c := range changes {
			listing = append(listing, c.Entry)
		}
		news = e.mirror.Reset(listing, at)
	} else {
		news = e.mirror.Apply(changes, at)
	}
	e.control.apply(news)
	return len(news)
}

// sleep pauses for d or until ctx ends, which the caller's loop checks.
func sleep(ctx context.Context, d time.Duration) { _ = clock.System{}.Sleep(ctx, d) }
