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

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

const (
	executePath = "/internal/execute"
	// maxEventBytes bounds one event of an execute stream.
	maxEventBytes = 1 << 20
)

// Invariants asserted on answers.
const (
	// invariantOtherAnswer: a caller receives the answer to its own request.
	invariantOtherAnswer invariant.Name = "answer_of_another_request"
	// invariantNotRunAfterAnswer: a request whose answer began is not "not run".
	invariantNotRunAfterAnswer invariant.Name = "not_run_after_answer"
)

// receiver takes the answer of one attempt.
type receiver interface {
	// begin is called once, before the first chunk.
	begin(status int, contentType string) error
	// chunk gets the parts of the answer in order.
	chunk(data []byte) error
	// started tells whether the caller has received any part of the answer.
	started() bool
}

// errReceiver: the caller does not take the answer any more.
var errReceiver = errors.New("router: the caller has left")

// errOrder: the agent sent events out of order.
var errOrder = errors.New("router: events out of order")

// attemptResult is what one attempt at one agent came to.
type attemptResult struct {
	// err is nil when the answer is complete.
	err *result.Error
	// begun is true when the caller got any part of the answer.
	begun bool
	// refused is true when the agent itself refused the request.
	refused bool
	charge  *rpc.ChargeLine
}

// execute runs one attempt at an agent and passes the answer to out.
func (r *Router) execute(ctx context.Context, to peer, in *rpc.ExecuteRequest, out receiver) attemptResult {
	body, err := proto.Marshal(in)
	if err != nil {
		// Only text that is not UTF-8 fails; the filters refuse it before.
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
	to.flight.Start()
	defer to.flight.Done()
	response, err := r.Client.Do(request)
	if err != nil {
		r.unreachable(to.vm)
		return attemptResult{err: classify(ctx, err, connected.Load())}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return attemptResult{err: result.Internal.With("agent status %d", response.StatusCode)}
	}
	s := &answerStream{router: r, from: to, in: in, out: out, reader: bufio.NewReader(response.Body)}
	return s.read(ctx)
}

// classify tells what a failure of the connection to an agent says of the request.
func classify(ctx context.Context, err error, connected bool) *result.Error {
	if !connected || isDial(err) {
		if ctx.Err() != nil {
			return result.DeadlineTooSoon.With("no connection to the agent in time")
		}
		return result.BackendDown.With("%v", err)
	}
	return brokenBy(ctx, err)
}

// isDial tells whether the last try failed while dialling. The transport dials
// again after it had a connection only when the agent closed that one without
// having processed the request, as an agent does at the end of a planned stop.
func isDial(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// brokenBy classifies a failure after the agent may have seen the request.
func brokenBy(ctx context.Context, err error) *result.Error {
	switch {
	case errors.Is(err, errReceiver):
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
	chunks uint64
	// admitted is true after the event that precedes all chunks.
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

// begun tells whether the caller got any part of the answer. What the router
// still holds in memory does not count.
func (s *answerStream) begun() bool { return s.out.started() }

func (s *answerStream) broken(ctx context.Context, err error) attemptResult {
	return attemptResult{err: brokenBy(ctx, err), begun: s.begun()}
}

// handle processes one event. The result counts when done is true.
func (s *answerStream) handle(ctx context.Context, event *rpc.ExecuteEvent) (done bool, out attemptResult) {
	switch e := event.GetEvent().(type) {
	case *rpc.ExecuteEvent_Refused:
		s.router.report(s.from, e.Refused.GetState())
		return true, s.refused(ctx, e.Refused)
	case *rpc.ExecuteEvent_Admitted:
		s.router.report(s.from, e.Admitted.GetState())
		return s.begin(ctx, e.Admitted)
	case *rpc.ExecuteEvent_Chunk:
		return s.handleChunk(ctx, e.Chunk)
	case *rpc.ExecuteEvent_End:
		s.router.report(s.from, e.End.GetState())
		return true, s.finish(ctx, e.End)
	}
	return true, s.broken(ctx, errOrder)
}

func (s *answerStream) refused(ctx context.Context, refusal *rpc.Refused) attemptResult {
	code := result.ByNumber(int(refusal.GetCode()))
	if !s.mayBe(code) {
		return s.broken(ctx, errOrder)
	}
	return attemptResult{err: code.With("%s", refusal.GetReason()), refused: true}
}

// mayBe asserts that an answer that began does not end as "not run".
func (s *answerStream) mayBe(code result.Code) bool {
	return s.router.Check.Assert(!s.admitted || code.Run != result.NotRun, invariantNotRunAfterAnswer,
		"request %x ended with %s after its answer began", s.in.GetRequestId(), code.Name)
}

func (s *answerStream) begin(ctx context.Context, admitted *rpc.Admitted) (bool, attemptResult) {
	if s.admitted {
		return true, s.broken(ctx, errOrder)
	}
	s.admitted = true
	if err := s.out.begin(int(admitted.GetStatus()), admitted.GetContentType()); err != nil {
		return true, s.broken(ctx, errReceiver)
	}
	return false, attemptResult{}
}

func (s *answerStream) handleChunk(ctx context.Context, chunk *rpc.Chunk) (bool, attemptResult) {
	if !s.admitted {
		return true, s.broken(ctx, errOrder)
	}
	if chunk.GetSeq() != s.chunks {
		return true, s.broken(ctx, fmt.Errorf("chunk %d where %d is expected", chunk.GetSeq(), s.chunks))
	}
	s.chunks++
	if err := s.out.chunk(chunk.GetData()); err != nil {
		return true, s.broken(ctx, errReceiver)
	}
	return false, attemptResult{}
}

// finish checks the end mark against what was received.
func (s *answerStream) finish(ctx context.Context, end *rpc.End) attemptResult {
	own := bytes.Equal(end.GetRequestId(), s.in.GetRequestId())
	if !s.router.Check.Assert(own, invariantOtherAnswer, "request %x got the end of %x", s.in.GetRequestId(), end.GetRequestId()) {
		return s.broken(ctx, errors.New("answer of another request"))
	}
	if end.GetChunks() != s.chunks {
		return s.broken(ctx, fmt.Errorf("%d of %d chunks received", s.chunks, end.GetChunks()))
	}
	if end.GetCode() != 0 {
		return s.ended(ctx, end)
	}
	if !s.admitted {
		return s.broken(ctx, errOrder)
	}
	return attemptResult{begun: s.begun(), charge: end.GetCharge()}
}

// ended returns the outcome of a stream that ended with an error.
func (s *answerStream) ended(ctx context.Context, end *rpc.End) attemptResult {
	code := result.ByNumber(int(end.GetCode()))
	if !s.mayBe(code) {
		return s.broken(ctx, errOrder)
	}
	return attemptResult{err: code.With("%s", end.GetReason()), begun: s.begun()}
}
