// Package transfer observes HTTP responses while they arrive: what has come, for how long, and
// which of them are given up before their end. A response that is given up has used its link for
// nothing, and a repetition begins at the first byte again.
package transfer

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Report describes a response that was not read to its end.
type Report struct {
	// Host and Path are those of the request.
	Host, Path string
	// Bytes is the length of the part of the body that had arrived, Length that of the whole
	// body, or -1 if the server did not name it.
	Bytes, Length int64
	// Took is the time since the request was sent.
	Took time.Duration
	// Beside is the number of other bodies that were being read at the end.
	Beside int
	Err    error
}

// Stats counts the responses of a Transport. It is safe for concurrent use.
type Stats struct {
	// Begun and GivenUp count bodies of which a part arrived, and those of them that were not
	// read to their end. Bytes counts what arrived in all, and BytesGivenUp in the latter.
	Begun, GivenUp, Bytes, BytesGivenUp atomic.Int64
}

// Transport is an http.RoundTripper that observes its responses.
type Transport struct {
	base   http.RoundTripper
	stats  *Stats
	report func(Report)
	active atomic.Int64
}

// NewTransport returns a Transport that sends requests by base and counts their responses in
// stats. report is called for each body that is given up after a part of it has arrived; it must
// not block.
func NewTransport(base http.RoundTripper, stats *Stats, report func(Report)) *Transport {
	return &Transport{base: base, stats: stats, report: report}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	started := time.Now()
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, transport: t, request: request, length: response.ContentLength, started: started}
	return response, nil
}

// body is the observed body of a response. It must not be used concurrently.
type body struct {
	io.ReadCloser
	transport *Transport
	request   *http.Request
	length    int64
	started   time.Time

	read   int64
	err    error
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if b.read == 0 {
			b.transport.stats.Begun.Add(1)
			b.transport.active.Add(1)
		}
		b.read += int64(n)
		b.transport.stats.Bytes.Add(int64(n))
	}
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer. It reports a body that was not read to its end.
func (b *body) Close() error {
	if !b.closed && b.read > 0 {
		beside := b.transport.active.Add(-1)
		if !b.complete() {
			b.giveUp(int(beside))
		}
	}
	b.closed = true
	return b.ReadCloser.Close()
}

// complete reports whether the whole body was read.
func (b *body) complete() bool { return errors.Is(b.err, io.EOF) || b.read == b.length }

func (b *body) giveUp(beside int) {
	b.transport.stats.GivenUp.Add(1)
	b.transport.stats.BytesGivenUp.Add(b.read)
	b.transport.report(Report{
		Host: b.request.URL.Host, Path: b.request.URL.Path, Bytes: b.read, Length: b.length,
		Took: time.Since(b.started), Beside: beside, Err: b.err,
	})
}
