package distribute

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/rpc"

	"github.com/rs/zerolog"
)

// largeContent returns a bundle of about 1 MB of JSON.
func largeContent() *bundle.Bundle {
	b := testBundle(1)
	for i := range 1600 {
		w := bundle.Workspace{Name: fmt.Sprintf("workspace-%04d", i), Allowed: []string{"diary", "diary@1"}, QualityTarget: 0.8}
		for j := range 6 {
			w.KeyHashes = append(w.KeyHashes, string(bundle.HashOf(fmt.Appendf(nil, "%d-%d", i, j))))
		}
		b.Workspaces = append(b.Workspaces, w)
	}
	return b
}

// BenchmarkChange measures the cost of fetching a 1 MB bundle from a peer after one
// workspace has changed.
func BenchmarkChange(b *testing.B) {
	f := newFleet(b)
	from := f.add("from", "dc0", true, f.store)
	to := f.add("to", "dc1", true, f.store)
	large := largeContent()
	whole, err := json.Marshal(large)
	if err != nil {
		b.Fatal(err)
	}
	sources := to.peerSources([]Member{from.cfg.Self})
	step := func(version uint64) {
		large.Workspaces[version%1600].Weight = float64(version)
		s, parts := signedBundle(b, large, version, 1)
		if err := from.Accept(s, parts); err != nil {
			b.Fatal(err)
		}
	}
	step(1)
	if _, err := to.fetchBundle(b.Context(), sources[0]); err != nil {
		b.Fatal(err)
	}
	manifest, parts := to.ControlBytes("manifest"), to.ControlBytes("parts")
	version := uint64(1)
	b.ResetTimer()
	for b.Loop() {
		b.StopTimer()
		version++
		step(version)
		b.StartTimer()
		if _, err := to.fetchBundle(b.Context(), sources[0]); err != nil {
			b.Fatal(err)
		}
	}
	changes := float64(version - 1)
	b.ReportMetric(float64(len(whole)), "whole-B")
	b.ReportMetric(float64(to.ControlBytes("manifest")-manifest)/changes, "manifest-B/op")
	b.ReportMetric(float64(to.ControlBytes("parts")-parts)/changes, "parts-B/op")
}

// staticNetwork has a fixed list of members that all share one peer.
type staticNetwork struct {
	members []Member
	peer    PeerClient
}

func (n *staticNetwork) Members() []Member { return n.members }

func (n *staticNetwork) Client(string) PeerClient { return n.peer }

// newStaticSyncer returns a syncer in a deployment of the given size, in which one
// process in six is a router, with a bundle of three data centres.
func newStaticSyncer(b *testing.B, size int) *Syncer {
	b.Helper()
	network := &staticNetwork{}
	for i := range size {
		network.members = append(network.members, Member{
			Node: fmt.Sprintf("vm-%05d", i), DataCentre: fmt.Sprintf("dc%d", i%13), Region: fmt.Sprintf("r%d", i%4), Router: i%6 == 0, Live: true,
		})
	}
	f := newFleet(b)
	network.peer = f.add("other", "dc1", true, f.store)
	k := New(Config{
		Self: network.members[0], Anchor: anchor, Store: f.store, Network: network, Clock: clock.System{},
		Rand: rand.New(rand.NewPCG(7, 7)), Checker: f.checker, Log: zerolog.Nop(),
	})
	s, parts := signedBundle(b, testBundle(1), 1, 1)
	if err := k.Accept(s, parts); err != nil {
		b.Fatal(err)
	}
	return k
}

// BenchmarkContact measures RecordContact, which a router calls for each state of an
// agent, about 60 times per second.
func BenchmarkContact(b *testing.B) {
	for _, size := range []int{100, 500, 2050} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			k := newStaticSyncer(b, size)
			b.ReportAllocs()
			for b.Loop() {
				k.RecordContact("dc1", time.Now())
			}
		})
	}
}

// BenchmarkSync measures the handling of one gossip message.
func BenchmarkSync(b *testing.B) {
	for _, size := range []int{100, 500, 2050} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			k := newStaticSyncer(b, size)
			in := &rpc.SyncRequest{Node: fmt.Sprintf("vm-%05d", size-1), BundleVersion: 1}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := k.Sync(b.Context(), in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkGossip measures one gossip round without the network. It includes the
// responses of the two peers, which belong to a small deployment.
func BenchmarkGossip(b *testing.B) {
	for _, size := range []int{100, 500, 2050} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			k := newStaticSyncer(b, size)
			b.ReportAllocs()
			for b.Loop() {
				k.Gossip(b.Context())
			}
		})
	}
}
