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

// HeaderBookingRef names the booking that a call asks for. The service does not
// remove duplicates: each call that it handles has an effect.
const HeaderBookingRef = "X-Booking-Ref"

// enteredKey is the context key of the time at which a call arrived.
const enteredKey = "entered_unix_ms"

// ServiceConfig holds the settings of the plain service emulator.
type ServiceConfig struct {
	// ServiceMs is the time that a call takes.
	ServiceMs int `json:"service_ms"`
	// Concurrent is the number of calls handled at the same time; others wait.
	Concurrent int `json:"concurrent"`
	// MaxHeld is the number of running and waiting calls that the service
	// survives; one more makes it refuse connections for RestartMs.
	MaxHeld   int `json:"max_held"`
	RestartMs int `json:"restart_ms"`
}

// DefaultServiceConfig returns a service that takes 5 ms for a call.
func DefaultServiceConfig() ServiceConfig {
	return ServiceConfig{ServiceMs: 5, Concurrent: 16, MaxHeld: 128, RestartMs: 3000}
}

// ServiceFaults is the body of POST /faults of the plain service.
type ServiceFaults struct {
	CommonFaults
	// ResetBefore is the number of coming bookings whose connection is reset
	// before the effect, ResetAfter after it.
	ResetBefore *int `json:"reset_before,omitempty"`
	ResetAfter  *int `json:"reset_after,omitempty"`
	// ErrorNext is the number of coming bookings that get status 500 without an
	// effect.
	ErrorNext *int `json:"error_next,omitempty"`
}

// Booking is a performed effect.
type Booking struct {
	ID  string `json:"id"`
	Ref string `json:"ref"`
	// Path is the operation, such as /bookings.
	Path string `json:"path"`
	// Body is the request body.
	Body json.RawMessage `json:"body,omitempty"`
	// Performed is the number of effects of this reference, this one included.
	Performed int `json:"performed"`
}

// Effects is the answer of GET /effects.
type Effects struct {
	Total int `json:"total"`
	// ByRef counts the effects of each reference.
	ByRef map[string]int `json:"by_ref"`
	// Duplicates lists the references with more than one effect.
	Duplicates []string `json:"duplicates"`
	// Times holds the times of the effects of each reference, in ms since 1970.
	Times map[string][]int64 `json:"times"`
}

// Service is the emulated plain service of bookings and medicine entries.
type Service struct {
	base
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
	starts      startLog
	resetBefore int
	resetAfter  int
	errorNext   int
}

// StartService serves a plain service on listen. Its effects outlast a crash.
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
	s.host = NewHost(s.handler(), log)
	s.host.onReopen = s.restart
	return s, trace.Wrap(s.host.Start(listen))
}

func (s *Service) handler() http.Handler {
	r := newEcho(s.log)
	r.Use(s.disturb)
	r.POST("/bookings", s.hold(s.serveBooking))
	r.POST("/medicine", s.hold(s.serveBooking))
	r.GET("/bookings/:id", s.hold(s.serveGet))
	r.GET("/medicine/:id", s.hold(s.serveGet))
	r.GET("/load", s.serveLoad)
	r.GET("/starts", s.starts.serve)
	r.GET("/effects", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Effects()) })
	faultRoutes(r, s.Apply)
	return r
}

// Apply sets the faults that f names.
func (s *Service) Apply(f ServiceFaults) error {
	s.mu.Lock()
	set(&s.resetBefore, f.ResetBefore)
	set(&s.resetAfter, f.ResetAfter)
	set(&s.errorNext, f.ErrorNext)
	s.mu.Unlock()
	return s.applyCommon(f.CommonFaults)
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
	s.started = time.Now()
	s.crashing = false
}

// hold bounds the calls that are in the service and waits for a free slot.
func (s *Service) hold(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Set(enteredKey, time.Now().UnixMilli())
		if s.enter() {
			s.log.Warn().Msg("service crashed: more calls than it can hold")
			s.host.Crash(ms(s.cfg.RestartMs))
		}
		defer s.leave()
		ctx := c.Request().Context()
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		defer func() { <-s.slots }()
		if err := sleep(ctx, ms(s.cfg.ServiceMs)); err != nil {
			return err
		}
		return next(c)
	}
}

// enter counts a call and reports whether the service falls over by it.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held++
	if s.held <= s.cfg.MaxHeld || s.crashing {
		return false
	}
	s.crashing = true
	s.starts.overload(s.held, s.cfg.MaxHeld)
	return true
}

func (s *Service) leave() {
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
	entered, _ := c.Get(enteredKey).(int64)
	s.starts.add(RequestStart{UnixMs: entered, Ref: ref})
	// A frozen process performs nothing until it wakes.
	if !s.host.frozen.pass(c.Request().Context().Done()) {
		return c.Request().Context().Err()
	}
	if s.takeFault(&s.errorNext) {
		return fail(c, http.StatusInternalServerError, "injected", "injected error without an effect")
	}
	if s.takeFault(&s.resetBefore) {
		resetConn(c.Request())
		return errReset
	}
	b := s.perform(c.Path(), ref, body)
	if s.takeFault(&s.resetAfter) {
		resetConn(c.Request())
		return errReset
	}
	return c.JSON(http.StatusCreated, b)
}

// bookingRef returns the reference from the header or the body's field ref.
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

func (s *Service) takeFault(left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

func (s *Service) perform(path, ref string, body []byte) Booking {
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
		return fail(c, http.StatusNotFound, "not_found", "no such booking")
	}
	return c.JSON(http.StatusOK, b)
}

// serveLoad reports the load in the form of the engines.
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
