package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

const (
	executePath = "/internal/execute"
	// maxEventBytes is the maximum size of one event of an execute stream.
	maxEventBytes = 1 << 20
)

// Invariants that are checked on answers.
const (
	// invariantOtherAnswer: a caller receives only the answer to its own request.
	invariantOtherAnswer invariant.Name = "answer_of_another_request"
	// invariantNotRunAfterAnswer: a request whose answer has begun does not end with
	// a "not run" code.
	invariantNotRunAfterAnswer invariant.Name = "not_run_after_answer"
)

// receiver consumes the answer of an attempt.
type receiver interface {
	// begin is called once per attempt, before its first chunk.
	begin(status int, contentType string) error
	// chunk is called with the parts of the answer in order.
	chunk(data []byte) error
	// started reports whether the caller has received any part of the answer.
	started() bool
}

// errCallerGone means that the answer could not be written to the caller.
var errCallerGone = errors.New("router: caller disconnected")

// errEventOrder means that the agent sent an event that the protocol does not allow
// at this point.
var errEventOrder = errors.New("router: events out of order")

// attemptResult is the outcome of one attempt at one agent.
type attemptResult struct {
	// err is nil when the answer is complete.
	err *result.Error
	// begun is true when the caller has received any part of the answer.
	begun bool
	// refused is true when the agent refused the request, as opposed to an agent
	// that could not be reached.
	refused bool
	charge  *rpc.ChargeLine
}

// execute sends one attempt to an agent and passes the answer to out.
func (r *Router) execute(ctx context.Context, to peer, in *rpc.ExecuteRequest, out receiver) attemptResult {
	body, err := proto.Marshal(in)
	if err != nil {
		// Marshal fails only on strings that are not UTF-8, which the filters reject.
		return attemptResult{err: result.BadRequest.With("%v", err)}
	}
	var connected atomic.Bool
	tracing := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(tracing, http.MethodPost, "https://"+to.address+executePath, bytes.NewReader(body))
	if err != nil {
		return attemptResult{err: result.Internal.With("%v", err)}
	}
	to.inFlight.Start()
	defer to.inFlight.Done()
	response, err := r.Client.Do(request)
	if err != nil {
		r.reportUnreachable(to.vm)
		return attemptResult{err: classify(ctx, err, connected.Load())}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return attemptResult{err: result.Internal.With("agent status %d", response.StatusCode)}
	}
	s := &answerStream{router: r, from: to, in: in, out: out, reader: bufio.NewReader(response.Body)}
	return s.read(ctx)
}

// classify maps a failed HTTP request to an agent to a result code: "not run" if
// the agent can't have received the request.
func classify(ctx context.Context, err error, connected bool) *result.Error {
	if !connected || isDial(err) {
		if ctx.Err() != nil {
			return result.DeadlineTooSoon.With("no connection to the agent in time")
		}
		return result.BackendDown.With("%v", err)
	}
	return classifyInterrupted(ctx, err)
}

// isDial reports whether the request failed while dialling. After it had a
// connection, the transport dials again only if the agent closed that connection
// without processing the request, as it does at the end of a graceful shutdown.
func isDial(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// classifyInterrupted maps a failure after the agent may have received the request
// to a result code.
func classifyInterrupted(ctx context.Context, err error) *result.Error {
	switch {
	case errors.Is(err, errCallerGone):
		return result.CallerGone.With("")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlinePassed.With("")
	case ctx.Err() != nil:
		return result.CallerGone.With("")
	default:
		return result.StreamBroken.With("%v", err)
	}
}

// answerStream reads the events of one attempt.
type answerStream struct {
	router *Router
	from   peer
	in     *rpc.ExecuteRequest
	out    receiver
	reader *bufio.Reader
	// received is the number of chunks received.
	received uint64
	// admitted is true after the Admitted event, which precedes all chunks.
	admitted bool
}

func (s *answerStream) read(ctx context.Context) attemptResult {
	for {
		event := &rpc.ExecuteEvent{}
		err := protodelim.UnmarshalOptions{MaxSize: maxEventBytes}.UnmarshalFrom(s.reader, event)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return s.broken(ctx, err)
		}
		done, out := s.handle(ctx, event)
		if done {
			return out
		}
	}
}

// begun reports whether the caller has received any part of the answer. Parts that
// the router has only buffered don't count.
func (s *answerStream) begun() bool { return s.out.started() }

func (s *answerStream) broken(ctx context.Context, err error) attemptResult {
	return attemptResult{err: classifyInterrupted(ctx, err), begun: s.begun()}
}

// handle processes one event. The result is valid only if done is true.
func (s *answerStream) handle(ctx context.Context, event *rpc.ExecuteEvent) (done bool, out attemptResult) {
	switch e := event.GetEvent().(type) {
	case *rpc.ExecuteEvent_Refused:
		s.router.reportState(s.from, e.Refused.GetState())
		return true, s.refused(ctx, e.Refused)
	case *rpc.ExecuteEvent_Admitted:
		s.router.reportState(s.from, e.Admitted.GetState())
		return s.begin(ctx, e.Admitted)
	case *rpc.ExecuteEvent_Chunk:
		return s.handleChunk(ctx, e.Chunk)
	case *rpc.ExecuteEvent_End:
		s.router.reportState(s.from, e.End.GetState())
		return true, s.finish(ctx, e.End)
	}
	return true, s.broken(ctx, errEventOrder)
}

func (s *answerStream) refused(ctx context.Context, refusal *rpc.Refused) attemptResult {
	code := result.ByNumber(int(refusal.GetCode()))
	if !s.allowsCode(code) {
		return s.broken(ctx, errEventOrder)
	}
	err := code.With("%s", refusal.GetReason())
	err.RetryAfter = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	return attemptResult{err: err, refused: true}
}

// allowsCode asserts that an answer that has begun does not end with a "not run"
// code.
func (s *answerStream) allowsCode(code result.Code) bool {
	return s.router.Checker.Assert(!s.admitted || code.Run != result.NotRun, invariantNotRunAfterAnswer,
		"request %x ended with %s after its answer began", s.in.GetRequestId(), code.Name)
}

func (s *answerStream) begin(ctx context.Context, admitted *rpc.Admitted) (bool, attemptResult) {
	if s.admitted {
		return true, s.broken(ctx, errEventOrder)
	}
	s.admitted = true
	if err := s.out.begin(int(admitted.GetStatus()), admitted.GetContentType()); err != nil {
		return true, s.broken(ctx, errCallerGone)
	}
	return false, attemptResult{}
}

func (s *answerStream) handleChunk(ctx context.Context, chunk *rpc.Chunk) (bool, attemptResult) {
	if !s.admitted {
		return true, s.broken(ctx, errEventOrder)
	}
	if chunk.GetSeq() != s.received {
		return true, s.broken(ctx, fmt.Errorf("chunk %d where %d is expected", chunk.GetSeq(), s.received))
	}
	s.received++
	if err := s.out.chunk(chunk.GetData()); err != nil {
		return true, s.broken(ctx, errCallerGone)
	}
	return false, attemptResult{}
}

// finish compares the End event with the request and the received chunks.
func (s *answerStream) finish(ctx context.Context, end *rpc.End) attemptResult {
	own := bytes.Equal(end.GetRequestId(), s.in.GetRequestId())
	if !s.router.Checker.Assert(own, invariantOtherAnswer, "request %x got the end of %x", s.in.GetRequestId(), end.GetRequestId()) {
		return s.broken(ctx, errors.New("answer of another request"))
	}
	if end.GetChunks() != s.received {
		return s.broken(ctx, fmt.Errorf("%d of %d chunks received", s.received, end.GetChunks()))
	}
	if end.GetCode() != 0 {
		return s.endedWithError(ctx, end)
	}
	if !s.admitted {
		return s.broken(ctx, errEventOrder)
	}
	return attemptResult{begun: s.begun(), charge: end.GetCharge()}
}

// endedWithError returns the outcome of a stream whose End event has an error code.
func (s *answerStream) endedWithError(ctx context.Context, end *rpc.End) attemptResult {
	code := result.ByNumber(int(end.GetCode()))
	if !s.allowsCode(code) {
		return s.broken(ctx, errEventOrder)
	}
	return attemptResult{err: code.With("%s", end.GetReason()), begun: s.begun()}
}
