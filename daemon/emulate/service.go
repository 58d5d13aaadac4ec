package emulate

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
)

// HeaderBookingRef is the header with the reference of the requested booking. The
// service does not deduplicate calls: each call that it handles has an effect.
const HeaderBookingRef = "X-Booking-Ref"

// arrivalTimeKey is the context key of the arrival time of a call.
const arrivalTimeKey = "entered_unix_ms"

// ServiceConfig holds the settings of the plain service emulator.
type ServiceConfig struct {
	// ServiceMs is the processing time of a call.
	ServiceMs int `json:"service_ms"`
	// Concurrent is the number of calls handled at the same time; others wait.
	Concurrent int `json:"concurrent"`
	// MaxHeld is the largest number of running and waiting calls that the service
	// handles; one more makes it crash and refuse connections for RestartMs.
	MaxHeld   int `json:"max_held"`
	RestartMs int `json:"restart_ms"`
}

// DefaultServiceConfig returns the settings of a service that takes 5 ms per call.
func DefaultServiceConfig() ServiceConfig {
	return ServiceConfig{ServiceMs: 5, Concurrent: 16, MaxHeld: 128, RestartMs: 3000}
}

// ServiceFaults is the body of POST /faults of the plain service.
type ServiceFaults struct {
	CommonFaults
	AnnouncementFaults
	// ResetBefore is the number of upcoming bookings whose connection is reset
	// before the effect; ResetAfter is the same for resets after the effect.
	ResetBefore *int `json:"reset_before,omitempty"`
	ResetAfter  *int `json:"reset_after,omitempty"`
	// ErrorNext is the number of upcoming bookings that fail with status 500 and
	// have no effect.
	ErrorNext *int `json:"error_next,omitempty"`
}

// Booking is the effect of one call, either a booking or a medicine entry.
type Booking struct {
	ID  string `json:"id"`
	Ref string `json:"ref"`
	// Path is the operation, such as /bookings.
	Path string `json:"path"`
	// Body is the request body.
	Body json.RawMessage `json:"body,omitempty"`
	// Performed is the number of effects of this reference, including this one.
	Performed int `json:"performed"`
}

// Effects is the response to GET /effects. It lists the effects of all calls, so
// that a test can find lost and duplicated ones.
type Effects struct {
	Total int `json:"total"`
	// ByRef counts the effects of each reference.
	ByRef map[string]int `json:"by_ref"`
	// Duplicates lists the references with more than one effect.
	Duplicates []string `json:"duplicates"`
	// Times lists the times of the effects of each reference, in Unix milliseconds.
	Times map[string][]int64 `json:"times"`
}

// Service is an emulated plain service for bookings and medicine entries.
type Service struct {
	commonEmulator
	announcements
	cfg     ServiceConfig
	started time.Time
	slots   chan struct{}

	mu          sync.Mutex
	held        int
	crashing    bool
	epoch       uint64
	completed   uint64
	bookings    map[string]Booking
	byRef       map[string]int
	times       map[string][]int64
	requests    requestLog
	resetBefore int
	resetAfter  int
	errorNext   int
}

// StartService serves a plain service on listen. Its recorded effects survive
// crashes.
func StartService(listen string, cfg ServiceConfig, log zerolog.Logger) (*Service, error) {
	if cfg.Concurrent < 1 || cfg.MaxHeld < cfg.Concurrent || cfg.ServiceMs < 0 || cfg.RestartMs < 1 {
		return nil, trace.BadParameter("want 1 <= concurrent <= max_held, service_ms >= 0 and restart_ms >= 1")
	}
	s := &Service{
		cfg:      cfg,
		started:  time.Now(),
		slots:    make(chan struct{}, cfg.Concurrent),
		epoch:    1,
		bookings: map[string]Booking{},
		byRef:    map[string]int{},
		times:    map[string][]int64{},
	}
	s.log = log
	s.server = NewFaultServer(s.handler(), log)
	s.server.onReopen = s.restart
	return s, trace.Wrap(s.server.Start(listen))
}

func (s *Service) handler() http.Handler {
	r := newEcho(s.log)
	r.Use(s.injectFaults)
	r.Use(s.announceLeaving)
	r.POST("/bookings", s.limitCalls(s.serveBooking), s.turnAway)
	r.POST("/medicine", s.limitCalls(s.serveBooking), s.turnAway)
	r.GET("/bookings/:id", s.limitCalls(s.serveGet), s.turnAway)
	r.GET("/medicine/:id", s.limitCalls(s.serveGet), s.turnAway)
	r.GET("/load", s.serveLoad)
	r.GET("/starts", s.requests.serve(&s.announcements))
	r.GET("/effects", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Effects()) })
	addFaultsRoute(r, s.SetFaults)
	return r
}

// SetFaults sets the faults whose fields in f are present.
func (s *Service) SetFaults(f ServiceFaults) error {
	s.mu.Lock()
	setIfPresent(&s.resetBefore, f.ResetBefore)
	setIfPresent(&s.resetAfter, f.ResetAfter)
	setIfPresent(&s.errorNext, f.ErrorNext)
	s.mu.Unlock()
	s.announcements.set(f.AnnouncementFaults)
	return s.setCommonFaults(f.CommonFaults)
}

// Effects returns the performed effects.
func (s *Service) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Effects{Total: len(s.bookings), ByRef: map[string]int{}, Duplicates: []string{}, Times: map[string][]int64{}}
	for ref, n := range s.byRef {
		out.ByRef[ref] = n
		out.Times[ref] = append([]int64{}, s.times[ref]...)
		if n > 1 {
			out.Duplicates = append(out.Duplicates, ref)
		}
	}
	return out
}

// restart is called when a crashed service accepts connections again.
func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.announcements.reset()
	s.started = time.Now()
	s.crashing = false
}

// limitCalls wraps a handler so that it runs once a slot is free and the processing
// time has passed. A call that takes the service over MaxHeld crashes it.
func (s *Service) limitCalls(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Set(arrivalTimeKey, time.Now().UnixMilli())
		if s.beginCall() {
			s.log.Warn().Msg("service crashed: too many concurrent calls")
			s.server.Crash(milliseconds(s.cfg.RestartMs))
		}
		defer s.endCall()
		ctx := c.Request().Context()
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		defer func() { <-s.slots }()
		if err := sleep(ctx, milliseconds(s.cfg.ServiceMs)); err != nil {
			return err
		}
		return next(c)
	}
}

// beginCall counts a call and reports whether it overloads the service.
func (s *Service) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held++
	if s.held <= s.cfg.MaxHeld || s.crashing {
		return false
	}
	s.crashing = true
	s.requests.addOverload(s.held, s.cfg.MaxHeld)
	return true
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
	s.completed++
}

func (s *Service) serveBooking(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	ref, err := bookingRef(c.Request().Header.Get(HeaderBookingRef), body)
	if err != nil {
		return err
	}
	arrived, _ := c.Get(arrivalTimeKey).(int64)
	s.requests.add(RequestStart{UnixMs: arrived, Ref: ref})
	// A frozen process has no effects until it resumes.
	if !s.server.ioGate.wait(c.Request().Context().Done()) {
		return c.Request().Context().Err()
	}
	if s.consumeFault(&s.errorNext) {
		return writeError(c, http.StatusInternalServerError, "injected", "injected error without an effect")
	}
	if s.consumeFault(&s.resetBefore) {
		resetConn(c.Request())
		return errInjectedReset
	}
	b := s.book(c.Path(), ref, body)
	if s.consumeFault(&s.resetAfter) {
		resetConn(c.Request())
		return errInjectedReset
	}
	return c.JSON(http.StatusCreated, b)
}

// bookingRef returns the reference from the header or, without one, from the field
// ref of the body.
func bookingRef(header string, body []byte) (string, error) {
	var in struct {
		Ref string `json:"ref"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			return "", trace.BadParameter("body: %v", err)
		}
	}
	if header != "" {
		return header, nil
	}
	if in.Ref == "" {
		return "", trace.BadParameter("neither header %s nor field ref is set", HeaderBookingRef)
	}
	return in.Ref, nil
}

func (s *Service) consumeFault(left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

func (s *Service) book(path, ref string, body []byte) Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRef[ref]++
	s.times[ref] = append(s.times[ref], time.Now().UnixMilli())
	b := Booking{
		ID:        fmt.Sprintf("b%d", len(s.bookings)+1),
		Ref:       ref,
		Path:      path,
		Body:      body,
		Performed: s.byRef[ref],
	}
	s.bookings[b.ID] = b
	return b
}

func (s *Service) serveGet(c echo.Context) error {
	s.mu.Lock()
	b, ok := s.bookings[c.Param("id")]
	s.mu.Unlock()
	if !ok {
		return writeError(c, http.StatusNotFound, "not_found", "no such booking")
	}
	return c.JSON(http.StatusOK, b)
}

// serveLoad serves the load report in the same format as the engines.
func (s *Service) serveLoad(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := min(s.held, s.cfg.Concurrent)
	return c.JSON(http.StatusOK, LoadReport{
		Epoch:         s.epoch,
		StartedUnixMs: s.started.UnixMilli(),
		SampledUnixMs: time.Now().UnixMilli(),
		Running:       running,
		Waiting:       s.held - running,
		BatchLimit:    s.cfg.Concurrent,
		MaxHeld:       s.cfg.MaxHeld,
		Completed:     s.completed,
		Loaded:        []string{},
		Adapters:      []string{},
		Role:          RoleBoth,
	})
}
