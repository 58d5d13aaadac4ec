package emulate

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// errInjectedReset is returned after a fault has reset the connection.
var errInjectedReset = errors.New("emulate: connection reset by fault")

// limitedWriter writes a response, flushes each write and resets the connection
// after a given number of body bytes; a negative limit means no reset.
type limitedWriter struct {
	http.ResponseWriter
	request   *http.Request
	remaining int
	limited   bool
}

func newLimitedWriter(c echo.Context, limit int) *limitedWriter {
	return &limitedWriter{
		ResponseWriter: c.Response(),
		request:        c.Request(),
		remaining:      limit,
		limited:        limit >= 0,
	}
}

// Write writes and flushes p up to the limit, where it resets the connection.
func (w *limitedWriter) Write(p []byte) (int, error) {
	reset := w.limited && len(p) >= w.remaining
	if reset {
		p = p[:w.remaining]
	}
	n, err := w.ResponseWriter.Write(p)
	w.remaining -= n
	if err == nil {
		err = http.NewResponseController(w.ResponseWriter).Flush()
	}
	if err != nil {
		return n, trace.Wrap(err)
	}
	if reset {
		return n, w.abort()
	}
	return n, nil
}

// abort resets the connection.
func (w *limitedWriter) abort() error {
	resetConn(w.request)
	return errInjectedReset
}

// writeEvent writes v as one server-sent event.
func (w *limitedWriter) writeEvent(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	line := append([]byte("data: "), body...)
	_, err = w.Write(append(line, '\n', '\n'))
	return err
}
