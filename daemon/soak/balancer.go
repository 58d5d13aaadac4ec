package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cactusknot.example/daemon/fleet"
)

const (
	// readyInterval is the interval of the readiness checks.
	readyInterval = 150 * time.Millisecond
	readyTimeout  = 500 * time.Millisecond
)

// balancer is the platform's load balancer: it sends callers to the routers
// that passed their last readiness check.
type balancer struct {
	fleet   *fleet.Fleet
	routers []string
	client  *http.Client

	mu    sync.Mutex
	ready map[string]bool
}

func newBalancer(f *fleet.Fleet, routers []string) *balancer {
	b := &balancer{fleet: f, routers: routers, ready: make(map[string]bool), client: &http.Client{Timeout: readyTimeout}}
	for _, r := range routers {
		b.ready[r] = true
	}
	return b
}

// watch starts the readiness checks of all routers; they run until ctx is
// done.
func (b *balancer) watch(ctx context.Context) {
	for _, r := range b.routers {
		go func() {
			for ctx.Err() == nil {
				b.probe(r)
				time.Sleep(readyInterval)
			}
		}()
	}
}

func (b *balancer) probe(router string) {
	response, err := b.client.Get(b.fleet.AdminURL(router) + "/readyz")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[router] = ok
}

// pick returns the name and base URL of a random ready router, a different one
// than avoid if possible. If no router is ready, it picks among all.
func (b *balancer) pick(random *rand.Rand, avoid string) (string, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, others []string
	for _, r := range b.routers {
		if b.ready[r] {
			ready = append(ready, r)
		}
		if b.ready[r] && r != avoid {
			others = append(others, r)
		}
	}
	if len(others) > 0 {
		ready = others
	}
	if len(ready) == 0 {
		ready = b.routers
	}
	router := ready[random.IntN(len(ready))]
	return router, b.fleet.CallerURL(router)
}
