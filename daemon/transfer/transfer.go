// Package transfer observes and bounds HTTP requests while their responses arrive. A response that
// is given up has used its link for nothing, and a repetition begins at the first byte again;
// therefore transfers end for want of progress and not by their length.
package transfer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
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

// Transport is an http.RoundTripper that observes its responses. A request that belongs to no
// Transfer is bounded by the limits of the Transport, or not at all if these are zero.
type Transport struct {
	base   http.RoundTripper
	limits Limits
	stats  *Stats
	report func(Report)
	active atomic.Int64
}

// NewTransport returns a Transport that sends requests by base and counts their responses in
// stats. report is called for each body that is given up after a part of it has arrived; it must
// not block.
func NewTransport(base http.RoundTripper, limits Limits, stats *Stats, report func(Report)) *Transport {
	return &Transport{base: base, limits: limits, stats: stats, report: report}
}

// RoundTrip implements http.RoundTripper. The error of a request or of its body that has reached
// a limit is ErrNoProgress or ErrTooLong.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	started, ctx, stop := time.Now(), request.Context(), func() {}
	if t.limits != (Limits{}) && !hasTransfer(ctx) {
		own := New(ctx, t.limits)
		ctx, stop = own.Context(), own.Stop
	}
	sent := request.WithContext(ctx)
	if request.Body != nil && request.Body != http.NoBody {
		sent.Body = &sentBody{request.Body, observersOf(ctx)}
	}
	response, err := t.base.RoundTrip(sent)
	if err != nil {
		stop()
		return nil, limitError(ctx, err)
	}
	observersOf(ctx).received(time.Now())
	response.Body = &body{
		ReadCloser: response.Body, transport: t, request: sent, stop: stop, length: response.ContentLength, started: started,
	}
	return response, nil
}

// hasTransfer reports whether a request with the context belongs to a Transfer.
func hasTransfer(ctx context.Context) bool {
	for o := observersOf(ctx); o != nil; o = o.next {
		if _, ok := o.observer.(*Transfer); ok {
			return true
		}
	}
	return false
}

// limitError returns the error of the limit that has ended ctx, or else err.
func limitError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrNoProgress) || errors.Is(cause, ErrTooLong) {
		return cause
	}
	return err
}

// sentBody is the observed body of a request.
type sentBody struct {
	io.ReadCloser
	observers *observers
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.observers.sent(time.Now())
	return n, err
}

// body is the observed body of a response.
type body struct {
	io.ReadCloser
	transport *Transport
	request   *http.Request
	// stop releases the limits that the Transport has set.
	stop    func()
	length  int64
	started time.Time

	read  int64
	err   error
	close sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.noteRead(n)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = limitError(b.request.Context(), err)
	}
	if err != nil {
		b.err = err
	}
	return n, err
}

func (b *body) noteRead(n int) {
	if b.read == 0 {
		b.transport.stats.Begun.Add(1)
		b.transport.active.Add(1)
	}
	b.read += int64(n)
	b.transport.stats.Bytes.Add(int64(n))
	observersOf(b.request.Context()).received(time.Now())
}

// Close implements io.Closer. It reports a body that was not read to its end.
func (b *body) Close() error {
	b.close.Do(func() {
		if b.read > 0 {
			beside := b.transport.active.Add(-1)
			if !b.complete() {
				b.giveUp(int(beside))
			}
		}
		b.stop()
	})
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
