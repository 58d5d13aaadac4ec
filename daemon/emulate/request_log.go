package emulate

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// maxStarts bounds the number of logged starts. When it is reached, the older half
// is dropped.
const maxStarts = 200_000

// RequestStart records that a backend server accepted a request.
type RequestStart struct {
	// UnixMs is the time at which the request arrived, in Unix milliseconds.
	UnixMs int64 `json:"unix_ms"`
	// Model and Prompt are model@version and PromptHash of a model request.
	Model  string `json:"model,omitempty"`
	Prompt string `json:"prompt,omitempty"`
	// Ref is the reference of a booking.
	Ref string `json:"ref,omitempty"`
}

// Overload records that a backend server crashed from overload.
type Overload struct {
	UnixMs int64 `json:"unix_ms"`
	// Held is the number of running and waiting requests, and Limit the largest
	// number that the backend server could handle at that time.
	Held  int `json:"held"`
	Limit int `json:"limit"`
}

// RequestLog is the response to GET /starts.
type RequestLog struct {
	Starts    []RequestStart `json:"starts"`
	Overloads []Overload     `json:"overloads"`
	// Unheeded lists the requests that arrived in spite of announcements.
	Unheeded []Unheeded `json:"unheeded"`
	// Dropped is the number of starts that are no longer in the log.
	Dropped int `json:"dropped"`
}

// requestLog is the log of one backend server. Its content survives crashes.
type requestLog struct {
	mu      sync.Mutex
	entries RequestLog
}

func (l *requestLog) add(s RequestStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries.Starts) == maxStarts {
		const dropped = maxStarts / 2
		l.entries.Starts = append(l.entries.Starts[:0], l.entries.Starts[dropped:]...)
		l.entries.Dropped += dropped
	}
	l.entries.Starts = append(l.entries.Starts, s)
}

func (l *requestLog) addOverload(held, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries.Overloads = append(l.entries.Overloads, Overload{UnixMs: time.Now().UnixMilli(), Held: held, Limit: limit})
}

// serve returns the handler of GET /starts.
func (l *requestLog) serve(announced *announcements) echo.HandlerFunc {
	return func(c echo.Context) error {
		out := l.copy()
		out.Unheeded = announced.unheededRequests()
		return c.JSON(http.StatusOK, out)
	}
}

// copy returns a copy of the entries.
func (l *requestLog) copy() RequestLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	return RequestLog{
		Starts:    append([]RequestStart{}, l.entries.Starts...),
		Overloads: append([]Overload{}, l.entries.Overloads...),
		Dropped:   l.entries.Dropped,
	}
}
