package bench

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/fleet"
)

// ErrNoDaemon is returned by scenarios that start processes when the daemon
// binary is not in the directory of the running program.
var ErrNoDaemon = errors.New("bench: the daemon binary is not in the directory of this program; run make build and use bin/cactusctl")

// startFleet starts a deployment in a temporary directory. The returned
// function stops its processes and removes the directory.
func startFleet(ctx context.Context, spec fleet.Spec) (*fleet.Fleet, func(), error) {
	tool, err := os.Executable()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	spec.ToolPath, spec.DaemonPath = tool, filepath.Join(filepath.Dir(tool), "cactusknot")
	if _, err := os.Stat(spec.DaemonPath); err != nil {
		return nil, nil, ErrNoDaemon
	}
	if spec.Dir, err = os.MkdirTemp("", "cactusknot-bench-"); err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	f, err := fleet.New(ctx, spec)
	if err != nil {
		_ = os.RemoveAll(spec.Dir)
		return nil, nil, trace.Wrap(err)
	}
	stop := func() {
		f.Close()
		_ = os.RemoveAll(spec.Dir)
	}
	if err := f.Start(ctx); err != nil {
		stop()
		return nil, nil, trace.Wrap(err)
	}
	return f, stop, nil
}

// loadAverage returns the load average of the last minute, or 0 when it is
// unknown.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// heapInUse returns the live heap of this process in bytes after garbage
// collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// timed returns the mean duration of a call of f over about 50 ms and at least
// 3 calls.
func timed(f func()) time.Duration {
	const (
		target   = 50 * time.Millisecond
		minCalls = 3
	)
	started := time.Now()
	calls := 0
	for calls < minCalls || time.Since(started) < target {
		f()
		calls++
	}
	return time.Since(started) / time.Duration(calls)
}
