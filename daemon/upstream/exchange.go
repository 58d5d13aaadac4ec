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
	// ErrNoConnection means that this process has no room for another connection. It is joined with
	// ErrNotSent.
	ErrNoConnection = errors.New("upstream: no room for a connection")
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrWithheld means that no byte was sent because Request.MaySend returned false. It is
	// joined with ErrNotSent.
	ErrWithheld = errors.New("upstream: request withheld")
	// ErrBroken means that the request may have run and that its response is lost.
	ErrBroken = errors.New("upstream: connection broken")
)

// Request is an HTTP request to a backend server.
type Request struct {
	// ID identifies the request in responses.
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// FreshConnection demands a connection that has not carried a request before.
	FreshConnection bool
	// MaySend is asked once there is a connection, which can take as long as dialTimeout. If it
	// returns false, the request is not sent. Nil means that it may be sent.
	MaySend func() bool
}

// Exchange is a request that was sent and whose response is being read.
type Exchange struct {
	Status int
	Header http.Header

	pool *Pool
	conn *conn
	body io.ReadCloser
	// stop unregisters the function that closes the connection when the context ends.
	stop func() bool
	// written receives the result of sending the request.
	written chan error
	// reuse is true when the response allows another request on the connection.
	reuse bool
	// framed is true when the response states where it ends.
	framed bool
	// skipped is true once a response to another request has been read.
	skipped bool
}

// Send sends the request to the target and reads the header of the response. owner tells
// which request a response belongs to; those of other requests are skipped. The connection
// is closed when ctx ends. The error is ErrNotSent or ErrBroken.
func (p *Pool) Send(ctx context.Context, target Target, in *Request, owner func(http.Header) Owner) (*Exchange, error) {
	c, err := p.get(ctx, target, in.ID, in.FreshConnection)
	if err != nil {
		return nil, notSent(err)
	}
	e := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { c.Close() })
	if ctx.Err() != nil {
		e.Abort()
		return nil, notSent(ctx.Err())
	}
	if in.MaySend != nil && !in.MaySend() {
		e.Abort()
		return nil, notSent(ErrWithheld)
	}
	e.write(in)
	if err := e.readHead(in.Method, owner); err != nil {
		e.Abort()
		return nil, connectionBroken(err)
	}
	return e, nil
}

func notSent(err error) error { return trace.Wrap(errors.Join(ErrNotSent, err)) }

func connectionBroken(err error) error { return trace.Wrap(errors.Join(ErrBroken, err)) }

const (
	// maxInlineWrite is the size in bytes up to which a request is written at once: the send
	// buffer of a connection without unsent data has room for it.
	maxInlineWrite = 4 << 10
	// maxJoinedBody is the size in bytes up to which a body is copied to be sent together with its
	// head. A copy of a longer one would double the memory of the request.
	maxJoinedBody = 32 << 10
)

// write sends the request. A long one is sent by a goroutine of its own because a server
// may answer before it has read the whole body.
func (e *Exchange) write(in *Request) {
	start, rest := in.encode()
	send := func() {
		_, err := e.conn.Write(start)
		if err == nil && len(rest) > 0 {
			_, err = e.conn.Write(rest)
		}
		e.written <- err
	}
	if len(start) <= maxInlineWrite && len(rest) == 0 {
		send()
		return
	}
	go send()
}

// encode returns the request as it is sent: the head with the start of the body, and the rest of the
// body.
func (in *Request) encode() (start, rest []byte) {
	var head strings.Builder
	head.WriteString(in.Method + " " + in.Target + " HTTP/1.1\r\nHost: " + in.Host + "\r\n")
	_ = in.Header.Write(&head)
	if len(in.Body) > 0 || in.Method == http.MethodPost || in.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(in.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	joined := min(len(in.Body), maxJoinedBody)
	return append([]byte(head.String()), in.Body[:joined]...), in.Body[joined:]
}

// Framed tells whether the response states where it ends, by its length or by chunked
// encoding.
func (e *Exchange) Framed() bool { return e.framed }

// Length returns the value of the Content-Length header, or -1.
func (e *Exchange) Length() int64 {
	n, err := strconv.ParseInt(e.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// Progressed records that the caller has received a usable part of the body. Read fails
// if data arrives for too long without it.
func (e *Exchange) Progressed() { e.conn.input.Made() }

// Read reads from the body. It returns io.EOF at the end of a complete body.
func (e *Exchange) Read(buffer []byte) (int, error) { return e.body.Read(buffer) }

// Done ends the exchange after the body has been read to the end. The connection is
// returned to the pool if it can safely carry another request.
func (e *Exchange) Done() {
	closing := !e.stop()
	select {
	case err := <-e.written:
		closing = closing || err != nil
	default:
		// The server answered before the whole request was sent.
		closing = true
	}
	if closing || !e.reuse {
		e.conn.Close()
		return
	}
	e.pool.put(e.conn, keepAlive(e.Header))
}

// Abort closes the connection, so that the backend server cancels the request.
func (e *Exchange) Abort() {
	e.stop()
	e.conn.Close()
}

// keepAlive returns the idle timeout in the Keep-Alive header, or 0 if there is none.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
