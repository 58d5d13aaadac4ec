// Package failuredetector implements an adaptive failure detector: it estimates from
// the intervals between the replies of a peer whether the peer still responds. The
// estimate may be wrong, so a suspicion must only influence where traffic is sent. It
// must never permit a second run of a request, a second owner of state or a charge.
package failuredetector

import (
	"errors"
	"math"
	"sync"
	"time"
)

// ErrInvalidConfig is returned when the limits of the timeout are invalid.
var ErrInvalidConfig = errors.New("failuredetector: MinTimeout must be above 0 and at most MaxTimeout")

const (
	// deviationFactor is the number of mean deviations by which the timeout exceeds
	// the mean interval, as for the retransmission timeout of TCP (RFC 6298).
	deviationFactor = 4
	// meanWeight and deviationWeight are the smoothing weights of RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// maxLearnedFactor limits an observed interval to a multiple of the current
	// timeout, so that a single outage does not raise the timeout to MaxTimeout.
	maxLearnedFactor = 2
)

// SuspicionThreshold is the suspicion level at and above which a peer is suspected.
const SuspicionThreshold = 1.0

// Config limits the timeout of each peer. It requires 0 < MinTimeout <= MaxTimeout.
type Config struct {
	// MinTimeout must be at least the interval of background messages plus their
	// jitter. Otherwise peers become suspected during pauses in the traffic.
	MinTimeout time.Duration
	// MaxTimeout limits the time until a silent peer is suspected.
	MaxTimeout time.Duration
}

// Detector maintains an adaptive timeout for each peer. It is safe for concurrent
// use.
type Detector struct {
	cfg Config

	mu    sync.RWMutex
	peers map[string]*peer
	// lastTick is the time of the last call of Tick.
	lastTick time.Time
}

type peer struct {
	lastReply time.Time
	mean      float64
	deviation float64
	samples   int
}

// New returns a Detector without peers.
func New(cfg Config) (*Detector, error) {
	if cfg.MinTimeout <= 0 || cfg.MaxTimeout < cfg.MinTimeout {
		return nil, ErrInvalidConfig
	}
	return &Detector{cfg: cfg, peers: make(map[string]*peer)}, nil
}

// Tick records that the observing process is running at now. The process must call
// Tick at intervals well below MinTimeout, and before Observe and SuspicionLevel. A
// gap of MinTimeout or more means that the process itself was paused. The gap then
// does not count as silence of the peers, and each peer keeps the suspicion level it
// had before the pause.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.lastTick)
	known := !d.lastTick.IsZero()
	d.lastTick = now
	if !known || gap < d.cfg.MinTimeout {
		return
	}
	for _, p := range d.peers {
		p.lastReply = p.lastReply.Add(gap)
		if p.lastReply.After(now) {
			p.lastReply = now
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
		d.peers[name] = &peer{lastReply: now}
		return
	}
	interval := now.Sub(p.lastReply)
	if interval < 0 {
		return
	}
	p.lastReply = now
	p.learn(min(interval, maxLearnedFactor*d.timeout(p)))
}

// learn updates the smoothed mean and mean deviation of the reply intervals.
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

// Timeout returns the current timeout of the peer, or MaxTimeout for an unknown peer.
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
	t := time.Duration(p.mean + deviationFactor*p.deviation)
	return min(max(t, d.cfg.MinTimeout), d.cfg.MaxTimeout)
}

// SuspicionLevel returns the time since the last reply of the peer divided by its
// timeout. The level is 0 immediately after a reply and for an unknown peer, and at
// least SuspicionThreshold for a suspected peer.
func (d *Detector) SuspicionLevel(name string, now time.Time) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.peers[name]
	if p == nil {
		return 0
	}
	silent := max(now.Sub(p.lastReply), 0)
	return float64(silent) / float64(d.timeout(p))
}

// Remove removes a peer that has left permanently.
func (d *Detector) Remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, name)
}
