package transfer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// slowServer is an http.RoundTripper whose response has a head after some time and then a part
// of one byte at each interval.
type slowServer struct {
	head, interval time.Duration
	parts          int
}

func (s slowServer) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := pause(r.Context(), s.head); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{slowServer: s, ctx: r.Context()}, ContentLength: -1}, nil
}

type slowBody struct {
	slowServer
	ctx  context.Context
	sent int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent == b.parts {
		return 0, io.EOF
	}
	b.sent++
	return 1, pause(b.ctx, b.interval)
}

func (b *slowBody) Close() error { return nil }

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a long response that is ended by a time bound although it goes on arriving, and
// against one that stops, or trickles, and never ends.
func TestTransfersEndForWantOfProgress(t *testing.T) {
	limits := Limits{Answer: time.Second, Silence: 200 * time.Millisecond, Total: 10 * time.Second}
	for _, c := range []struct {
		name   string
		server slowServer
		want   error
		took   time.Duration
	}{
		{"long and steady", slowServer{900 * time.Millisecond, 100 * time.Millisecond, 80}, nil, 8900 * time.Millisecond},
		{"no head", slowServer{time.Hour, 0, 0}, ErrNoProgress, time.Second},
		{"stops in the body", slowServer{0, time.Hour, 1}, ErrNoProgress, 200 * time.Millisecond},
		{"trickles without end", slowServer{0, 100 * time.Millisecond, 1 << 30}, ErrTooLong, 10 * time.Second},
	} {
		for _, own := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var progress Progress
				ctx, transport := progress.Observe(context.Background()), NewTransport(c.server, limits, &Stats{}, func(Report) {})
				if own {
					transport.limits = Limits{Answer: time.Hour, Silence: time.Hour, Total: time.Hour}
					transfer := New(ctx, limits)
					defer transfer.Stop()
					ctx = transfer.Context()
				}
				began := time.Now()
				request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://peer/", nil)
				response, err := (&http.Client{Transport: transport}).Do(request)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				if took := time.Since(began); !errors.Is(err, c.want) || took != c.took {
					t.Errorf("%s, limits of its own %t: %v after %s", c.name, own, err, took)
				}
				if c.server.parts > 1 && time.Since(progress.Latest()) > limits.Silence {
					t.Errorf("%s: no progress seen for %s", c.name, time.Since(progress.Latest()))
				}
			})
		}
	}
}
