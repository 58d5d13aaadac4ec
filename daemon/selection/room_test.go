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
		limit := BacklogLimit(target)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(time.Millisecond)
			r := Request{Service: "svc", PromptTokens: rapid.IntRange(0, 5000).Draw(t, "tokens"), Routers: []string{"r0"}}
			best, ok := a.Choose(now, servers, r)
			if !ok {
				t.Fatal("no server")
			}
			busy := false
			for _, s := range servers {
				busy = busy || b.ServerStats(now, s.ID).InFlight > 0
			}
			got, room := b.ChooseWithRoom(now, servers, r, limit, target)
			switch {
			case room != RoomFound:
				if !busy {
					t.Fatal("no room at idle servers")
				}
				if room == RoomClosed {
					t.Fatal("closed without rate limits")
				}
				return
			case got.Server != best.Server:
				if state := b.servers[best.Server.ID]; state.pendingPrefill <= limit && state.inFlight < 12 {
					t.Fatalf("chose %s, not %s, which has room", got.Server.ID, best.Server.ID)
				}
				return
			}
		}
	})
}

// Guards against a short latency target that makes servers count as full because of the base
// latency of a few requests.
func TestShortTargetLeavesRoom(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := New()
	for range 4 {
		r := Request{Service: "svc", PromptTokens: 10, Routers: []string{"r0"}}
		if _, room := c.ChooseWithRoom(now, roomServers(1, 8), r, BacklogLimit(20*time.Millisecond), 20*time.Millisecond); room != RoomFound {
			t.Fatalf("room %d", room)
		}
	}
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

// Guards against a router that adds its equal share to a server that the others have filled.
func TestServerFilledByOthersIsFull(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, work := range []OutstandingWork{{InFlight: 12}, {InFlight: 1, PrefillTime: time.Second}} {
		c := New()
		c.SetPeerWork(now, map[string]OutstandingWork{"s0": work})
		r := Request{Service: "svc", PromptTokens: 10, Routers: []string{"r0", "r1"}}
		if _, room := c.ChooseWithRoom(now, roomServers(1, 8), r, 500*time.Millisecond, time.Second); room != RoomFull {
			t.Errorf("%+v of the others: room %d", work, room)
		}
	}
}
