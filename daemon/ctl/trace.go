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
	// maxLogFiles bounds the files of one trace.
	maxLogFiles = 1000
	// maxLogLine bounds one log line in bytes.
	maxLogLine = 1 << 20
)

func traceCommands() []Command {
	return []Command{{Name: "trace", Summary: "show what the logs say of a request or of roll-outs", Run: runTrace}}
}

// traceLine is one log line of an edge process.
type traceLine struct {
	fields map[string]any
	raw    string
}

func (l traceLine) text(name string) string {
	value, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

func runTrace(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "trace", "[FILE ...]", "Reads log lines of edge processes from files or standard input.")
	request := s.flags.String("request", "", "`ID` of the request")
	rollout := s.flags.String("rollout", "", "`SERVICE` whose roll-out is shown, with what decided each phase")
	return s.run(ctx, func(context.Context) error {
		if err := s.parse(args, 0, maxLogFiles); err != nil {
			return err
		}
		if (*request == "") == (*rollout == "") {
			return fmt.Errorf("%w: one of -request and -rollout is needed", errUsage)
		}
		keep := func(l traceLine) bool { return l.text("request") == *request }
		if *rollout != "" {
			keep = func(l traceLine) bool { return l.text("service") == *rollout && l.text("target") != "" }
		}
		lines, err := s.traceLines(keep)
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return fmt.Errorf("no line found")
		}
		s.printTrace(lines)
		return nil
	})
}

// traceLines reads the matching lines of all files in order of time.
func (s *session) traceLines(keep func(traceLine) bool) ([]traceLine, error) {
	if len(s.args) == 0 {
		return readTrace(s.env.Stdin, keep, nil)
	}
	var lines []traceLine
	for _, name := range s.args {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
		lines, err = readTrace(file, keep, lines)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return lines, nil
}

// readTrace appends the matching lines. Text before the first brace is skipped, so
// that lines with a prefix of the log collector can be read.
func readTrace(from io.Reader, keep func(traceLine) bool, lines []traceLine) ([]traceLine, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		line := traceLine{raw: scanner.Text()[start:]}
		if json.Unmarshal([]byte(line.raw), &line.fields) == nil && keep(line) {
			lines = append(lines, line)
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].text("time") < lines[j].text("time") })
	return lines, scanner.Err()
}

// printTrace prints the lines: as they are for programs, and for people the time,
// the VM, the message and the other fields in order of name.
func (s *session) printTrace(lines []traceLine) {
	for _, l := range lines {
		if s.json {
			fmt.Fprintln(s.env.Stdout, l.raw)
			continue
		}
		fmt.Fprintf(s.env.Stdout, "%s  %s  %s\n", l.text("time"), l.text("vm"), l.text("message"))
		var names []string
		for name := range l.fields {
			if name != "time" && name != "vm" && name != "message" && name != "level" && l.text(name) != "" {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(s.env.Stdout, "    %-15s %s\n", name, l.text(name))
		}
	}
}
