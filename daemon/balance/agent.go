// Package balance chooses the backend server of a request from an immutable
// snapshot of what the router knows of its agents. The functions are pure apart
// from the own in-flight counts, and Choose allocates nothing.
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
	// SameDataCentre: within the router's data centre.
	SameDataCentre Distance = iota
	// SameRegion: in another data centre of the region.
	SameRegion
	// OtherRegion: in another region; used only when the region has no candidate.
	OtherRegion
)

// InFlightCounter counts the router's own requests in flight at one agent. Snapshots share
// it, so that the choice sees requests sent after the snapshot was built.
type InFlightCounter struct{ n atomic.Int64 }

// Start counts a dispatched request.
func (f *InFlightCounter) Start() { f.n.Add(1) }

// Done counts the end of a dispatched request, also of a refused one.
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
	// Free and Limit are requests, as reported at At.
	Free  int
	Limit int
	// ReportedAt is the router's time when the report arrived.
	ReportedAt time.Time
	// FirstTokenMS is the reported smoothed first-token time; 0 when unknown.
	FirstTokenMS float64
	// TokenIntervalMS is the reported smoothed time between tokens; 0 when unknown.
	TokenIntervalMS float64
	// Targets are the loaded versions as model@version, or the service's name.
	Targets []string
	// Prefixes are the hashes of prompt prefixes believed to be cached, in
	// ascending order.
	Prefixes []uint64
	// Suspicion is suspect.Detector's level; from 1 the agent is a last resort.
	Suspicion float64
	// InFlight may be nil. FlightAtReport is its count when the report arrived.
	InFlight         *InFlightCounter
	InFlightAtReport int
}

// Exclusion names VMs and data centres out of service or leaving by the bundle or
// the VM list. Missing entries are in service.
type Exclusion struct {
	VMs         map[string]bool
	DataCentres map[string]bool
}

func (e Exclusion) covers(a *Agent) bool {
	return e.VMs[a.VM] || e.DataCentres[a.DataCentre]
}

// inService tells whether an agent in this phase may get new work.
func inService(p limit.Phase) bool { return p == limit.Cold || p == limit.Warm }
