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
	// readerRated is the text that the router keeps of each answer for the rating
	// service, a bound of package router.
	readerRated = 16 << 10
	// readerConstant bounds what a reader costs beside these two: 8 KiB of buffers
	// of the caller's connection, a 4 KiB buffer of the agent's stream, some 32 KiB
	// for the stacks of the request's goroutines, and 20 KiB for the request, its
	// headers and messages in work.
	readerConstant = 64 << 10
	readerBound    = readerWindow + readerRated + readerConstant
	// readerSecondWave is the size of the group that comes after all have left. The
	// Go runtime keeps the descriptors of the goroutines of the first group, some
	// 450 bytes each, for new ones; anything that belongs to a reader would be
	// left behind by each group.
	readerSecondWave = 1000
	// readerLeftover is the noise of the measurement per reader; the smallest
	// object that lives as long as a reader is a 4 KiB buffer.
	readerLeftover = 1 << 10
	// readerConnections is the number of goroutines by which idle connections that
	// read the metrics differ from look to look, two for each of eight.
	readerConnections = 16
	// readerGOGC makes the measured router collect its garbage after little
	// allocation, so that the live heap can be read.
	readerGOGC = 10
	// readerMaxRequests is above the largest number of readers.
	readerMaxRequests = 5000
	// Buffers count as full when the engine has written nothing between two looks;
	// at most readerLooks are taken.
	readerSettle = 700 * time.Millisecond
	readerLooks  = 15
	// readerLeave bounds the wait until the router has let go of all readers.
	readerLeave = 10 * time.Second
	readersVM   = "engine-a1"
	readersName = "router-a"
)

var readerCounts = []int{100, 1000, 4000}

// RunReaders measures the memory that the router holds for callers that read a
// byte a second from streamed answers, and the same callers at a relay with
// unbounded buffers.
func RunReaders(ctx context.Context, _ Options) (Report, error) {
	r := Report{Scenario: "readers", Notes: "memory for slow readers; one run, counts in one process after another"}
	engine, err := startFlood()
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
func routerReaders(ctx context.Context, r *Report, engine *flood) error {
	f, stop, err := startFleet(ctx, readersFleet(engine.url()))
	if err != nil {
		return err
	}
	defer stop()
	before, err := collected(ctx, f, 1)
	if err != nil {
		return err
	}
	group := newReaders(f.CallerURL(readersName), fleet.SampleKey("aquarium"))
	defer group.close()
	var last memory
	for _, count := range readerCounts {
		if err := group.open(ctx, count); err != nil {
			return err
		}
		if last, err = settled(ctx, f, engine); err != nil {
			return err
		}
		r.Rows = append(r.Rows, readersRow("router", count, before, last))
		perReader := (last.held - before.held) / float64(count)
		r.atMost("", fmt.Sprintf("router: heap and stacks per reader at %d readers [B]", count), readerBound, perReader)
	}
	group.close()
	after, err := left(ctx, f)
	if err != nil {
		return err
	}
	r.Rows = append(r.Rows, readersRow("router, all readers gone", 0, before, after))
	r.atMost("", "router: requests in progress after the readers left", 0, after.running)
	r.atMost("", "router: reserved buffer bytes after the readers left", 0, after.reserved)
	again := newReaders(f.CallerURL(readersName), fleet.SampleKey("aquarium"))
	defer again.close()
	if err := again.open(ctx, readerSecondWave); err != nil {
		return err
	}
	again.close()
	second, err := left(ctx, f)
	if err != nil {
		return err
	}
	r.Rows = append(r.Rows, readersRow("router, second group of readers gone", 0, before, second))
	r.atMost("", "router: requests in progress after a second group left", 0, second.running)
	r.atMost("", "router: heap that a second group left behind, per reader [B]", readerLeftover, (second.heap-after.heap)/readerSecondWave)
	r.atMost("", "router: goroutines that a second group left behind", readerConnections, second.routines-after.routines)
	return nil
}

// memory is what the router's metrics tell.
type memory struct {
	// held is live heap and stacks, resident what the operating system counts.
	held, heap, stacks, resident float64
	running, reserved, routines  float64
	collections                  float64
}

func routerMemory(ctx context.Context, f *fleet.Fleet) (memory, error) {
	m, err := f.Metrics(ctx, readersName)
	if err != nil {
		return memory{}, trace.Wrap(err)
	}
	heap, stacks := m["go_memstats_heap_alloc_bytes"], m["go_memstats_stack_inuse_bytes"]
	return memory{
		held: heap + stacks, heap: heap, stacks: stacks, resident: m["process_resident_memory_bytes"],
		running: m["cactusknot_router_running_requests"], reserved: m["cactusknot_router_buffer_bytes"], routines: m["go_goroutines"],
		collections: m["go_gc_duration_seconds_count"],
	}, nil
}

// filled waits until the engine can write no more.
func filled(ctx context.Context, engine *flood) error {
	last := int64(-1)
	for range readerLooks {
		written := engine.written.Load()
		if written == last {
			break
		}
		last = written
		if err := pause(ctx, readerSettle); err != nil {
			return err
		}
	}
	return nil
}

// settled returns the memory after the buffers have filled and the garbage was
// collected.
func settled(ctx context.Context, f *fleet.Fleet, engine *flood) (memory, error) {
	if err := filled(ctx, engine); err != nil {
		return memory{}, err
	}
	return collected(ctx, f, 1)
}

// left waits until the router has no request any more and returns its memory. The
// chunks of HTTP/2 streams outlive two collections in the pool of net/http.
func left(ctx context.Context, f *fleet.Fleet) (memory, error) {
	const (
		interval    = 100 * time.Millisecond
		collections = 3
	)
	for until := time.Now().Add(readerLeave); time.Now().Before(until); {
		m, err := routerMemory(ctx, f)
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
	return collected(ctx, f, collections)
}

// collected reads the metrics, which allocates, until the router has collected
// its garbage the number of times, and returns the least that was held since the
// last time: the figure counts garbage until it is swept. It gives up after
// readerLeave.
func collected(ctx context.Context, f *fleet.Fleet, times float64) (memory, error) {
	const (
		parallel = 8
		samples  = 10
	)
	first, err := routerMemory(ctx, f)
	if err != nil {
		return first, err
	}
	until := time.Now().Add(readerLeave)
	for now := first; now.collections < first.collections+times && time.Now().Before(until); {
		var wg sync.WaitGroup
		for range parallel {
			wg.Go(func() { _, _ = routerMemory(ctx, f) })
		}
		wg.Wait()
		if now, err = routerMemory(ctx, f); err != nil {
			return now, err
		}
	}
	least := memory{held: math.Inf(1)}
	for range samples {
		now, err := routerMemory(ctx, f)
		if err != nil {
			return now, err
		}
		if now.held < least.held {
			least = now
		}
	}
	return least, nil
}

func readersRow(variant string, count int, before, now memory) Row {
	values := []Value{
		{"heap", "MB", now.heap / 1e6},
		{"stacks", "MB", now.stacks / 1e6},
		{"resident", "MB", now.resident / 1e6},
		{"goroutines", "", now.routines},
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
func relayReaders(ctx context.Context, r *Report, engine *flood) error {
	relay, err := startRelay(engine.url())
	if err != nil {
		return err
	}
	defer relay.close()
	group := newReaders(relay.url(), "")
	defer group.close()
	for _, count := range readerCounts {
		if err := group.open(ctx, count); err != nil {
			return err
		}
		if err := filled(ctx, engine); err != nil {
			return err
		}
		r.Rows = append(r.Rows, Row{Measure: "readers", Variant: fmt.Sprintf("unbounded relay, %d readers", count), Values: []Value{
			{"buffered", "MB", float64(relay.held.Load()) / 1e6},
			{"buffered per reader", "KiB", float64(relay.held.Load()) / float64(count) / 1024},
		}})
	}
	return nil
}
