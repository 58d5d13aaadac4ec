package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pendingFailureTimeout is how long a broken connection stays pending while its
	// server does not answer again.
	pendingFailureTimeout = 5 * time.Second
	// maxPendingFailures bounds the pending broken connections over all servers.
	maxPendingFailures = 10_000
)

// pendingFailures holds broken connections back from the evidence on versions until
// their server answers a request that was sent later. A server that does not answer
// again has crashed or is unreachable; this breaks all its requests at once and says
// nothing about its version.
type pendingFailures struct {
	count atomic.Int64

	mu       sync.Mutex
	byServer map[string][]pendingFailure
}

type pendingFailure struct {
	at     time.Time
	sample Sample
}

// add holds back a sample of a server.
func (l *pendingFailures) add(now time.Time, server string, sample Sample) {
	if l.count.Load() >= maxPendingFailures {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byServer == nil {
		l.byServer = make(map[string][]pendingFailure)
	}
	l.byServer[server] = append(l.byServer[server], pendingFailure{now, sample})
	l.count.Add(1)
	l.expire(now)
}

// expire drops the samples of servers whose last one has timed out.
func (l *pendingFailures) expire(now time.Time) {
	for server, list := range l.byServer {
		if now.Sub(list[len(list)-1].at) > pendingFailureTimeout {
			l.drop(server)
		}
	}
}

func (l *pendingFailures) drop(server string) {
	l.count.Add(-int64(len(l.byServer[server])))
	delete(l.byServer, server)
}

// release removes a server's samples and returns those that have not timed out, if the
// server has answered a request that was sent at sentAt, after the last failure.
func (l *pendingFailures) release(now time.Time, server string, sentAt time.Time) []Sample {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byServer[server]
	if len(list) == 0 || sentAt.Before(list[len(list)-1].at) {
		return nil
	}
	var samples []Sample
	for _, failure := range list {
		if now.Sub(failure.at) <= pendingFailureTimeout {
			samples = append(samples, failure.sample)
		}
	}
	l.drop(server)
	return samples
}
