// Command standins holds the stand-ins of the cases in review/6 and following: the store, engines,
// clients and the platform that starts and stops the edge processes. Its argument names the case. It
// writes what was sent, answered and run to the file that its last argument names, and exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

var sprintf = fmt.Sprintf

// Exit codes.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// harness is the state of one run of a case.
type harness struct {
	root, temp string
	trouble    bool
	began      time.Time
	net        string
	hosts      int
	store      *store
	edges      []*edge

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

var cases = map[string]func(h *harness) (broken bool){}

// notRun is the panic of a case that can't run.
type notRun struct{ err error }

func main() { os.Exit(run()) }

func run() (code int) {
	// The edge processes end with the thread that has started them, which is this one.
	runtime.LockOSThread()
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	h := &harness{
		root: os.Args[2], temp: temp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), file: file, record: bufio.NewWriter(file),
		// Each run has loopback addresses of its own, so that fixed ports are free.
		net: fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), rand.IntN(250)),
	}
	defer func() {
		for _, e := range h.edges {
			e.kill()
			if os.Getenv("KEEP") != "" {
				raw, _ := os.ReadFile(e.log.Name())
				_ = os.WriteFile(filepath.Join(os.Getenv("KEEP"), e.name+".log"), raw, 0o600)
			}
		}
		if failure := recover(); failure != nil {
			because, ok := failure.(notRun)
			if !ok {
				panic(failure)
			}
			h.note("the case could not run: %v", because.err)
			code = exitNotRun
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		_ = h.record.Flush()
		_ = h.file.Close()
	}()
	h.note("trouble: %t", h.trouble)
	h.store, err = newStore(h.host())
	h.must(err)
	if cases[os.Args[1]](h) {
		h.note("result: the rule was broken")
		return exitBroken
	}
	h.note("result: the rule held")
	return exitHeld
}

// host returns an unused loopback address.
func (h *harness) host() string {
	h.hosts++
	return fmt.Sprintf("%s.%d", h.net, h.hosts)
}

func (h *harness) must(err error) {
	if err != nil {
		panic(notRun{err})
	}
}

func (h *harness) fail(format string, args ...any) { h.must(fmt.Errorf(format, args...)) }

// note writes a line with the time since the start into the record.
func (h *harness) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(h.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = h.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// startAll starts the edge processes and waits until they are ready.
func (h *harness) startAll() {
	for _, e := range h.edges {
		h.start(e)
	}
	for _, e := range h.edges {
		h.awaitReady(e, 10*time.Second)
	}
}

func (h *harness) awaitReady(e *edge, within time.Duration) {
	for until := time.Now().Add(within); !e.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) || !e.running() {
			raw, _ := os.ReadFile(e.log.Name())
			h.fail("%s is not ready: %s", e.name, raw)
		}
	}
	h.note("%s is ready", e.name)
}
