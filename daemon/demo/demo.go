// Package demo runs a small deployment and shows how it handles load: requests
// across two data centres, a rollout, and a data centre that is taken out of
// service and brought back.
package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/loadgen"
)

const (
	// timeout bounds the whole demo.
	timeout       = 45 * time.Second
	phaseDuration = 2 * time.Second
	// phaseRate is the mean number of requests per second.
	phaseRate = 60
)

// Options are the paths of the binaries and the destinations of output.
type Options struct {
	ToolPath   string
	DaemonPath string
	// Dir receives settings, keys and logs.
	Dir string
	Out io.Writer
}

// phase is a step of the demo: it runs operators' commands and then generates load.
type phase struct {
	name     string
	commands [][]string
}

var phases = []phase{
	{name: "two data centres"},
	{name: "roll-out of small@2 at 25%", commands: [][]string{{"rollout", "start", "-id", "r1", "-steps", "0.25,0.5,1", "small@2"}}},
	{name: "data centre a out of service", commands: [][]string{{"dc", "out", "a"}}},
	{name: "data centre a back in service", commands: [][]string{{"dc", "in", "a"}}},
	{name: "roll-out halted", commands: [][]string{{"rollout", "halt", "r1"}}},
}

// Run starts the deployment, runs the phases, prints a table with a row for each
// phase and stops all processes that it started.
func Run(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	spec := fleet.Sample()
	spec.ToolPath, spec.DaemonPath, spec.Dir = o.ToolPath, o.DaemonPath, o.Dir
	f, err := fleet.New(ctx, spec)
	if err != nil {
		return trace.Wrap(err)
	}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(o.Out, "%d routers and %d agents are ready\n\n", len(spec.Routers), len(spec.Agents))
	return runPhases(ctx, o, f, spec)
}

func runPhases(ctx context.Context, o Options, f *fleet.Fleet, spec fleet.Spec) error {
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "phase\trequests\tcomplete\trefused\tfirst token p50\tp99\ttotal p50\tp99")
	for i, p := range phases {
		for _, command := range p.commands {
			if _, err := f.RunOperatorCommand(ctx, command...); err != nil {
				return trace.Wrap(err)
			}
		}
		report, err := runLoad(ctx, f, spec, uint64(i+1))
		if err != nil {
			return trace.Wrap(err)
		}
		writeRow(table, p.name, report)
	}
	return table.Flush()
}

func runLoad(ctx context.Context, f *fleet.Fleet, spec fleet.Spec, seed uint64) (*loadgen.Report, error) {
	var targets []string
	for _, r := range spec.Routers {
		targets = append(targets, f.CallerURL(r.VM))
	}
	return loadgen.Run(ctx, loadgen.Options{
		Targets:  targets,
		Rate:     phaseRate,
		Duration: phaseDuration,
		Seed:     seed,
		Workload: workload(spec),
	})
}

// workload returns a mix of streamed and unstreamed chat completions, with and
// without sessions, and bookings.
func workload(spec fleet.Spec) loadgen.Workload {
	w := loadgen.Workload{Classes: []loadgen.Class{
		{Name: "auto", Weight: 4, Chat: &loadgen.Chat{Model: "auto", Stream: true, PromptMin: 100, PromptMax: 800, Sessions: 20}},
		{Name: "small", Weight: 4, Chat: &loadgen.Chat{Model: "small", PromptMin: 100, PromptMax: 400}},
		{Name: "booking", Weight: 2, Service: &loadgen.Service{Name: "tickets", Method: "POST", Path: "bookings"}},
	}}
	for _, ws := range spec.Bundle.Workspaces {
		w.Workspaces = append(w.Workspaces, loadgen.Workspace{Name: ws.Name, Key: fleet.SampleKey(ws.Name), Weight: 1})
	}
	return w
}

func writeRow(w io.Writer, name string, report *loadgen.Report) {
	done := report.All.Codes[loadgen.CodeOK]
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\n", name, report.All.Requests, done, report.All.Requests-done,
		report.All.FirstToken.P50, report.All.FirstToken.P99, report.All.Total.P50, report.All.Total.P99)
}
