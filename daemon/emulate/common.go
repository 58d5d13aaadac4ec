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
func (b *commonEmulator) Addr() string { return b.server.Addr() }

// URL returns the base URL of the emulator.
func (b *commonEmulator) URL() string { return b.server.URL() }

// Close drops all connections and stops the emulator.
func (b *commonEmulator) Close() { b.server.Close() }

// Shutdown waits for calls in progress until ctx is done, then closes the emulator.
func (b *commonEmulator) Shutdown(ctx context.Context) error { return b.server.Shutdown(ctx) }

// Crash drops all connections and refuses new ones until Reopen.
func (b *commonEmulator) Crash() { b.server.Crash(0) }

// Reopen ends a crash.
func (b *commonEmulator) Reopen() error { return trace.Wrap(b.server.Reopen()) }

// controlPaths are the path prefixes that outage and delay do not affect.
var controlPaths = []string{"/faults", "/stats", "/effects", "/starts"}

// injectFaults is the middleware that applies the outage and the delay.
func (b *commonEmulator) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		for _, p := range controlPaths {
			if strings.HasPrefix(c.Request().URL.Path, p) {
				return next(c)
			}
		}
		outage, delay := b.outageAndDelay()
		if outage {
			return writeError(c, http.StatusServiceUnavailable, "outage", "injected outage")
		}
		if err := sleep(c.Request().Context(), milliseconds(delay)); err != nil {
			return err
		}
		return next(c)
	}
}

func (b *commonEmulator) outageAndDelay() (bool, int) {
	b.faultMu.Lock()
	defer b.faultMu.Unlock()
	return b.outage, b.delayMs
}

func (b *commonEmulator) setCommonFaults(f CommonFaults) error {
	if f.CrashMs != nil && *f.CrashMs <= 0 {
		return trace.BadParameter("crash_ms must be above 0")
	}
	b.faultMu.Lock()
	setIfPresent(&b.outage, f.Outage)
	setIfPresent(&b.delayMs, f.DelayMs)
	b.faultMu.Unlock()
	b.setConnectionFaults(f)
	return nil
}

func (b *commonEmulator) setConnectionFaults(f CommonFaults) {
	if f.FreezeMs != nil {
		b.server.Freeze(milliseconds(*f.FreezeMs))
	}
	if f.StopReadingMs != nil {
		b.server.StopReading(milliseconds(*f.StopReadingMs))
	}
	if f.CrashMs != nil {
		b.server.Crash(milliseconds(*f.CrashMs))
	}
}
