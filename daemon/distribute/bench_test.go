package distribute

import (
	"encoding/json"
	"fmt"
	"testing"

	"cactusknot.example/daemon/bundle"
)

// largeContent returns a bundle of about 1 MB of JSON.
func largeContent() *bundle.Bundle {
	b := content(1)
	for i := range 1600 {
		w := bundle.Workspace{Name: fmt.Sprintf("workspace-%04d", i), Allowed: []string{"diary", "diary@1"}, QualityTarget: 0.8}
		for j := range 6 {
			w.KeyHashes = append(w.KeyHashes, string(bundle.HashOf(fmt.Appendf(nil, "%d-%d", i, j))))
		}
		b.Workspaces = append(b.Workspaces, w)
	}
	return b
}

// BenchmarkChange measures what one changed workspace of a 1 MB bundle costs a
// process that fetches it from a peer.
func BenchmarkChange(b *testing.B) {
	f := newFleet(b)
	from := f.add("from", "dc0", true, f.store)
	to := f.add("to", "dc1", true, f.store)
	large := largeContent()
	whole, err := json.Marshal(large)
	if err != nil {
		b.Fatal(err)
	}
	sources := to.peers([]Member{from.cfg.Self})
	step := func(version uint64) {
		large.Workspaces[version%1600].Weight = float64(version)
		s, parts := sealed(b, large, version, 1)
		if err := from.Accept(s, parts); err != nil {
			b.Fatal(err)
		}
	}
	step(1)
	if _, err := to.pull(b.Context(), sources[0]); err != nil {
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
		if _, err := to.pull(b.Context(), sources[0]); err != nil {
			b.Fatal(err)
		}
	}
	changes := float64(version - 1)
	b.ReportMetric(float64(len(whole)), "whole-B")
	b.ReportMetric(float64(to.ControlBytes("manifest")-manifest)/changes, "manifest-B/op")
	b.ReportMetric(float64(to.ControlBytes("parts")-parts)/changes, "parts-B/op")
}
