package edge

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/relay"
	"cactusknot.example/daemon/usage"
)

// Prefixes of the keys that the edge processes write to the store.
const (
	keyPrefix      = "ck/"
	routerPrefix   = keyPrefix + "routers/"
	statePrefix    = keyPrefix + "rollout/"
	evidencePrefix = keyPrefix + "evidence/"
	// quarantinePrefix is followed by the part in hexadecimal.
	quarantinePrefix = keyPrefix + "quarantine/"
)

const (
	// registrationTTL is the lease time of a router's store entry.
	registrationTTL = 15 * time.Second
	// renewInterval leaves time for two more attempts before the lease expires.
	renewInterval = 5 * time.Second
	// registerSpread is the time over which the routers register again after a restore of the
	// store.
	registerSpread = 500 * time.Millisecond
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = 500 * time.Millisecond
	// expiredRouterRetention is how long a router still counts after its entry expired:
	// it may be cut off from the store and still use its share of the fleet's limits.
	expiredRouterRetention = 20 * time.Second
	// revokeTimeout limits the call that revokes the lease.
	revokeTimeout = 500 * time.Millisecond
)

// routers tracks the routers of the fleet.
type routers struct {
	edge *Edge
	// registered holds the registered routers by name.
	registered map[string]relay.Member
	// expired holds the times at which the entries of other routers expired.
	expired map[string]time.Time
	// lease is the lease of this router's entry; nil before the first registration.
	lease atomic.Pointer[Lease]
	// restored receives a value when the store was restored and may lack the entry.
	restored chan struct{}
	// memory is how long expired routers are remembered.
	memory time.Duration
	// lastCount is the number of routers at the last call of changed.
	lastCount int
}

func newRouters(e *Edge) *routers {
	return &routers{
		edge: e, registered: make(map[string]relay.Member), expired: make(map[string]time.Time), restored: make(chan struct{}, 1),
		memory: max(expiredRouterRetention, usage.OpenTime(usage.Windows(e.settings.Duties.ReportWindow))),
	}
}

// membership is a snapshot of the routers for goroutines other than the control loop.
type membership struct {
	// ranked holds the registered routers, the fittest first.
	ranked []relay.Member
	// expired holds when the entries of other routers expired, by name.
	expired map[string]time.Time
}

// registered returns the names of the registered routers.
func (m *membership) registered() []string {
	var names []string
	for _, member := range m.ranked {
		names = append(names, member.Name)
	}
	return names
}

// recent returns the names of the routers that are registered or were within a time.
func (m *membership) recent(now time.Time, within time.Duration) []string {
	names := m.registered()
	for name, at := range m.expired {
		if now.Sub(at) <= within {
			names = append(names, name)
		}
	}
	return names
}

// membership returns the present members.
func (r *routers) membership() *membership {
	return &membership{ranked: relay.Rank(r.members()), expired: maps.Clone(r.expired)}
}

// merge applies a change of a router's entry. It reports whether the change was one.
func (r *routers) merge(change mirror.Change) bool {
	name, ok := strings.CutPrefix(change.Key, routerPrefix)
	if !ok {
		return false
	}
	if change.Deleted {
		if _, known := r.registered[name]; known {
			r.expired[name] = time.Now()
		}
		delete(r.registered, name)
	} else {
		member, ok := decodeMember(name, change.Value)
		if !ok {
			r.edge.log.Error().Str("key", change.Key).Msg("failed to decode router entry; skipping it")
			return true
		}
		delete(r.expired, name)
		r.registered[name] = member
	}
	r.edge.log.Info().Str("router", name).Bool("present", !change.Deleted).Int("known", len(r.registered)).Msg("router membership changed")
	return true
}

// names returns the sorted names of the routers that may use a share of the fleet's
// limits. While fewer routers are known than there are seed peers, the addresses of
// seed peers stand for the missing ones.
func (r *routers) names(now time.Time) []string {
	names := []string{r.edge.settings.VM}
	for name := range r.registered {
		if name != r.edge.settings.VM {
			names = append(names, name)
		}
	}
	for name, at := range r.expired {
		switch age := now.Sub(at); {
		case age > r.memory:
			delete(r.expired, name)
		case age <= expiredRouterRetention && name != r.edge.settings.VM:
			names = append(names, name)
		}
	}
	for len(names) < len(r.edge.settings.SeedPeers)+1 {
		names = append(names, r.edge.settings.SeedPeers[len(names)-1])
	}
	sort.Strings(names)
	return names
}

// changed reports whether the number of routers has changed since the last call.
func (r *routers) changed(now time.Time) bool {
	n := len(r.names(now))
	changed := n != r.lastCount
	r.lastCount = n
	return changed
}

// addresses returns the peer addresses of the other registered routers.
func (r *routers) addresses() []string {
	var list []string
	for name, member := range r.registered {
		if name != r.edge.settings.VM {
			list = append(list, member.Address)
		}
	}
	sort.Strings(list)
	return list
}

// members returns the registered routers.
func (r *routers) members() []relay.Member { return slices.Collect(maps.Values(r.registered)) }

// storeReaders returns the routers that watch the store for this data centre, or none
// while this router is not registered itself: the list may be incomplete then.
func (r *routers) storeReaders() []relay.Member {
	if _, ok := r.registered[r.edge.settings.VM]; !ok {
		return nil
	}
	return relay.Readers(r.members(), r.edge.settings.DataCentre, r.edge.settings.StoreReaders)
}

// followed reports whether this router is one of the readers and other routers of the data
// centre are not.
func (r *routers) followed(readers []relay.Member) bool {
	local := 0
	for _, member := range r.registered {
		if member.DataCentre == r.edge.settings.DataCentre {
			local++
		}
	}
	self := slices.ContainsFunc(readers, func(m relay.Member) bool { return m.Name == r.edge.settings.VM })
	return self && local > len(readers)
}

// rank returns the position of this router's name among the registered routers,
// from 0. The first router acts at once and the others after a delay, so that they
// rarely race.
func (r *routers) rank() int {
	rank := 0
	for name := range r.registered {
		if name < r.edge.settings.VM {
			rank++
		}
	}
	return rank
}

// firstNames returns the names of the first n registered routers.
func (r *routers) firstNames(n int) []string {
	names := slices.Sorted(maps.Keys(r.registered))
	return names[:min(n, len(names))]
}

// evidenceAggregatorAddresses returns the peer addresses of the evidence aggregators,
// except this router's own.
func (r *routers) evidenceAggregatorAddresses() []string {
	var list []string
	for _, name := range r.firstNames(evidenceAggregatorCount) {
		if name != r.edge.settings.VM {
			list = append(list, r.registered[name].Address)
		}
	}
	return list
}

// loadAggregatorAddresses returns the peer addresses of the load aggregators, the routers
// with the most processor share, in the order in which they are tried. The empty address
// stands for this router.
func (r *routers) loadAggregatorAddresses() []string {
	ranked := relay.Rank(r.members())
	var list []string
	for _, member := range ranked[:min(loadAggregatorCount, len(ranked))] {
		if member.Name == r.edge.settings.VM {
			return append(list, "")
		}
		list = append(list, member.Address)
	}
	return list
}

// register creates this router's entry in the store and keeps it alive until ctx is
// cancelled.
func (r *routers) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.createEntry(ctx)
		for err == nil && ctx.Err() == nil {
			err = r.waitAndRenew(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		r.edge.log.Warn().Err(err).Msg("failed to keep the router registration alive; registering again")
		sleep(ctx, registerRetryDelay)
	}
}

// createEntry writes this router's entry under a new lease.
func (r *routers) createEntry(ctx context.Context) error {
	lease, err := r.edge.settings.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	r.lease.Store(&lease)
	value, err := encodeMember(r.edge.settings)
	if err != nil {
		return err
	}
	key := routerPrefix + r.edge.settings.VM
	_, err = r.edge.settings.Store.Commit(ctx, Txn{Era: lease.Era, Writes: []Write{{Key: key, Value: value, Lease: lease.ID}}})
	return err
}

// memberBody is the value of a router's entry.
type memberBody struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Cores      float64 `json:"cores"`
}

func encodeMember(s *Settings) ([]byte, error) {
	return json.Marshal(memberBody{Address: s.PeerAddress, DataCentre: s.DataCentre, Cores: s.Cores})
}

// decodeMember decodes a router's entry. Older releases write the address alone; such a
// router counts for the limits and is no reader, because its data centre is unknown.
func decodeMember(name string, value []byte) (member relay.Member, ok bool) {
	var body memberBody
	if err := json.Unmarshal(value, &body); err != nil {
		body = memberBody{Address: string(value)}
	}
	_, _, err := net.SplitHostPort(body.Address)
	return relay.Member{Name: name, Address: body.Address, DataCentre: body.DataCentre, Cores: body.Cores}, err == nil
}

// storeRestored tells that the store has come back from a copy that may lack this router's
// entry.
func (r *routers) storeRestored() {
	notify(r.restored)
}

// waitAndRenew waits for the next renewal and extends the lease. After a restore of the store
// it does so soon, but not all routers at once.
func (r *routers) waitAndRenew(ctx context.Context) error {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
	case <-r.restored:
		sleep(ctx, rand.N(registerSpread))
	}
	return r.renewLease(ctx)
}

// renewLease extends the lease. It returns an error only if the lease has expired;
// other failures are retried at the next interval.
func (r *routers) renewLease(ctx context.Context) error {
	err := r.edge.settings.Store.KeepAlive(ctx, *r.lease.Load())
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		return err
	}
	r.edge.log.Debug().Err(err).Msg("failed to renew lease; retrying later")
	return nil
}

// deregister revokes the lease, which removes this router's entry.
func (r *routers) deregister(ctx context.Context) {
	lease := r.lease.Load()
	if lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := r.edge.settings.Store.Revoke(ctx, *lease); err != nil {
		r.edge.log.Warn().Err(err).Msg("failed to revoke lease")
	}
}
