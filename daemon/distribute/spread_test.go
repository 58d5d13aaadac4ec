package distribute

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/rpc"

	"github.com/rs/zerolog"
)

var spreadNodes = flag.Int("spread.nodes", 246, "processes in TestSpreadAtSize, one in six of them a router; 2,050 is the target size")

// inForceWithin is the target in docs/design.md, section 1.4.
const inForceWithin = 13 * time.Second

// exchangeRate is the number of exchanges with agents that a router makes per
// second, as in package router.
const exchangeRate = 7

// lossyNetwork connects a fixed list of syncers in four regions. A share of the calls
// between them fails.
type lossyNetwork struct {
	members []Member
	syncers map[string]*Syncer
	loss    float64

	mu     sync.Mutex
	random *rand.Rand
}

func (n *lossyNetwork) Members() []Member { return n.members }

func (n *lossyNetwork) Client(node string) PeerClient { return lossyLink{n, n.syncers[node]} }

func (n *lossyNetwork) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.loss
}

type lossyLink struct {
	network *lossyNetwork
	to      *Syncer
}

func (l lossyLink) Sync(ctx context.Context, in *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	if l.network.lost() {
		return nil, errCut
	}
	return l.to.Sync(ctx, in)
}

func (l lossyLink) FetchManifest(ctx context.Context, in *rpc.FetchManifestRequest) (*rpc.FetchManifestResponse, error) {
	if l.network.lost() {
		return nil, errCut
	}
	return l.to.FetchManifest(ctx, in)
}

func (l lossyLink) FetchParts(ctx context.Context, in *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	if l.network.lost() {
		return nil, errCut
	}
	return l.to.FetchParts(ctx, in)
}

// exchange reports the version of a router to random agents, as exchanges do.
func (n *lossyNetwork) exchange(ctx context.Context, router *Syncer, seed uint64) {
	random := rand.New(rand.NewPCG(9, seed))
	for ctx.Err() == nil {
		time.Sleep(time.Second / exchangeRate)
		m := n.members[random.IntN(len(n.members))]
		if !m.Router && !n.lost() {
			n.syncers[m.Node].ObserveVersion(router.Version(), router.cfg.Self.Node)
		}
	}
}

// TestSpreadAtSize guards against a configuration that is not in force in all regions
// within 13 s, with and without lost calls between processes. It logs the number of
// watches. Time is virtual.
func TestSpreadAtSize(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { spreadAtSize(t, *spreadNodes, loss) })
		})
	}
}

func spreadAtSize(t *testing.T, size int, loss float64) {
	f := newFleet(t)
	n := &lossyNetwork{syncers: make(map[string]*Syncer), random: rand.New(rand.NewPCG(3, 3))}
	for i := range size {
		n.members = append(n.members, Member{
			Node: fmt.Sprintf("vm-%05d", i), DataCentre: fmt.Sprintf("dc%d", i%13), Region: fmt.Sprintf("r%d", i%13%4), Router: i%6 == 0, Live: true,
		})
	}
	for i, m := range n.members {
		n.syncers[m.Node] = New(Config{
			Self: m, Anchor: anchor, Store: f.store, Network: n, Clock: clock.System{},
			Rand: rand.New(rand.NewPCG(7, uint64(i))), Checker: new(invariant.Checker), Log: zerolog.Nop(),
		})
	}
	f.publish(1, 1)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i, m := range n.members {
		k := n.syncers[m.Node]
		wg.Go(func() { _ = k.Run(ctx) })
		if m.Router {
			wg.Go(func() { n.exchange(ctx, k, uint64(i)) })
		}
	}
	time.Sleep(10 * time.Second)
	n.mu.Lock()
	n.loss = loss
	n.mu.Unlock()
	watches := f.store.Usage()[kv.KindWatch].Calls
	for version := uint64(2); version <= 3; version++ {
		f.publish(version, int(version))
		routers, all := n.inForce(version)
		t.Logf("%d processes, %v of the calls lost: version %d in force at all routers after %v, everywhere after %v", size, loss, version, routers, all)
		if all > inForceWithin {
			t.Errorf("version %d took %v", version, all)
		}
	}
	t.Logf("%d watches for two versions", f.store.Usage()[kv.KindWatch].Calls-watches)
}

// inForce returns the times until all routers and until all processes hold the
// version.
func (n *lossyNetwork) inForce(version uint64) (routers, all time.Duration) {
	const step = 50 * time.Millisecond
	started := time.Now()
	for time.Since(started) < 4*inForceWithin {
		behind, routersBehind := 0, 0
		for _, m := range n.members {
			if n.syncers[m.Node].Version() < version {
				behind++
				if m.Router {
					routersBehind++
				}
			}
		}
		if routersBehind == 0 && routers == 0 {
			routers = time.Since(started)
		}
		if behind == 0 {
			break
		}
		time.Sleep(step)
	}
	return routers, time.Since(started)
}
