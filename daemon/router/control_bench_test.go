package router

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/failuredetector"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/routing"
)

// benchController returns a controller with a VM list of the given size, in which
// every sixth VM is a router.
func benchController(b *testing.B, size int) *controller {
	b.Helper()
	var list emulate.VMsConfig
	for i := range size {
		vm := platform.VM{
			Name: fmt.Sprintf("vm-%05d", i), Role: platform.VMAgent, DataCentre: fmt.Sprintf("dc%02d", i%13),
			Region: fmt.Sprintf("region-%d", i%4), Address: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256), State: platform.VMLive,
		}
		if i%6 == 0 {
			vm.Role = platform.VMRouter
		}
		list.VMs = append(list.VMs, vm)
	}
	vms, err := emulate.StartVMs("127.0.0.1:0", list, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(vms.Close)
	settings := config.Node{VM: "vm-00000", DataCentre: "dc00", Region: "region-0", Platform: config.Platform{VMList: vms.URL()}}
	r := &Router{
		metrics:  &routerMetrics{alerts: metrics.NewSet().NewCounter("alerts")},
		Node:     &node.Node{Settings: settings, Role: auth.RoleRouter, Log: zerolog.Nop(), Clock: clock.System{}},
		settings: &config.Router{Node: settings},
	}
	r.Directory = node.NewDirectory(r.Node)
	r.Directory.Refresh(context.Background())
	detector, err := failuredetector.New(failuredetector.Config{MinTimeout: suspectMin, MaxTimeout: suspectMax})
	if err != nil {
		b.Fatal(err)
	}
	return &controller{
		router: r, agents: make(map[string]*agentRecord), suspicion: detector,
		changedKeys: make(map[routing.CounterKey]bool), staleRoutes: true,
		table: stats.NewTable[routing.CounterKey](stats.Node{Name: settings.VM, Incarnation: uint64(time.Now().UnixNano())}),
	}
}

// BenchmarkRefreshAgents measures refreshAgents for VM lists of several sizes:
// without a change, as on each tick (four times a second), and after a change.
func BenchmarkRefreshAgents(b *testing.B) {
	for _, size := range []int{100, 500, 2050} {
		c := benchController(b, size)
		b.Run(fmt.Sprintf("tick/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.refreshAgents()
			}
		})
		b.Run(fmt.Sprintf("change/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.processes = nil
				c.refreshAgents()
			}
		})
	}
}

// BenchmarkEvaluate runs the ticks of two seconds with new ratings before each, and
// reports the share of a core that the evaluations take for several numbers of
// workspaces.
func BenchmarkEvaluate(b *testing.B) {
	for _, workspaces := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			c := benchController(b, 100)
			c.router.Checker = &invariant.Checker{}
			c.router.view.Store(&view{})
			c.router.ratingUp.Store(true)
			c.router.Syncer = benchSyncer(b, workspaces)
			for i := range workspaces {
				for rating := range 10 {
					key := routing.CounterKey{Workspace: fmt.Sprintf("workspace-%04d", i), Model: "model-0", Version: "1", Kind: "chat"}
					if err := c.table.Add(key, 0.8+float64(rating)/50); err != nil {
						b.Fatal(err)
					}
				}
			}
			busy, ticks := time.Duration(0), 0
			for b.Loop() {
				for range 2 * int(time.Second/tickInterval) {
					c.ratingsChanged = true
					started := time.Now()
					c.evaluate()
					took := time.Since(started)
					busy += took
					ticks++
					time.Sleep(max(0, tickInterval-took))
				}
			}
			b.ReportMetric(100*busy.Seconds()/(float64(ticks)*tickInterval.Seconds()), "%core")
		})
	}
}

// benchSyncer returns a syncer with a bundle of ten models and the given number of
// workspaces.
func benchSyncer(b *testing.B, workspaces int) *distribute.Syncer {
	b.Helper()
	root, operator := ed25519.NewKeyFromSeed(make([]byte, 32)), ed25519.NewKeyFromSeed([]byte("operator key of the benchmarks!!"))
	public := func(name string, key ed25519.PrivateKey) bundle.OperatorKey {
		return bundle.OperatorKey{Name: name, PublicKey: base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))}
	}
	content := &bundle.Bundle{DataCentres: []bundle.DataCentre{{Name: "dc00", Region: "region-0", State: bundle.DataCentreServing}}}
	var allowed []string
	for i := range 10 {
		name := fmt.Sprintf("model-%d", i)
		allowed = append(allowed, name)
		content.Models = append(content.Models, bundle.Model{
			Name: name, Current: "1", InputPrice: uint64(i + 1), OutputPrice: uint64(i + 1), Versions: []bundle.Version{{Name: "1", State: bundle.VersionServing}},
		})
	}
	for i := range workspaces {
		content.Workspaces = append(content.Workspaces, bundle.Workspace{Name: fmt.Sprintf("workspace-%04d", i), Allowed: allowed, QualityTarget: 0.8})
	}
	content.Keys = bundle.SignKeys(bundle.Keys{Operators: []bundle.OperatorKey{public("ana", operator)}, SignOffs: 1, Serial: 1}, root)
	parts, names, err := bundle.Split(content)
	if err != nil {
		b.Fatal(err)
	}
	signed, err := bundle.NewSignedManifest(bundle.Manifest{Version: 1, Parts: names, Author: "ana"})
	if err != nil {
		b.Fatal(err)
	}
	k := distribute.New(distribute.Config{
		Self: distribute.Member{Node: "vm-00000", Router: true}, Anchor: bundle.TrustAnchor{Roots: []bundle.OperatorKey{public("root", root)}, SignOffs: 1},
		Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
	})
	if err := k.Accept(bundle.Sign(signed, operator), parts); err != nil {
		b.Fatal(err)
	}
	return k
}
