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
	// maxBufferedAnswer is the size in bytes up to which a response is read whole
	// before any of it is passed on, so that an incomplete one can be replaced by
	// another attempt's.
	maxBufferedAnswer = 256 << 10
	// initialAnswerBuffer is the initial size in bytes of the buffer for a response.
	initialAnswerBuffer = 512
	// copyBufferSize is the size in bytes of the copy buffer for longer responses.
	copyBufferSize = 16 << 10
	// writeDeadlineGrace is how long after the request's deadline an event may still be
	// written to a slow caller.
	writeDeadlineGrace = 250 * time.Millisecond
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// receive passes the response on to the caller. done is false if another attempt may
// follow.
func (g *Gateway) receive(ctx context.Context, a *attempt) (done bool, failure *result.Error) {
	if a.exchange.Status >= http.StatusInternalServerError && !a.started && a.dispatch.IsLastAttempt() {
		return g.receiveBuffered(ctx, a)
	}
	if a.exchange.Status >= http.StatusInternalServerError {
		return false, a.invalidResponse("status " + strconv.Itoa(a.exchange.Status))
	}
	if a.reply.EventStream && a.exchange.Status == http.StatusOK {
		return g.receiveEvents(ctx, a)
	}
	if a.started {
		return false, a.invalidResponse("response to a resumption is not an event stream")
	}
	return g.receiveBuffered(ctx, a)
}

// receiveBuffered reads the whole response and passes it on once it is complete. A
// response of maxBufferedAnswer bytes or more is passed on as it arrives.
func (g *Gateway) receiveBuffered(ctx context.Context, a *attempt) (bool, *result.Error) {
	body, err := readAll(io.LimitReader(a.exchange, maxBufferedAnswer), initialAnswerBuffer)
	if err != nil {
		a.exchange.Abort()
		return false, a.interrupted(ctx, err)
	}
	a.recordActivity()
	if a.exchange.Status < http.StatusInternalServerError {
		g.observe(a, Sample{Slow: a.slow(time.Now())})
	}
	g.copyResponseHeader(a)
	if len(body) == maxBufferedAnswer {
		return g.receiveUnbuffered(ctx, a, body)
	}
	a.exchange.Done()
	if !a.exchange.Framed() || len(body) > 0 {
		a.response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.response.WriteHeader(a.exchange.Status)
	a.started = true
	if _, err := a.response.Write(body); err != nil {
		return true, result.CallerGone.With("%v", err)
	}
	if a.exchange.Status >= http.StatusInternalServerError {
		a.outcome = selection.Failed
	}
	return true, nil
}

// receiveUnbuffered passes on a response that is too long to be buffered. start is the
// part that has been read.
func (g *Gateway) receiveUnbuffered(ctx context.Context, a *attempt, start []byte) (bool, *result.Error) {
	if n := a.exchange.Length(); n >= 0 {
		a.response.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	a.response.WriteHeader(a.exchange.Status)
	a.started = true
	_, err := a.response.Write(start)
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{a.response}, a.exchange, make([]byte, copyBufferSize))
	}
	if err != nil {
		a.exchange.Abort()
		return true, a.interrupted(ctx, err)
	}
	a.exchange.Done()
	return true, nil
}

// recordActivity records that the backend server has sent something.
func (a *attempt) recordActivity() {
	now := time.Now()
	a.choice.RecordActivity(now)
	if a.firstByte == 0 {
		a.firstByte = now.Sub(a.startedAt)
	}
}

// copyResponseHeader sets the headers of the response to the caller.
func (g *Gateway) copyResponseHeader(a *attempt) {
	header := a.response.Header()
	for name, values := range g.Codec.ResponseHeader(a.call, a.exchange.Header) {
		header[name] = values
	}
}

// receiveEvents passes on events as they arrive, each one whole, and skips those that
// the caller already has.
func (g *Gateway) receiveEvents(ctx context.Context, a *attempt) (bool, *result.Error) {
	reader := bufio.NewReaderSize(a.exchange, eventBufferSize)
	flusher := http.NewResponseController(a.response)
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
			return false, a.interrupted(ctx, err)
		}
		a.recordActivity()
		g.observe(a, Sample{Slow: a.slow(time.Now())})
		if id >= 0 && id <= a.lastEvent {
			continue
		}
		if !a.started {
			g.copyResponseHeader(a)
			a.response.Header().Del("Content-Length")
			a.response.WriteHeader(a.exchange.Status)
			a.started = true
		}
		if err := flusher.SetWriteDeadline(a.deadline.Add(writeDeadlineGrace)); err != nil {
			a.exchange.Abort()
			return true, a.interrupted(ctx, err)
		}
		if _, err := a.response.Write(event); err != nil {
			a.exchange.Abort()
			return true, a.interrupted(ctx, err)
		}
		if err := flusher.Flush(); err != nil {
			a.exchange.Abort()
			return true, a.interrupted(ctx, err)
		}
		if id >= 0 {
			a.lastEvent = id
		}
	}
}

// endEvents ends a stream after its transfer is complete. rest is what follows the last
// whole event.
func (g *Gateway) endEvents(a *attempt, rest []byte) (bool, *result.Error) {
	if len(rest) > 0 {
		return false, a.invalidResponse("event stream ended within an event")
	}
	if !a.started {
		g.copyResponseHeader(a)
		a.response.WriteHeader(a.exchange.Status)
		a.started = true
	}
	a.exchange.Done()
	return true, nil
}

// eventBufferSize is the size in bytes of the read buffer for events.
const eventBufferSize = 4 << 10

// errInvalidEvent is returned for data that is not a valid event stream.
var errInvalidEvent = errors.New("gateway: not an event stream")

// readEvent reads one event including the blank line that ends it. id is -1 if the
// event has none.
func readEvent(r *bufio.Reader) (event []byte, id int64, err error) {
	id = -1
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, id, err
		}
		if len(event) > maxEventBytes {
			return event, id, errInvalidEvent
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
				return event, -1, errInvalidEvent
			}
		}
	}
}
