package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lossAge is how long a broken connection waits for its server to answer again.
	lossAge = 5 * time.Second
	// maxLosses bounds the broken connections that wait, over all servers.
	maxLosses = 10_000
)

// losses holds broken connections back from the evidence on versions until their
// server answers a request that was sent later. A server that does not has crashed
// or is cut off, with all its requests at once, which says nothing of its version.
type losses struct {
	waiting atomic.Int64

	mu       sync.Mutex
	byServer map[string][]loss
}

type loss struct {
	at     time.Time
	sample Sample
}

// hold keeps a sample of a server.
func (l *losses) hold(now time.Time, server string, sample Sample) {
	if l.waiting.Load() >= maxLosses {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byServer == nil {
		l.byServer = make(map[string][]loss)
	}
	l.byServer[server] = append(l.byServer[server], loss{now, sample})
	l.waiting.Add(1)
	l.expire(now)
}

// expire drops what has waited too long.
func (l *losses) expire(now time.Time) {
	for server, list := range l.byServer {
		if now.Sub(list[len(list)-1].at) > lossAge {
			l.drop(server)
		}
	}
}

func (l *losses) drop(server string) {
	l.waiting.Add(-int64(len(l.byServer[server])))
	delete(l.byServer, server)
}

// release returns the samples that count because the server has answered a request
// sent at a time.
func (l *losses) release(now time.Time, server string, sentAt time.Time) []Sample {
	if l.waiting.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byServer[server]
	if len(list) == 0 || sentAt.Before(list[len(list)-1].at) {
		return nil
	}
	var samples []Sample
	for _, held := range list {
		if now.Sub(held.at) <= lossAge {
			samples = append(samples, held.sample)
		}
	}
	l.drop(server)
	return samples
}
