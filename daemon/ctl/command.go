// Package ctl implements the commands of cactusctl. Each command parses its own
// flags, so that every command supports -h.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
)

// Exit codes of cactusctl.
const (
	ExitOK = 0
	// ExitFailed means that the command ran and failed or found a problem.
	ExitFailed = 1
	// ExitUsage means invalid flags, settings or input files.
	ExitUsage = 2
	// ExitConflict means that another operator's change came first.
	ExitConflict = 3
	// ExitUnavailable means that a service the command needs is unavailable.
	ExitUnavailable = 4
)

// Env holds the standard streams of a command.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// Command is a subcommand of cactusctl.
type Command struct {
	Name    string
	Summary string
	// Run executes the command with its arguments and returns the exit code. It
	// returns early when ctx is cancelled.
	Run func(ctx context.Context, env Env, args []string) int
}

// Commands returns all subcommands, sorted by name.
func Commands() []Command {
	var all []Command
	for _, group := range groups {
		all = append(all, group()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// groups lists the functions that return the commands of one topic each.
var groups = []func() []Command{
	emulateCommands,
	demoCommands,
	benchCommands,
	bundleCommands, operateCommands, explainCommands, traceCommands, edgeCommands,
	loadCommands,
	soakCommands,
}

// Main runs the subcommand named by args[0] and returns the exit code.
func Main(ctx context.Context, args []string) int {
	env := Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		usage(env.Stderr)
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	for _, c := range Commands() {
		if c.Name == args[0] {
			return c.Run(ctx, env, args[1:])
		}
	}
	fmt.Fprintf(env.Stderr, "cactusctl: unknown command %q\n", args[0])
	usage(env.Stderr)
	return ExitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: cactusctl COMMAND [flags]; cactusctl COMMAND -h lists the flags of a command")
	for _, c := range Commands() {
		fmt.Fprintf(w, "  %-12s %s\n", c.Name, c.Summary)
	}
}
