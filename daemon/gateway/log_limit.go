package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxLogLinesPerSecond bounds the request log lines written in a second; each costs
// about 10 us. Further lines are suppressed, and their count is logged.
const maxLogLinesPerSecond = 300

// logLimiter limits the rate of request log lines.
type logLimiter struct {
	mu     sync.Mutex
	second int64
	lines  int
	// unreported counts the suppressed lines that have not been logged as a count yet.
	unreported int
	// totalSuppressed counts the suppressed lines since the process started.
	totalSuppressed uint64
}

// total returns the number of lines suppressed since the process started.
func (b *logLimiter) total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalSuppressed
}

// allow reports whether a line may be written at now, and returns how many lines were
// suppressed in an earlier second and not reported yet.
func (b *logLimiter) allow(now time.Time) (ok bool, suppressed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.lines = second, 0
		suppressed, b.unreported = b.unreported, 0
	}
	if b.lines >= maxLogLinesPerSecond {
		b.unreported++
		b.totalSuppressed++
		return false, suppressed
	}
	b.lines++
	return true, suppressed
}

// logEvent returns the event of a request log line, or nil if the rate limit is
// reached. The methods of a nil event do nothing.
func (g *Gateway) logEvent(event *zerolog.Event) *zerolog.Event {
	ok, suppressed := g.logLimit.allow(time.Now())
	if suppressed > 0 {
		g.Log.Warn().Int("count", suppressed).Msg("request log lines suppressed by the rate limit")
	}
	if !ok {
		return nil
	}
	return event
}
