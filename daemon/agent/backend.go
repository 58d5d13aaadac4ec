package agent

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/upstream"
)

// backend sends requests to a backend server and reports its condition.
type backend interface {
	// send runs the request and passes the response to out. It blocks until the
	// response is complete, ctx ends or the connection breaks. A reply whose error
	// has result.NotRun guarantees that the backend server has not run the request.
	send(ctx context.Context, in *rpc.ExecuteRequest, out sink) reply
	// loaded returns the loaded versions as model@version.
	loaded() []string
	// prefixes returns the hashes of prompt prefixes that are probably cached.
	prefixes() []uint64
	// clearPrefixes clears the list of cached prefixes after a restart.
	clearPrefixes()
	// probe requests the start epoch and the loaded versions.
	probe(ctx context.Context) (probeReport, error)
}

// sink receives a response. Its functions return an error when the receiver has
// disconnected.
type sink struct {
	admitted   func(status int, contentType string) error
	chunk      func(data []byte) error
	firstToken func(reply)
}

// reply is the outcome of a request at the backend server.
type reply struct {
	// err is nil when the response is complete.
	err       *result.Error
	status    int
	tokensIn  uint64
	tokensOut uint64
	// charge is set for a response replayed from an idempotency record.
	charge *rpc.ChargeLine
}

// billable reports whether the response is complete and is not an error of the
// backend server.
func (r reply) billable() bool {
	return r.err == nil && r.status > 0 && r.status < http.StatusBadRequest
}

// probeReport is the result of a probe.
type probeReport struct {
	// epoch changes with each start; 0 when the backend server reports none.
	epoch  uint64
	loaded []string
}

const (
	backendDialTimeout = time.Second
	probeTimeout       = time.Second
	// maxResponseHeaderBytes bounds the status line and the headers of a response.
	maxResponseHeaderBytes = 32 << 10
	// stallTimeout bounds the time in which data of a stream may arrive without an event.
	stallTimeout = 5 * time.Second
)

// responseObserver is told the status and the headers of each response of the backend server.
type responseObserver func(status int, header http.Header)

func newBackend(settings config.Backend, observe responseObserver) backend {
	if settings.Kind == config.BackendService {
		return newService(settings, observe)
	}
	return newEngine(settings, observe)
}

// backendClient sends requests to the backend server.
type backendClient struct {
	http    *http.Client
	observe responseObserver
}

// newBackendClient returns a client that follows no redirects and uses a connection for
// one request only. So the transport never retries a request on its own, and bytes that a
// backend server sends late are not taken for the next response. A backend server is on the
// agent's own VM, where a connection costs little.
func newBackendClient(observe responseObserver) *backendClient {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return upstream.NoticeResets(c), nil
	}
	return &backendClient{observe: observe, http: &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// call sends one HTTP request. The error of a failed call says whether any byte
// of the request can have reached the backend server.
func (c *backendClient) call(ctx context.Context, method, url, contentType string, body []byte) (*http.Response, *result.Error) {
	var connected atomic.Bool
	tracing := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(tracing, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, result.BadRequest.With("%v", err)
	}
	request.GetBody = nil
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := c.http.Do(request)
	if err == nil && !upstream.ValidStatus(response.StatusCode) {
		response.Body.Close()
		return nil, result.BackendError.With("status %d", response.StatusCode)
	}
	if err == nil {
		c.observe(response.StatusCode, response.Header)
		return response, nil
	}
	if !connected.Load() {
		return nil, connectError(ctx, err)
	}
	return nil, streamError(ctx, err)
}

// connectError classifies a failure before a connection was established.
func connectError(ctx context.Context, err error) *result.Error {
	if ctx.Err() != nil {
		return result.DeadlineTooSoon.With("no connection to the backend server in time")
	}
	return result.BackendDown.With("%v", err)
}

// streamError classifies a failure after the backend server may have received the
// request.
func streamError(ctx context.Context, err error) *result.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlinePassed.With("%v", err)
	case ctx.Err() != nil:
		return result.CallerGone.With("%v", err)
	default:
		return result.StreamBroken.With("%v", err)
	}
}
