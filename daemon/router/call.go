package router

import (
	"context"
	"net/http"
	"time"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
)

// requestID identifies a request in logs, on the wire and in the ledger.
type requestID [16]byte

// call is the state of one request on its way through the filters.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	// view is what the request was accepted under; later filters may load a newer one.
	view     *view
	id       requestID
	started  time.Time
	deadline time.Time

	workspace *bundle.Workspace
	body      []byte

	// Of model requests.
	chat     chatRequest
	prefix   uint64
	route    routing.Request
	decision routing.Decision

	// Of plain service calls.
	service   string
	path      string
	operation *bundle.Operation
	key       idempotency.Key
	// callerKey is true when the caller sent the key.
	callerKey bool
	// homeAnswered is true when the home of the key has refused the call itself,
	// after it looked for the key's record.
	homeAnswered bool

	// release functions run in reverse order when the call ends.
	releases []func()
}

// onEnd registers a function that runs when the call ends.
func (c *call) onEnd(f func()) { c.releases = append(c.releases, f) }

func (c *call) end() {
	for i := len(c.releases) - 1; i >= 0; i-- {
		c.releases[i]()
	}
}

// remaining returns the time until the deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// filter is one step of the request path. An error ends the path and is
// answered to the caller.
type filter struct {
	name    string
	process func(ctx context.Context, c *call) *result.Error
}

// pipe is a list of filters.
type pipe []filter

// run passes the call through the filters until one returns an error.
func (p pipe) run(ctx context.Context, c *call) *result.Error {
	defer c.end()
	for _, f := range p {
		if err := f.process(ctx, c); err != nil {
			return err
		}
	}
	return nil
}
