package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/rpc"
)

const (
	// vmListInterval is the shortest mean time between two reads of the VM list.
	vmListInterval = 3 * time.Second
	// vmListPerProcess lengthens the interval of routers in proportion to the list, so
	// that the reads and bytes of all processes don't grow quadratically: 20 s at 2,050
	// processes. Agents keep the short interval, since they must refuse requests when
	// their own VM is leaving; for a router the list only influences the choice of
	// agents.
	vmListPerProcess = 10 * time.Millisecond
)

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

func newStoreClient(store kv.Store, clk clock.Clock, calls float64) *kv.Client {
	return kv.NewClient(store, kv.ClientConfig{
		Clock:          clk,
		Random:         rand.NewPCG(rand.Uint64(), rand.Uint64()),
		CallsPerSecond: calls,
		Burst:          storeCallsBurst,
	})
}

// Process is a cactusknot process in the VM list.
type Process struct {
	VM         string
	Role       auth.Role
	DataCentre string
	Region     string
	// Address is the internal address (IP:port).
	Address string
	// Pool is the label of the pool that the VM serves; empty if the list has none.
	Pool    string
	Leaving bool
}

// Processes is an immutable list of processes.
type Processes struct {
	All     []Process
	byVM    map[string]*Process
	members []distribute.Member
}

// Find returns the process of a VM, or nil.
func (p *Processes) Find(vm string) *Process { return p.byVM[vm] }

// Directory holds the processes of the VM list and the clients of the Peer service.
// Reads of the list take no lock.
type Directory struct {
	node    *Node
	list    *platform.VMListClient
	current atomic.Pointer[Processes]
	changed chan struct{}

	mu      sync.Mutex
	clients map[string]rpc.Peer
}

// NewDirectory returns an empty Directory. Refresh fills it.
func NewDirectory(n *Node) *Directory {
	d := &Directory{
		node:    n,
		list:    platform.NewVMListClient(n.Settings.Platform.VMList),
		changed: make(chan struct{}, 1),
		clients: make(map[string]rpc.Peer),
	}
	d.current.Store(&Processes{})
	return d
}

// Processes returns the current list.
func (d *Directory) Processes() *Processes { return d.current.Load() }

// Changed returns a channel that receives a value after the list has changed.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

func (d *Directory) run(ctx context.Context) {
	random := NewRand()
	for {
		d.Refresh(ctx)
		if d.node.Clock.Sleep(ctx, Jitter(random, d.interval())) != nil {
			return
		}
	}
}

func (d *Directory) interval() time.Duration {
	if d.node.Role != auth.RoleRouter {
		return vmListInterval
	}
	return max(vmListInterval, time.Duration(len(d.Processes().All))*vmListPerProcess)
}

// Jitter returns a random duration in [mean/2, 3*mean/2), so that processes don't act
// at the same time.
func Jitter(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// Refresh reads the VM list once. After an error the current list stays.
func (d *Directory) Refresh(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	list, changed, err := d.list.List(bounded)
	if err != nil {
		d.node.Log.Debug().Err(err).Msg("reading the VM list failed")
		return
	}
	if !changed {
		return
	}
	next := &Processes{byVM: make(map[string]*Process, len(list.VMs))}
	for _, vm := range list.VMs {
		next.All = append(next.All, Process{
			VM:         vm.Name,
			Role:       auth.Role(vm.Role),
			DataCentre: vm.DataCentre,
			Region:     vm.Region,
			Address:    vm.Address,
			Pool:       vm.Pool,
			Leaving:    vm.State == platform.VMLeaving,
		})
	}
	for i := range next.All {
		next.byVM[next.All[i].VM] = &next.All[i]
		next.members = append(next.members, memberOf(next.All[i]))
	}
	d.current.Store(next)
	d.pruneClients(next)
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// pruneClients removes the clients of addresses that are no longer in the list.
func (d *Directory) pruneClients(now *Processes) {
	live := make(map[string]bool, len(now.All))
	for _, p := range now.All {
		live[p.Address] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.clients {
		if !live[address] {
			delete(d.clients, address)
		}
	}
}

// Members implements distribute.Network. While the VM list is empty it returns the
// peers of the settings.
func (d *Directory) Members() []distribute.Member {
	known := d.Processes().members
	if len(known) == 0 {
		return d.configuredPeers()
	}
	return known
}

func memberOf(p Process) distribute.Member {
	return distribute.Member{
		Node:       p.VM,
		DataCentre: p.DataCentre,
		Region:     p.Region,
		Router:     p.Role == auth.RoleRouter,
		Live:       !p.Leaving,
	}
}

func (d *Directory) configuredPeers() []distribute.Member {
	members := make([]distribute.Member, 0, len(d.node.Settings.Peers))
	for _, address := range d.node.Settings.Peers {
		members = append(members, distribute.Member{Node: address, Region: d.node.Settings.Region, Router: true, Live: true})
	}
	return members
}

// Client implements distribute.Network. The node is the name of a VM or the address
// of a configured peer.
func (d *Directory) Client(node string) distribute.PeerClient {
	address := node
	if p := d.Processes().Find(node); p != nil {
		address = p.Address
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = rpc.NewPeerProtobufClient("https://"+address, d.node.RPC)
		d.clients[address] = client
	}
	return client
}
