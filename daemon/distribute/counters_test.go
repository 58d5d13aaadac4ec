package distribute

import (
	"fmt"
	"testing"

	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// TestFullTableTakesRolloutCounters guards against a full table that rejects the
// ratings of a new rollout.
func TestFullTableTakesRolloutCounters(t *testing.T) {
	table := newCounterTable()
	for i := range maxCounters {
		table.merge(&rpc.QualityCounter{Node: fmt.Sprint(i), Count: 1})
	}
	if table.merge(&rpc.QualityCounter{Node: "late", Count: 1}) {
		t.Error("a full table took another counter")
	}
	tags := routing.Tags{Rollout: "r1/3", Bin: routing.NoBin}
	if !table.merge(&rpc.QualityCounter{Node: "late", Kind: tags.Encode(), Count: 1}) {
		t.Error("a full table refused a counter of a roll-out")
	}
}
