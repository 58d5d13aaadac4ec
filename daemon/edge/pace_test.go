package edge

import (
	"fmt"
	"testing"
	"time"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

// A router that has not observed a server must not send its streams there as if it were of
// average pace while other routers know better; what it has observed itself counts more than
// what others report.
func TestPacesReachOtherRouters(t *testing.T) {
	list := []*topology.Server{{ID: "s0"}, {ID: "s1"}}
	now := time.Unix(1000, 0)
	request := selection.Request{Service: "svc", Model: "m", PromptTokens: 100, Routers: []string{"r0"}}
	interval := func(c *selection.Chooser, server int) time.Duration {
		estimate, _ := c.Estimate(now, list[server:server+1], request)
		return estimate.EventInterval
	}
	observe := func(c *selection.Chooser, server int, interval time.Duration) {
		choice, _ := c.Choose(now, list[server:server+1], request)
		for range 30 {
			choice.RecordEvents(now, 10, 10*interval)
		}
		choice.End(now, selection.Succeeded)
	}
	experienced, other := selection.New(), selection.New()
	for i := range 20 {
		observe(experienced, i%2, []time.Duration{30 * time.Millisecond, 12 * time.Millisecond}[i%2])
	}
	observe(other, 1, 30*time.Millisecond)
	before, own := interval(other, 0), interval(other, 1)
	exchange := func(aggregator, router *paceExchange, name string) {
		report, reply := &rpc.LoadReport{Router: name}, &rpc.LoadReply{}
		router.report(now, report)
		aggregator.aggregate(now, report, reply)
		router.apply(now, reply)
	}
	a, b := newPaceExchange(experienced), newPaceExchange(other)
	exchange(a, a, "a")
	exchange(a, b, "b")
	if after := interval(other, 0); after < before*12/10 {
		t.Errorf("%s between events at the slow server after the exchange, %s before", after, before)
	}
	if after := interval(other, 1); after != own {
		t.Errorf("%s between events at a server that the router has observed itself, %s before", after, own)
	}
	report, reply := &rpc.LoadReport{Router: "b"}, &rpc.LoadReply{}
	now = now.Add(loadInterval)
	b.report(now, report)
	a.aggregate(now, report, reply)
	if len(report.GetPaces())+len(reply.GetPaces()) > 0 {
		t.Error("paces are exchanged again at once")
	}
	now = now.Add(pooledPaceMaxAge + paceInterval)
	b.report(now, report)
	a.aggregate(now, &rpc.LoadReport{Router: "b"}, reply)
	if len(reply.GetPaces()) > 0 || len(a.pooled) > 0 {
		t.Errorf("paces are kept for more than %s: %v", pooledPaceMaxAge, reply.GetPaces())
	}
	if len(report.GetPaces()) > 0 {
		t.Errorf("observations of more than a minute ago are reported: %v", report.GetPaces())
	}
}

// An aggregator must not grow without bound by the reports of a broken router, and absurd
// paces must change nothing.
func TestPooledPacesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	chooser := selection.New()
	p := newPaceExchange(chooser)
	for i := range maxPaceReceivers + 100 {
		p.aggregate(now, &rpc.LoadReport{Router: fmt.Sprint(i)}, &rpc.LoadReply{})
	}
	if len(p.sentAt) > maxPaceReceivers {
		t.Errorf("%d routers are kept", len(p.sentAt))
	}
	now = now.Add(paceInterval)
	report := &rpc.LoadReport{Router: "r"}
	for i := range maxPooledPaces + 100 {
		report.Paces = append(report.Paces, &rpc.ServerPace{Server: fmt.Sprint(i), Percent: 900})
	}
	reply := &rpc.LoadReply{}
	p.aggregate(now, report, reply)
	p.aggregate(now, &rpc.LoadReport{Router: "s", Paces: []*rpc.ServerPace{{Server: "1", Percent: 100_000}}}, &rpc.LoadReply{})
	if got := p.pooled["1"].percent; got != 900 {
		t.Errorf("a report of 1000 times the average changes the pace from 900 to %g", got)
	}
	if len(p.pooled) > maxPooledPaces {
		t.Errorf("the paces of %d servers are kept", len(p.pooled))
	}
	list := []*topology.Server{{ID: "0"}}
	before, _ := chooser.Estimate(now, list, selection.Request{PromptTokens: 100})
	p.apply(now, reply)
	if after, _ := chooser.Estimate(now, list, selection.Request{PromptTokens: 100}); after != before {
		t.Errorf("a pace of 9 times the average is used: %+v", after)
	}
}
