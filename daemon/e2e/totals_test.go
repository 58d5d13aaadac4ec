package e2e

import "testing"

// TestChargesStored guards against charges that stay in memory after outages,
// kills and stops of the tests before.
func TestChargesStored(t *testing.T) {
	for _, r := range spec.Routers {
		eventually(t, "charges are stored", func() bool { return metric(t, r.VM, "cactusknot_router_unstored_charges") == 0 })
	}
}
