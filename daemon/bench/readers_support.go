package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	// streamEventBytes and streamEvents give an answer of 384 KiB, several
	// times the memory bound of a reader plus its socket buffers.
	streamEventBytes = 4 << 10
	streamEvents     = 96
	// socketBytes is a small socket buffer size, so that the operating system
	// does not buffer the answers.
	socketBytes = 8 << 10
	// segmentBytes is a segment size that fits Ethernet. With the 64 KiB
	// segments of the loopback device the operating system reserves megabytes
	// for each connection.
	segmentBytes = 1400
)

// smallBufferListener sets a small send buffer on accepted connections.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBytes)
	}
	return conn, nil
}

// streamEngine is a model engine that streams a long answer as fast as the
// caller reads it.
type streamEngine struct {
	server   *http.Server
	listener net.Listener
	event    []byte
	// written counts the events written to connections.
	written atomic.Int64
}

func startStreamEngine() (*streamEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &streamEngine{listener: listener}
	f.event = fmt.Appendf(nil, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", strings.Repeat("x", streamEventBytes))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "loaded": []string{"small@1"}})
	})
	mux.HandleFunc("POST /v1/chat/completions", f.serveChat)
	f.server = &http.Server{Handler: mux}
	go func() { _ = f.server.Serve(smallBufferListener{listener}) }()
	return f, nil
}

func (f *streamEngine) url() string { return "http://" + f.listener.Addr().String() }

func (f *streamEngine) close() { _ = f.server.Close() }

func (f *streamEngine) serveChat(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	for range streamEvents {
		if _, err := w.Write(f.event); err != nil {
			return
		}
		f.written.Add(1)
	}
	// The answer stays open until the caller closes the connection, so that a
	// reader that has read all of it still counts.
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// slowReaders is a group of callers that read one byte per second.
type slowReaders struct {
	address string
	key     string
	conns   []net.Conn
	stop    chan struct{}
	once    sync.Once
	wait    sync.WaitGroup
}

func newSlowReaders(url, key string) *slowReaders {
	return &slowReaders{address: strings.TrimPrefix(url, "http://"), key: key, stop: make(chan struct{})}
}

// open adds readers until the group has count readers.
func (g *slowReaders) open(ctx context.Context, count int) error {
	const parallel = 128
	missing := count - len(g.conns)
	conns := make([]net.Conn, missing)
	errs := make([]error, missing)
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i := range missing {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			conns[i], errs[i] = g.dial(ctx)
		})
	}
	wg.Wait()
	for _, conn := range conns {
		if conn != nil {
			g.conns = append(g.conns, conn)
			g.wait.Go(func() { g.read(conn) })
		}
	}
	return errors.Join(errs...)
}

// dial opens a connection, sends a request and checks the status of the
// response.
func (g *slowReaders) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Control: setSmallBuffers, Timeout: 10 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", g.address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	body := `{"model":"small@1","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"hello"}]}`
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", g.key, len(body), body)
	if _, err := conn.Write([]byte(request)); err != nil {
		return conn, trace.Wrap(err)
	}
	const firstLine = len("HTTP/1.1 200")
	line := make([]byte, firstLine)
	if _, err := io.ReadFull(conn, line); err != nil {
		return conn, trace.Wrap(err)
	}
	if !bytes.HasSuffix(line, []byte(" 200")) {
		return conn, trace.Errorf("bench: reader refused: %s", line)
	}
	return conn, nil
}

// setSmallBuffers sets a small receive buffer and a segment size as on a
// network.
func setSmallBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
		if failed == nil {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// read reads one byte per second until the group is closed.
func (g *slowReaders) read(conn net.Conn) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	one := make([]byte, 1)
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			if _, err := conn.Read(one); err != nil {
				return
			}
		}
	}
}

func (g *slowReaders) close() {
	g.once.Do(func() {
		close(g.stop)
		for _, conn := range g.conns {
			_ = conn.Close()
		}
		g.wait.Wait()
	})
}

// relay is the baseline. It reads answers as fast as the engine sends them and
// buffers what the caller has not read, without a limit.
type relay struct {
	server   *http.Server
	listener net.Listener
	client   *http.Client
	target   string
	// buffered is the number of bytes not yet written to callers.
	buffered atomic.Int64
}

func startRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &relay{listener: listener, target: target, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

func (r *relay) url() string { return "http://" + r.listener.Addr().String() }

func (r *relay) close() { _ = r.server.Close() }

// ServeHTTP reads the engine's answer in one goroutine and writes it in
// another.
func (r *relay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	out, err := http.NewRequestWithContext(in.Context(), http.MethodPost, r.target+in.URL.Path, in.Body)
	if err != nil {
		return
	}
	response, err := r.client.Do(out)
	if err != nil {
		return
	}
	defer response.Body.Close()
	b := &unboundedBuffer{relay: r, changed: make(chan struct{}, 1)}
	go b.fill(response.Body)
	for {
		data, more := b.take()
		if len(data) > 0 {
			_, err := w.Write(data)
			r.buffered.Add(-int64(len(data)))
			if err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			continue
		}
		if !more {
			return
		}
		<-b.changed
	}
}

// unboundedBuffer is a queue of chunks without a size limit.
type unboundedBuffer struct {
	relay   *relay
	changed chan struct{}

	mu     sync.Mutex
	chunks [][]byte
	ended  bool
}

func (b *unboundedBuffer) fill(from io.Reader) {
	for {
		chunk := make([]byte, streamEventBytes)
		n, err := from.Read(chunk)
		b.mu.Lock()
		if n > 0 {
			b.chunks = append(b.chunks, chunk[:n])
			b.relay.buffered.Add(int64(n))
		}
		b.ended = err != nil
		b.mu.Unlock()
		select {
		case b.changed <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// take returns the oldest chunk and whether more may follow.
func (b *unboundedBuffer) take() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.chunks) == 0 {
		return nil, !b.ended
	}
	chunk := b.chunks[0]
	b.chunks = b.chunks[1:]
	return chunk, true
}
