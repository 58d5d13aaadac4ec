// Package progress ends responses that stay open without advancing: bytes that never
// complete a head or an event, in rapid succession or one now and then. Silence is not
// judged here, since a busy server may be silent for seconds.
package progress

import (
	"bytes"
	"errors"
	"io"
	"time"
)

// Errors of a Reader. Callers test them with errors.Is.
var (
	// ErrStalled means that data kept arriving for longer than Limits.Time without
	// progress.
	ErrStalled = errors.New("data without progress for too long")
	// ErrTooLong means that more data than Limits allows arrived without progress.
	ErrTooLong = errors.New("too much data without progress")
)

// Limits bound what may arrive without progress. A zero field means no limit.
type Limits struct {
	// Bytes and Lines bound the data. Lines may be exceeded by what one read returns.
	Bytes, Lines int
	// Time runs from the first byte after the latest progress. An item that begins
	// within the time and is completed by the next read is not cut.
	Time time.Duration
}

// Reader passes on data of a source within limits. It must not be used concurrently.
type Reader struct {
	source io.Reader
	now    func() time.Time
	limits Limits

	bytes, lines int
	// since is when the first byte after the latest progress arrived; zero if none has.
	since time.Time
}

// NewReader returns a Reader without limits. now returns the current time.
func NewReader(source io.Reader, now func() time.Time) *Reader {
	return &Reader{source: source, now: now}
}

// Begin records progress and sets the limits up to the next progress.
func (r *Reader) Begin(limits Limits) {
	r.limits = limits
	r.Made()
}

// Made records progress. What the consumer holds in buffers counts as not yet arrived.
func (r *Reader) Made() {
	r.bytes, r.lines, r.since = 0, 0, time.Time{}
}

// Read implements io.Reader. It returns ErrStalled or ErrTooLong without reading once a
// limit is reached.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.check(); err != nil {
		return 0, err
	}
	if r.limits.Bytes > 0 {
		p = p[:min(len(p), r.limits.Bytes-r.bytes)]
	}
	n, err := r.source.Read(p)
	if n > 0 && r.since.IsZero() {
		r.since = r.now()
	}
	r.bytes += n
	if r.limits.Lines > 0 {
		r.lines += bytes.Count(p[:n], []byte{'\n'})
	}
	return n, err
}

func (r *Reader) check() error {
	switch {
	case r.limits.Bytes > 0 && r.bytes >= r.limits.Bytes, r.limits.Lines > 0 && r.lines >= r.limits.Lines:
		return ErrTooLong
	case r.limits.Time > 0 && !r.since.IsZero() && r.now().Sub(r.since) > r.limits.Time:
		return ErrStalled
	}
	return nil
}
