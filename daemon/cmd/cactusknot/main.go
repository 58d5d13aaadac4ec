// Command cactusknot is the daemon. Its first argument selects the role: a router
// on an entry VM, an agent next to one backend server, or an edge on an entry VM of
// the users' platform.
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

// runner is a role of the daemon. Run serves until ctx is cancelled.
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
	file := flags.String("config", "", "settings `file` in JSON; for an edge the settings file of the platform, by default the one named by the environment")
	metrics := flags.Int("metrics-port", 0, "also serve the metrics of an edge on this `port`")
	models := flags.String("models", "cascade", "how an edge chooses a `model`: cascade; smallest, middle and largest are baselines")
	readers := flags.Int("store-readers", defaultStoreReaders, "how many edges of a data centre watch the store for the others; 0: each watches it itself")
	servers := flags.String("servers", "expected_time", "how an edge chooses a `server`: expected_time; round_robin and least_outstanding are baselines")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args[1:]); err != nil {
		return exitSettings
	}
	role, err := newRole(args[0], options{file: *file, metricsPort: *metrics, models: *models, servers: *servers, storeReaders: *readers, check: *check})
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

// defaultStoreReaders is the default of -store-readers. The second reader serves while the
// first one is away.
const defaultStoreReaders = 2

// options are the command-line options of a role.
type options struct {
	file         string
	metricsPort  int
	models       string
	servers      string
	storeReaders int
	check        bool
}

// newRole loads the settings and creates the role. It returns a nil runner if only
// the settings are to be checked.
func newRole(role string, o options) (runner, error) {
	if role == "edge" {
		return newEdge(o)
	}
	file, check := o.file, o.check
	if role == "router" {
		settings, err := config.LoadRouter(file)
		if err != nil || check {
			return nil, err
		}
		return router.New(settings, newLogger(settings.LogLevel))
	}
	settings, err := config.LoadAgent(file)
	if err != nil || check {
		return nil, err
	}
	return agent.New(settings, newLogger(settings.LogLevel))
}

// newEdge creates the edge role, whose settings come from the users' platform.
func newEdge(o options) (runner, error) {
	if o.file == "" {
		o.file = os.Getenv(platform.SettingsEnvVar)
	}
	settings, err := platform.LoadSettings(o.file)
	if err != nil {
		return nil, err
	}
	if o.storeReaders < 0 {
		return nil, fmt.Errorf("-store-readers: %d is negative", o.storeReaders)
	}
	settings.StoreReaders = o.storeReaders
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
	log, flush := newEdgeLogger()
	return flushOnExit{edge.New(settings, edge.Reload{Requests: sighup.Signals(), Load: load}, log), flush}, nil
}

// flushOnExit is a runner that writes the buffered log lines when its role ends.
type flushOnExit struct {
	runner
	flush io.Closer
}

// Run runs the role and flushes the log.
func (f flushOnExit) Run(ctx context.Context) error {
	err := f.runner.Run(ctx)
	return errors.Join(err, f.flush.Close())
}

// logBufferLines is the number of log lines that are buffered for standard output.
// If the buffer is full, further lines are dropped and counted, so that logging
// never delays a request.
const logBufferLines = 2048

// newEdgeLogger returns a logger that writes to standard output without blocking
// its callers, and the Closer that flushes it.
func newEdgeLogger() (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = logTimeFormat
	lines := batch.NewWriter(os.Stdout)
	out := diode.NewWriter(lines, logBufferLines, 0, func(missed int) {
		fmt.Fprintf(lines, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":%d}\n", missed)
	})
	return zerolog.New(out).With().Timestamp().Logger(), out
}

// logTimeFormat has millisecond resolution, which is needed to order the log lines
// of several processes.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger that writes to standard error. An empty or unknown
// level selects info.
func newLogger(level string) zerolog.Logger {
	zerolog.TimeFieldFormat = logTimeFormat
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()
}
