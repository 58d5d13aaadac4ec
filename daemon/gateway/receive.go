package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
)

const (
	// maxHeld is the size in bytes up to which an answer is read whole before any
	// of it is passed on, so that a cut one can be replaced.
	maxHeld = 256 << 10
	// usualAnswer is the size in bytes for which a read begins.
	usualAnswer = 512
	// copyBuffer is the size in bytes of the buffer for longer answers.
	copyBuffer = 16 << 10
	// readSlack is how long after its deadline a caller may take to read an event.
	readSlack = 250 * time.Millisecond
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
)

// receive passes the answer on. done is false when another attempt may follow.
func (g *Gateway) receive(ctx context.Context, a *attempt) (done bool, failure *result.Error) {
	if a.exchange.Status >= http.StatusInternalServerError && !a.started && a.dispatch.IsLastAttempt() {
		return g.receiveWhole(ctx, a)
	}
	if a.exchange.Status >= http.StatusInternalServerError {
		return false, a.spoiled("status " + strconv.Itoa(a.exchange.Status))
	}
	if a.reply.EventStream && a.exchange.Status == http.StatusOK {
		return g.receiveEvents(ctx, a)
	}
	if a.started {
		return false, a.spoiled("no stream where one goes on")
	}
	return g.receiveWhole(ctx, a)
}

// receiveWhole reads the answer and passes it on when it is complete.
func (g *Gateway) receiveWhole(ctx context.Context, a *attempt) (bool, *result.Error) {
	body, err := readAll(io.LimitReader(a.exchange, maxHeld), usualAnswer)
	if err != nil {
		a.exchange.Abort()
		return false, a.broken(ctx, err)
	}
	a.heard()
	if a.exchange.Status < http.StatusInternalServerError {
		g.observe(a, Sample{Slow: a.slow(time.Now())})
	}
	g.writeHead(a)
	if len(body) == maxHeld {
		return g.receiveLong(ctx, a, body)
	}
	a.exchange.Done()
	if !a.exchange.Framed() || len(body) > 0 {
		a.out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.out.WriteHeader(a.exchange.Status)
	a.started = true
	if _, err := a.out.Write(body); err != nil {
		return true, result.CallerGone.With("%v", err)
	}
	if a.exchange.Status >= http.StatusInternalServerError {
		a.outcome = selection.Failed
	}
	return true, nil
}

// receiveLong copies an answer that is too long to be held.
func (g *Gateway) receiveLong(ctx context.Context, a *attempt, head []byte) (bool, *result.Error) {
	if n := a.exchange.Length(); n >= 0 {
		a.out.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	a.out.WriteHeader(a.exchange.Status)
	a.started = true
	_, err := a.out.Write(head)
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{a.out}, a.exchange, make([]byte, copyBuffer))
	}
	if err != nil {
		a.exchange.Abort()
		return true, a.broken(ctx, err)
	}
	a.exchange.Done()
	return true, nil
}

func (a *attempt) heard() {
	now := time.Now()
	a.choice.RecordActivity(now)
	if a.firstByte == 0 {
		a.firstByte = now.Sub(a.began)
	}
}

func (g *Gateway) writeHead(a *attempt) {
	header := a.out.Header()
	for name, values := range g.Codec.ResponseHeader(a.call, a.exchange.Header) {
		header[name] = values
	}
}

// receiveEvents passes events on as they arrive, each one whole.
func (g *Gateway) receiveEvents(ctx context.Context, a *attempt) (bool, *result.Error) {
	reader := bufio.NewReaderSize(a.exchange, readBuffer)
	flusher := http.NewResponseController(a.out)
	var firstEvent time.Time
	for events := 0; ; events++ {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			a.choice.RecordStream(events, time.Since(firstEvent))
			return g.endEvents(a, event)
		}
		if events == 0 {
			firstEvent = time.Now()
		}
		if err != nil {
			a.exchange.Abort()
			return false, a.broken(ctx, err)
		}
		a.heard()
		g.observe(a, Sample{Slow: a.slow(time.Now())})
		if id >= 0 && id <= a.lastEvent {
			continue
		}
		if !a.started {
			g.writeHead(a)
			a.out.Header().Del("Content-Length")
			a.out.WriteHeader(a.exchange.Status)
			a.started = true
		}
		if err := flusher.SetWriteDeadline(a.deadline.Add(readSlack)); err != nil {
			a.exchange.Abort()
			return true, a.broken(ctx, err)
		}
		if _, err := a.out.Write(event); err != nil {
			a.exchange.Abort()
			return true, a.broken(ctx, err)
		}
		if err := flusher.Flush(); err != nil {
			a.exchange.Abort()
			return true, a.broken(ctx, err)
		}
		if id >= 0 {
			a.lastEvent = id
		}
	}
}

// endEvents ends a stream whose transfer is complete.
func (g *Gateway) endEvents(a *attempt, rest []byte) (bool, *result.Error) {
	if len(rest) > 0 {
		return false, a.spoiled("stream ends within an event")
	}
	if !a.started {
		g.writeHead(a)
		a.out.WriteHeader(a.exchange.Status)
		a.started = true
	}
	a.exchange.Done()
	return true, nil
}

// readBuffer is the size in bytes of the buffer in which events are found.
const readBuffer = 4 << 10

// errEvent: the bytes are no events.
var errEvent = errors.New("gateway: not an event stream")

// readEvent reads one event with its blank line. id is -1 when it has none.
func readEvent(r *bufio.Reader) (event []byte, id int64, err error) {
	id = -1
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, id, err
		}
		if len(event) > maxEvent {
			return event, id, errEvent
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(event) > len(line) {
				return event, id, nil
			}
			event = event[:0]
			continue
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event, -1, errEvent
			}
		}
	}
}
