package bench

import "context"

// Options holds the options of all scenarios.
type Options struct {
	// Seeds holds the seeds; each variant runs once per seed.
	Seeds []uint64
	// Scale multiplies the number of requests; the documented figures use 1.
	Scale float64
	// Deployment limits the run to one deployment; empty means all.
	Deployment string
}

// DefaultOptions returns the options of the figures in docs/decisions.
func DefaultOptions() Options {
	return Options{Seeds: []uint64{1, 2, 3, 4, 5}, Scale: 1}
}

// Scenario is a measurement that cactusctl bench can run.
type Scenario struct {
	Name    string
	Summary string
	// Run returns early with ctx's error when ctx ends.
	Run func(ctx context.Context, o Options) (Report, error)
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "sequential", Summary: "sequential tests: false stops and ratings until a stop", Run: RunSequential},
		{Name: "cost", Summary: "cost at the quality target against fixed choices and an oracle", Run: RunCost},
		{Name: "exposure", Summary: "requests answered by a bad version before it is stopped", Run: RunExposure},
		{Name: "counters", Summary: "memory and messages of quality counters", Run: RunCounters},
		{Name: "latency", Summary: "latency against other choices of backend servers", Run: RunLatency},
		{Name: "datacentre", Summary: "service while a data centre leaves and returns", Run: RunDataCentre},
		{Name: "recovery", Summary: "recovery from crashes with and without retries", Run: RunRecovery},
		{Name: "announcements", Summary: "requests to servers that announce that they leave or pause", Run: RunAnnouncements},
		{Name: "path", Summary: "added time, processor time and allocations of the request path", Run: RunPath},
		{Name: "readers", Summary: "memory for slow readers of streamed answers", Run: RunReaders},
		{Name: "capacity", Summary: "slopes of processor time, memory and messages by size", Run: RunCapacity},
	}
}
