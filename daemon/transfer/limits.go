package transfer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of a Transfer. Callers test them with errors.Is.
var (
	// ErrNoProgress means that nothing has arrived for longer than the limits allow.
	ErrNoProgress = errors.New("transfer: no progress")
	// ErrTooLong means that the whole transfer has taken longer than the limits allow.
	ErrTooLong = errors.New("transfer: took too long")
)

// Limits bound one request with its response. They do not depend on the length of the response:
// on a thin link a long one takes as long as it needs, if it goes on arriving.
type Limits struct {
	// Answer bounds the time from the last part of the request that was sent to the head of the
	// response, and Silence that between two parts of the response.
	Answer, Silence time.Duration
	// Total bounds the whole transfer, so that a response that trickles ends too.
	Total time.Duration
}

// Transfer is one request with its response, under limits. A Transport reports the progress of
// the requests that are made with its context.
type Transfer struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	limits Limits
	// silence ends the transfer for want of progress, and total for its length.
	silence, total *time.Timer

	mu     sync.Mutex
	headAt time.Time
}

// New returns a Transfer that ends with ctx. The caller must call Stop.
func New(ctx context.Context, limits Limits) *Transfer {
	t := &Transfer{limits: limits}
	ctx, t.cancel = context.WithCancelCause(ctx)
	t.silence = time.AfterFunc(limits.Answer, func() { t.cancel(ErrNoProgress) })
	t.total = time.AfterFunc(limits.Total, func() { t.cancel(ErrTooLong) })
	t.ctx = withObserver(ctx, t)
	return t
}

// Context returns the context of the request. Its cause tells the limit that has ended it.
func (t *Transfer) Context() context.Context { return t.ctx }

// Stop releases the timers and ends the request if it is still in progress.
func (t *Transfer) Stop() {
	t.silence.Stop()
	t.total.Stop()
	t.cancel(context.Canceled)
}

// HeadAt returns when the head of the response arrived; zero before that.
func (t *Transfer) HeadAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.headAt
}

func (t *Transfer) sent(time.Time) { t.silence.Reset(t.limits.Answer) }

func (t *Transfer) received(now time.Time) {
	t.mu.Lock()
	if t.headAt.IsZero() {
		t.headAt = now
	}
	t.mu.Unlock()
	t.silence.Reset(t.limits.Silence)
}

// Progress records when a part of some responses last arrived. It is safe for concurrent use.
type Progress struct {
	mu     sync.Mutex
	latest time.Time
}

// Observe returns a context whose requests are recorded.
func (p *Progress) Observe(ctx context.Context) context.Context { return withObserver(ctx, p) }

// Latest returns when a part of a response last arrived; zero for never.
func (p *Progress) Latest() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}

func (p *Progress) sent(time.Time) {}

func (p *Progress) received(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest = now
}

// observer is told of the progress of a request.
type observer interface {
	// sent records a part of the request, received one of the response.
	sent(now time.Time)
	received(now time.Time)
}

// observers is the list of the observers of a context.
type observers struct {
	observer
	next *observers
}

type observersKey struct{}

func observersOf(ctx context.Context) *observers {
	list, _ := ctx.Value(observersKey{}).(*observers)
	return list
}

func withObserver(ctx context.Context, o observer) context.Context {
	return context.WithValue(ctx, observersKey{}, &observers{o, observersOf(ctx)})
}

func (o *observers) sent(now time.Time) {
	for ; o != nil; o = o.next {
		o.observer.sent(now)
	}
}

func (o *observers) received(now time.Time) {
	for ; o != nil; o = o.next {
		o.observer.received(now)
	}
}

// Received tells the observers of ctx that a part of a response has arrived. It is for clients
// that do not use a Transport.
func Received(ctx context.Context) { observersOf(ctx).received(time.Now()) }
