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
	// readerWindow is the HTTP/2 receive window of a stream in the router,
	// which limits the bytes buffered per stream.
	readerWindow = 64 << 10
	// readerRatedText is the maximum text of an answer that the router keeps
	// for the rating service; it equals the limit in package router.
	readerRatedText = 16 << 10
	// readerOverhead is the allowance for everything else: 8 KiB of buffers of
	// the caller's connection, a 4 KiB buffer of the agent's stream, about 32
	// KiB for the stacks of the request's goroutines, and 20 KiB for the
	// request, its headers and the messages being processed.
	readerOverhead    = 64 << 10
	maxBytesPerReader = readerWindow + readerRatedText + readerOverhead
	// secondGroupReaders is the size of a second group of readers, opened after
	// the first has left. The Go runtime keeps the descriptors of the first
	// group's goroutines, about 450 bytes each, for reuse, so only the second
	// group shows a leak: memory that belongs to readers would grow again.
	secondGroupReaders = 1000
	// maxLeakPerReader allows for the noise of the measurement. A leak would be
	// larger: the smallest object that lives as long as a reader is a 4 KiB
	// buffer.
	maxLeakPerReader = 1 << 10
	// maxGoroutineDifference allows for the goroutines of idle connections that
	// read the metrics: their number varies between measurements, by two for
	// each of eight connections.
	maxGoroutineDifference = 16
	// readerGOGC makes the router collect garbage after few allocations, so
	// that the heap metric is close to the live heap.
	readerGOGC = 10
	// readerMaxRequests is above the largest number of readers.
	readerMaxRequests = 5000
	// Buffers count as full when the engine has written nothing during
	// fillPollInterval; after maxFillPolls the wait ends in any case.
	fillPollInterval = 700 * time.Millisecond
	maxFillPolls     = 15
	// readerReleaseTimeout limits the wait until the router has released all
	// readers, and the wait for its garbage collection.
	readerReleaseTimeout = 10 * time.Second
	readersVM            = "engine-a1"
	readersRouter        = "router-a"
)

var readerCounts = []int{100, 1000, 4000}

// RunReaders measures the memory that the router holds for callers that read
// one byte per second of a streamed answer, and compares it with a relay with
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

// routerReaders measures the readers at a router process.
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
	secondGroup := newSlowReaders(f.CallerURL(readersRouter), fleet.SampleKey("aquarium"))
	defer secondGroup.close()
	if err := secondGroup.open(ctx, secondGroupReaders); err != nil {
		return err
	}
	secondGroup.close()
	afterSecond, err := memoryAfterRelease(ctx, f)
	if err != nil {
		return err
	}
	r.Rows = append(r.Rows, readersRow("router, second group of readers gone", 0, before, afterSecond))
	r.checkAtMost("", "router: requests in progress after a second group left", 0, afterSecond.running)
	r.checkAtMost("", "router: heap that a second group left behind, per reader [B]", maxLeakPerReader, (afterSecond.heap-after.heap)/secondGroupReaders)
	r.checkAtMost("", "router: goroutines that a second group left behind", maxGoroutineDifference, afterSecond.goroutines-after.goroutines)
	return nil
}

// routerMemory holds the memory metrics of the router.
type routerMemory struct {
	// held is the sum of heap and stacks; resident is the resident set size of
	// the process.
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

// memoryWithFullBuffers returns the memory after the buffers have filled and
// garbage was collected.
func memoryWithFullBuffers(ctx context.Context, f *fleet.Fleet, engine *streamEngine) (routerMemory, error) {
	if err := waitForFullBuffers(ctx, engine); err != nil {
		return routerMemory{}, err
	}
	return memoryAfterGC(ctx, f, 1)
}

// memoryAfterRelease waits until the router has no requests and returns its
// memory. It waits for three garbage collections, since the pool of net/http
// keeps buffers of HTTP/2 streams for two.
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

// memoryAfterGC waits until the router has collected garbage the given number
// of times, or until readerReleaseTimeout. Its reads of the metrics cause the
// allocations that trigger collections. It returns the sample with the least
// memory, since the metric counts garbage until it is swept.
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

// readersFleet has one router and one agent with capacity for all readers.
func readersFleet(engineURL string) fleet.Spec {
	spec := fleet.Sample()
	spec.Env = []string{fmt.Sprintf("GOGC=%d", readerGOGC)}
	spec.Routers = spec.Routers[:1]
	spec.Routers[0].MaxRequests = readerMaxRequests
	// A workspace may use half of the buffer memory, and all readers are of one
	// workspace.
	spec.Routers[0].BufferBytes = 2 * readerMaxRequests * readerWindow
	spec.Agents = []fleet.AgentSpec{{
		VM: readersVM, DataCentre: "a", BackendURL: engineURL, MaxConcurrent: readerMaxRequests, ColdConcurrent: readerMaxRequests,
	}}
	return spec
}

// relayReaders measures the readers at a relay in this process.
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
			{"buffered", "MB", float64(relay.buffered.Load()) / 1e6},
			{"buffered per reader", "KiB", float64(relay.buffered.Load()) / float64(count) / 1024},
		}})
	}
	return nil
}
