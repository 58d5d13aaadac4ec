// Package batch combines small writes, such as log lines, into larger ones to save system
// calls.
package batch

import (
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxDelay is how long data may stay in the buffer. A process that is killed loses
	// the data of that time.
	maxDelay = 50 * time.Millisecond
	// maxBytes is the size from which the buffer is flushed immediately.
	maxBytes = 32 << 10
)

// Writer buffers writes and passes them on together. It is safe for concurrent use. The
// error of a delayed write is returned by a later call.
type Writer struct {
	out io.Writer

	mu     sync.Mutex
	buffer []byte
	// flushPending is true while a timer is set to flush the buffer.
	flushPending bool
	closed       bool
	err          error
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write implements io.Writer. It blocks while a write to out blocks.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = append(w.buffer, p...)
	if w.closed || len(w.buffer) >= maxBytes {
		w.flush()
	} else if !w.flushPending {
		w.flushPending = true
		time.AfterFunc(maxDelay, w.flushLater)
	}
	return len(p), w.takeError()
}

// Close flushes the buffer. Later writes are passed on immediately.
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
	w.flushPending = false
	w.flush()
}

// flush writes the buffer to out. The caller holds w.mu.
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
