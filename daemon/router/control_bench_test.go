package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/stats"
	"cactusknot.example/coord/suspect"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/secure"
)

// benchController returns a controller that knows a VM list of the given size, of
// which one in six is a router.
func benchController(b *testing.B, size int) *controller {
	b.Helper()
	var list emulate.VMsConfig
	for i := range size {
		vm := platform.VM{
			VM: fmt.Sprintf("vm-%05d", i), Role: platform.VMAgent, DataCentre: fmt.Sprintf("dc%02d", i%13),
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
		Node:     &node.Node{Settings: settings, Role: secure.RoleRouter, Log: zerolog.Nop(), Clock: clock.System{}},
		settings: &config.Router{Node: settings},
	}
	r.Directory = node.NewDirectory(r.Node)
	r.Directory.Refresh(context.Background())
	detector, err := suspect.New(suspect.Config{Min: suspectMin, Max: suspectMax})
	if err != nil {
		b.Fatal(err)
	}
	return &controller{
		router: r, agents: make(map[string]*agentRecord), suspicion: detector,
		table: stats.NewTable[routing.Key](stats.Node{Name: settings.VM, Incarnation: uint64(time.Now().UnixNano())}),
	}
}

// BenchmarkRefreshAgents is the part of the VM list in the work of the control
// goroutine, by entries: on each tick, four times a second, and on a change.
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
