// Command cactusknot is the daemon: a router on an entry VM, or an agent beside
// one backend server.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"cactusknot.example/daemon/agent"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/router"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// runner is a role that serves until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 || (args[0] != "router" && args[0] != "agent") {
		fmt.Fprintln(os.Stderr, "usage: cactusknot router|agent -config FILE [-check]")
		return exitSettings
	}
	flags := flag.NewFlagSet("cactusknot "+args[0], flag.ContinueOnError)
	file := flags.String("config", "", "settings `file` (JSON)")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args[1:]); err != nil {
		return exitSettings
	}
	role, err := build(args[0], *file, *check)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := role.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

func build(role, file string, check bool) (runner, error) {
	if role == "router" {
		settings, err := config.LoadRouter(file)
		if err != nil || check {
			return nil, err
		}
		return router.New(settings, logger(settings.LogLevel))
	}
	settings, err := config.LoadAgent(file)
	if err != nil || check {
		return nil, err
	}
	return agent.New(settings, logger(settings.LogLevel))
}

// logTime has the resolution that is needed to order the lines of several processes.
const logTime = "2006-01-02T15:04:05.000Z07:00"

func logger(level string) zerolog.Logger {
	zerolog.TimeFieldFormat = logTime
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()
}
