package soak

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/platform"
)

const (
	sampleInterval = 300 * time.Millisecond
	sampleTimeout  = time.Second
	// acceptInterval is how often the store is asked for the configuration; it is
	// the error of the times of Accepted.
	acceptInterval  = 100 * time.Millisecond
	metricVersion   = "cactusknot_bundle_version "
	metricViolation = "cactusknot_invariant_violations_total{name=\""
	// exitPortTaken is the exit code of a process that can't listen.
	exitPortTaken = 1
	portTaken     = "address already in use"
	logTailBytes  = 4096
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// observe records metrics of all processes and the configuration in the store.
func (r *run) observe(ctx context.Context) {
	client := &http.Client{Timeout: sampleTimeout}
	for vm := range r.evidence.DataCentre {
		go func() {
			for ctx.Err() == nil {
				r.sample(client, vm)
				pause(ctx, sampleInterval)
			}
		}()
	}
	store := platform.NewStore(r.fleet.PlatformURL(fleet.StoreProcess))
	go func() {
		seen := &acceptance{earliest: time.Now()}
		for ctx.Err() == nil {
			r.readAccepted(ctx, store, seen)
			pause(ctx, acceptInterval)
		}
	}()
}

func (r *run) runOf(vm string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[vm]
}

func (r *run) sample(client *http.Client, vm string) {
	s := Sample{Process: vm, Run: r.runOf(vm)}
	response, err := client.Get(r.fleet.AdminURL(vm) + "/metrics")
	if err != nil {
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		s.read(lines.Text())
	}
	if lines.Err() != nil || s.Run != r.runOf(vm) {
		return
	}
	s.At = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Samples = append(r.evidence.Samples, s)
}

func (s *Sample) read(line string) {
	if text, ok := strings.CutPrefix(line, metricVersion); ok {
		value, _ := strconv.ParseFloat(text, 64)
		s.Version = uint64(value)
	}
	if rest, ok := strings.CutPrefix(line, metricViolation); ok {
		name, value, _ := strings.Cut(rest, "\"} ")
		if value != "0" {
			s.Violations = append(s.Violations, name+" "+value)
		}
	}
}

// readAccepted records the configuration when it has changed.
func (r *run) readAccepted(ctx context.Context, store kv.Store, seen *acceptance) {
	asked := time.Now()
	entry, err := store.Get(ctx, distribute.KeyCurrent)
	if err != nil {
		return
	}
	if entry.Revision == seen.revision {
		seen.earliest = asked
		return
	}
	at := time.Now()
	stored, err := distribute.ReadStored(ctx, store)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Accepted = append(r.evidence.Accepted, Accepted{
		Earliest: seen.earliest, At: at, Version: stored.Manifest.Version, Bundle: stored.Bundle,
	})
	seen.revision, seen.earliest = stored.Revision, asked
}

// acceptance is the configuration that was seen last and when it was asked for.
type acceptance struct {
	revision kv.Revision
	earliest time.Time
}

// exited records the end of a process. A process whose port was taken by an
// outgoing connection of this machine is started again.
func (r *run) exited(name string, code int) {
	if r.isClosing() {
		return
	}
	e := Exit{Process: name, At: time.Now(), Code: code, Log: logTail(r.fleet.LogFile(name))}
	r.mu.Lock()
	e.Run, e.Expected = r.runs[name], r.expected[name]
	again := !e.Expected && code == exitPortTaken && strings.Contains(e.Log, portTaken)
	if !again {
		r.evidence.Exits = append(r.evidence.Exits, e)
	}
	r.mu.Unlock()
	if e.Expected {
		return
	}
	r.note("%s ended with code %d", name, code)
	if _, ours := r.evidence.DataCentre[name]; ours {
		time.AfterFunc(retryPause, func() { r.startVM(name) })
	}
}

func (r *run) isClosing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

// logTail returns the end of a log file.
func logTail(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	return string(data[max(0, len(data)-logTailBytes):])
}
