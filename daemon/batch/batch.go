// Package batch joins small writes, such as log lines, to save system calls.
package batch

import (
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxDelay is how long a write may wait. A process that is killed loses the
	// lines of that time.
	maxDelay = 50 * time.Millisecond
	// maxBytes is the size in bytes from which what waits is written at once.
	maxBytes = 32 << 10
)

// Writer collects writes and passes them on together. It is safe for concurrent
// use. The error of a delayed write is returned by a later call.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	waiting bool
	closed  bool
	err     error
}

// NewWriter returns a Writer in front of out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write implements io.Writer. It blocks while out does.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = append(w.buffer, p...)
	if w.closed || len(w.buffer) >= maxBytes {
		w.flush()
	} else if !w.waiting {
		w.waiting = true
		time.AfterFunc(maxDelay, w.flushLater)
	}
	return len(p), w.takeError()
}

// Close writes what waits. Later writes are passed on at once.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.flush()
	return w.takeError()
}

func (w *Writer) flushLater() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	w.flush()
}

func (w *Writer) flush() {
	if len(w.buffer) == 0 {
		return
	}
	_, err := w.out.Write(w.buffer)
	if err != nil {
		w.err = trace.Wrap(err)
	}
	w.buffer = w.buffer[:0]
}

func (w *Writer) takeError() error {
	err := w.err
	w.err = nil
	return err
}
