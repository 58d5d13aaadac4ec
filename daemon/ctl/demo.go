package ctl

import (
	"context"
	"flag"
	"fmt"

	"cactusknot.example/daemon/demo"
)

func demoCommands() []Command {
	return []Command{{Name: "demo", Summary: "run a small deployment on this machine and show what it does", Run: runDemo}}
}

func runDemo(ctx context.Context, env Env, args []string) int {
	flags := flag.NewFlagSet("cactusctl demo", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	keep := flags.Bool("keep", false, "keep settings and logs")
	if err := flags.Parse(args); err != nil {
		return usageCode(err)
	}
	err := withTempDeployment(env, "cactusknot-demo-", *keep, func(d tempDeployment) error {
		return demo.Run(ctx, demo.Options{ToolPath: d.toolPath, DaemonPath: d.daemonPath, Dir: d.dir, Out: env.Stdout})
	})
	if err != nil {
		fmt.Fprintln(env.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}
