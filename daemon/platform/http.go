package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Errors of the clients. Callers test them with errors.Is.
var (
	// ErrUnavailable means that the service can't be reached or does not work.
	ErrUnavailable = errors.New("platform: service unavailable")
	// ErrRateLimited means that the service rejected the call to limit its rate.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrResponseTooLarge means that the response exceeds the size limit of the
	// client.
	ErrResponseTooLarge = errors.New("platform: response too large")
	// ErrBadResponse means that the response does not follow the protocol.
	ErrBadResponse = errors.New("platform: malformed response")
)

// Limits of a client.
const (
	// defaultTimeout bounds a call whose context has no earlier deadline.
	defaultTimeout = 5 * time.Second
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
	// maxIdleConns is the maximum number of idle connections of a client.
	maxIdleConns = 8
	// maxErrorBytes is how much of the body of an error response is copied into the
	// error.
	maxErrorBytes = 512
)

// RateLimitError is an ErrRateLimited that carries the time after which the service
// accepts another call.
type RateLimitError struct {
	// RetryAfter is 0 if the response had no valid Retry-After header.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrRateLimited, e.RetryAfter)
}

// Is reports whether target is ErrRateLimited.
func (e *RateLimitError) Is(target error) bool { return target == ErrRateLimited }

// httpClient sends HTTP requests to one base URL.
type httpClient struct {
	base   string
	client *http.Client
}

func newHTTPClient(base string) httpClient {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return httpClient{
		base: strings.TrimSuffix(base, "/"),
		client: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// close closes the idle connections.
func (c httpClient) close() { c.client.CloseIdleConnections() }

// attempt records how far a call got before it failed.
type attempt struct {
	// sent is set once a connection has been assigned to the request. From then on
	// the service may have received it.
	sent atomic.Bool
}

// send sends a request with in as JSON body, or without a body if in is nil. The
// caller must close the response body. The attempt is valid even if send fails.
func (c httpClient) send(ctx context.Context, method, path string, in any, header http.Header) (*http.Response, *attempt, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, &attempt{}, trace.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	a := &attempt{}
	// A request counts as sent as soon as it has a connection, even if no byte was
	// written, because the transport may still write it while the call returns.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, a, trace.BadParameter("create request: %v", err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, a, err
	}
	return resp, a, nil
}

// call sends a request and decodes a response with status 200 into out. It returns
// the status and header of the response also with an error, if one was received.
func (c httpClient) call(ctx context.Context, method, path string, in, out any, header http.Header, limit int64) (int, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	resp, _, err := c.send(ctx, method, path, in, header)
	if err != nil {
		return 0, nil, trace.Wrap(wrapUnavailable(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, resp.Header, trace.Wrap(statusError(resp))
	}
	body, err := readBounded(resp.Body, limit)
	if err != nil {
		return resp.StatusCode, resp.Header, trace.Wrap(err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return resp.StatusCode, resp.Header, trace.Wrap(fmt.Errorf("%w: %v", ErrBadResponse, err))
	}
	return resp.StatusCode, resp.Header, nil
}

// wrapUnavailable makes err an ErrUnavailable.
func wrapUnavailable(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }

// statusError converts a response with a status other than 200 into an error; it
// returns nil for 304.
func statusError(resp *http.Response) error {
	if resp.StatusCode == http.StatusTooManyRequests {
		return &RateLimitError{RetryAfter: parseRetryAfter(resp.Header)}
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	switch {
	case resp.StatusCode == http.StatusNotModified:
		return nil
	case resp.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, resp.StatusCode, text)
	case resp.StatusCode == http.StatusNotFound:
		return trace.NotFound("status %d: %s", resp.StatusCode, text)
	}
	return trace.BadParameter("status %d: %s", resp.StatusCode, text)
}

// parseRetryAfter returns the Retry-After header in seconds, or 0 if it is absent or
// not a number of seconds.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readBounded reads r to its end and fails if it is longer than limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, wrapUnavailable(err)
	}
	if int64(len(body)) > limit {
		return nil, ErrResponseTooLarge
	}
	return body, nil
}
