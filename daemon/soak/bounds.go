package soak

import "time"

// Time and failure limits of the checks. They follow from the design and were
// fixed before any run.
const (
	// commandBound is the time within which a data centre, VM or version that is
	// taken out of use must get no new work: "a few seconds" (design, section 9).
	commandBound = 5 * time.Second
	// configurationBound is the time within which every process must use an
	// accepted configuration (design, sections 1.4 and 9).
	configurationBound = 13 * time.Second
	// coldDetectionTime is how long an overload counts as caused by an engine that
	// became cold without notice. The agent detects this only from the first
	// tokens of requests that it has already admitted.
	coldDetectionTime = 2 * time.Second
	// allowedFailureShare is the share of requests that may fail while there are
	// no faults: 99.9% of the requests within capacity must be served (design,
	// section 1.2). Half of the engines have capacity for the load.
	allowedFailureShare = 0.001
	// faultFreeMargin excludes the requests just before the first fault, since
	// they may still be in progress when it begins.
	faultFreeMargin = 2 * time.Second
	// minCheckedOutage is the shortest store outage during which a booking must
	// complete. Bookings do not need the store (design, section 6.2), and the load
	// asks for twenty in this time.
	minCheckedOutage = 2 * time.Second
	// resumeGrace is the time after the end of a freeze in which an engine reads
	// requests that were sent before or during the freeze.
	resumeGrace = 300 * time.Millisecond
	// logResolution covers the resolution of the times in logs and the time that a
	// router takes to log the end of an attempt.
	logResolution = 100 * time.Millisecond
	// faultDetectionTime is the time after a fault of a backend server or process
	// in which broken requests still count as caused by it: detection of a dead
	// connection takes up to 4 s (ping and its timeout).
	faultDetectionTime = 5 * time.Second
)
