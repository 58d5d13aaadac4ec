package gateway

import (
	"time"

	"cactusknot.example/daemon/selection"
)

// intervalsPerRecord and maxRecordTime are the number of intervals between events and the
// time after which the intervals of a running stream are recorded. Recording each one
// would take the chooser's lock for every event.
const (
	intervalsPerRecord = 5
	maxRecordTime      = 500 * time.Millisecond
)

// intervalMeter records the intervals between the events of a stream while it runs. Only
// events that are new to the caller count: those that a server repeats after a resumption
// can arrive at any pace.
type intervalMeter struct {
	// since is when the last recorded interval ended, or at first when the first event arrived;
	// latest is when the latest event arrived.
	since, latest time.Time
	intervals     int
}

// event records the arrival of an event.
func (m *intervalMeter) event(choice *selection.Choice, now time.Time) {
	if m.since.IsZero() {
		m.since, m.latest = now, now
		return
	}
	m.intervals++
	m.latest = now
	if m.intervals >= intervalsPerRecord || now.Sub(m.since) >= maxRecordTime {
		m.flush(choice)
	}
}

// flush records the intervals up to the latest event.
func (m *intervalMeter) flush(choice *selection.Choice) {
	choice.RecordEvents(m.latest, m.intervals, m.latest.Sub(m.since))
	m.since, m.intervals = m.latest, 0
}

// cut records that the stream was cut.
func (m *intervalMeter) cut(choice *selection.Choice, now time.Time) {
	if !m.since.IsZero() {
		choice.RecordCut(now, m.intervals, m.latest.Sub(m.since), now.Sub(m.since))
	}
}
