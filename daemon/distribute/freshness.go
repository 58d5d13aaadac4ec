package distribute

import (
	"slices"
	"sync"
	"time"
)

const (
	// FreshnessBound is the age of the last confirmation after which a process polls
	// the store itself. An agent runs 12 gossip rounds in this time, enough to reach
	// more than half of 13 data centres. The requirement that a configuration is in
	// force within 13 s is met by gossip, not by polling.
	FreshnessBound = 60 * time.Second
	// contactAge is the age of the last contact after which gossip prefers peers of
	// a data centre.
	contactAge = FreshnessBound / 3
	// storeWindow limits the duration of one watch. The store counts as reachable for
	// this time after a response.
	storeWindow = 30 * time.Second
	// defaultIsolatedServe applies when limits.isolated_serve_seconds is 0.
	defaultIsolatedServe = 300 * time.Second
)

// freshness records the last confirmation, the last read of the store and the last
// contact with each data centre.
type freshness struct {
	mu        sync.Mutex
	confirmed time.Time
	stored    time.Time
	contacts  map[string]time.Time
}

// RecordContact records that a peer of the data centre responded to a call sent at
// the given time, or that a call from it arrived at that time.
func (s *Syncer) RecordContact(dataCentre string, at time.Time) {
	needed := s.dataCentres()
	alone := s.aloneInDataCentre()
	f := &s.fresh
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.contacts[dataCentre]) {
		f.contacts[dataCentre] = at
	}
	times := make([]time.Time, 0, len(needed))
	for _, name := range needed {
		last := f.contacts[name]
		if alone && name == s.cfg.Self.DataCentre {
			last = at
		}
		times = append(times, last)
	}
	if since := majority(times); since.After(f.confirmed) {
		f.confirmed = since
	}
}

// majority returns the latest time t such that more than half of the contacts
// happened at or after t.
func majority(times []time.Time) time.Time {
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// aloneInDataCentre reports whether no other process of this data centre is known.
// The own data centre then counts as reached.
func (s *Syncer) aloneInDataCentre() bool {
	for m := range s.otherMembers() {
		if m.DataCentre == s.cfg.Self.DataCentre {
			return false
		}
	}
	return true
}

// recordStoreRead records a successful read of the store sent at the given time.
func (s *Syncer) recordStoreRead(at time.Time) {
	f := &s.fresh
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.stored) {
		f.stored = at
	}
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// dataCentres returns the data centres of the bundle, or those of the known members
// while the bundle lists none.
func (s *Syncer) dataCentres() []string {
	var out []string
	if c := s.Current(); c != nil {
		for _, d := range c.Bundle.DataCentres {
			out = append(out, d.Name)
		}
	}
	if len(out) > 0 {
		return out
	}
	seen := make(map[string]bool)
	for _, m := range append(slices.Collect(s.otherMembers()), s.cfg.Self) {
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			out = append(out, m.DataCentre)
		}
	}
	return out
}

// LastConfirmed returns when this process last read the store or was in contact
// with peers in more than half of the data centres; zero before the first time.
func (s *Syncer) LastConfirmed() time.Time {
	s.fresh.mu.Lock()
	defer s.fresh.mu.Unlock()
	return s.fresh.confirmed
}

// StoreReachable reports whether the store responded to this process within
// storeWindow before now.
func (s *Syncer) StoreReachable(now time.Time) bool {
	s.fresh.mu.Lock()
	defer s.fresh.mu.Unlock()
	return !s.fresh.stored.IsZero() && now.Sub(s.fresh.stored) <= storeWindow
}

// Isolated reports whether this process must refuse new requests, because its last
// confirmation is older than limits.isolated_serve_seconds.
func (s *Syncer) Isolated(now time.Time) bool {
	serve := defaultIsolatedServe
	if c := s.Current(); c != nil && c.Bundle.Limits.IsolatedServeSeconds > 0 {
		serve = time.Duration(c.Bundle.Limits.IsolatedServeSeconds) * time.Second
	}
	return now.Sub(s.LastConfirmed()) > serve
}

// staleDataCentres returns the data centres without a contact within contactAge.
// Gossip prefers them, so that contacts don't expire because of the random choice
// of peers.
func (s *Syncer) staleDataCentres(now time.Time) map[string]bool {
	needed := s.dataCentres()
	s.fresh.mu.Lock()
	defer s.fresh.mu.Unlock()
	out := make(map[string]bool)
	for _, name := range needed {
		if now.Sub(s.fresh.contacts[name]) > contactAge {
			out[name] = true
		}
	}
	return out
}
