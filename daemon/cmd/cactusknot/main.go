// Command cactusknot is the daemon: a router on an entry VM, an agent beside one
// backend server, or an edge on an entry VM of the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"cactusknot.example/daemon/agent"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/edge"
	"cactusknot.example/daemon/router"
	"cactusknot.example/platform"
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
	if len(args) == 0 || (args[0] != "router" && args[0] != "agent" && args[0] != "edge") {
		fmt.Fprintln(os.Stderr, "usage: cactusknot router|agent|edge -config FILE [-check]")
		return exitSettings
	}
	flags := flag.NewFlagSet("cactusknot "+args[0], flag.ContinueOnError)
	file := flags.String("config", "", "settings `file` (JSON; of an edge the platform's, by default the one that the environment names)")
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
	if role == "edge" {
		return buildEdge(file, check)
	}
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

// buildEdge builds the role that runs on the users' platform.
func buildEdge(file string, check bool) (runner, error) {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(file)
	if err != nil || check {
		return nil, err
	}
	return edge.New(settings, func() (*edge.Settings, error) { return platform.LoadSettings(file) }, edgeLogger()), nil
}

// logLines is the number of log lines that may wait for standard output. Further
// ones are dropped and counted rather than holding up a request.
const logLines = 2048

// edgeLogger writes to standard output without ever blocking the caller.
func edgeLogger() zerolog.Logger {
	zerolog.TimeFieldFormat = logTime
	out := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) {
		fmt.Fprintf(os.Stdout, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":%d}\n", missed)
	})
	return zerolog.New(out).With().Timestamp().Logger()
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
