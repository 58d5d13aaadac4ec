package e2e

import (
	"context"
	"net/http"
	"os"
	"testing"

	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/result"
)

func readLog(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(deployment.LogFile(name))
	must(t, err)
	return text
}

// TestStartWithoutStoreAndPeers guards against a router that says it is ready, or
// serves, without a verified configuration, and against one that does not
// recover by itself once there is one.
func TestStartWithoutStoreAndPeers(t *testing.T) {
	alone := newSpec(t.TempDir())
	alone.Tool, alone.Daemon = spec.Tool, spec.Daemon
	alone.Routers, alone.Agents = alone.Routers[:1], alone.Agents[2:3]
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	f, err := fleet.New(ctx, alone)
	must(t, err)
	defer f.Close()
	must(t, f.StartDaemons())
	vm := alone.Routers[0].VM
	eventually(t, "the router lives", func() bool {
		return do(ctx, http.MethodGet, f.Admin(vm)+"/livez", nil, nil).status == http.StatusOK
	})
	for range 5 {
		for _, url := range []string{f.Admin(vm) + "/readyz", f.Callers(vm) + "/readyz", f.Admin(alone.Agents[0].VM) + "/readyz"} {
			if a := do(ctx, http.MethodGet, url, nil, nil); a.status == http.StatusOK {
				t.Errorf("%s without a configuration: %s", url, a)
			}
		}
		bookOn(ctx, f, vm, "early", "").want(t, result.NotReady)
	}
	must(t, f.StartPlatform())
	eventually(t, "the store takes the configuration", func() bool { return f.Propose(ctx) == nil })
	must(t, f.WaitReady(ctx))
	eventually(t, "bookings are possible", func() bool {
		return bookOn(ctx, f, vm, "later", "").status == http.StatusCreated
	})
}
