// Package failuredetector estimates whether a peer still answers, from the intervals of
// its replies. A suspicion only steers traffic: it never allows a second run of a
// request, a second owner of state or a charge.
package failuredetector

import (
	"errors"
	"math"
	"sync"
	"time"
)

// ErrBadBounds is returned for bounds that are not usable.
var ErrBadBounds = errors.New("suspect: bad bounds")

const (
	// deviations is the number of mean deviations above the mean interval after
	// which a peer is suspected, as for TCP's retransmission timeout (RFC 6298).
	deviations = 4
	// meanWeight and deviationWeight are the weights of RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// learnFactor bounds an interval that is learned to a multiple of the timeout,
	// so that one outage does not raise the timeout to its upper bound.
	learnFactor = 2
)

// SuspicionThreshold is the level from which a peer is suspected.
const SuspicionThreshold = 1.0

// Config bounds the timeout of each peer: 0 < Min <= Max.
type Config struct {
	// MinTimeout is at least the interval of background messages plus their jitter;
	// otherwise a pause in traffic raises suspicion.
	MinTimeout time.Duration
	// MaxTimeout bounds the time to notice a silent peer.
	MaxTimeout time.Duration
}

// Detector keeps an adaptive timeout for each peer. It is safe for concurrent
// use.
type Detector struct {
	cfg Config

	mu    sync.RWMutex
	peers map[string]*peer
	// awake is the time of the latest call of Awake.
	awake time.Time
}

type peer struct {
	last      time.Time
	mean      float64
	deviation float64
	samples   int
}

// New returns a Detector without peers.
func New(cfg Config) (*Detector, error) {
	if cfg.MinTimeout <= 0 || cfg.MaxTimeout < cfg.MinTimeout {
		return nil, ErrBadBounds
	}
	return &Detector{cfg: cfg, peers: make(map[string]*peer)}, nil
}

// Tick tells that the observer runs at now. The observer calls it at intervals
// well below Min, and before Observe and Level. A gap of Min or more means that the
// observer itself was paused: the gap does not count as silence of the peers, and
// a peer has the level that it had before the pause.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.awake)
	known := !d.awake.IsZero()
	d.awake = now
	if !known || gap < d.cfg.MinTimeout {
		return
	}
	for _, p := range d.peers {
		p.last = p.last.Add(gap)
		if p.last.After(now) {
			p.last = now
		}
	}
}

// Observe records a reply of the peer at now. A time before the last reply is
// ignored.
func (d *Detector) Observe(name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[name]
	if p == nil {
		d.peers[name] = &peer{last: now}
		return
	}
	interval := now.Sub(p.last)
	if interval < 0 {
		return
	}
	p.last = now
	p.learn(min(interval, learnFactor*d.timeout(p)))
}

func (p *peer) learn(interval time.Duration) {
	x := float64(interval)
	p.samples++
	if p.samples == 1 {
		p.mean = x
		p.deviation = x / 2
		return
	}
	p.deviation += deviationWeight * (math.Abs(x-p.mean) - p.deviation)
	p.mean += meanWeight * (x - p.mean)
}

// Timeout returns the present timeout of the peer; Max for an unknown one.
func (d *Detector) Timeout(name string) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.peers[name]
	if p == nil {
		return d.cfg.MaxTimeout
	}
	return d.timeout(p)
}

func (d *Detector) timeout(p *peer) time.Duration {
	if p.samples == 0 {
		return d.cfg.MaxTimeout
	}
	t := time.Duration(p.mean + deviations*p.deviation)
	return min(max(t, d.cfg.MinTimeout), d.cfg.MaxTimeout)
}

// SuspicionLevel returns the time since the last reply divided by the timeout: 0 just
// after a reply and for an unknown peer, Suspected and more for a suspected one.
func (d *Detector) SuspicionLevel(name string, now time.Time) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.peers[name]
	if p == nil {
		return 0
	}
	silent := max(now.Sub(p.last), 0)
	return float64(silent) / float64(d.timeout(p))
}

// Remove drops a peer that has left for good.
func (d *Detector) Remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, name)
}
