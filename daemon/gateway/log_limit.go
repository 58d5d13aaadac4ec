package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxLines is the number of lines on requests that are written in a second. Each
// costs about 10 us; further ones are counted and the count is written.
const maxLines = 300

// lineBudget bounds the log lines on requests.
type lineBudget struct {
	mu     sync.Mutex
	second int64
	lines  int
	left   int
	// all counts the lines left out since the start.
	all uint64
}

// total returns the number of lines left out since the start.
func (b *lineBudget) total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all
}

// take tells whether a line may be written at now, and returns how many were left
// out in an earlier second that has not been reported.
func (b *lineBudget) take(now time.Time) (write bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.lines = second, 0
		leftOut, b.left = b.left, 0
	}
	if b.lines >= maxLines {
		b.left++
		b.all++
		return false, leftOut
	}
	b.lines++
	return true, leftOut
}

// line returns a log event of a request, or nil when the budget is used up; methods
// of a nil event do nothing.
func (g *Gateway) line(event *zerolog.Event) *zerolog.Event {
	write, leftOut := g.lines.take(time.Now())
	if leftOut > 0 {
		g.Log.Warn().Int("count", leftOut).Msg("lines on requests left out")
	}
	if !write {
		return nil
	}
	return event
}
