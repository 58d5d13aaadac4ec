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
	// commandTimeout bounds the run of one command.
	commandTimeout = 60 * time.Second
	// storeCallsPerSecond and storeBurst are the rate limit of one command. They
	// allow it to transfer the 70 parts of a bundle at once and stay far below the
	// rate limits of the store.
	storeCallsPerSecond = 100
	storeBurst          = 200
)

// Errors of the operators' commands.
var (
	errUsage    = errors.New("usage")
	errConflict = errors.New("another change came first")
	errNegative = errors.New("negative result")
	errNoBundle = errors.New("the store contains no configuration")
)

// invocation is one run of an operators' command, with its flags and operands.
type invocation struct {
	env   Env
	flags *flag.FlagSet
	json  bool
	store string
	args  []string
}

// newInvocation defines the flags that all operators' commands share.
func newInvocation(env Env, name, operands, summary string) *invocation {
	inv := &invocation{env: env, flags: flag.NewFlagSet(name, flag.ContinueOnError)}
	inv.flags.SetOutput(env.Stderr)
	inv.flags.BoolVar(&inv.json, "json", false, "print JSON")
	inv.flags.Usage = func() {
		fmt.Fprintf(env.Stderr, "usage: cactusctl %s [flags] %s\n%s\n", name, operands, summary)
		inv.flags.PrintDefaults()
	}
	return inv
}

// withStore adds the -store flag.
func (inv *invocation) withStore() *invocation {
	inv.flags.StringVar(&inv.store, "store", os.Getenv("CACTUSKNOT_STORE"), "`URL` of the store; default is CACTUSKNOT_STORE")
	return inv
}

// parse parses args, in which flags may come before, between and after the
// operands, and checks the number of operands.
func (inv *invocation) parse(args []string, least, most int) error {
	for {
		if err := inv.flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		if inv.flags.NArg() == 0 {
			break
		}
		inv.args = append(inv.args, inv.flags.Arg(0))
		args = inv.flags.Args()[1:]
	}
	if len(inv.args) < least || len(inv.args) > most {
		inv.flags.Usage()
		return fmt.Errorf("%w: wrong number of operands", errUsage)
	}
	return nil
}

// openStore returns a client of the store given by the -store flag.
func (inv *invocation) openStore() (*kv.Client, error) {
	if inv.store == "" {
		return nil, fmt.Errorf("%w: -store is not set", errUsage)
	}
	store, err := OpenStore(inv.store)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return kv.NewClient(store, kv.ClientConfig{
		Clock:          clock.System{},
		Random:         rand.NewPCG(rand.Uint64(), rand.Uint64()),
		CallsPerSecond: storeCallsPerSecond,
		Burst:          storeBurst,
	}), nil
}

// parseAndOpen parses the arguments and opens the store.
func (inv *invocation) parseAndOpen(args []string, least, most int) (*kv.Client, error) {
	if err := inv.parse(args, least, most); err != nil {
		return nil, err
	}
	return inv.openStore()
}

// readCurrent reads the configuration in force. It returns errNoBundle if the
// store contains none.
func readCurrent(ctx context.Context, store kv.Store) (distribute.StoredBundle, error) {
	base, err := distribute.ReadStoredBundle(ctx, store)
	if err == nil && base.Bundle == nil {
		err = errNoBundle
	}
	return base, err
}

// print writes v as JSON if -json is set, or else calls text.
func (inv *invocation) print(v any, text func(w io.Writer)) {
	if !inv.json {
		text(inv.env.Stdout)
		return
	}
	e := json.NewEncoder(inv.env.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		fmt.Fprintln(inv.env.Stderr, err)
	}
}

// exit prints err, unless the output shows the negative result already, and
// returns the exit code.
func (inv *invocation) exit(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	code := exitCode(err)
	if errors.Is(err, errNegative) {
		return code
	}
	if inv.json {
		inv.print(map[string]any{"error": err.Error(), "exit": code}, nil)
		return code
	}
	fmt.Fprintf(inv.env.Stderr, "cactusctl %s: %v\n", inv.flags.Name(), err)
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

// run executes body with the timeout of a command and returns the exit code.
func (inv *invocation) run(ctx context.Context, body func(ctx context.Context) error) int {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return inv.exit(body(ctx))
}

// commandGroup returns a command that dispatches to one of sub by its first
// argument; order is the order in the usage text.
func commandGroup(name, summary string, sub map[string]func(context.Context, Env, []string) int, order ...string) Command {
	return Command{Name: name, Summary: summary, Run: func(ctx context.Context, env Env, args []string) int {
		usage := fmt.Sprintf("usage: cactusctl %s %s; -h lists the flags of each", name, strings.Join(order, "|"))
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

// stringList is the value of a flag that may be repeated.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *stringList) Set(v string) error {
	*l = append(*l, v)
	return nil
}
