package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
)

// Keys of the product in the store.
const (
	ownPrefix      = "ck/"
	routerPrefix   = ownPrefix + "routers/"
	planPrefix     = ownPrefix + "rollout/"
	evidencePrefix = ownPrefix + "evidence/"
)

const (
	// membershipTTL is the lease of a router's entry.
	membershipTTL = 15 * time.Second
	// renewInterval leaves time for two more tries before the lease ends.
	renewInterval = 5 * time.Second
	// registerRetry is the pause after a failed registration.
	registerRetry = 500 * time.Millisecond
	// routerMemory is how long a router that has lapsed still counts: it may be cut
	// off from the store and still use its share of the bounds.
	routerMemory = 20 * time.Second
	// leaveTimeout bounds the call that gives up the lease.
	leaveTimeout = 500 * time.Millisecond
)

// routers tracks the routers of the fleet.
type routers struct {
	edge    *Edge
	present map[string]string
	lapsed  map[string]time.Time
	lease   atomic.Uint64
	counted int
}

func newRouters(e *Edge) *routers {
	return &routers{edge: e, present: make(map[string]string), lapsed: make(map[string]time.Time)}
}

// merge takes a change of a router's entry and tells whether it was one.
func (r *routers) merge(change mirror.Change) bool {
	name, ok := strings.CutPrefix(change.Key, routerPrefix)
	if !ok {
		return false
	}
	if change.Deleted {
		if _, known := r.present[name]; known {
			r.lapsed[name] = time.Now()
		}
		delete(r.present, name)
	} else {
		delete(r.lapsed, name)
		r.present[name] = string(change.Value)
	}
	r.edge.log.Info().Str("router", name).Bool("present", !change.Deleted).Int("known", len(r.present)).Msg("router changed")
	return true
}

// names returns the routers that may use a share of the fleet's bounds, in order.
// While fewer are known than there are seeds, placeholders stand for the rest.
func (r *routers) names(now time.Time) []string {
	names := []string{r.edge.settings.VM}
	for name := range r.present {
		if name != r.edge.settings.VM {
			names = append(names, name)
		}
	}
	for name, at := range r.lapsed {
		if now.Sub(at) > routerMemory {
			delete(r.lapsed, name)
		} else if name != r.edge.settings.VM {
			names = append(names, name)
		}
	}
	for len(names) < len(r.edge.settings.SeedPeers)+1 {
		names = append(names, r.edge.settings.SeedPeers[len(names)-1])
	}
	sort.Strings(names)
	return names
}

// changed tells whether the number of routers has changed since the last call.
func (r *routers) changed(now time.Time) bool {
	n := len(r.names(now))
	changed := n != r.counted
	r.counted = n
	return changed
}

// addresses returns the other routers' addresses.
func (r *routers) addresses() []string {
	var list []string
	for name, address := range r.present {
		if name != r.edge.settings.VM {
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return list
}

// rank is this router's place among those present, from 0. The first acts at
// once, the others later, so that they rarely race.
func (r *routers) rank() int {
	rank := 0
	for name := range r.present {
		if name < r.edge.settings.VM {
			rank++
		}
	}
	return rank
}

// first returns the names of the first n routers.
func (r *routers) first(n int) []string {
	names := slices.Sorted(maps.Keys(r.present))
	return names[:min(n, len(names))]
}

// pooling returns the addresses of the routers that pool evidence, without this one.
func (r *routers) pooling() []string {
	var list []string
	for _, name := range r.first(poolers) {
		if name != r.edge.settings.VM {
			list = append(list, r.present[name])
		}
	}
	return list
}

// summers returns the addresses of the routers that sum up the load, in the order
// in which they are asked; the empty one is this router.
func (r *routers) summers() []string {
	var list []string
	for _, name := range r.first(summers) {
		if name == r.edge.settings.VM {
			return append(list, "")
		}
		list = append(list, r.present[name])
	}
	return list
}

// register keeps this router's entry in the store.
func (r *routers) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.enter(ctx)
		for err == nil && ctx.Err() == nil {
			sleep(ctx, renewInterval)
			err = r.renew(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		r.edge.log.Warn().Err(err).Msg("router entry in the store is not renewed")
		sleep(ctx, registerRetry)
	}
}

func (r *routers) enter(ctx context.Context) error {
	lease, err := r.edge.settings.Store.Grant(ctx, membershipTTL)
	if err != nil {
		return err
	}
	r.lease.Store(uint64(lease))
	key := routerPrefix + r.edge.settings.VM
	_, err = r.edge.settings.Store.Commit(ctx, Txn{
		Writes: []Write{{Key: key, Value: []byte(r.edge.settings.PeerAddress), Lease: lease}},
	})
	return err
}

// renew tolerates failures of the store; only an ended lease is an error.
func (r *routers) renew(ctx context.Context) error {
	err := r.edge.settings.Store.KeepAlive(ctx, kv.LeaseID(r.lease.Load()))
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		return err
	}
	r.edge.log.Debug().Err(err).Msg("lease not renewed: next try later")
	return nil
}

func (r *routers) leave() {
	lease := kv.LeaseID(r.lease.Load())
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.edge.settings.Store.Revoke(ctx, lease); err != nil {
		r.edge.log.Warn().Err(err).Msg("lease not given up")
	}
}
