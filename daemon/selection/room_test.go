package selection

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/daemon/topology"
)

func roomServers(n, slots int) []*topology.Server {
	list := make([]*topology.Server, n)
	for i := range list {
		list[i] = &topology.Server{ID: fmt.Sprint("s", i), Slots: slots}
	}
	return list
}

// Guards against another choice than without the queue while the best server has room, and
// against an idle server that counts as full.
func TestChooseWithRoomIsChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		a, b := New(), New()
		servers := roomServers(rapid.IntRange(1, 5).Draw(t, "servers"), 8)
		target := time.Duration(rapid.IntRange(1, 2000).Draw(t, "target")) * time.Millisecond
		limit := BacklogLimit(target, false)
		for sent := range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(time.Millisecond)
			r := Request{Service: "svc", PromptTokens: rapid.IntRange(0, 5000).Draw(t, "tokens"), Routers: []string{"r0"}}
			best, _ := a.Choose(now, servers, r)
			got, room := b.ChooseWithRoom(now, servers, r, limit, target)
			if room == RoomFound && got.Server == best.Server {
				continue
			}
			state := b.servers[best.Server.ID]
			if sent < len(servers) || state.pendingPrefill <= limit && state.inFlight < 12 {
				t.Fatalf("room %d, choice %+v; %s has room", room, got, best.Server.ID)
			}
			return
		}
	})
}

// Guards against routers that each use the room of all: with the reports of the others, and
// without any, what all of them send to a server stays near its limit, and is no less than a
// half of it when all have requests.
func TestRoomIsShared(t *testing.T) {
	const slots, places = 20, 30 // modelQueueFactor times the slots
	for _, routers := range []int{1, 2, 5, 10} {
		for _, reports := range []bool{false, true} {
			now := time.Unix(1_700_000_000, 0)
			names := make([]string, routers)
			all := make([]*Chooser, routers)
			for i := range all {
				names[i], all[i] = fmt.Sprint("r", i), New()
			}
			servers := roomServers(1, slots)
			sum := 0
			for range 20 {
				if reports {
					for i, c := range all {
						others := OutstandingWork{}
						for j, o := range all {
							if j != i {
								others = others.Add(o.OutstandingWork()["s0"])
							}
						}
						c.SetPeerWork(now, map[string]OutstandingWork{"s0": others})
					}
				}
				// Each router sends one request between two reports.
				for _, c := range all {
					r := Request{Service: "svc", PromptTokens: 1, Routers: names}
					if _, room := c.ChooseWithRoom(now, servers, r, time.Hour, time.Hour); room == RoomFound {
						sum++
					}
				}
				now = now.Add(200 * time.Millisecond)
			}
			if most := places + routers; sum > most || sum < min(places/2, 20) {
				t.Errorf("%d routers, reports %v: %d requests in progress, want about %d", routers, reports, sum, places)
			}
		}
	}
}

// Guards against a router that adds its equal share to a server that the others have filled,
// and against a short latency target that makes the base latency of a few requests fill one.
func TestServerFilledByOthersIsFull(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		others OutstandingWork
		target time.Duration
		want   Room
	}{
		{OutstandingWork{InFlight: 12}, time.Second, RoomFull},
		{OutstandingWork{InFlight: 1, PrefillTime: time.Second}, time.Second, RoomFull},
		{OutstandingWork{InFlight: 3, PrefillTime: 3 * baseLatency}, 20 * time.Millisecond, RoomFound},
	} {
		chooser := New()
		chooser.SetPeerWork(now, map[string]OutstandingWork{"s0": c.others})
		r := Request{Service: "svc", PromptTokens: 10, Routers: []string{"r0", "r1"}}
		if _, room := chooser.ChooseWithRoom(now, roomServers(1, 8), r, BacklogLimit(c.target, false), c.target); room != c.want {
			t.Errorf("%+v: room %d", c, room)
		}
	}
}
