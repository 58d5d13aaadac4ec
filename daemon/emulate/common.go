package emulate

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
)

// CommonFaults holds the faults that all emulators except the engine support. An
// absent field leaves its fault unchanged.
type CommonFaults struct {
	// Outage makes every call fail with status 503.
	Outage *bool `json:"outage,omitempty"`
	// DelayMs is the delay before each call is handled.
	DelayMs *int `json:"delay_ms,omitempty"`
	// FreezeMs pauses input and output; 0 ends the pause.
	FreezeMs *int `json:"freeze_ms,omitempty"`
	// StopReadingMs pauses input; 0 ends the pause.
	StopReadingMs *int `json:"stop_reading_ms,omitempty"`
	// CrashMs drops all connections and refuses new ones for that duration, which
	// must be above 0.
	CrashMs *int `json:"crash_ms,omitempty"`
}

// commonEmulator holds what all emulators except the engine share: the server,
// the outage and the delay.
type commonEmulator struct {
	server *FaultServer
	log    zerolog.Logger

	faultMu sync.Mutex
	outage  bool
	delayMs int
}

// Addr returns the host and port of the emulator.
func (e *commonEmulator) Addr() string { return e.server.Addr() }

// URL returns the base URL of the emulator.
func (e *commonEmulator) URL() string { return e.server.URL() }

// Close drops all connections and stops the emulator.
func (e *commonEmulator) Close() { e.server.Close() }

// Shutdown waits for calls in progress until ctx is done, then closes the emulator.
func (e *commonEmulator) Shutdown(ctx context.Context) error { return e.server.Shutdown(ctx) }

// Crash drops all connections and refuses new ones until Reopen.
func (e *commonEmulator) Crash() { e.server.Crash(0) }

// Reopen ends a crash.
func (e *commonEmulator) Reopen() error { return trace.Wrap(e.server.Reopen()) }

// controlPaths are the path prefixes that outage and delay do not affect.
var controlPaths = []string{"/faults", "/stats", "/effects", "/starts"}

// injectFaults is the middleware that applies the outage and the delay.
func (e *commonEmulator) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		for _, p := range controlPaths {
			if strings.HasPrefix(c.Request().URL.Path, p) {
				return next(c)
			}
		}
		outage, delay := e.outageAndDelay()
		if outage {
			return writeError(c, http.StatusServiceUnavailable, "outage", "injected outage")
		}
		if err := sleep(c.Request().Context(), milliseconds(delay)); err != nil {
			return err
		}
		return next(c)
	}
}

func (e *commonEmulator) outageAndDelay() (bool, int) {
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	return e.outage, e.delayMs
}

func (e *commonEmulator) setCommonFaults(f CommonFaults) error {
	if f.CrashMs != nil && *f.CrashMs <= 0 {
		return trace.BadParameter("crash_ms must be above 0")
	}
	e.faultMu.Lock()
	setIfPresent(&e.outage, f.Outage)
	setIfPresent(&e.delayMs, f.DelayMs)
	e.faultMu.Unlock()
	e.setConnectionFaults(f)
	return nil
}

func (e *commonEmulator) setConnectionFaults(f CommonFaults) {
	if f.FreezeMs != nil {
		e.server.Freeze(milliseconds(*f.FreezeMs))
	}
	if f.StopReadingMs != nil {
		e.server.StopReading(milliseconds(*f.StopReadingMs))
	}
	if f.CrashMs != nil {
		e.server.Crash(milliseconds(*f.CrashMs))
	}
}
