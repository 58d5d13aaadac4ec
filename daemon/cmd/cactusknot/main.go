// Command cactusknot is the daemon: a router on an entry VM, an agent beside one
// backend server, or an edge on an entry VM of the users' platform.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"cactusknot.example/daemon/agent"
	"cactusknot.example/daemon/batch"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/edge"
	"cactusknot.example/daemon/gateway"
	"cactusknot.example/daemon/router"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/sighup"
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if len(args) == 0 || (args[0] != "router" && args[0] != "agent" && args[0] != "edge") {
		fmt.Fprintln(os.Stderr, "usage: cactusknot router|agent|edge -config FILE [-check]")
		return exitSettings
	}
	flags := flag.NewFlagSet("cactusknot "+args[0], flag.ContinueOnError)
	file := flags.String("config", "", "settings `file` (JSON; of an edge the platform's, by default the one that the environment names)")
	metrics := flags.Int("metrics-port", 0, "serve the metrics of an edge on this `port` too")
	models := flags.String("models", "cascade", "how an edge chooses a `model`: cascade; smallest, middle and largest are baselines")
	servers := flags.String("servers", "expected_time", "how an edge chooses a `server`: expected_time; round_robin and least_outstanding are baselines")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args[1:]); err != nil {
		return exitSettings
	}
	role, err := build(args[0], options{file: *file, metricsPort: *metrics, models: *models, servers: *servers, check: *check})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		return exitOK
	}
	if err := role.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// options are what the command line says of a role.
type options struct {
	file        string
	metricsPort int
	models      string
	servers     string
	check       bool
}

func build(role string, o options) (runner, error) {
	if role == "edge" {
		return buildEdge(o)
	}
	file, check := o.file, o.check
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
func buildEdge(o options) (runner, error) {
	if o.file == "" {
		o.file = os.Getenv(platform.SettingsEnvVar)
	}
	settings, err := platform.LoadSettings(o.file)
	if err != nil {
		return nil, err
	}
	if settings.ModelPolicy, err = gateway.ParseModelPolicy(o.models); err != nil {
		return nil, err
	}
	if settings.ServerPolicy, err = selection.ParsePolicy(o.servers); err != nil || o.check {
		return nil, err
	}
	if o.metricsPort > 0 {
		host, _, err := net.SplitHostPort(settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		settings.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(o.metricsPort))
	}
	load := func() (*edge.Settings, error) { return platform.LoadSettings(o.file) }
	log, flush := edgeLogger()
	return flushing{edge.New(settings, edge.Reload{Requests: sighup.Signals(), Load: load}, log), flush}, nil
}

// flushing writes the log lines that still wait when its role has ended.
type flushing struct {
	runner
	flush io.Closer
}

// Run runs the role.
func (f flushing) Run(ctx context.Context) error {
	err := f.runner.Run(ctx)
	return errors.Join(err, f.flush.Close())
}

// logLines is the number of log lines that may wait for standard output. Further
// ones are dropped and counted rather than holding up a request.
const logLines = 2048

// edgeLogger writes to standard output without ever blocking the caller.
func edgeLogger() (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = logTime
	lines := batch.NewWriter(os.Stdout)
	out := diode.NewWriter(lines, logLines, 0, func(missed int) {
		fmt.Fprintf(lines, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":%d}\n", missed)
	})
	return zerolog.New(out).With().Timestamp().Logger(), out
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
