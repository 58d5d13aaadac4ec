package distribute

import (
	"fmt"
	"sync"
	"time"

	"cactusknot.example/coord/clock"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// BytesPerSecond is the budget for the average control traffic of a node.
	BytesPerSecond = 5 << 10
	// optionalPerSecond is the rate up to which messages are filled with optional
	// content. The rest of the budget covers messages that peers initiate: at the full
	// rate, a node in a deployment of 60 received 6.0 KB/s.
	optionalPerSecond = BytesPerSecond * 4 / 5
	// maxBurst limits the unused bytes that a node may send later.
	maxBurst = 2 * counterBytesPerMessage
	// maxDebt limits how long optional content is held back after a large fetch.
	maxDebt = 12 * BytesPerSecond
	// callOverhead estimates the headers of a call and its reply over HTTP/2 with
	// compressed headers and TLS framing.
	callOverhead = 250
)

// meter is a token bucket for control traffic. Stop notices and bundles are never
// held back; optional content uses the remaining budget.
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

// spend records n bytes of the kind plus the overhead of one call.
func (m *meter) spend(kind string, n int) {
	n += callOverhead
	m.set.GetOrCreateCounter(fmt.Sprintf("cactusknot_control_bytes_total{kind=%q}", kind)).Add(n)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	m.tokens = max(m.tokens-float64(n), -maxDebt)
}

// available returns the number of bytes that may be sent now.
func (m *meter) available() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	return int(max(m.tokens, 0))
}

func (m *meter) refill() {
	now := m.clock.Now()
	if passed := now.Sub(m.last); passed > 0 {
		m.tokens = min(m.tokens+passed.Seconds()*optionalPerSecond, maxBurst)
	}
	m.last = now
}

// RecordControlBytes counts n bytes of a control call made by another package. They
// reduce the budget for optional gossip content.
func (s *Syncer) RecordControlBytes(kind string, n int) { s.meter.spend(kind, n) }

// ControlBytes returns the number of bytes counted for the kind: sync, manifest,
// parts, store or exchange.
func (s *Syncer) ControlBytes(kind string) uint64 {
	return s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_control_bytes_total{kind=%q}", kind)).Get()
}
