package soak

import (
	"time"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/result"
)

// Evidence is everything that a run recorded. The checks are functions of it.
type Evidence struct {
	Began time.Time
	// FaultsEnd is when the last fault was healed, LoadEnd when the last request
	// was sent and Ended when the last record was taken.
	FaultsEnd time.Time
	LoadEnd   time.Time
	Ended     time.Time
	Calls     []Call
	Faults    []Interval
	Accepted  []Accepted
	Samples   []Sample
	Exits     []Exit
	Stops     []Stop
	Attempts  []Attempt
	Stopped   []StoppedVersion
	Races     []Race
	Leaving   []Interval
	// Starts and Effects are the records of the backend servers by VM.
	Starts  map[string]emulate.RequestLog
	Effects map[string]emulate.Effects
	Ledger  ledger.AuditReport
	// DataCentre is the data centre of each VM.
	DataCentre map[string]string
	Routers    []string
}

// Outcome says how a call ended for its caller.
type Outcome string

// Outcomes of a call. A refusal or error of the router is OutcomeError.
const (
	OutcomeOK    Outcome = "ok"
	OutcomeError Outcome = "error"
	// OutcomeCut: the answer ended early without an error event.
	OutcomeCut   Outcome = "cut"
	OutcomeWrong Outcome = "wrong_answer"
	// OutcomeRefused: no connection was made.
	OutcomeRefused Outcome = "connection_refused"
	// OutcomeTransport: the connection broke before the response.
	OutcomeTransport Outcome = "transport"
	OutcomeTimeout   Outcome = "timeout"
	// OutcomeLeft: the caller closed the connection on purpose.
	OutcomeLeft Outcome = "caller_left"
)

// Call is one HTTP request of a caller.
type Call struct {
	// Ref names the caller's intent; repeated calls share it.
	Ref       string
	Class     string
	Booking   bool
	Workspace string
	Session   string
	Router    string
	Key       string
	// RequestID is in hex; empty when the caller can't know it.
	RequestID string
	// Prompt is the hash that engines record.
	Prompt  string
	Started time.Time
	Ended   time.Time
	Outcome Outcome
	Status  int
	Code    string
	Run     result.Run
	// Asked is the model of the request, Answered is model@version.
	Asked    string
	Answered string
	// Moved is the header that announces a new version of the session.
	Moved  string
	Detail string
}

// Interval is a time during which something held for a target.
type Interval struct {
	Kind   Kind
	Target string
	From   time.Time
	To     time.Time
}

func (i Interval) overlaps(from, to time.Time) bool { return !i.From.After(to) && !i.To.Before(from) }

// Accepted is a configuration in the store. It was accepted after Earliest and
// not later than At.
type Accepted struct {
	Earliest time.Time
	At       time.Time
	Version  uint64
	Bundle   *bundle.Bundle
}

// Sample is what a process reported of itself.
type Sample struct {
	Process string
	// Run counts the starts of the process.
	Run        int
	At         time.Time
	Version    uint64
	Violations []string
}

// Exit is the end of a process.
type Exit struct {
	Process string
	Run     int
	At      time.Time
	Code    int
	// Expected: the run killed the process or asked it to stop.
	Expected bool
	// Log is the end of its log.
	Log string
}

// Stop is a planned stop.
type Stop struct {
	Process string
	At      time.Time
	Ended   time.Time
	// Killed: the stop took longer than the bound.
	Killed bool
}

// Attempt is a router's log line of an attempt at an agent, written at its end.
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
	At    time.Time
	Codes [2]int
	// StoreUp: the store had no fault during the race.
	StoreUp bool
}

// Violation is a broken guarantee.
type Violation struct {
	// Check is the name of the check.
	Check  string `json:"check"`
	Detail string `json:"detail"`
	// Request is the id of the request, if there is one.
	Request string `json:"request,omitempty"`
	// Log holds log lines about the request or the process.
	Log []string `json:"log,omitempty"`
}
