package soak

import (
	"time"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/result"
)

// History is everything that a run recorded. The checks are functions of it.
type History struct {
	LoadStart time.Time
	// FaultsEnd is when the last fault was cleared, LoadEnd when the load ended
	// and Ended when the last record was collected.
	FaultsEnd       time.Time
	LoadEnd         time.Time
	Ended           time.Time
	Calls           []Call
	Faults          []Interval
	Configurations  []AcceptedConfiguration
	Samples         []Sample
	Exits           []Exit
	PlannedStops    []PlannedStop
	Attempts        []Attempt
	StoppedVersions []StoppedVersion
	Races           []Race
	LeavingVMs      []Interval
	// Starts and Effects are the records of the backend servers, by VM.
	Starts  map[string]emulate.RequestLog
	Effects map[string]emulate.Effects
	Ledger  ledger.AuditReport
	// DataCentre maps each VM to its data centre.
	DataCentre map[string]string
	Routers    []string
}

// Outcome is how a call ended for its caller.
type Outcome string

// Outcomes of a call. Refusals and errors that a router returned are
// OutcomeError.
const (
	OutcomeOK    Outcome = "ok"
	OutcomeError Outcome = "error"
	// OutcomeTruncated: the answer ended early without an error event.
	OutcomeTruncated   Outcome = "cut"
	OutcomeWrongAnswer Outcome = "wrong_answer"
	// OutcomeConnectionRefused: no connection was made.
	OutcomeConnectionRefused Outcome = "connection_refused"
	// OutcomeTransportError: the connection broke before the response.
	OutcomeTransportError Outcome = "transport"
	OutcomeTimeout        Outcome = "timeout"
	// OutcomeClientClosed: the caller closed the connection on purpose.
	OutcomeClientClosed Outcome = "caller_left"
)

// Call is one HTTP request of a caller.
type Call struct {
	// Ref identifies the request; its retries share it.
	Ref       string
	Class     string
	Booking   bool
	Workspace string
	Session   string
	Router    string
	Key       string
	// RequestID is in hex. It is empty when the caller can't know it.
	RequestID string
	// Prompt is the hash of the prompt, as engines record it.
	Prompt  string
	Started time.Time
	Ended   time.Time
	Outcome Outcome
	Status  int
	Code    string
	Run     result.Run
	// RequestedModel is the model of the request and ServedModel the model@version
	// that answered.
	RequestedModel string
	ServedModel    string
	// SessionMoved is the response header that announces a new version for the
	// session.
	SessionMoved string
	Detail       string
}

// Interval is a time during which a fault or state applied to a target.
type Interval struct {
	Kind   Kind
	Target string
	From   time.Time
	To     time.Time
}

func (i Interval) overlaps(from, to time.Time) bool { return !i.From.After(to) && !i.To.Before(from) }

// AcceptedConfiguration is a configuration in the store. It was accepted after
// Earliest and no later than At.
type AcceptedConfiguration struct {
	Earliest time.Time
	At       time.Time
	Version  uint64
	Bundle   *bundle.Bundle
}

// Sample is what a process reported in its metrics.
type Sample struct {
	Process string
	// Incarnation counts the restarts of the process.
	Incarnation int
	At          time.Time
	Version     uint64
	Violations  []string
}

// Exit is the end of a process.
type Exit struct {
	Process     string
	Incarnation int
	At          time.Time
	Code        int
	// Expected: the run killed the process or asked it to stop.
	Expected bool
	// Log is the end of its log.
	Log string
}

// PlannedStop is a planned stop of a process by the run.
type PlannedStop struct {
	Process string
	At      time.Time
	Ended   time.Time
	// Killed: the process exceeded stopTimeout.
	Killed bool
}

// Attempt is a router's log entry about an attempt at an agent, written at its
// end.
type Attempt struct {
	Router    string
	At        time.Time
	RequestID string
	Step      uint32
	VM        string
	Target    string
	// Code is 0 for a complete answer.
	Code   int
	Result string
}

// StoppedVersion is a version that the sequential test stopped.
type StoppedVersion struct {
	Model   string
	Version string
}

// Race is a pair of proposals made from the same configuration.
type Race struct {
	At        time.Time
	ExitCodes [2]int
	// StoreHealthy: the store had no fault during the race.
	StoreHealthy bool
}

// Violation is a violated guarantee.
type Violation struct {
	// Check is the name of the check.
	Check  string `json:"check"`
	Detail string `json:"detail"`
	// Request is the request ID, if the violation concerns a single request.
	Request string `json:"request,omitempty"`
	// Log holds log lines about the request or the process.
	Log []string `json:"log,omitempty"`
}
