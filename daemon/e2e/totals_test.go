package e2e

import "testing"

// TestChargesStored guards against charges that are never stored after the outages,
// kills and shutdowns of the preceding tests.
func TestChargesStored(t *testing.T) {
	for _, r := range spec.Routers {
		eventually(t, "charges are stored", func() bool { return metric(t, r.VM, "cactusknot_router_unstored_charges") == 0 })
	}
}
