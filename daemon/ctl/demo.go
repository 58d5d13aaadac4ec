package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"cactusknot.example/daemon/demo"
)

func demoCommands() []Command {
	return []Command{{Name: "demo", Summary: "run a small deployment on this machine and show what it does", Run: runDemo}}
}

// runDemo expects the daemon's binary beside the one of cactusctl.
func runDemo(ctx context.Context, env Env, args []string) int {
	flags := flag.NewFlagSet("cactusctl demo", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	keep := flags.Bool("keep", false, "keep settings and logs")
	if err := flags.Parse(args); err != nil {
		return usageCode(err)
	}
	tool, err := os.Executable()
	if err != nil {
		fmt.Fprintln(env.Stderr, err)
		return ExitFailed
	}
	dir, err := os.MkdirTemp("", "cactusknot-demo-")
	if err != nil {
		fmt.Fprintln(env.Stderr, err)
		return ExitFailed
	}
	err = demo.Run(ctx, demo.Options{Tool: tool, Daemon: filepath.Join(filepath.Dir(tool), "cactusknot"), Dir: dir, Out: env.Stdout})
	if *keep || err != nil {
		fmt.Fprintln(env.Stderr, "settings and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}
