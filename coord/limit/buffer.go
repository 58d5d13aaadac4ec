package limit

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

var (
	// ErrNoBufferSpace is returned by Open when the reserve of one more buffer
	// would exceed the bound of the workspace or the process.
	ErrNoBufferSpace = errors.New("limit: no buffer space left")
	// ErrDiscarded is returned to the writer when the reader has gone.
	ErrDiscarded = errors.New("limit: the reader has gone")
	// ErrInvalidBufferConfig is returned for bounds that are not usable.
	ErrInvalidBufferConfig = errors.New("limit: bad buffer bounds")
)

// BufferConfig are bounds in bytes. Each bound includes the reserves:
// 0 < Reserve <= PerRequest <= PerWorkspace <= PerProcess.
type BufferConfig struct {
	// Reserve is set aside for each open buffer. It keeps a fast reader going when
	// slow readers use all of the rest.
	Reserve int64
	// PerRequest bounds one buffer.
	PerRequest int64
	// PerWorkspace bounds the buffers of one workspace.
	PerWorkspace int64
	// PerProcess bounds all buffers.
	PerProcess int64
}

// BufferPool hands out bounded buffers between engine streams and callers. It is
// safe for concurrent use.
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

// NewBufferPool returns an empty set of buffers.
func NewBufferPool(cfg BufferConfig) (*BufferPool, error) {
	ordered := cfg.Reserve > 0 && cfg.Reserve <= cfg.PerRequest &&
		cfg.PerRequest <= cfg.PerWorkspace && cfg.PerWorkspace <= cfg.PerProcess
	if !ordered {
		return nil, ErrInvalidBufferConfig
	}
	return &BufferPool{cfg: cfg, workspaces: make(map[string]*bufferWorkspace)}, nil
}

// Used returns the bytes accounted for, with reserves; 0 when no buffer is open.
func (b *BufferPool) Used() int64 { return b.used.Load() }

// WorkspaceUsed returns the bytes accounted for in one workspace.
func (b *BufferPool) WorkspaceUsed(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.workspaces[name]
	if w == nil {
		return 0
	}
	return w.used.Load()
}

// Open returns a buffer for one request with its reserve, or ErrNoBufferSpace.
// The reader must call Discard when it ends, on each path.
func (b *BufferPool) Open(name string) (*Buffer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.workspaces[name]
	if w == nil {
		w = &bufferWorkspace{name: name}
	}
	if take(&w.used, b.cfg.Reserve, b.cfg.PerWorkspace) < b.cfg.Reserve {
		return nil, ErrNoBufferSpace
	}
	if take(&b.used, b.cfg.Reserve, b.cfg.PerProcess) < b.cfg.Reserve {
		w.used.Add(-b.cfg.Reserve)
		return nil, ErrNoBufferSpace
	}
	w.open++
	b.workspaces[name] = w
	return &Buffer{
		pool:      b,
		workspace: w,
		space:     make(chan struct{}, 1),
		data:      make(chan struct{}, 1),
	}, nil
}

// take adds n to counter if that stays within bound. A smaller n than asked is
// never taken; it returns n or 0.
func take(counter *atomic.Int64, n, bound int64) int64 {
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

// takeShared takes up to n bytes beyond the reserves and returns how many.
func (b *BufferPool) takeShared(w *bufferWorkspace, n int64) int64 {
	n = min(n, b.cfg.PerWorkspace-w.used.Load(), b.cfg.PerProcess-b.used.Load())
	if n <= 0 || take(&w.used, n, b.cfg.PerWorkspace) == 0 {
		return 0
	}
	if take(&b.used, n, b.cfg.PerProcess) == 0 {
		w.used.Add(-n)
		return 0
	}
	return n
}

func (b *BufferPool) giveBack(w *bufferWorkspace, n int64) {
	w.used.Add(-n)
	b.used.Add(-n)
}

func (b *BufferPool) close(w *bufferWorkspace) {
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
// A writer waits only while its buffer holds at least the reserve, so its own
// reader always wakes it; space freed by other requests needs no wake-up.
type Buffer struct {
	pool      *BufferPool
	workspace *bufferWorkspace
	// space and data are wake-ups of the writer and of the reader.
	space chan struct{}
	data  chan struct{}

	mu     sync.Mutex
	chunks [][]byte
	// held counts bytes put and not yet released; inHand is the part that the last
	// Take returned, which the reader may still be sending.
	held   int64
	inHand int64
	// shared is the part of held that is taken beyond the reserve.
	shared    int64
	closed    bool
	err       error
	discarded bool
}

// Put copies p into the buffer and blocks while a bound is reached. It may split
// p into several chunks. It returns ErrDiscarded when the reader has gone and
// ctx.Err() when ctx ends; then a part of p may be in the buffer.
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
		case <-b.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (b *Buffer) tryPut(p []byte) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded || b.closed {
		return 0, ErrDiscarded
	}
	cfg := b.pool.cfg
	want := min(int64(len(p)), cfg.PerRequest-b.held)
	own := min(want, max(cfg.Reserve-(b.held-b.shared), 0))
	extra := b.pool.takeShared(b.workspace, want-own)
	n := own + extra
	if n == 0 {
		return 0, nil
	}
	b.held += n
	b.shared += extra
	b.chunks = append(b.chunks, append([]byte(nil), p[:n]...))
	wake(b.data)
	return n, nil
}

// Close ends the stream: after the remaining chunks, Take returns err, or io.EOF
// when err is nil.
func (b *Buffer) Close(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.err = err
	wake(b.data)
}

// Take returns the next chunk and blocks while there is none. The chunk counts
// against the bounds until the next Take or Discard, as the reader holds it while
// it sends it. Take returns io.EOF or the error of Close at the end.
func (b *Buffer) Take(ctx context.Context) ([]byte, error) {
	for {
		chunk, err, ready := b.tryTake()
		if ready {
			return chunk, err
		}
		select {
		case <-b.data:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (b *Buffer) tryTake() (chunk []byte, err error, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(b.inHand)
	b.inHand = 0
	if len(b.chunks) > 0 {
		chunk = b.chunks[0]
		b.chunks[0] = nil
		b.chunks = b.chunks[1:]
		b.inHand = int64(len(chunk))
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

// release gives back n bytes, shared ones first, and wakes the writer.
func (b *Buffer) release(n int64) {
	if n == 0 {
		return
	}
	b.held -= n
	shared := min(n, b.shared)
	b.shared -= shared
	b.pool.giveBack(b.workspace, shared)
	wake(b.space)
}

// Discard ends the reader: it drops what is left, gives back all bytes with the
// reserve, and makes the writer fail. Further calls do nothing.
func (b *Buffer) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded {
		return
	}
	b.discarded = true
	b.chunks = nil
	b.inHand = 0
	b.release(b.held)
	b.pool.giveBack(b.workspace, b.pool.cfg.Reserve)
	b.pool.close(b.workspace)
	wake(b.space)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
