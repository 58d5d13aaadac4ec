// Package gateway is the request path to backend servers without an agent. A
// request passes a list of filters (match, authenticate, read, dispatch); the
// last one sends it to backend servers until an answer is final.
package gateway

import (
	"net/http"
	"time"

	"cactusknot.example/daemon/selection"
)

// Call is a caller's request, decoded from the wire.
type Call struct {
	// ID identifies the attempt of the caller; empty when it sent none.
	ID     string
	Method string
	// Target is the request target as sent, Path its part before the query.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// APIKey is the API key; empty when there is none.
	APIKey string
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	// Model is the model the caller asks for.
	Model string
	// PromptTokens is the length that the caller states, AnswerTokens its estimate.
	PromptTokens int
	AnswerTokens int
	// PartIDs and PartTokens list the parts of the prompt in order.
	PartIDs    []string
	PartTokens []int
	// Session names requests that belong together; empty when unknown.
	Session string
	// ResumeAfter is the last event that the caller has, or -1.
	ResumeAfter int64
}

// AttemptOptions is what the gateway adds to a call for one backend server.
type AttemptOptions struct {
	ServerID  string
	Workspace string
	// Remaining is the time until the final answer.
	Remaining time.Duration
	Model     string
	Urgency   int
	// ResumeAfter is the last event already delivered, or -1.
	ResumeAfter int64
}

// ResponseInfo is what the head of a response says.
type ResponseInfo struct {
	// NotRun: the backend server states that it did not run the request.
	NotRun bool
	// Sealed: the response bears the backend server's mark.
	Sealed bool
	// ContentEncoded: the body is not the backend server's own bytes.
	ContentEncoded bool
	HasLoad        bool
	Load           selection.Load
	// Confidence is the model's own opinion of its answer, from 0 to 100, or -1.
	Confidence int
	// EventStream: the body is a stream of events.
	EventStream bool
}

// HeaderCodec translates between the gateway and the headers of a deployment.
type HeaderCodec interface {
	// Decode fills the call from the request; the body is read by the gateway.
	Decode(r *http.Request) *Call
	// Encode returns the headers for a backend server.
	Encode(call *Call, d AttemptOptions) http.Header
	// Matches tells whether a response answers the call.
	Matches(call *Call, header http.Header) bool
	// ParseResponse reads the head of a response.
	ParseResponse(status int, header http.Header) ResponseInfo
	// ResponseHeader returns the headers of a response for the caller.
	ResponseHeader(call *Call, header http.Header) http.Header
	// ErrorHeader returns the headers of a response of the gateway's own. A pause
	// above 0 tells the caller when to come back.
	ErrorHeader(call *Call, pause time.Duration) http.Header
}
