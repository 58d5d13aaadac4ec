// Package ctl holds the commands of cactusctl. Each command parses its own
// flags, so that -h works on each of them.
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
	// ExitFailed: the command ran and its result is negative.
	ExitFailed = 1
	// ExitUsage: wrong flags, settings or input files.
	ExitUsage = 2
	// ExitConflict: another operator's change came first.
	ExitConflict = 3
	// ExitUnavailable: a service that the command needs can't be reached.
	ExitUnavailable = 4
)

// Env is what a command reads and writes besides its flags.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
	// Run executes the command with its arguments and returns the exit code. It
	// ends early when ctx ends.
	Run func(ctx context.Context, env Env, args []string) int
}

// Commands returns all subcommands in order of name.
func Commands() []Command {
	var all []Command
	for _, group := range groups {
		all = append(all, group()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// groups lists the functions that return the commands of each topic.
var groups = []func() []Command{
	emulateCommands,
	demoCommands,
	benchCommands,
	bundleCommands, operateCommands, explainCommands, traceCommands, edgeCommands,
	loadCommands,
	soakCommands,
}

// Main runs the subcommand that args name and returns the exit code.
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
	fmt.Fprintln(w, "usage: cactusctl COMMAND [flags]; -h after a command shows its flags")
	for _, c := range Commands() {
		fmt.Fprintf(w, "  %-12s %s\n", c.Name, c.Summary)
	}
}
