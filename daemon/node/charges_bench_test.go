package node

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/config"
)

// BenchmarkCollectors measures the choice of the collectors of one shard by the number
// of routers. A router at 22 requests/s delivers to about 16 shards per second.
func BenchmarkCollectors(b *testing.B) {
	for _, routers := range []int{20, 100, 350} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			n := &Node{Settings: config.Node{VM: "vm-agent"}, Role: auth.RoleAgent, Log: zerolog.Nop()}
			n.Directory = NewDirectory(n)
			list := &Processes{}
			for i := range routers * 6 {
				p := Process{VM: fmt.Sprintf("vm-%05d", i), Role: auth.RoleAgent}
				if i%6 == 0 {
					p.Role = auth.RoleRouter
				}
				list.All = append(list.All, p)
			}
			n.Directory.current.Store(list)
			shard := uint32(0)
			b.ReportAllocs()
			for b.Loop() {
				shard++
				n.collectors(shard % LedgerShards)
			}
		})
	}
}
