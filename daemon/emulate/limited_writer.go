package emulate

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// errReset: the connection was reset by a fault.
var errReset = errors.New("emulate: connection reset by fault")

// limitedWriter writes a response and resets the connection after a number of
// body bytes; a negative limit means none. Each write is flushed.
type limitedWriter struct {
	http.ResponseWriter
	request *http.Request
	left    int
	limited bool
}

func newLimitedWriter(c echo.Context, limit int) *limitedWriter {
	return &limitedWriter{
		ResponseWriter: c.Response(),
		request:        c.Request(),
		left:           limit,
		limited:        limit >= 0,
	}
}

// Write writes and flushes p up to the limit.
func (w *limitedWriter) Write(p []byte) (int, error) {
	cut := w.limited && len(p) >= w.left
	if cut {
		p = p[:w.left]
	}
	n, err := w.ResponseWriter.Write(p)
	w.left -= n
	if err == nil {
		err = http.NewResponseController(w.ResponseWriter).Flush()
	}
	if err != nil {
		return n, trace.Wrap(err)
	}
	if cut {
		return n, w.abort()
	}
	return n, nil
}

// abort resets the connection.
func (w *limitedWriter) abort() error {
	resetConn(w.request)
	return errReset
}

// event writes v as one server-sent event.
func (w *limitedWriter) event(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	line := append([]byte("data: "), body...)
	_, err = w.Write(append(line, '\n', '\n'))
	return err
}
