package e2e

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/fleet"
)

const (
	// startLimit bounds the build and the start of a deployment.
	startLimit = 2 * time.Minute
	// waitLimit bounds a wait for a condition; it is generous, since no test
	// asserts a time.
	waitLimit  = 30 * time.Second
	drainDelay = time.Second
	// The sample's workspaces. The sessions of moving change a withdrawn version.
	refusing = "aquarium"
	moving   = "families"
)

// deployment is the fleet that the tests share, with its spec.
var (
	deployment *fleet.Fleet
	spec       fleet.Spec
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the binaries, starts the shared deployment and runs the tests. A
// violated invariant, a panic or a data race of any process fails the run.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cactusknot-e2e-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	spec = newSpec(dir)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", dir, "../cmd/...").CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	if deployment, err = fleet.New(ctx, spec); err != nil {
		fmt.Println(err)
		return 1
	}
	defer deployment.Close()
	if err := deployment.Start(ctx); err != nil {
		fmt.Println(err)
		return 1
	}
	code := m.Run()
	if reportFaults(dir) {
		code = 1
	}
	return code
}

// newSpec returns the sample with a third router, longer answers' room on the
// engines and a workspace whose sessions move.
func newSpec(dir string) fleet.Spec {
	s := fleet.Sample()
	s.ToolPath, s.DaemonPath, s.Dir = filepath.Join(dir, "cactusctl"), filepath.Join(dir, "cactusknot"), dir
	s.DrainDelay = drainDelay
	s.Routers = append(s.Routers, fleet.RouterSpec{VM: "router-c", DataCentre: "b"})
	for i := range s.Bundle.Workspaces {
		if s.Bundle.Workspaces[i].Name == moving {
			s.Bundle.Workspaces[i].OnWithdrawal = bundle.WithdrawalMove
		}
	}
	return s
}

// reportFaults prints the lines of all logs that show a fault of a process.
func reportFaults(dir string) bool {
	found := false
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range logs {
		text, _ := os.ReadFile(file)
		for line := range bytes.Lines(text) {
			for _, sign := range []string{"invariant violated", "panic", "DATA RACE", "fatal error"} {
				if bytes.Contains(line, []byte(sign)) {
					found = true
					fmt.Printf("%s: %s", filepath.Base(file), line)
				}
			}
		}
	}
	return found
}
