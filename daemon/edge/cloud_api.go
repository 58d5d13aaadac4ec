package edge

import (
	"context"
	"errors"
	"time"
)

// Names of the duties, in keys, log lines and metrics.
const (
	UsageDuty     = "usage"
	AutoscaleDuty = "autoscale"
)

// Errors of calls of the platform's API.
var (
	// ErrTokenRefused means that a higher token was used before. Nothing was executed.
	ErrTokenRefused = errors.New("edge: fencing token refused")
	// ErrOverRate means that the API refused the call because of its rate limit.
	ErrOverRate = errors.New("edge: over the rate limit of the API")
	// ErrAPIUnavailable means that no connection could be opened or that the API answered with
	// 5xx. In the second case it may have executed the call.
	ErrAPIUnavailable = errors.New("edge: API unavailable")
	// ErrAPIUnknownOutcome means that the call got no answer. It may be executed later.
	ErrAPIUnknownOutcome = errors.New("edge: outcome of the API call unknown")
)

// DutyCaller identifies the owner of a duty in a call.
type DutyCaller struct {
	// Holder is the name of the VM.
	Holder string
	Token  uint64
}

// CloudAPI is the interface to the platform's API. Its methods return the errors above. They do
// not repeat a call.
type CloudAPI interface {
	// ReportUsage reports how many requests began in a window, by workspace.
	ReportUsage(ctx context.Context, by DutyCaller, window int64, counts map[string]uint64) error
	// SetDesiredCount sets the desired number of engines of a service in a data centre.
	SetDesiredCount(ctx context.Context, by DutyCaller, service, dataCentre string, count int) error
}

// DutySettings configure the duties.
type DutySettings struct {
	// Names lists the duties that the routers have.
	Names []string
	// LeaseDuration is the time after which an owner that has failed is replaced.
	LeaseDuration time.Duration
	// CallsPerSecond is the number of API calls that all routers may make together.
	CallsPerSecond float64
	// ReportWindow is the length of a window of the usage report, ReportDelay the time after
	// its end at which the report is due.
	ReportWindow, ReportDelay time.Duration
}
