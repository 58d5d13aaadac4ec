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
	// ErrUnavailable: the service can't be reached or is out of order.
	ErrUnavailable = errors.New("platform: service unavailable")
	// ErrRateLimited: the service refused the call because of its rate.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrResponseTooLarge: the response is larger than the client's bound.
	ErrResponseTooLarge = errors.New("platform: response too large")
	// ErrBadResponse: the response does not follow the protocol.
	ErrBadResponse = errors.New("platform: malformed response")
)

// Limits of a client.
const (
	// defaultTimeout bounds a call whose context has no earlier deadline.
	defaultTimeout = 5 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 2 * time.Second
	// idleConns is the number of idle connections that a client keeps.
	idleConns = 8
	// maxErrorBytes bounds the part of an error body that goes into an error.
	maxErrorBytes = 512
)

// RateLimitError is an ErrRateLimited with the time after which the service
// allows another call.
type RateLimitError struct {
	// RetryAfter is 0 when the service gave no time.
	RetryAfter time.Duration
}

// Error formats the time to wait.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrRateLimited, e.RetryAfter)
}

// Is reports whether target is ErrRateLimited.
func (e *RateLimitError) Is(target error) bool { return target == ErrRateLimited }

// caller sends HTTP calls to one base URL.
type caller struct {
	base   string
	client *http.Client
}

func newCaller(base string) caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
	}
	return caller{
		base: strings.TrimSuffix(base, "/"),
		client: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// close drops the idle connections.
func (c caller) close() { c.client.CloseIdleConnections() }

// attempt tells how far a failed call got.
type attempt struct {
	// sent: a connection was handed the request, so that the service may have
	// read it.
	sent atomic.Bool
}

// send sends a request with a JSON body, or none when in is nil. The caller
// closes the response body. The attempt is valid also after an error.
func (c caller) send(ctx context.Context, method, path string, in any, header http.Header) (*http.Response, *attempt, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, &attempt{}, trace.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	a := &attempt{}
	// A request that a connection has taken counts as sent even if no byte has
	// left, because the transport may still write it while the call returns.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, a, trace.BadParameter("request: %v", err)
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

// call sends a request and decodes a response with status 200 into out. It
// returns the status and header of every response that arrived.
func (c caller) call(ctx context.Context, method, path string, in, out any, header http.Header, limit int64) (int, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	resp, _, err := c.send(ctx, method, path, in, header)
	if err != nil {
		return 0, nil, trace.Wrap(unavailable(err))
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

func unavailable(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }

// statusError turns a response without status 200 into an error.
func statusError(resp *http.Response) error {
	if resp.StatusCode == http.StatusTooManyRequests {
		return &RateLimitError{RetryAfter: retryAfter(resp.Header)}
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

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readBounded reads r to its end, or fails beyond limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, unavailable(err)
	}
	if int64(len(body)) > limit {
		return nil, ErrResponseTooLarge
	}
	return body, nil
}
