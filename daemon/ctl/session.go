package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/platform"
)

// OpenStore opens the store at a URL. Tests replace it.
var OpenStore = func(url string) (kv.Store, error) { return platform.NewStore(url), nil }

const (
	// toolTimeout bounds a command that uses the store.
	toolTimeout = 60 * time.Second
	// toolCallsPerSecond and toolBurst let one command move the 70 parts of a
	// bundle at once and stay far below the store's rates.
	toolCallsPerSecond = 100
	toolBurst          = 200
)

// Errors of the operators' commands.
var (
	errUsage    = errors.New("usage")
	errConflict = errors.New("another change came first")
	errNegative = errors.New("negative result")
	errNoBundle = errors.New("the store holds no configuration")
)

// session is one run of an operators' command.
type session struct {
	env   Env
	flags *flag.FlagSet
	json  bool
	store string
	args  []string
}

// newSession prepares the flags that every operators' command has.
func newSession(env Env, name, operands, summary string) *session {
	s := &session{env: env, flags: flag.NewFlagSet(name, flag.ContinueOnError)}
	s.flags.SetOutput(env.Stderr)
	s.flags.BoolVar(&s.json, "json", false, "print JSON for programs")
	s.flags.Usage = func() {
		fmt.Fprintf(env.Stderr, "usage: cactusctl %s [flags] %s\n%s\n", name, operands, summary)
		s.flags.PrintDefaults()
	}
	return s
}

func (s *session) withStore() *session {
	s.flags.StringVar(&s.store, "store", os.Getenv("CACTUSKNOT_STORE"), "`URL` of the store; default is CACTUSKNOT_STORE")
	return s
}

// parse reads flags before, between and after the operands.
func (s *session) parse(args []string, least, most int) error {
	for {
		if err := s.flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		if s.flags.NArg() == 0 {
			break
		}
		s.args = append(s.args, s.flags.Arg(0))
		args = s.flags.Args()[1:]
	}
	if len(s.args) < least || len(s.args) > most {
		s.flags.Usage()
		return fmt.Errorf("%w: wrong number of operands", errUsage)
	}
	return nil
}

// open returns a client of the store.
func (s *session) open() (*kv.Client, error) {
	if s.store == "" {
		return nil, fmt.Errorf("%w: -store is not set", errUsage)
	}
	store, err := OpenStore(s.store)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return kv.NewClient(store, kv.ClientConfig{
		Clock:          clock.System{},
		Random:         rand.NewPCG(rand.Uint64(), rand.Uint64()),
		CallsPerSecond: toolCallsPerSecond,
		Burst:          toolBurst,
	}), nil
}

// parseAndOpen parses the arguments of a command that only needs the store.
func (s *session) parseAndOpen(args []string, least, most int) (*kv.Client, error) {
	if err := s.parse(args, least, most); err != nil {
		return nil, err
	}
	return s.open()
}

// inForce reads the configuration in the store, which must hold one.
func inForce(ctx context.Context, store kv.Store) (distribute.StoredBundle, error) {
	base, err := distribute.ReadStoredBundle(ctx, store)
	if err == nil && base.Bundle == nil {
		err = errNoBundle
	}
	return base, err
}

// print writes v as JSON, or runs text for people.
func (s *session) print(v any, text func(w io.Writer)) {
	if !s.json {
		text(s.env.Stdout)
		return
	}
	e := json.NewEncoder(s.env.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		fmt.Fprintln(s.env.Stderr, err)
	}
}

// exit reports err and returns the exit code.
func (s *session) exit(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	code := exitCode(err)
	if errors.Is(err, errNegative) {
		return code
	}
	if s.json {
		s.print(map[string]any{"error": err.Error(), "exit": code}, nil)
		return code
	}
	fmt.Fprintf(s.env.Stderr, "cactusctl %s: %v\n", s.flags.Name(), err)
	return code
}

func exitCode(err error) int {
	var invalid *bundle.ValidationError
	switch {
	case errors.Is(err, errConflict), errors.Is(err, kv.ErrConflict), errors.Is(err, distribute.ErrParentMismatch):
		return ExitConflict
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrUnknownOutcome), errors.Is(err, kv.ErrBudgetExhausted), errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	case errors.Is(err, errUsage), errors.As(err, &invalid), errors.Is(err, os.ErrNotExist):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// run is the common frame of a command: a timeout and the exit code.
func (s *session) run(ctx context.Context, body func(ctx context.Context) error) int {
	ctx, cancel := context.WithTimeout(ctx, toolTimeout)
	defer cancel()
	return s.exit(body(ctx))
}

// verbs returns a command that selects a subcommand by its first argument.
func verbs(name, summary string, sub map[string]func(context.Context, Env, []string) int, order ...string) Command {
	return Command{Name: name, Summary: summary, Run: func(ctx context.Context, env Env, args []string) int {
		usage := fmt.Sprintf("usage: cactusctl %s %s; -h after it shows its flags", name, strings.Join(order, "|"))
		if len(args) > 0 && (args[0] == "-h" || args[0] == "--help") {
			fmt.Fprintln(env.Stderr, usage)
			return ExitOK
		}
		if len(args) == 0 || sub[args[0]] == nil {
			fmt.Fprintln(env.Stderr, usage)
			return ExitUsage
		}
		return sub[args[0]](ctx, env, args[1:])
	}}
}

// stringList collects a flag that may be given several times.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *stringList) Set(v string) error {
	*l = append(*l, v)
	return nil
}
