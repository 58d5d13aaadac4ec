package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

const (
	// maxLogFiles is the maximum number of files that one command reads.
	maxLogFiles = 1000
	// maxLogLine bounds one log line in bytes.
	maxLogLine = 1 << 20
)

func traceCommands() []Command {
	return []Command{{Name: "trace", Summary: "show the log lines of a request or of roll-outs", Run: runTrace}}
}

// logLine is one log line of an edge process, decoded and as text.
type logLine struct {
	fields map[string]any
	raw    string
}

func (l logLine) text(name string) string {
	value, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

func runTrace(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "trace", "[FILE ...]", "Reads log lines of edge processes from files or standard input.")
	request := inv.flags.String("request", "", "`ID` of the request")
	rollout := inv.flags.String("rollout", "", "`SERVICE` whose roll-outs are shown, with the evidence for each phase")
	return inv.run(ctx, func(context.Context) error {
		if err := inv.parse(args, 0, maxLogFiles); err != nil {
			return err
		}
		if (*request == "") == (*rollout == "") {
			return fmt.Errorf("%w: exactly one of -request and -rollout is required", errUsage)
		}
		keep := func(l logLine) bool { return l.text("request") == *request }
		if *rollout != "" {
			keep = func(l logLine) bool { return l.text("service") == *rollout && l.text("target") != "" }
		}
		lines, err := inv.readMatching(keep)
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return fmt.Errorf("no matching log line found")
		}
		inv.printTrace(lines)
		return nil
	})
}

// readMatching returns the lines of all files for which keep returns true, sorted
// by time.
func (inv *invocation) readMatching(keep func(logLine) bool) ([]logLine, error) {
	if len(inv.args) == 0 {
		return readLogLines(inv.env.Stdin, keep, nil)
	}
	var lines []logLine
	for _, name := range inv.args {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
		lines, err = readLogLines(file, keep, lines)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return lines, nil
}

// readLogLines appends the lines of from for which keep returns true and sorts the
// result by time. It skips text before the first brace, so that lines with the
// prefix of a log collector can be read.
func readLogLines(from io.Reader, keep func(logLine) bool, lines []logLine) ([]logLine, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		line := logLine{raw: scanner.Text()[start:]}
		if json.Unmarshal([]byte(line.raw), &line.fields) == nil && keep(line) {
			lines = append(lines, line)
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].text("time") < lines[j].text("time") })
	return lines, scanner.Err()
}

// printTrace prints the lines unchanged if -json is set. Otherwise it prints the
// time, the VM and the message, followed by the other fields sorted by name.
func (inv *invocation) printTrace(lines []logLine) {
	for _, l := range lines {
		if inv.json {
			fmt.Fprintln(inv.env.Stdout, l.raw)
			continue
		}
		fmt.Fprintf(inv.env.Stdout, "%s  %s  %s\n", l.text("time"), l.text("vm"), l.text("message"))
		var names []string
		for name := range l.fields {
			if name != "time" && name != "vm" && name != "message" && name != "level" && l.text(name) != "" {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(inv.env.Stdout, "    %-15s %s\n", name, l.text(name))
		}
	}
}
