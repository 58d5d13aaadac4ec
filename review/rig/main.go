// Command rig runs a case of the review: it starts edge processes against stand-ins of the
// platform's store, engines and clients, and checks what these have seen.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	name := flag.String("case", "", "the case to run")
	target := flag.String("target", "target/cactusknot", "the program under test")
	file := flag.String("record", "record.txt", "the file of the record")
	flag.Parse()
	run := map[string]func(*rig) bool{"tainted": tainted, "watches": watches, "loaded": loaded, "deadly": deadly}[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	out, err := os.Create(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	r := &rig{record: &record{out: out, start: time.Now()}, program: *target, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	code := r.run(run)
	os.RemoveAll(dir)
	out.Close()
	os.Exit(code)
}

// rig holds what all cases use.
type rig struct {
	record  *record
	program string
	dir     string
	// trouble is false if the disruption is left out.
	trouble bool
	edges   []*edge
}

// failure is the reason why a case could not run.
type failure struct{ reason string }

func (r *rig) run(run func(*rig) bool) (code int) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		for _, e := range r.edges {
			e.signal(syscall.SIGKILL)
		}
		os.RemoveAll(r.dir)
		os.Exit(exitFailed)
	}()
	defer func() {
		for _, e := range r.edges {
			e.kill()
		}
		if f, ok := recover().(failure); ok {
			r.record.add("the case could not run: %s", f.reason)
			fmt.Println("the case could not run:", f.reason)
			code = exitFailed
		}
	}()
	if run(r) {
		r.record.add("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.record.add("RESULT: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

func fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return l
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// request adds a request that has reached an engine, in a short form.
func (r *record) request(one sent, a arrival, deadly bool) {
	mark, failed := "", ""
	if deadly {
		mark = " deadly"
	}
	if one.err != nil {
		failed = ", answer not whole"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%s %s%s: %s %.3f, %s %.3f, %d %.3f%s\n", strings.TrimLeft(one.id, "0"), one.route, mark, one.edge, r.since(one.at), a.engine, r.since(a.at), one.status, r.since(one.ended), failed)
}

// since returns a time as the record shows it.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }
