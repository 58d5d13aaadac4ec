package bench

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/fleet"
)

const (
	// readerWindow is the configured bound of a stream in the router: the HTTP/2
	// receive window.
	readerWindow = 64 << 10
	// readerRatedText is the text that the router keeps of each answer for the rating
	// service, a bound of package router.
	readerRatedText = 16 << 10
	// readerOverhead bounds what a reader costs beside these two: 8 KiB of buffers
	// of the caller's connection, a 4 KiB buffer of the agent's stream, some 32 KiB
	// for the stacks of the request's goroutines, and 20 KiB for the request, its
	// headers and messages in work.
	readerOverhead    = 64 << 10
	maxBytesPerReader = readerWindow + readerRatedText + readerOverhead
	// secondGroupReaders is the size of the group that comes after all have left. The
	// Go runtime keeps the descriptors of the goroutines of the first group, some
	// 450 bytes each, for new ones; anything that belongs to a reader would be
	// left behind by each group.
	secondGroupReaders = 1000
	// maxLeakPerReader is the noise of the measurement per reader; the smallest
	// object that lives as long as a reader is a 4 KiB buffer.
	maxLeakPerReader = 1 << 10
	// maxGoroutineDifference is the number of goroutines by which idle connections that
	// read the metrics differ from look to look, two for each of eight.
	maxGoroutineDifference = 16
	// readerGOGC makes the measured router collect its garbage after little
	// allocation, so that the live heap can be read.
	readerGOGC = 10
	// readerMaxRequests is above the largest number of readers.
	readerMaxRequests = 5000
	// Buffers count as full when the engine has written nothing between two looks;
	// at most readerLooks are taken.
	fillPollInterval = 700 * time.Millisecond
	maxFillPolls     = 15
	// readerReleaseTimeout bounds the wait until the router has let go of all readers.
	readerReleaseTimeout = 10 * time.Second
	readersVM            = "engine-a1"
	readersRouter        = "router-a"
)

var readerCounts = []int{100, 1000, 4000}

// RunReaders measures the memory that the router holds for callers that read a
// byte a second from streamed answers, and the same callers at a relay with
// unbounded buffers.
func RunReaders(ctx context.Context, _ Options) (Report, error) {
	r := Report{Scenario: "readers", Notes: "memory for slow readers; one run, counts in one process after another"}
	engine, err := startStreamEngine()
	if err != nil {
		return r, err
	}
	defer engine.close()
	if err := routerReaders(ctx, &r, engine); err != nil {
		return r, err
	}
	return r, relayReaders(ctx, &r, engine)
}

// routerReaders opens the readers at a router process.
func routerReaders(ctx context.Context, r *Report, engine *streamEngine) error {
	f, stop, err := startFleet(ctx, readersFleet(engine.url()))
	if err != nil {
		return err
	}
	defer stop()
	before, err := memoryAfterGC(ctx, f, 1)
	if err != nil {
		return err
	}
	group := newSlowReaders(f.CallerURL(readersRouter), fleet.SampleKey("aquarium"))
	defer group.close()
	var last routerMemory
	for _, count := range readerCounts {
		if err := group.open(ctx, count); err != nil {
			return err
		}
		if last, err = memoryWithFullBuffers(ctx, f, engine); err != nil {
			return err
		}
		r.Rows = append(r.Rows, readersRow("router", count, before, last))
		perReader := (last.held - before.held) / float64(count)
		r.checkAtMost("", fmt.Sprintf("router: heap and stacks per reader at %d readers [B]", count), maxBytesPerReader, perReader)
	}
	group.close()
	after, err := memoryAfterRelease(ctx, f)
	if err != nil {
		return err
	}
	r.Rows = append(r.Rows, readersRow("router, all readers gone", 0, before, after))
	r.checkAtMost("", "router: requests in progress after the readers left", 0, after.running)
	r.checkAtMost("", "router: reserved buffer bytes after the readers left", 0, after.reserved)
	again := newSlowReaders(f.CallerURL(readersRouter), fleet.SampleKey("aquarium"))
	defer again.close()
	if err := again.open(ctx, secondGroupReaders); err != nil {
		return err
	}
	again.close()
	second, err := memoryAfterRelease(ctx, f)
	if err != nil {
		return err
	}
	r.Rows = append(r.Rows, readersRow("router, second group of readers gone", 0, before, second))
	r.checkAtMost("", "router: requests in progress after a second group left", 0, second.running)
	r.checkAtMost("", "router: heap that a second group left behind, per reader [B]", maxLeakPerReader, (second.heap-after.heap)/secondGroupReaders)
	r.checkAtMost("", "router: goroutines that a second group left behind", maxGoroutineDifference, second.goroutines-after.goroutines)
	return nil
}

// routerMemory is what the router's metrics tell.
type routerMemory struct {
	// held is live heap and stacks, resident what the operating system counts.
	held, heap, stacks, resident  float64
	running, reserved, goroutines float64
	collections                   float64
}

func readRouterMemory(ctx context.Context, f *fleet.Fleet) (routerMemory, error) {
	m, err := f.Metrics(ctx, readersRouter)
	if err != nil {
		return routerMemory{}, trace.Wrap(err)
	}
	heap, stacks := m["go_memstats_heap_alloc_bytes"], m["go_memstats_stack_inuse_bytes"]
	return routerMemory{
		held: heap + stacks, heap: heap, stacks: stacks, resident: m["process_resident_memory_bytes"],
		running: m["cactusknot_router_running_requests"], reserved: m["cactusknot_router_buffer_bytes"], goroutines: m["go_goroutines"],
		collections: m["go_gc_duration_seconds_count"],
	}, nil
}

// waitForFullBuffers waits until the engine can write no more.
func waitForFullBuffers(ctx context.Context, engine *streamEngine) error {
	last := int64(-1)
	for range maxFillPolls {
		written := engine.written.Load()
		if written == last {
			break
		}
		last = written
		if err := pause(ctx, fillPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// memoryWithFullBuffers returns the memory after the buffers have filled and the garbage was
// collected.
func memoryWithFullBuffers(ctx context.Context, f *fleet.Fleet, engine *streamEngine) (routerMemory, error) {
	if err := waitForFullBuffers(ctx, engine); err != nil {
		return routerMemory{}, err
	}
	return memoryAfterGC(ctx, f, 1)
}

// memoryAfterRelease waits until the router has no request any more and returns its memory. The
// chunks of HTTP/2 streams outlive two collections in the pool of net/http.
func memoryAfterRelease(ctx context.Context, f *fleet.Fleet) (routerMemory, error) {
	const (
		interval    = 100 * time.Millisecond
		collections = 3
	)
	for until := time.Now().Add(readerReleaseTimeout); time.Now().Before(until); {
		m, err := readRouterMemory(ctx, f)
		if err != nil {
			return m, err
		}
		if m.running == 0 {
			break
		}
		if err := pause(ctx, interval); err != nil {
			return m, err
		}
	}
	return memoryAfterGC(ctx, f, collections)
}

// memoryAfterGC reads the metrics, which allocates, until the router has memoryAfterGC
// its garbage the number of times, and returns the least that was held since the
// last time: the figure counts garbage until it is swept. It gives up after
// readerLeave.
func memoryAfterGC(ctx context.Context, f *fleet.Fleet, times float64) (routerMemory, error) {
	const (
		parallel = 8
		samples  = 10
	)
	first, err := readRouterMemory(ctx, f)
	if err != nil {
		return first, err
	}
	until := time.Now().Add(readerReleaseTimeout)
	for now := first; now.collections < first.collections+times && time.Now().Before(until); {
		var wg sync.WaitGroup
		for range parallel {
			wg.Go(func() { _, _ = readRouterMemory(ctx, f) })
		}
		wg.Wait()
		if now, err = readRouterMemory(ctx, f); err != nil {
			return now, err
		}
	}
	least := routerMemory{held: math.Inf(1)}
	for range samples {
		now, err := readRouterMemory(ctx, f)
		if err != nil {
			return now, err
		}
		if now.held < least.held {
			least = now
		}
	}
	return least, nil
}

func readersRow(variant string, count int, before, now routerMemory) Row {
	values := []Value{
		{"heap", "MB", now.heap / 1e6},
		{"stacks", "MB", now.stacks / 1e6},
		{"resident", "MB", now.resident / 1e6},
		{"goroutines", "", now.goroutines},
		{"requests", "", now.running},
		{"reserved", "MB", now.reserved / 1e6},
	}
	if count > 0 {
		perReader := func(a, b float64) float64 { return (a - b) / float64(count) / 1024 }
		values = append(values,
			Value{"heap and stacks per reader", "KiB", perReader(now.held, before.held)},
			Value{"resident per reader", "KiB", perReader(now.resident, before.resident)})
		variant = fmt.Sprintf("%s, %d readers", variant, count)
	}
	return Row{Measure: "readers", Variant: variant, Values: values}
}

// readersFleet has one router and one agent with room for all readers.
func readersFleet(engineURL string) fleet.Spec {
	spec := fleet.Sample()
	spec.Env = []string{fmt.Sprintf("GOGC=%d", readerGOGC)}
	spec.Routers = spec.Routers[:1]
	spec.Routers[0].MaxRequests = readerMaxRequests
	// Half of the memory is for one workspace, and all readers are of one.
	spec.Routers[0].BufferBytes = 2 * readerMaxRequests * readerWindow
	spec.Agents = []fleet.AgentSpec{{
		VM: readersVM, DataCentre: "a", BackendURL: engineURL, MaxConcurrent: readerMaxRequests, ColdConcurrent: readerMaxRequests,
	}}
	return spec
}

// relayReaders opens the readers at the relay in this process.
func relayReaders(ctx context.Context, r *Report, engine *streamEngine) error {
	relay, err := startRelay(engine.url())
	if err != nil {
		return err
	}
	defer relay.close()
	group := newSlowReaders(relay.url(), "")
	defer group.close()
	for _, count := range readerCounts {
		if err := group.open(ctx, count); err != nil {
			return err
		}
		if err := waitForFullBuffers(ctx, engine); err != nil {
			return err
		}
		r.Rows = append(r.Rows, Row{Measure: "readers", Variant: fmt.Sprintf("unbounded relay, %d readers", count), Values: []Value{
			{"buffered", "MB", float64(relay.held.Load()) / 1e6},
			{"buffered per reader", "KiB", float64(relay.held.Load()) / float64(count) / 1024},
		}})
	}
	return nil
}
