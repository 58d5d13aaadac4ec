package distribute

import (
	"fmt"
	"sync"
	"time"

	"cactusknot.example/coord/clock"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// BytesPerSecond is the control traffic that a node may cause on average.
	BytesPerSecond = 5 << 10
	// optionalPerSecond is the rate up to which optional content fills the
	// messages. The rest covers what peers send unasked: with the full rate a node
	// of 60 received 6.0 KB/s.
	optionalPerSecond = BytesPerSecond * 4 / 5
	// maxSaved bounds the unused bytes that a node may spend later.
	maxSaved = 2 * counterBytesPerMessage
	// maxDebt bounds how long optional content waits after a large fetch.
	maxDebt = 12 * BytesPerSecond
	// callOverhead estimates the headers of a call and its reply over HTTP/2 with
	// compressed headers and TLS framing.
	callOverhead = 250
)

// meter counts control bytes and tells how many may be sent now. Stop notices
// and bundles are never held back; optional content uses what they leave.
type meter struct {
	clock clock.Clock
	set   *metrics.Set

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newMeter(c clock.Clock, set *metrics.Set) *meter {
	return &meter{clock: c, set: set, last: c.Now()}
}

// spend counts n bytes of the kind plus the overhead of one call.
func (m *meter) spend(kind string, n int) {
	n += callOverhead
	m.set.GetOrCreateCounter(fmt.Sprintf("cactusknot_control_bytes_total{kind=%q}", kind)).Add(n)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	m.tokens = max(m.tokens-float64(n), -maxDebt)
}

// room returns the bytes that may be spent now.
func (m *meter) room() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	return int(max(m.tokens, 0))
}

func (m *meter) refill() {
	now := m.clock.Now()
	if passed := now.Sub(m.last); passed > 0 {
		m.tokens = min(m.tokens+passed.Seconds()*optionalPerSecond, maxSaved)
	}
	m.last = now
}

// RecordControlBytes counts n bytes of a call that another package made for control work.
// Optional content of gossip yields to them.
func (s *Syncer) RecordControlBytes(kind string, n int) { s.meter.spend(kind, n) }

// ControlBytes returns the bytes counted for the kind: sync, manifest, parts,
// store or exchange.
func (s *Syncer) ControlBytes(kind string) uint64 {
	return s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_control_bytes_total{kind=%q}", kind)).Get()
}
