package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
)

// WeightsClient is a client of the weight store. It is safe for concurrent use.
type WeightsClient struct {
	caller   caller
	maxBytes int64
}

// NewWeightsClient returns a client of the weight store at the base URL that accepts
// objects of up to maxBytes.
func NewWeightsClient(base string, maxBytes int64) *WeightsClient {
	return &WeightsClient{caller: newCaller(base), maxBytes: maxBytes}
}

// Close drops the idle connections.
func (w *WeightsClient) Close() { w.caller.close() }

// Fetch copies the object name to out and returns its size in bytes. The store
// limits the rate of calls: a refused call returns a *RateLimitError, which is
// an ErrRateLimited. An absent object is a trace.NotFound error. After any other
// error out may hold a part of the object. Only ctx bounds the time of the copy.
func (w *WeightsClient) Fetch(ctx context.Context, name string, out io.Writer) (int64, error) {
	path := "/weights/" + url.PathEscape(name)
	resp, _, err := w.caller.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return 0, trace.Wrap(unavailable(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, trace.Wrap(statusError(resp))
	}
	if resp.ContentLength > w.maxBytes {
		return 0, trace.Wrap(ErrResponseTooLarge)
	}
	n, err := io.Copy(out, &tooLargeReader{r: resp.Body, left: w.maxBytes})
	if err != nil && !errors.Is(err, ErrResponseTooLarge) {
		err = fmt.Errorf("%w: object %q cut short: %w", ErrUnavailable, name, err)
	}
	return n, trace.Wrap(err)
}

// tooLargeReader fails with ErrResponseTooLarge beyond left bytes.
type tooLargeReader struct {
	r    io.Reader
	left int64
}

// Read reads from r within the bound.
func (t *tooLargeReader) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	t.left -= int64(n)
	if t.left < 0 {
		return 0, ErrResponseTooLarge
	}
	return n, err
}
