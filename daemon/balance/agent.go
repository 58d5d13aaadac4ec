// Package balance chooses the agent of a request from an immutable snapshot of what
// the router knows of its agents. The functions are pure apart from the router's own
// in-flight counters, and Choose does not allocate.
package balance

import (
	"sync/atomic"
	"time"

	"cactusknot.example/coord/limit"
)

// Distance is the network distance of an agent from the router.
type Distance uint8

// Values of Distance, nearest first.
const (
	// SameDataCentre: in the data centre of the router.
	SameDataCentre Distance = iota
	// SameRegion: in another data centre of the router's region.
	SameRegion
	// OtherRegion: in another region; used only when the router's region has no candidate.
	OtherRegion
)

// InFlightCounter counts the router's own requests in flight at one agent. Snapshots
// share the counter, so that the choice sees requests sent after the snapshot was
// built.
type InFlightCounter struct{ n atomic.Int64 }

// Start counts a dispatched request.
func (f *InFlightCounter) Start() { f.n.Add(1) }

// Done counts the end of a dispatched request, whether it was served or refused.
func (f *InFlightCounter) Done() { f.n.Add(-1) }

// Count returns the requests in flight; 0 for nil.
func (f *InFlightCounter) Count() int {
	if f == nil {
		return 0
	}
	return int(f.n.Load())
}

// Agent is the router's view of one agent.
type Agent struct {
	VM         string
	DataCentre string
	Distance   Distance
	Phase      limit.Phase
	// Free is the number of further requests that the agent admits, Limit the number
	// that it runs at once. Both are as reported at ReportedAt.
	Free  int
	Limit int
	// ReportedAt is when the report arrived, by the router's clock.
	ReportedAt time.Time
	// FirstTokenMS is the reported moving average of the time to the first token; 0
	// when unknown.
	FirstTokenMS float64
	// TokenIntervalMS is the reported moving average of the time between tokens; 0
	// when unknown.
	TokenIntervalMS float64
	// Targets are the loaded versions as model@version, or the name of the service.
	Targets []string
	// Prefixes are the hashes of prompt prefixes assumed to be cached, in ascending
	// order.
	Prefixes []uint64
	// Suspicion is the level of failuredetector.Detector.SuspicionLevel; from 1 on the
	// agent is a last resort.
	Suspicion float64
	// PausedUntil is the end of a pause that the backend server has asked for.
	PausedUntil time.Time
	// InFlight may be nil. InFlightAtReport is its count when the report arrived.
	InFlight         *InFlightCounter
	InFlightAtReport int
}

// Exclusion names the VMs and data centres that the bundle or the VM list declares
// out of service or leaving. All others are in service.
type Exclusion struct {
	VMs         map[string]bool
	DataCentres map[string]bool
}

func (e Exclusion) excludes(a *Agent) bool {
	return e.VMs[a.VM] || e.DataCentres[a.DataCentre]
}

// acceptsWork tells whether an agent in the phase may get new requests.
func acceptsWork(p limit.Phase) bool { return p == limit.Cold || p == limit.Warm }

// paused tells whether the agent's backend server wants no requests now.
func (a *Agent) paused(now time.Time) bool { return now.Before(a.PausedUntil) }
