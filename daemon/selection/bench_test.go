package selection

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures a choice among servers with observations, as the request path
// makes it.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 40, 160} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, list := New(), servers(n)
			var requests []Request
			for i := range 64 {
				requests = append(requests, Request{
					Service: "svc", Model: "m", ModelRank: 1, PromptTokens: 8100, Routers: names(5), Self: "r0",
					Prefixes: Prefixes("m", []string{fmt.Sprint("p", i), fmt.Sprint("own", i)}, []int{8000, 100}),
				})
			}
			now := start
			c.SetPeerWork(now, map[string]OutstandingWork{"s0": {InFlight: 3}, "s1": {PrefillTime: time.Second}})
			step := func(i int) {
				choice, _ := c.Choose(now, list, requests[i%len(requests)])
				choice.RecordLoad(now, Load{Running: i % 5})
				choice.RecordFirstByte(now.Add(choice.ExpectedFirstByte))
				choice.End(now.Add(choice.ExpectedFirstByte), Succeeded)
			}
			for i := range 4 * n {
				step(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				step(i)
			}
		})
	}
}
