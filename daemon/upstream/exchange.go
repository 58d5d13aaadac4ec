package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Errors of an exchange. Callers test them with errors.Is.
var (
	// ErrNotSent: no byte of the request left this process.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrBroken: the request may have been run; its answer is lost.
	ErrBroken = errors.New("upstream: connection broken")
)

// maxForeign bounds the responses of other requests that are skipped on one
// connection before it is given up.
const maxForeign = 4

// Request is what is written to a backend server.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// FreshConnection demands a connection that carried no request before.
	FreshConnection bool
}

// Exchange is a request that was written and whose response is being read.
type Exchange struct {
	Status int
	Header http.Header

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	written chan error
	reuse   bool
	framed  bool
}

// Send writes the request to the target and reads the head of its response. own
// tells whether a response answers this request; others are skipped. When ctx
// ends, the connection is closed. The error is ErrNotSent or ErrBroken.
func (p *Pool) Send(ctx context.Context, target Target, in *Request, own func(http.Header) bool) (*Exchange, error) {
	c, err := p.get(ctx, target, in.FreshConnection)
	if err != nil {
		return nil, notSent(err)
	}
	e := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { c.Close() })
	if ctx.Err() != nil {
		e.Abort()
		return nil, notSent(ctx.Err())
	}
	go e.write(in)
	if err := e.readHead(in.Method, own); err != nil {
		e.Abort()
		return nil, broken(err)
	}
	return e, nil
}

func notSent(err error) error { return trace.Wrap(errors.Join(ErrNotSent, err)) }

func broken(err error) error { return trace.Wrap(errors.Join(ErrBroken, err)) }

// write sends the request in a goroutine of its own: a server may answer before
// it has read a long body.
func (e *Exchange) write(in *Request) {
	var head strings.Builder
	head.WriteString(in.Method + " " + in.Target + " HTTP/1.1\r\nHost: " + in.Host + "\r\n")
	_ = in.Header.Write(&head)
	if len(in.Body) > 0 || in.Method == http.MethodPost || in.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(in.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	message := append([]byte(head.String()), in.Body...)
	_, err := e.conn.Write(message)
	e.written <- err
}

func (e *Exchange) readHead(method string, own func(http.Header) bool) error {
	for range maxForeign {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		e.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		if own(response.Header) {
			e.Status, e.Header, e.body = response.StatusCode, response.Header, response.Body
			e.reuse = !response.Close && e.framed
			return nil
		}
		// The late answer of an earlier request stands before the awaited one.
		if _, err := io.Copy(io.Discard, response.Body); err != nil || !e.framed {
			return errors.Join(errors.New("response of another request"), err)
		}
	}
	return errors.New("too many responses of other requests")
}

// Framed tells whether the response states where it ends.
func (e *Exchange) Framed() bool { return e.framed }

// Length returns the stated length of the body, or -1.
func (e *Exchange) Length() int64 {
	n, err := strconv.ParseInt(e.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// Read reads the body. io.EOF means that it is complete.
func (e *Exchange) Read(buffer []byte) (int, error) { return e.body.Read(buffer) }

// Done ends the exchange after its body was read to the end and keeps the
// connection where that is safe.
func (e *Exchange) Done() {
	closing := !e.stop()
	select {
	case err := <-e.written:
		closing = closing || err != nil
	default:
		// The server answered before it had read the whole request.
		closing = true
	}
	if closing || !e.reuse {
		e.conn.Close()
		return
	}
	e.pool.put(e.conn, keepAlive(e.Header))
}

// Abort closes the connection; the backend server gives up the request.
func (e *Exchange) Abort() {
	e.stop()
	e.conn.Close()
}

// keepAlive returns the server's idle timeout, or 0 when it states none.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
