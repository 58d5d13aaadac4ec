package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Limits of the load generator.
const (
	// defaultMaxInFlight bounds the memory of a run against a system that does
	// not respond: each request in flight needs about 50 KB.
	defaultMaxInFlight = 20000
	idleConnsPerHost   = 1024
)

// Options holds the settings of a run.
type Options struct {
	// Targets are base URLs; each request goes to one of them at random.
	Targets []string
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the time during which requests start. The run ends when the
	// last request has completed.
	Duration time.Duration
	// Seed determines the schedule and the content of the requests.
	Seed     uint64
	Workload Workload
	// Client sends the requests; nil means a default client without TLS settings.
	Client *http.Client
	// MaxInFlight bounds the requests in flight; requests above the limit are not
	// sent and counted as CodeNotSent. 0 means 20,000.
	MaxInFlight int
	// OnResult, if set, is called with each result, including those of requests
	// that were not sent. Calls are concurrent.
	OnResult func(Result)
}

func (o *Options) validate() error {
	if len(o.Targets) == 0 || o.Rate <= 0 || o.Duration <= 0 {
		return trace.BadParameter("want a target, a rate above 0 and a duration above 0")
	}
	return trace.Wrap(o.Workload.validate())
}

// NewClient returns a client that keeps enough idle connections for open-loop load.
// transport may be nil, or a transport with TLS settings, which is modified.
func NewClient(transport *http.Transport) *http.Client {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = idleConnsPerHost
	return &http.Client{Transport: transport}
}

// Run generates the load and returns the report. When ctx is done, no further
// requests start and those in flight are cancelled; the report covers the requests
// up to then.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Client == nil {
		o.Client = NewClient(nil)
		defer o.Client.CloseIdleConnections()
	}
	r := &run{
		opts:     o,
		recorder: newRecorder(),
		slots:    make(chan struct{}, o.MaxInFlight),
		sender: &sender{
			client:  o.Client,
			timeout: o.Workload.timeout(),
			started: time.Now(),
			tokens:  map[string]string{},
		},
	}
	r.start(ctx)
	r.inFlight.Wait()
	return r.recorder.report(o, time.Since(r.sender.started)), nil
}

// run is the state of a run in progress.
type run struct {
	opts     Options
	recorder *recorder
	sender   *sender
	slots    chan struct{}
	inFlight sync.WaitGroup
}

// start launches the requests of the schedule at their times.
func (r *run) start(ctx context.Context) {
	s := newSchedule(&r.opts)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		p := s.next()
		if p.at >= r.opts.Duration {
			return
		}
		timer.Reset(p.at - time.Since(r.sender.started))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		r.launch(ctx, p)
	}
}

func (r *run) launch(ctx context.Context, p plannedRequest) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.finish(Result{
			Number: p.number, Class: p.class.Name, Workspace: p.workspace.Name,
			Ref: p.ref, At: p.at, Code: CodeNotSent,
		})
		return
	}
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		res := r.sender.send(ctx, p)
		<-r.slots
		r.finish(res)
	}()
}

func (r *run) finish(res Result) {
	r.recorder.add(res)
	if r.opts.OnResult != nil {
		r.opts.OnResult(res)
	}
}
