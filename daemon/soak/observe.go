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
	// configurationInterval is how often the configuration is read from the store;
	// it is the error of the times in AcceptedConfiguration.
	configurationInterval = 100 * time.Millisecond
	metricVersion         = "cactusknot_bundle_version "
	metricViolation       = "cactusknot_invariant_violations_total{name=\""
	// exitPortTaken is the exit code of a process that can't listen on its port.
	exitPortTaken = 1
	portTaken     = "address already in use"
	logTailBytes  = 4096
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// observe samples the metrics of all processes and records the configurations
// in the store until ctx is done.
func (r *run) observe(ctx context.Context) {
	client := &http.Client{Timeout: sampleTimeout}
	for vm := range r.history.DataCentre {
		go func() {
			for ctx.Err() == nil {
				r.sample(client, vm)
				pause(ctx, sampleInterval)
			}
		}()
	}
	store := platform.NewStore(r.fleet.PlatformURL(fleet.StoreProcess))
	go func() {
		last := &lastConfiguration{readAt: time.Now()}
		for ctx.Err() == nil {
			r.recordConfiguration(ctx, store, last)
			pause(ctx, configurationInterval)
		}
	}()
}

// incarnation returns the number of restarts of the process.
func (r *run) incarnation(vm string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnations[vm]
}

// sample records the metrics of a process, unless it is unreachable or was
// restarted meanwhile.
func (r *run) sample(client *http.Client, vm string) {
	s := Sample{Process: vm, Incarnation: r.incarnation(vm)}
	response, err := client.Get(r.fleet.AdminURL(vm) + "/metrics")
	if err != nil {
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		s.parseMetric(lines.Text())
	}
	if lines.Err() != nil || s.Incarnation != r.incarnation(vm) {
		return
	}
	s.At = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Samples = append(r.history.Samples, s)
}

func (s *Sample) parseMetric(line string) {
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

// recordConfiguration records the configuration in the store if it has
// changed.
func (r *run) recordConfiguration(ctx context.Context, store kv.Store, last *lastConfiguration) {
	asked := time.Now()
	entry, err := store.Get(ctx, distribute.KeyCurrent)
	if err != nil {
		return
	}
	if entry.Revision == last.revision {
		last.readAt = asked
		return
	}
	at := time.Now()
	stored, err := distribute.ReadStoredBundle(ctx, store)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Configurations = append(r.history.Configurations, AcceptedConfiguration{
		Earliest: last.readAt, At: at, Version: stored.Manifest.Version, Bundle: stored.Bundle,
	})
	last.revision, last.readAt = stored.Revision, asked
}

// lastConfiguration is the revision of the configuration that was recorded
// last, and the start of the last read that returned it.
type lastConfiguration struct {
	revision kv.Revision
	readAt   time.Time
}

// processExited records the exit of a process. Routers and agents that exit
// unexpectedly are restarted. The exit is not recorded if an outgoing
// connection of this machine had taken the port of the process.
func (r *run) processExited(name string, code int) {
	if r.isClosing() {
		return
	}
	e := Exit{Process: name, At: time.Now(), Code: code, Log: logTail(r.fleet.LogFile(name))}
	r.mu.Lock()
	e.Incarnation, e.Expected = r.incarnations[name], r.expectedExits[name]
	again := !e.Expected && code == exitPortTaken && strings.Contains(e.Log, portTaken)
	if !again {
		r.history.Exits = append(r.history.Exits, e)
	}
	r.mu.Unlock()
	if e.Expected {
		return
	}
	r.progressf("%s exited with code %d", name, code)
	if _, ours := r.history.DataCentre[name]; ours {
		time.AfterFunc(retryDelay, func() { r.restartProcess(name) })
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
