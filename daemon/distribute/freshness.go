package distribute

import (
	"slices"
	"sync"
	"time"
)

const (
	// FreshnessBound is the age of the last confirmation after which a process
	// polls the store itself. An agent has 12 gossip rounds in it, enough to reach
	// more than half of 13 data centres. Gossip, not polling, meets the 13 s in
	// which a configuration must be in force.
	FreshnessBound = 60 * time.Second
	// contactAge is the age after which gossip renews the contact with a data
	// centre.
	contactAge = FreshnessBound / 3
	// storeWindow bounds one watch, and is how long an answer of the store counts.
	storeWindow = 30 * time.Second
	// defaultIsolatedServe applies when limits.isolated_serve_seconds is 0.
	defaultIsolatedServe = 300 * time.Second
)

// freshness records when this process was last known to be in contact.
type freshness struct {
	mu        sync.Mutex
	confirmed time.Time
	stored    time.Time
	contacts  map[string]time.Time
}

// Contact records that a peer of the data centre answered a call that was sent
// at the given time, or sent one that arrived then.
func (k *Keeper) Contact(dataCentre string, at time.Time) {
	needed := k.dataCentres()
	alone := k.aloneInDataCentre()
	f := &k.fresh
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.contacts[dataCentre]) {
		f.contacts[dataCentre] = at
	}
	times := make([]time.Time, 0, len(needed))
	for _, name := range needed {
		last := f.contacts[name]
		if alone && name == k.cfg.Self.DataCentre {
			last = at
		}
		times = append(times, last)
	}
	if since := majority(times); since.After(f.confirmed) {
		f.confirmed = since
	}
}

// majority returns the latest time since which more than half of the contacts
// took place.
func majority(times []time.Time) time.Time {
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// aloneInDataCentre reports whether no other process of this data centre is
// known; the own data centre then counts as reached.
func (k *Keeper) aloneInDataCentre() bool {
	for m := range k.others() {
		if m.DataCentre == k.cfg.Self.DataCentre {
			return false
		}
	}
	return true
}

// storeAnswered records a successful read of the store sent at the given time.
func (k *Keeper) storeAnswered(at time.Time) {
	f := &k.fresh
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.stored) {
		f.stored = at
	}
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// dataCentres returns those of the bundle, or those of the known members while
// the bundle lists none.
func (k *Keeper) dataCentres() []string {
	var out []string
	if c := k.Current(); c != nil {
		for _, d := range c.Bundle.DataCentres {
			out = append(out, d.Name)
		}
	}
	if len(out) > 0 {
		return out
	}
	seen := make(map[string]bool)
	for _, m := range append(slices.Collect(k.others()), k.cfg.Self) {
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			out = append(out, m.DataCentre)
		}
	}
	return out
}

// Confirmed returns when this process last read the store or was in contact
// with peers in more than half of the data centres; zero before the first time.
func (k *Keeper) Confirmed() time.Time {
	k.fresh.mu.Lock()
	defer k.fresh.mu.Unlock()
	return k.fresh.confirmed
}

// StoreReachable reports whether the store answered this process lately.
func (k *Keeper) StoreReachable(now time.Time) bool {
	k.fresh.mu.Lock()
	defer k.fresh.mu.Unlock()
	return !k.fresh.stored.IsZero() && now.Sub(k.fresh.stored) <= storeWindow
}

// Isolated reports whether this process must refuse new work, because it has
// been unconfirmed for longer than limits.isolated_serve_seconds.
func (k *Keeper) Isolated(now time.Time) bool {
	serve := defaultIsolatedServe
	if c := k.Current(); c != nil && c.Bundle.Limits.IsolatedServeSeconds > 0 {
		serve = time.Duration(c.Bundle.Limits.IsolatedServeSeconds) * time.Second
	}
	return now.Sub(k.Confirmed()) > serve
}

// staleDataCentres returns the data centres without a contact within contactAge.
// Gossip prefers them, so that contacts do not run out by chance.
func (k *Keeper) staleDataCentres(now time.Time) map[string]bool {
	needed := k.dataCentres()
	k.fresh.mu.Lock()
	defer k.fresh.mu.Unlock()
	out := make(map[string]bool)
	for _, name := range needed {
		if now.Sub(k.fresh.contacts[name]) > contactAge {
			out[name] = true
		}
	}
	return out
}
