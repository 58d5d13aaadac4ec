// Package relay decides from where a router reads the store's changes, so that the load on
// the store does not grow with the number of routers. In each data centre a few routers,
// the readers, watch the store. The others poll a reader nearby, and the store itself
// while no reader is of use. The decisions need no messages and no network: all routers
// derive the readers from the same list of members.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstAvoidance is how long a reader is avoided after a failure. The time doubles
	// with each further failure, up to maxAvoidance.
	firstAvoidance = 2 * time.Second
	maxAvoidance   = 16 * time.Second
)

// Member is a router that may be a reader.
type Member struct {
	Name string
	// Address is where other routers reach it.
	Address    string
	DataCentre string
	// Cores is the processor share that it may use; 0 if unknown.
	Cores float64
}

// Rank sorts members by their fitness for work on behalf of others: those with the most
// processor share first. The order does not depend on the order of the list.
func Rank(members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// Readers returns the n readers of a data centre, the fittest first.
func Readers(members []Member, dataCentre string, n int) []Member {
	var local []Member
	for _, m := range Rank(members) {
		if m.DataCentre == dataCentre && len(local) < n {
			local = append(local, m)
		}
	}
	return local
}

// Selector chooses the source of one router. It must not be used concurrently.
type Selector struct {
	// Self is the name of the router.
	Self string
	// Jitter returns a random factor between 0 and 1. It spreads the return to a reader,
	// so that routers that lost one at the same time do not come back together.
	Jitter func() float64

	avoided map[string]avoidance
}

type avoidance struct {
	until    time.Time
	failures int
}

// Next returns the reader to poll at now, or false if the store is to be read directly:
// because this router is a reader itself or all readers are avoided. Routers of a data
// centre are spread over its readers.
func (s *Selector) Next(now time.Time, readers []Member) (reader Member, ok bool) {
	for _, r := range readers {
		if r.Name == s.Self {
			return Member{}, false
		}
	}
	if len(readers) == 0 {
		return Member{}, false
	}
	start := int(xxhash.Sum64String(s.Self) % uint64(len(readers)))
	for i := range readers {
		r := readers[(start+i)%len(readers)]
		if !now.Before(s.avoided[r.Name].until) {
			return r, true
		}
	}
	return Member{}, false
}

// Failed records that the reader did not answer or is too far behind.
func (s *Selector) Failed(now time.Time, reader string) {
	if s.avoided == nil {
		s.avoided = make(map[string]avoidance)
	}
	a := s.avoided[reader]
	pause := min(maxAvoidance, firstAvoidance<<min(a.failures, 8))
	a.failures++
	a.until = now.Add(pause + time.Duration(s.Jitter()*float64(pause)))
	s.avoided[reader] = a
}

// Succeeded records a usable answer of the reader.
func (s *Selector) Succeeded(reader string) { delete(s.avoided, reader) }
