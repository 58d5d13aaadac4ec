package agent

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// maxExecuteBytes limits the size of an ExecuteRequest. The configuration sets a
// lower limit for the bodies of callers.
const maxExecuteBytes = 16 << 20

// execution is the processing of one request by the agent.
type execution struct {
	agent *Agent
	in    *rpc.ExecuteRequest
	view  *view
	out   *eventWriter
	// permit and a reservation in the charge queue are held from admission to the
	// end of the request.
	permit  *limit.Permit
	ticket  *idempotency.Execution
	started time.Time
	// firstTokenAt is the time of the first token, and sendTime the time spent since
	// then on writing the response to the router.
	firstTokenAt time.Time
	sendTime     time.Duration
}

// serveExecute answers POST /internal/execute with a stream of events.
func (a *Agent) serveExecute(w http.ResponseWriter, r *http.Request) {
	a.running.Add(1)
	defer a.running.Add(-1)
	in, err := readExecute(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.Syncer.ObserveVersion(in.GetBundleVersion(), a.callerOf(r))
	e := &execution{agent: a, in: in, view: a.view.Load(), out: &eventWriter{w: w}, started: a.Clock.Now()}
	ctx := r.Context()
	if in.GetDeadlineMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(in.GetDeadlineMs())*time.Millisecond)
		defer cancel()
	}
	e.run(ctx)
}

func readExecute(r *http.Request) (*rpc.ExecuteRequest, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxExecuteBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxExecuteBytes {
		return nil, errors.New("request too large")
	}
	in := &rpc.ExecuteRequest{}
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, err
	}
	if len(in.GetRequestId()) != requestIDBytes {
		return nil, errors.New("request id must have 16 bytes")
	}
	return in, nil
}

// run checks the request and runs it. For a non-idempotent request the idempotency
// record is looked up first, because a refusal must not report "not run" for a key
// that has run.
func (e *execution) run(ctx context.Context) {
	if e.in.GetService() != "" && !e.in.GetIdempotent() {
		e.runNonIdempotent(ctx)
		return
	}
	if refusal := e.precheckAndAdmit(); refusal != nil {
		e.refuse(refusal)
		return
	}
	e.dispatch(ctx)
}

// precheckAndAdmit runs the checks and admits the request to the backend server.
func (e *execution) precheckAndAdmit() *result.Error {
	if refusal := e.precheck(); refusal != nil {
		return refusal
	}
	return e.admit()
}

// precheck runs all checks that need no capacity of the backend server.
func (e *execution) precheck() *result.Error {
	if e.agent.stopping.Load() {
		return result.AgentLeaving.With("the agent is stopping")
	}
	if refusal := isolationError(e.agent.Syncer, e.agent.Clock.Now()); refusal != nil {
		return refusal
	}
	return e.view.checkRequest(e.agent.settings.Backend, e.in)
}

// admit acquires a permit for the backend server and reserves space for the charge.
func (e *execution) admit() *result.Error {
	if !e.agent.charges.Reserve() {
		return result.LedgerFull.With("")
	}
	pausedFor := e.agent.pausedFor() // ends a pause whose time has come
	permit, refusal := e.agent.admission.Admit(int(e.in.GetPromptTokens()) + int(e.in.GetMaxTokens()))
	if refusal != limit.NotRefused {
		e.agent.charges.Release()
		err := refusalCode(refusal).With("%s", refusal)
		err.RetryAfter = pausedFor
		return err
	}
	e.permit = permit
	return nil
}

func refusalCode(r limit.Refusal) result.Code {
	switch r {
	case limit.RefusedCold:
		return result.AgentCold
	case limit.RefusedLeaving:
		return result.AgentLeaving
	case limit.RefusedPaused:
		return result.AgentPaused
	case limit.RefusedDown:
		return result.BackendDown
	default:
		return result.AgentFull
	}
}

// dispatch sends an idempotent request to the backend server. The request is
// cancelled when the router disconnects.
func (e *execution) dispatch(ctx context.Context) {
	e.assertDispatchInvariants()
	reply := e.agent.backend.send(ctx, e.in, sink{admitted: e.admitted, chunk: e.chunk, firstToken: e.firstToken})
	e.releaseAndCharge(reply)
	if reply.err != nil && reply.err.Code.Run == result.NotRun && !e.out.started {
		e.refuse(reply.err)
		return
	}
	e.end(reply)
}

// runNonIdempotent runs a non-idempotent request under its idempotency key. It
// looks up the record before the other checks: an agent that refuses new requests
// must still answer for the keys it has run, since a refusal would report "not run".
func (e *execution) runNonIdempotent(ctx context.Context) {
	key, err := idempotency.ParseKey(e.in.GetIdempotencyKey())
	if err != nil {
		e.refuse(result.BadIdempotency.With("%v", err))
		return
	}
	if e.in.GetHome() != e.agent.incarnation {
		e.refuse(result.WrongHome.With("this is incarnation %x", e.agent.incarnation))
		return
	}
	decision, ticket, known := e.agent.records.Lookup(key, e.in.GetHome(), bodyHash(e.in))
	if !known {
		if refusal := e.precheck(); refusal != nil {
			e.refuse(refusal)
			return
		}
		decision, ticket = e.agent.records.BeginBound(key, e.in.GetHome(), bodyHash(e.in))
	}
	e.ticket = ticket
	switch decision {
	case idempotency.Run:
		e.runNewKey(ctx)
	case idempotency.Join, idempotency.Replay:
		e.replay(ctx)
	case idempotency.Conflict:
		e.refuse(result.KeyReused.With(""))
	case idempotency.Full:
		e.refuse(result.RecordsFull.With(""))
	case idempotency.TooEarly:
		e.refuse(result.BadIdempotency.With("the key's time is in the future"))
	default:
		e.end(reply{err: result.OutcomeUnknown.With("the record of the key is gone")})
	}
}

// runNewKey runs a request that passed the checks, detached from the router's
// connection, so that the outcome is recorded even when the router and the caller
// have disconnected.
func (e *execution) runNewKey(ctx context.Context) {
	if refusal := e.admit(); refusal != nil {
		e.ticket.Finish(idempotency.Outcome{Kind: idempotency.OutcomeNotRun})
		e.refuse(refusal)
		return
	}
	e.agent.running.Add(1)
	go func() {
		defer e.agent.running.Add(-1)
		e.assertDispatchInvariants()
		e.ticket.Finish(e.runRecorded(context.WithoutCancel(ctx)))
	}()
	e.replay(ctx)
}

// runRecorded sends the request and collects the complete response for the record.
func (e *execution) runRecorded(ctx context.Context) idempotency.Outcome {
	var outcome idempotency.Outcome
	reply := e.agent.backend.send(ctx, e.in, sink{
		admitted: func(status int, contentType string) error {
			outcome.Status, outcome.ContentType = status, contentType
			return nil
		},
		chunk: func(data []byte) error {
			outcome.Body = append(outcome.Body, data...)
			return nil
		},
		firstToken: e.firstToken,
	})
	e.releaseAndCharge(reply)
	switch {
	case reply.err == nil:
		outcome.Kind = idempotency.OutcomeDone
		outcome.Charge = e.encodedCharge(reply)
	case reply.err.Code.Run == result.NotRun:
		outcome = idempotency.Outcome{Kind: idempotency.OutcomeNotRun}
	default:
		outcome = idempotency.Outcome{Kind: idempotency.OutcomeUnknown}
	}
	e.agent.logOutcome(e, reply)
	return outcome
}

// encodedCharge returns the encoded charge for the record. The router of each call
// with the key receives it, so that two processes hold the line. All calls carry
// the request ID of the run, so that it is billed once.
func (e *execution) encodedCharge(r reply) []byte {
	if !r.billable() {
		return nil
	}
	data, err := proto.Marshal(chargeToProto(e.chargeLine(r)))
	if err != nil {
		return nil
	}
	return data
}

// decodedCharge returns the charge of a record, or nil when there is none.
func decodedCharge(data []byte) *rpc.ChargeLine {
	line := &rpc.ChargeLine{}
	if len(data) == 0 || proto.Unmarshal(data, line) != nil {
		return nil
	}
	return line
}

// replay responds with the recorded outcome and waits for it if the run has not
// finished.
func (e *execution) replay(ctx context.Context) {
	outcome, err := e.ticket.Wait(ctx)
	if err != nil {
		e.end(reply{err: result.OutcomeUnknown.With("the call is still running")})
		return
	}
	switch outcome.Kind {
	case idempotency.OutcomeNotRun:
		e.refuse(result.BackendDown.With("the backend server did not take the call"))
	case idempotency.OutcomeDone:
		_ = e.admitted(outcome.Status, outcome.ContentType)
		if len(outcome.Body) > 0 {
			_ = e.chunk(outcome.Body)
		}
		e.end(reply{charge: decodedCharge(outcome.Charge)})
	default:
		e.end(reply{err: result.OutcomeUnknown.With("no valid answer of the backend server; the log of its agent tells why")})
	}
}

// releaseAndCharge releases the permit and commits the charge of a finished request.
// An incomplete response is not billed.
func (e *execution) releaseAndCharge(r reply) {
	switch {
	case r.err == nil:
		e.reportDecoded(r)
		e.permit.Complete()
	case r.err.Code == result.CallerGone || r.err.Code == result.DeadlinePassed:
		e.permit.Release()
	default:
		e.permit.Fail()
	}
	if r.billable() {
		e.agent.charges.Commit(e.chargeLine(r))
		return
	}
	e.agent.charges.Release()
}

// reportDecoded records the time between tokens of a streamed response. It skips
// responses that were delayed by the receiver, because their timing does not
// reflect the engine's speed.
func (e *execution) reportDecoded(r reply) {
	const maxSendingPart = 0.1
	if e.firstTokenAt.IsZero() {
		return
	}
	elapsed := e.agent.Clock.Now().Sub(e.firstTokenAt)
	if float64(e.sendTime) > maxSendingPart*float64(elapsed) {
		return
	}
	e.permit.RecordDecode(int(r.tokensOut), elapsed)
}

func (e *execution) firstToken(r reply) {
	e.firstTokenAt = e.agent.Clock.Now()
	e.permit.RecordFirstToken(limit.FirstTokenSample{
		FirstToken:   e.firstTokenAt.Sub(e.started),
		PromptTokens: int(e.in.GetPromptTokens()),
	})
}

// bodyHash hashes the fields in which two calls with the same key must agree.
func bodyHash(in *rpc.ExecuteRequest) idempotency.RequestHash {
	h := sha256.New()
	for _, field := range []string{in.GetWorkspace(), in.GetService(), in.GetMethod(), in.GetPath()} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(in.GetBody())
	return idempotency.RequestHash(h.Sum(nil))
}

func (e *execution) refuse(err *result.Error) {
	e.agent.logRefusal(e, err)
	e.out.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_Refused{Refused: &rpc.Refused{
		Code:         uint32(err.Code.Number),
		Reason:       err.Detail,
		State:        e.agent.state(),
		RetryAfterMs: milliseconds(err.RetryAfter),
	}}})
}

func (e *execution) admitted(status int, contentType string) error {
	return e.out.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_Admitted{Admitted: &rpc.Admitted{
		State:       e.agent.state(),
		Status:      int32(status),
		ContentType: contentType,
	}}})
}

// chunk sends data in pieces that fit in one message of the stream. The data of a
// streamed response is one JSON value that the router forwards unchanged, so it is
// not split.
func (e *execution) chunk(data []byte) error {
	began := e.agent.Clock.Now()
	defer func() { e.sendTime += e.agent.Clock.Now().Sub(began) }()
	const pieceBytes = 32 << 10
	if e.in.GetStream() {
		return e.out.sendChunk(data)
	}
	for len(data) > 0 {
		piece := data[:min(len(data), pieceBytes)]
		data = data[len(piece):]
		if err := e.out.sendChunk(piece); err != nil {
			return err
		}
	}
	return nil
}

func (e *execution) end(r reply) {
	end := &rpc.End{RequestId: e.in.GetRequestId(), Chunks: e.out.chunks, Outcome: rpc.Outcome_OUTCOME_DONE, State: e.agent.state()}
	if r.err != nil {
		end.Code = uint32(r.err.Code.Number)
		end.Reason = r.err.Detail
		end.Outcome = outcomeOf(r.err.Code.Run)
	}
	end.Charge = r.charge
	if end.Charge == nil && r.billable() {
		end.Charge = chargeToProto(e.chargeLine(r))
	}
	if e.ticket == nil {
		e.agent.logOutcome(e, r)
	}
	e.out.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_End{End: end}})
}

func outcomeOf(run result.Run) rpc.Outcome {
	switch run {
	case result.Done:
		return rpc.Outcome_OUTCOME_DONE
	case result.NotRun:
		return rpc.Outcome_OUTCOME_NOT_RUN
	default:
		return rpc.Outcome_OUTCOME_UNKNOWN
	}
}

// eventWriter writes length-delimited events and flushes after each one.
type eventWriter struct {
	w       http.ResponseWriter
	started bool
	chunks  uint64
}

func (o *eventWriter) send(event *rpc.ExecuteEvent) error {
	o.started = true
	if _, err := protodelim.MarshalTo(o.w, event); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

func (o *eventWriter) sendChunk(data []byte) error {
	event := &rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_Chunk{Chunk: &rpc.Chunk{Seq: o.chunks, Data: data}}}
	if err := o.send(event); err != nil {
		return err
	}
	o.chunks++
	return nil
}
