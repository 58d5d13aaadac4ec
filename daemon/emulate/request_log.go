package emulate

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// maxStarts bounds the record of starts; the oldest ones are dropped.
const maxStarts = 200_000

// RequestStart records that a backend server took a request.
type RequestStart struct {
	// UnixMs is the time at which the request arrived, in ms since 1970.
	UnixMs int64 `json:"unix_ms"`
	// Model and Prompt are model@version and PromptHash of a model request.
	Model  string `json:"model,omitempty"`
	Prompt string `json:"prompt,omitempty"`
	// Ref is the reference of a booking.
	Ref string `json:"ref,omitempty"`
}

// Overload records that a backend server fell over.
type Overload struct {
	UnixMs int64 `json:"unix_ms"`
	// Held is the number of requests that it held and Limit the number that it
	// survives at that time.
	Held  int `json:"held"`
	Limit int `json:"limit"`
}

// RequestLog is the answer of GET /starts.
type RequestLog struct {
	Starts    []RequestStart `json:"starts"`
	Overloads []Overload     `json:"overloads"`
	// Dropped is the number of starts that are no longer in the record.
	Dropped int `json:"dropped"`
}

// startLog keeps the record of one backend server. It outlasts a crash.
type startLog struct {
	mu  sync.Mutex
	all RequestLog
}

func (l *startLog) add(s RequestStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.all.Starts) == maxStarts {
		const dropped = maxStarts / 2
		l.all.Starts = append(l.all.Starts[:0], l.all.Starts[dropped:]...)
		l.all.Dropped += dropped
	}
	l.all.Starts = append(l.all.Starts, s)
}

func (l *startLog) overload(held, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.Overloads = append(l.all.Overloads, Overload{UnixMs: time.Now().UnixMilli(), Held: held, Limit: limit})
}

func (l *startLog) serve(c echo.Context) error {
	l.mu.Lock()
	out := RequestLog{
		Starts:    append([]RequestStart{}, l.all.Starts...),
		Overloads: append([]Overload{}, l.all.Overloads...),
		Dropped:   l.all.Dropped,
	}
	l.mu.Unlock()
	return c.JSON(http.StatusOK, out)
}
