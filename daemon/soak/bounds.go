package soak

import "time"

// Bounds of the checks, fixed from the design before any run.
const (
	// orderBound: "a few seconds" for a data centre, a VM and a version that is
	// withdrawn (design, section 9).
	orderBound = 5 * time.Second
	// configurationBound: an accepted configuration is in force everywhere
	// (design, sections 1.4 and 9).
	configurationBound = 13 * time.Second
	// coldFaultTime is how long an overload counts as caused by an engine that
	// became cold without warning: the agent infers it from the first tokens of
	// requests that it has admitted before.
	coldFaultTime = 2 * time.Second
	// missedShare is the share of requests that may fail while there are no
	// faults: 99.9% of the requests that fit must be served (design, section 1.2).
	// The load fits with one half of the engines.
	missedShare = 0.001
	// quietGuard is the time before the first fault whose requests are not
	// counted, since they may meet it.
	quietGuard = 2 * time.Second
	// shortestOutage is the outage of the store during which a booking must
	// complete: bookings do not need the store (design, section 6.2), and twenty
	// are asked for in this time.
	shortestOutage = 2 * time.Second
	// freezeFlush is the time after the end of a freeze in which an engine reads
	// requests that were sent to it before.
	freezeFlush = 300 * time.Millisecond
	// logResolution is the resolution of the times in logs, with the time that a
	// router takes to log the end of an attempt.
	logResolution = 100 * time.Millisecond
	// faultEcho is the time after a fault of a backend server or process in which
	// broken requests still count as caused by it: detection of a dead connection
	// takes up to 4 s (ping and its timeout).
	faultEcho = 5 * time.Second
)
