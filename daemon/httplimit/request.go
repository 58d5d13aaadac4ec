package httplimit

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"cactusknot.example/daemon/result"
)

const (
	// unreadBodyTime is how long the rest of a body is awaited whose request is refused. Clients
	// that have sent it all keep their connection.
	unreadBodyTime = time.Second
	// maxUnreadBody is the announced length in bytes up to which the rest of a body is awaited. The
	// standard library reads no more of it.
	maxUnreadBody = 256 << 10
)

// RequestBody is the body of a request at a server, in the memory of an Intake.
type RequestBody struct {
	writer  http.ResponseWriter
	request *http.Request
	message *Message
	// read is set once nothing is left to be read.
	read bool
}

// NewRequestBody returns the body of a request that is answered by w.
func NewRequestBody(w http.ResponseWriter, r *http.Request) *RequestBody {
	return &RequestBody{writer: w, request: r, read: r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0}
}

// Read reads the whole body until a deadline. Its errors are ErrTooLong, ErrNoRoom, ErrEvicted and
// those of the connection. The memory is held until Release, or until Read fails.
func (b *RequestBody) Read(intake *Intake, deadline time.Time, maxBytes int64) ([]byte, error) {
	if b.read {
		return nil, nil
	}
	if n := b.request.ContentLength; n > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	conn := http.NewResponseController(b.writer)
	// A server that supports no deadlines reads from no connection.
	if err := conn.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	b.message = intake.Begin(time.Now(), func() { _ = conn.SetReadDeadline(time.Now()) })
	body, err := b.message.ReadAll(b.request.Body, b.request.ContentLength, maxBytes)
	if err != nil {
		b.message.End()
		return nil, fmt.Errorf("after %d bytes: %w", len(body), err)
	}
	if int64(len(body)) > maxBytes {
		b.message.End()
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, maxBytes)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	b.read = true
	return body, nil
}

// Release gives back the memory of the body, which must not be used any more.
func (b *RequestBody) Release() {
	if b.message != nil {
		b.message.End()
	}
}

// Abandon prepares for a response before the body has been read to its end. net/http would await up
// to maxUnreadBody of it without a bound on the time, before it sends the response if the connection
// is kept.
func (b *RequestBody) Abandon() {
	if b.read {
		return
	}
	if n := b.request.ContentLength; b.message != nil || n < 0 || n > maxUnreadBody {
		b.writer.Header().Set("Connection", "close")
	}
	// An error means that the connection has ended.
	_ = http.NewResponseController(b.writer).SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// ResultOf returns the result for an error of RequestBody.Read. broken is the code for a body that
// broke off or does not follow the protocol.
func ResultOf(err error, broken result.Code) *result.Error {
	switch {
	case errors.Is(err, ErrTooLong):
		return result.TooLarge.With("%v", err)
	case errors.Is(err, ErrNoRoom):
		return result.NoMemory.With("%v", err)
	case errors.Is(err, ErrEvicted), errors.Is(err, os.ErrDeadlineExceeded):
		return result.RequestTimeout.With("%v", err)
	}
	return broken.With("body: %v", err)
}
