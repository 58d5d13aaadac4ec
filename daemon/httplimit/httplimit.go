// Package httplimit bounds the memory that HTTP messages take: responses (Transport), which many
// clients, among them the generated ones of package rpc, read whole although the process at an
// address may be faulty, or another one by now, and send bytes without end; and requests (Intake),
// whose clients may hold back their end.
package httplimit

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// MaxHeaderBytes bounds the head of a response in bytes. Base transports of Transport set it
	// as their MaxResponseHeaderBytes.
	MaxHeaderBytes = 64 << 10
	// uncountedBytes of each response are not taken from the budget, so that ordinary responses
	// arrive while long ones use it up.
	uncountedBytes = 64 << 10
)

// Errors of reading a response. Callers test them with errors.Is.
var (
	// ErrTooLong means that a body is longer than Transport.MaxBytes.
	ErrTooLong = errors.New("httplimit: response too long")
	// ErrNoRoom means that the messages that are being read have used up the budget.
	ErrNoRoom = errors.New("httplimit: too many bytes of messages")
)

// Budget bounds the bytes of all responses that are held at once. It is safe for concurrent use.
type Budget struct {
	// Max is the bound in bytes.
	Max  int64
	used atomic.Int64
}

// Take reserves n bytes, or returns false if there is no room for them.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) <= b.Max {
		return true
	}
	b.used.Add(-n)
	return false
}

// Return gives back bytes that were taken.
func (b *Budget) Return(n int64) { b.used.Add(-n) }

// Transport is an http.RoundTripper whose responses are bounded.
type Transport struct {
	base     http.RoundTripper
	maxBytes int64
	budget   *Budget
}

// NewTransport returns a Transport that sends requests by base. A body of more than maxBytes
// ends with ErrTooLong, and any body with ErrNoRoom once the budget is used up.
func NewTransport(base http.RoundTripper, maxBytes int64, budget *Budget) *Transport {
	return &Transport{base: base, maxBytes: maxBytes, budget: budget}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > t.maxBytes {
		response.Body.Close()
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, response.ContentLength)
	}
	response.Body = &body{ReadCloser: response.Body, transport: t}
	return response, nil
}

// body is the bounded body of a response.
type body struct {
	io.ReadCloser
	transport *Transport
	read      int64
	// reserved is what was taken from the budget.
	reserved int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.read > b.transport.maxBytes {
		return 0, ErrTooLong
	}
	if more := b.read - uncountedBytes - b.reserved; more > 0 {
		if !b.transport.budget.Take(more) {
			return 0, ErrNoRoom
		}
		b.reserved += more
	}
	return n, err
}

// Close implements io.Closer. It returns what the body took from the budget.
func (b *body) Close() error {
	b.transport.budget.Return(b.reserved)
	b.reserved = 0
	return b.ReadCloser.Close()
}
