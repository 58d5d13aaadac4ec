package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	benchmark "cactusknot.example/daemon/bench"
)

func benchCommands() []Command {
	return []Command{{Name: "bench", Summary: "run the benchmark scenarios against their baselines", Run: runBench}}
}

func runBench(ctx context.Context, env Env, args []string) int {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	name := flags.String("scenario", "", "run one scenario; empty runs all")
	deployment := flags.String("deployment", "", "coop or creches; empty means both")
	seeds := flags.Int("seeds", 5, "number of seeds, counted from 1")
	scale := flags.Float64("scale", 1, "factor on the number of requests")
	asJSON := flags.Bool("json", false, "print JSON instead of a table")
	out := flags.String("out", "", "`DIR` for a JSON file and plots of each scenario; empty writes none")
	if err := flags.Parse(args); err != nil {
		return ExitUsage
	}
	o := benchmark.Options{Scale: *scale, Deployment: *deployment}
	for i := range *seeds {
		o.Seeds = append(o.Seeds, uint64(i+1))
	}
	code, found := ExitOK, false
	for _, s := range benchmark.Scenarios() {
		if *name != "" && *name != s.Name {
			continue
		}
		found = true
		if !runScenario(ctx, env, s, o, *asJSON, *out) {
			code = ExitFailed
		}
	}
	if !found {
		fmt.Fprintf(env.Stderr, "bench: unknown scenario %q\n", *name)
		return ExitUsage
	}
	return code
}

// runScenario runs and prints one scenario. It reports whether the scenario
// completed and met all of its targets.
func runScenario(ctx context.Context, env Env, s benchmark.Scenario, o benchmark.Options, asJSON bool, dir string) bool {
	report, err := s.Run(ctx, o)
	if err != nil {
		fmt.Fprintf(env.Stderr, "bench %s: %v\n", s.Name, err)
		return false
	}
	if asJSON {
		err = report.WriteJSON(env.Stdout)
	} else {
		err = report.WriteTable(env.Stdout)
	}
	if err == nil && dir != "" {
		err = writeReport(&report, dir)
	}
	if err != nil {
		fmt.Fprintf(env.Stderr, "bench %s: %v\n", s.Name, err)
	}
	ok := err == nil
	for _, c := range report.Checks {
		ok = ok && c.Met
	}
	return ok
}

// writeReport writes the plots and a JSON file of the report to dir.
func writeReport(report *benchmark.Report, dir string) error {
	if err := report.WritePlots(dir); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, report.Scenario+".json"))
	if err != nil {
		return err
	}
	if err := report.WriteJSON(file); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}
