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
	client   httpClient
	maxBytes int64
}

// NewWeightsClient returns a client of the weight store at the base URL. It accepts
// objects of up to maxBytes.
func NewWeightsClient(base string, maxBytes int64) *WeightsClient {
	return &WeightsClient{client: newHTTPClient(base), maxBytes: maxBytes}
}

// Close closes the idle connections.
func (w *WeightsClient) Close() { w.client.close() }

// Fetch copies the object name to out and returns its size in bytes. The store
// limits the rate of calls; a rejected call returns a *RateLimitError, which is an
// ErrRateLimited. A missing object is a trace.NotFound error. After any other error
// out may contain a part of the object. Only ctx bounds the duration of the copy.
func (w *WeightsClient) Fetch(ctx context.Context, name string, out io.Writer) (int64, error) {
	path := "/weights/" + url.PathEscape(name)
	resp, _, err := w.client.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return 0, trace.Wrap(wrapUnavailable(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, trace.Wrap(statusError(resp))
	}
	if resp.ContentLength > w.maxBytes {
		return 0, trace.Wrap(ErrResponseTooLarge)
	}
	n, err := io.Copy(out, &limitedReader{r: resp.Body, left: w.maxBytes})
	if err != nil && !errors.Is(err, ErrResponseTooLarge) {
		err = fmt.Errorf("%w: transfer of object %q was interrupted: %w", ErrUnavailable, name, err)
	}
	return n, trace.Wrap(err)
}

// limitedReader reads from r and fails with ErrResponseTooLarge after left bytes.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (t *limitedReader) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	t.left -= int64(n)
	if t.left < 0 {
		return 0, ErrResponseTooLarge
	}
	return n, err
}
