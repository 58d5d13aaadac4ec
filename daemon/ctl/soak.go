package ctl

import (
	"context"
	"flag"
	"fmt"
	"time"

	"cactusknot.example/daemon/soak"
)

func soakCommands() []Command {
	return []Command{{Name: "soak", Summary: "run a deployment under load and faults and check the guarantees", Run: runSoak}}
}

// runSoak returns ExitFailed if a guarantee was violated.
func runSoak(ctx context.Context, env Env, args []string) int {
	fs := flag.NewFlagSet("cactusctl soak", flag.ContinueOnError)
	fs.SetOutput(env.Stderr)
	seed := fs.Uint64("seed", 1, "seed of the faults, the operators' actions and the load")
	duration := fs.Duration("duration", 30*time.Second, "time during which faults are injected")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	keep := fs.Bool("keep", false, "keep settings and logs")
	announcements := fs.Bool("announcements", false, "also let engines announce that they leave or pause")
	restore := fs.Bool("store-restore", false, "also restore the store from an older copy")
	schedule := fs.Bool("schedule", false, "print the schedule of the seed and exit")
	if err := fs.Parse(args); err != nil {
		return usageCode(err)
	}
	if fs.NArg() > 0 || *duration < soak.MinDuration {
		fmt.Fprintf(env.Stderr, "cactusctl soak: operands are not allowed, and -duration must be at least %s\n", soak.MinDuration)
		return ExitUsage
	}
	options := soak.Options{Seed: *seed, Duration: *duration, StoreRestore: *restore, Announcements: *announcements, Progress: env.Stderr}
	if *schedule {
		options.WriteSchedule(env.Stdout)
		return ExitOK
	}
	var report *soak.Report
	err := withTempDeployment(env, fmt.Sprintf("cactusknot-soak-%d-", *seed), *keep, func(d tempDeployment) (err error) {
		options.ToolPath, options.DaemonPath, options.Dir = d.toolPath, d.daemonPath, d.dir
		report, err = soak.Run(ctx, options)
		return err
	})
	if err != nil {
		fmt.Fprintln(env.Stderr, err)
		return ExitFailed
	}
	return printSoak(env, report, *asJSON)
}

func printSoak(env Env, report *soak.Report, asJSON bool) int {
	if asJSON {
		if code := printJSON(env, report); code != ExitOK {
			return code
		}
	} else {
		report.Print(env.Stdout)
	}
	if len(report.Violations) > 0 {
		return ExitFailed
	}
	return ExitOK
}
