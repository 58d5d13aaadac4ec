package limit

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

var (
	// ErrNoBufferSpace is returned by Open when the reserve of one more buffer would
	// exceed the bound of the workspace or of the process. The router sends its text to
	// callers.
	ErrNoBufferSpace = errors.New("limit: no buffer space left")
	// ErrDiscarded is returned by Put after Discard or Close.
	ErrDiscarded = errors.New("limit: buffer discarded or closed")
	// ErrInvalidBufferConfig is returned for bounds that break the order that
	// BufferConfig demands.
	ErrInvalidBufferConfig = errors.New("limit: invalid buffer bounds")
)

// BufferConfig holds the bounds in bytes. Each bound includes the reserves:
// 0 < Reserve <= PerRequest <= PerWorkspace <= PerProcess.
type BufferConfig struct {
	// Reserve is set aside for each open buffer. It lets fast readers continue when
	// slow readers use all of the shared space.
	Reserve int64
	// PerRequest bounds one buffer.
	PerRequest int64
	// PerWorkspace bounds the buffers of one workspace.
	PerWorkspace int64
	// PerProcess bounds all buffers.
	PerProcess int64
}

// BufferPool opens bounded buffers between engine streams and callers, and accounts
// for their bytes per workspace and per process. It is safe for concurrent use.
type BufferPool struct {
	cfg  BufferConfig
	used atomic.Int64

	mu         sync.Mutex
	workspaces map[string]*bufferWorkspace
}

type bufferWorkspace struct {
	name string
	used atomic.Int64
	open int
}

// NewBufferPool returns a pool without open buffers.
func NewBufferPool(cfg BufferConfig) (*BufferPool, error) {
	ordered := cfg.Reserve > 0 && cfg.Reserve <= cfg.PerRequest &&
		cfg.PerRequest <= cfg.PerWorkspace && cfg.PerWorkspace <= cfg.PerProcess
	if !ordered {
		return nil, ErrInvalidBufferConfig
	}
	return &BufferPool{cfg: cfg, workspaces: make(map[string]*bufferWorkspace)}, nil
}

// Used returns the bytes in use, including the reserves; 0 when no buffer is open.
func (b *BufferPool) Used() int64 { return b.used.Load() }

// WorkspaceUsed returns the bytes in use by one workspace, including the reserves.
func (b *BufferPool) WorkspaceUsed(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.workspaces[name]
	if w == nil {
		return 0
	}
	return w.used.Load()
}

// Open reserves space for one request of the named workspace and returns its buffer,
// or ErrNoBufferSpace. The reader must call Discard when it ends, whatever the outcome.
func (b *BufferPool) Open(name string) (*Buffer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.workspaces[name]
	if w == nil {
		w = &bufferWorkspace{name: name}
	}
	if tryAdd(&w.used, b.cfg.Reserve, b.cfg.PerWorkspace) < b.cfg.Reserve {
		return nil, ErrNoBufferSpace
	}
	if tryAdd(&b.used, b.cfg.Reserve, b.cfg.PerProcess) < b.cfg.Reserve {
		w.used.Add(-b.cfg.Reserve)
		return nil, ErrNoBufferSpace
	}
	w.open++
	b.workspaces[name] = w
	return &Buffer{
		pool:       b,
		workspace:  w,
		spaceFreed: make(chan struct{}, 1),
		dataReady:  make(chan struct{}, 1),
	}, nil
}

// tryAdd adds n to counter and returns n, or returns 0 without adding anything if
// the sum would exceed bound.
func tryAdd(counter *atomic.Int64, n, bound int64) int64 {
	for {
		used := counter.Load()
		if used+n > bound {
			return 0
		}
		if counter.CompareAndSwap(used, used+n) {
			return n
		}
	}
}

// reserveShared takes up to n bytes of the space beyond the reserves and returns how
// many it took.
func (b *BufferPool) reserveShared(w *bufferWorkspace, n int64) int64 {
	n = min(n, b.cfg.PerWorkspace-w.used.Load(), b.cfg.PerProcess-b.used.Load())
	if n <= 0 || tryAdd(&w.used, n, b.cfg.PerWorkspace) == 0 {
		return 0
	}
	if tryAdd(&b.used, n, b.cfg.PerProcess) == 0 {
		w.used.Add(-n)
		return 0
	}
	return n
}

func (b *BufferPool) returnBytes(w *bufferWorkspace, n int64) {
	w.used.Add(-n)
	b.used.Add(-n)
}

// removeBuffer counts a closed buffer and drops the workspace after its last one.
func (b *BufferPool) removeBuffer(w *bufferWorkspace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.open--
	if w.open == 0 {
		delete(b.workspaces, w.name)
	}
}

// Buffer is a bounded queue of bytes between one writer and one reader. The
// writer uses Put and Close, the reader Take and Discard.
//
// Put blocks only while the buffer holds at least its reserve. Its own reader can
// therefore always unblock it, and space freed by other requests needs no
// notification.
type Buffer struct {
	pool      *BufferPool
	workspace *bufferWorkspace
	// spaceFreed notifies the writer, dataReady the reader.
	spaceFreed chan struct{}
	dataReady  chan struct{}

	mu     sync.Mutex
	chunks [][]byte
	// buffered counts the bytes that were put and not yet released. inFlight is the
	// part of them that the last Take returned; the reader may still be sending it.
	buffered int64
	inFlight int64
	// shared is the part of buffered that was taken beyond the reserve.
	shared    int64
	closed    bool
	err       error
	discarded bool
}

// Put copies p into the buffer and blocks while a bound is reached. It may split
// p into several chunks. It returns ErrDiscarded after Discard or Close, and
// ctx.Err() when ctx ends. After an error, a part of p may be in the buffer.
func (b *Buffer) Put(ctx context.Context, p []byte) error {
	for len(p) > 0 {
		if err := ctx.Err(); err != nil {
			return err
		}
		n, err := b.tryPut(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if n > 0 {
			continue
		}
		select {
		case <-b.spaceFreed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// tryPut adds as much of p as the bounds allow and returns the number of bytes.
func (b *Buffer) tryPut(p []byte) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded || b.closed {
		return 0, ErrDiscarded
	}
	cfg := b.pool.cfg
	want := min(int64(len(p)), cfg.PerRequest-b.buffered)
	fromReserve := min(want, max(cfg.Reserve-(b.buffered-b.shared), 0))
	fromShared := b.pool.reserveShared(b.workspace, want-fromReserve)
	n := fromReserve + fromShared
	if n == 0 {
		return 0, nil
	}
	b.buffered += n
	b.shared += fromShared
	b.chunks = append(b.chunks, append([]byte(nil), p[:n]...))
	notify(b.dataReady)
	return n, nil
}

// Close ends the stream: after the remaining chunks, Take returns err, or io.EOF
// if err is nil.
func (b *Buffer) Close(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.err = err
	notify(b.dataReady)
}

// Take returns the next chunk and blocks while there is none. The chunk counts
// against the bounds until the next Take or Discard, because it stays in memory while
// the reader sends it. At the end of the stream, Take returns io.EOF or the error that
// was passed to Close.
func (b *Buffer) Take(ctx context.Context) ([]byte, error) {
	for {
		chunk, err, ready := b.tryTake()
		if ready {
			return chunk, err
		}
		select {
		case <-b.dataReady:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (b *Buffer) tryTake() (chunk []byte, err error, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(b.inFlight)
	b.inFlight = 0
	if len(b.chunks) > 0 {
		chunk = b.chunks[0]
		b.chunks[0] = nil
		b.chunks = b.chunks[1:]
		b.inFlight = int64(len(chunk))
		return chunk, nil, true
	}
	if !b.closed {
		return nil, nil, false
	}
	if b.err != nil {
		return nil, b.err, true
	}
	return nil, io.EOF, true
}

// release frees n bytes, shared ones first, and notifies the writer.
func (b *Buffer) release(n int64) {
	if n == 0 {
		return
	}
	b.buffered -= n
	shared := min(n, b.shared)
	b.shared -= shared
	b.pool.returnBytes(b.workspace, shared)
	notify(b.spaceFreed)
}

// Discard closes the buffer from the reader's side: it drops the remaining chunks,
// frees all bytes including the reserve, and makes Put fail. Further calls do nothing.
func (b *Buffer) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded {
		return
	}
	b.discarded = true
	b.chunks = nil
	b.inFlight = 0
	b.release(b.buffered)
	b.pool.returnBytes(b.workspace, b.pool.cfg.Reserve)
	b.pool.removeBuffer(b.workspace)
	notify(b.spaceFreed)
}

// notify sends to a channel of capacity 1 unless a notification is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
