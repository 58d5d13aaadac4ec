package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"testing"

	"cactusknot.example/daemon/result"
)

// operate runs an operator command and waits until every daemon has applied the new
// configuration.
func operate(t *testing.T, args ...string) {
	t.Helper()
	out, err := deployment.RunOperatorCommand(context.Background(), append(args, "-json")...)
	must(t, err)
	var changed struct{ Version float64 }
	must(t, json.Unmarshal(out, &changed))
	waitForVersion(t, changed.Version)
}

// restore makes the initial configuration the active one again.
func restore(t *testing.T) {
	t.Helper()
	parent := metric(t, "router-a", "cactusknot_bundle_version")
	operate(t, "propose", "-parent", fmt.Sprint(parent), filepath.Join(spec.Dir, "bundle.json"))
}

// waitForVersion waits until all routers and agents have applied the configuration.
func waitForVersion(t *testing.T, version float64) {
	t.Helper()
	var vms []string
	for _, r := range spec.Routers {
		vms = append(vms, r.VM)
	}
	for _, a := range spec.Agents {
		vms = append(vms, a.VM)
	}
	for _, vm := range vms {
		eventually(t, fmt.Sprintf("%s has version %.0f", vm, version), func() bool {
			return metric(t, vm, "cactusknot_bundle_version") == version
		})
	}
}

// burst sends n concurrent requests through all routers and returns how many
// succeeded. Every failure must be reported as not run.
func burst(t *testing.T, n int, model string) int {
	t.Helper()
	var wg sync.WaitGroup
	answers := make([]answer, n)
	for i := range n {
		wg.Go(func() {
			answers[i] = chat(t.Context(), spec.Routers[i%len(spec.Routers)].VM, refusingWorkspace, prompt(model, fmt.Sprint("burst ", i)))
		})
	}
	wg.Wait()
	answered := 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK:
			answered++
		case refusalOf(a.body).Error.Run != string(result.NotRun):
			t.Error(a)
		}
	}
	return answered
}

// TestDataCentreOut guards against new requests in a data centre that is out of
// service, and against one that stays unused after it is back in service.
func TestDataCentreOut(t *testing.T) {
	operate(t, "dc", "out", "a")
	waitIdle(t)
	accepted := func() uint64 { return engineTotals(t, "engine-a1").Accepted + engineTotals(t, "engine-a2").Accepted }
	before := accepted()
	answered := 0
	for range 5 {
		answered += burst(t, 24, "small")
	}
	if answered == 0 {
		t.Error("the remaining data centre answered nothing")
	}
	if n := accepted() - before; n != 0 {
		t.Errorf("%d requests in a data centre that is out of service", n)
	}
	operate(t, "dc", "in", "a")
	eventually(t, "the data centre is used again", func() bool {
		burst(t, 24, "small")
		return accepted() > before
	})
}

// TestWithdrawnVersion guards against requests to a withdrawn version, and against
// sessions that move to another version although their workspace does not allow it.
func TestWithdrawnVersion(t *testing.T) {
	tokens := map[string]string{}
	for _, workspace := range []string{refusingWorkspace, movingWorkspace} {
		a := chat(t.Context(), "router-a", workspace, prompt("small", "pin"))
		tokens[workspace] = a.header.Get("X-Session-Token")
		if a.status != http.StatusOK || tokens[workspace] == "" {
			t.Fatal(a)
		}
	}
	operate(t, "withdraw", "-replace", "2", "small@1")
	t.Cleanup(func() { restore(t) })
	served := func() (n uint64) {
		for _, vm := range engines() {
			n += engineTotals(t, vm).Served["small@1"]
		}
		return n
	}
	waitIdle(t)
	before, moved := served(), ""
	for _, router := range []string{"router-a", "router-b"} {
		chat(t.Context(), router, refusingWorkspace, prompt("small", "pin"), "X-Session-Token", tokens[refusingWorkspace]).want(t, result.VersionWithdrawn)
		chat(t.Context(), router, refusingWorkspace, prompt("small@1", "named")).want(t, result.VersionWithdrawn)
		a := chat(t.Context(), router, movingWorkspace, prompt("small", "pin"), "X-Session-Token", tokens[movingWorkspace])
		if a.status != http.StatusOK || a.header.Get("X-Session-Moved") != "small@1 -> small@2" {
			t.Errorf("session of a workspace that allows moves: %s, moved %q", a, a.header.Get("X-Session-Moved"))
		}
		moved = a.header.Get("X-Session-Token")
	}
	if a := chat(t.Context(), "router-a", movingWorkspace, prompt("small", "pin"), "X-Session-Token", moved); a.status != http.StatusOK || a.header.Get("X-Session-Moved") != "" {
		t.Errorf("moved session: %s, moved again %q", a, a.header.Get("X-Session-Moved"))
	}
	if n := served() - before; n != 0 {
		t.Errorf("%d requests on a withdrawn version", n)
	}
}
