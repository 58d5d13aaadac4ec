package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/platform"
)

// stopTimeout bounds how long an emulator waits for requests in flight when it
// is stopped.
const stopTimeout = 10 * time.Second

// emulator is a running emulator of an external system.
type emulator interface {
	Addr() string
	Shutdown(ctx context.Context) error
}

// emulatorKind is one kind of emulator with the function that starts it.
type emulatorKind struct {
	name    string
	summary string
	// start serves on the address listen with the settings file at path; an empty
	// path selects the default settings.
	start func(listen, path string, log zerolog.Logger) (emulator, error)
	// example returns the default settings.
	example func() any
}

func emulateCommands() []Command {
	return []Command{{
		Name:    "emulate",
		Summary: "run an emulator of an external system",
		Run:     runEmulate,
	}}
}

var emulatorKinds = []emulatorKind{
	newEmulatorKind("engine", "model engine with continuous batching", emulate.DefaultEngineConfig, emulate.StartEngine),
	newEmulatorKind("store", "key-value store", func() emulate.StoreConfig { return emulate.StoreConfig{Seed: 1} }, emulate.StartStore),
	newEmulatorKind("service", "plain service with bookings and medicine entries", emulate.DefaultServiceConfig, emulate.StartService),
	newEmulatorKind("vms", "list of live and leaving VMs", func() emulate.VMsConfig { return emulate.VMsConfig{VMs: []platform.VM{}} }, emulate.StartVMs),
	newEmulatorKind("weights", "rate-limited weight store", emulate.DefaultWeightsConfig, emulate.StartWeights),
	newEmulatorKind("rating", "service that rates answers", emulate.DefaultRatingConfig, emulate.StartRating),
}

// newEmulatorKind builds an emulatorKind from the default settings and the start
// function of an emulator.
func newEmulatorKind[C any, E emulator](name, summary string, defaults func() C, start func(string, C, zerolog.Logger) (E, error)) emulatorKind {
	return emulatorKind{
		name:    name,
		summary: summary,
		example: func() any { return defaults() },
		start: func(listen, path string, log zerolog.Logger) (emulator, error) {
			cfg := defaults()
			if err := readSettings(path, &cfg); err != nil {
				return nil, trace.Wrap(err)
			}
			e, err := start(listen, cfg, log)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			return e, nil
		},
	}
}

// readSettings decodes the JSON file at path into the settings, which hold the
// defaults. Unknown fields are an error, and an empty path changes nothing.
func readSettings(path string, into any) error {
	if path == "" {
		return nil
	}
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	return trace.Wrap(emulate.DecodeStrict(f, into), "settings file %s", path)
}

func runEmulate(ctx context.Context, env Env, args []string) int {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		emulateUsage(env.Stderr)
		if len(args) > 0 && (args[0] == "-h" || args[0] == "--help") {
			return ExitOK
		}
		return ExitUsage
	}
	for _, k := range emulatorKinds {
		if k.name == args[0] {
			return k.run(ctx, env, args[1:])
		}
	}
	fmt.Fprintf(env.Stderr, "cactusctl emulate: unknown emulator %q\n", args[0])
	emulateUsage(env.Stderr)
	return ExitUsage
}

func emulateUsage(w io.Writer) {
	fmt.Fprintln(w, "usage: cactusctl emulate KIND -listen ADDR [-config FILE] [-log LEVEL]")
	for _, k := range emulatorKinds {
		fmt.Fprintf(w, "  %-8s %s\n", k.name, k.summary)
	}
}

func (k emulatorKind) run(ctx context.Context, env Env, args []string) int {
	fs := flag.NewFlagSet("cactusctl emulate "+k.name, flag.ContinueOnError)
	fs.SetOutput(env.Stderr)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on; port 0 chooses a free port")
	config := fs.String("config", "", "JSON settings file; fields it leaves out keep their defaults")
	show := fs.Bool("print-config", false, "print the default settings as JSON and exit")
	level := fs.String("log", "warn", "log level: debug, info, warn or error")
	if err := fs.Parse(args); err != nil {
		return usageCode(err)
	}
	lv, err := zerolog.ParseLevel(*level)
	if err != nil || fs.NArg() > 0 {
		fs.Usage()
		return ExitUsage
	}
	if *show {
		return printJSON(env, k.example())
	}
	log := zerolog.New(env.Stderr).Level(lv).With().Timestamp().Str("emulator", k.name).Logger()
	e, err := k.start(*listen, *config, log)
	if err != nil {
		fmt.Fprintf(env.Stderr, "cactusctl emulate %s: %v\n", k.name, err)
		return ExitUsage
	}
	return serveUntilDone(ctx, env, e)
}

// serveUntilDone prints the address of the emulator as one JSON line, waits until
// ctx is cancelled and stops the emulator.
func serveUntilDone(ctx context.Context, env Env, e emulator) int {
	line := struct {
		Listen string `json:"listen"`
	}{Listen: e.Addr()}
	if err := json.NewEncoder(env.Stdout).Encode(line); err != nil {
		fmt.Fprintf(env.Stderr, "cactusctl emulate: %v\n", err)
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := e.Shutdown(stop); err != nil {
		fmt.Fprintf(env.Stderr, "cactusctl emulate: stop: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

func printJSON(env Env, v any) int {
	enc := json.NewEncoder(env.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		fmt.Fprintf(env.Stderr, "cactusctl: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

// usageCode returns the exit code for an error from flag parsing.
func usageCode(err error) int {
	if err == flag.ErrHelp {
		return ExitOK
	}
	return ExitUsage
}
