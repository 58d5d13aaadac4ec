package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/upstream"
)

const (
	// maxBufferedAnswer is the size in bytes up to which a response is read whole
	// before any of it is passed on, so that an incomplete one can be replaced by
	// another attempt's.
	maxBufferedAnswer = 256 << 10
	// uncountedAnswer is the size in bytes up to which a response or an event takes nothing from
	// the budget of all responses.
	uncountedAnswer = 16 << 10
	// defaultAnswerBudget bounds what all responses in progress buffer beyond that, in bytes.
	defaultAnswerBudget = 32 << 20
	// initialAnswerBuffer is the initial size in bytes of the buffer for a response.
	initialAnswerBuffer = 512
	// copyBufferSize is the size in bytes of the copy buffer for longer responses.
	copyBufferSize = 16 << 10
	// paceEvents is the number of events of a stream over which its pace is taken.
	paceEvents = 3
	// writeDeadlineGrace is how long after the request's deadline an event may still be
	// written to a slow caller, and answerWriteGrace the same for other responses. A caller that
	// reads nothing does not hold its connection for longer.
	writeDeadlineGrace = 250 * time.Millisecond
	answerWriteGrace   = 5 * time.Second
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
// response of maxBufferedAnswer bytes or more is passed on as it arrives, and so is one of more
// than uncountedAnswer bytes while all responses together have used up their budget.
func (g *Gateway) receiveBuffered(ctx context.Context, a *attempt) (bool, *result.Error) {
	room := &reservation{budget: g.AnswerBudget}
	defer room.end()
	body, whole, err := readAnswer(bodyReader{a.exchange}, room)
	if err != nil {
		return false, a.abort(ctx, err)
	}
	a.recordActivity()
	if a.exchange.Status < http.StatusInternalServerError {
		g.observe(a, Sample{Slow: a.slow(time.Now())})
	}
	g.copyResponseHeader(a)
	if !whole {
		if len(body) < maxBufferedAnswer {
			g.metrics.GetOrCreateCounter("cactusknot_answers_beyond_budget_total").Inc()
		}
		return g.receiveUnbuffered(ctx, a, body, room)
	}
	a.exchange.Done()
	if !a.exchange.Framed() || len(body) > 0 {
		a.response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if err := a.limitWrite(); err != nil {
		return true, result.CallerGone.With("%v", err)
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

// readAnswer reads a body, up to the size that may be buffered. whole is false if it goes on.
func readAnswer(r io.Reader, room *reservation) (body []byte, whole bool, err error) {
	buffer := bytes.NewBuffer(make([]byte, 0, initialAnswerBuffer+bytes.MinRead))
	n, err := buffer.ReadFrom(io.LimitReader(r, uncountedAnswer))
	if err != nil || n < uncountedAnswer {
		return buffer.Bytes(), true, err
	}
	if !room.take(maxBufferedAnswer) {
		return buffer.Bytes(), false, nil
	}
	n, err = buffer.ReadFrom(io.LimitReader(r, maxBufferedAnswer-uncountedAnswer))
	return buffer.Bytes(), n < maxBufferedAnswer-uncountedAnswer, err
}

// reservation is what one response has taken from the budget of all responses.
type reservation struct {
	budget *httplimit.Budget
	bytes  int64
}

func (r *reservation) take(bytes int64) bool {
	if !r.budget.Take(bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// end returns what was taken.
func (r *reservation) end() {
	r.budget.Return(r.bytes)
	r.bytes = 0
}

// receiveUnbuffered passes on a response that is too long to be buffered. start is the
// part that has been read, for which room was taken.
func (g *Gateway) receiveUnbuffered(ctx context.Context, a *attempt, start []byte, room *reservation) (bool, *result.Error) {
	if n := a.exchange.Length(); n >= 0 {
		a.response.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	err := a.limitWrite()
	a.response.WriteHeader(a.exchange.Status)
	a.started = true
	if err == nil {
		_, err = a.response.Write(start)
	}
	room.end()
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{a.response}, bodyReader{a.exchange}, make([]byte, copyBufferSize))
	}
	if err != nil {
		return true, a.abort(ctx, err)
	}
	a.exchange.Done()
	return true, nil
}

// limitWrite sets until when the caller may read the response.
func (a *attempt) limitWrite() error {
	return http.NewResponseController(a.response).SetWriteDeadline(a.deadline.Add(answerWriteGrace))
}

// bodyReader reads a body that is not a stream of events: all of its bytes are progress.
type bodyReader struct{ *upstream.Exchange }

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.Exchange.Read(p)
	if n > 0 {
		r.Progressed()
	}
	return n, err
}

// abort ends an attempt whose response can't be read or passed on any further.
func (a *attempt) abort(ctx context.Context, err error) *result.Error {
	a.exchange.Abort()
	return a.interrupted(ctx, err)
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
	room := &reservation{budget: g.AnswerBudget}
	defer room.end()
	reader := newEventReader(a.exchange, room)
	var firstEvent time.Time
	// latest is the highest event ID of this attempt. A server that sends the whole stream
	// again advances, although the caller has the events already.
	latest := int64(-1)
	var intervals intervalMeter
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) {
			intervals.flush(a.choice)
			return g.endEvents(a, next.raw)
		}
		if err != nil {
			intervals.cut(a.choice, time.Now())
			return false, a.abort(ctx, err)
		}
		if next.hasData && (next.id < 0 || next.id > latest) {
			a.exchange.Progressed()
		}
		latest = max(latest, next.id)
		if next.hasData {
			if a.events++; a.events == 1 {
				firstEvent = time.Now()
			}
			a.recordActivity()
			g.observe(a, Sample{Slow: a.slow(time.Now())})
			g.observeProgress(a, firstEvent)
			if a.events == paceEvents {
				g.report(a, Sample{EventInterval: time.Since(firstEvent) / (paceEvents - 1)})
			}
		}
		if next.id >= 0 && next.id <= a.lastEvent {
			continue
		}
		if next.hasData {
			intervals.event(a.choice, time.Now())
		}
		if err := g.passOn(a, next); err != nil {
			intervals.flush(a.choice)
			return true, a.abort(ctx, err)
		}
	}
}

// passOn writes an event to the caller.
func (g *Gateway) passOn(a *attempt, next streamEvent) error {
	if !a.started {
		g.copyResponseHeader(a)
		a.response.Header().Del("Content-Length")
		a.response.WriteHeader(a.exchange.Status)
		a.started = true
	}
	conn := http.NewResponseController(a.response)
	if err := conn.SetWriteDeadline(a.deadline.Add(writeDeadlineGrace)); err != nil {
		return err
	}
	if _, err := a.response.Write(next.raw); err != nil {
		return err
	}
	if err := conn.Flush(); err != nil {
		return err
	}
	if next.id >= 0 {
		a.lastEvent = next.id
	}
	return nil
}

// endEvents ends a stream after its transfer is complete. rest is what follows the last whole
// event.
func (g *Gateway) endEvents(a *attempt, rest []byte) (bool, *result.Error) {
	switch {
	case !a.exchange.Framed() && (len(rest) > 0 || a.events == 0):
		// Only the end of the connection tells where the stream ends.
		a.connectionLost, a.closedByServer = true, true
		return false, a.invalidResponse("connection closed before the end of the event stream")
	case len(rest) > 0:
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
