package router

import (
	"context"
	"net/http"
	"time"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
)

// requestID identifies a request in logs, on the wire and in the ledger.
type requestID [16]byte

// call is the state of one caller's request while the filters process it.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	// view is the view at authentication; later filters may load a newer one.
	view     *view
	id       requestID
	started  time.Time
	deadline time.Time

	workspace *bundle.Workspace
	// requestBody is the body of the request as it arrives.
	requestBody *httplimit.RequestBody
	body        []byte

	// Fields of model requests.
	chat     chatRequest
	prefix   uint64
	route    routing.Request
	decision routing.Decision

	// Fields of service calls.
	service   string
	path      string
	operation *bundle.Operation
	key       idempotency.Key
	// callerKey is true when the caller sent the key.
	callerKey bool
	// homeRefused is true when the agent that owns the key has refused the call
	// after looking up the key's record.
	homeRefused bool

	// release functions run in reverse order when the call ends.
	releases []func()
}

// newCall returns the state of a request that is answered by w.
func newCall(w http.ResponseWriter, request *http.Request) *call {
	return &call{writer: w, request: request, requestBody: httplimit.NewRequestBody(w, request)}
}

// onEnd registers a function that runs when the call ends.
func (c *call) onEnd(f func()) { c.releases = append(c.releases, f) }

func (c *call) end() {
	for i := len(c.releases) - 1; i >= 0; i-- {
		c.releases[i]()
	}
}

func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// filter is one step in the processing of a request. An error stops the processing
// and is returned to the caller.
type filter struct {
	name    string
	process func(ctx context.Context, c *call) *result.Error
}

// filterChain holds filters in the order in which they run.
type filterChain []filter

// run applies the filters until one returns an error. The call's cleanup functions
// run in any case.
func (p filterChain) run(ctx context.Context, c *call) *result.Error {
	defer c.end()
	for _, f := range p {
		if err := f.process(ctx, c); err != nil {
			return err
		}
	}
	return nil
}
