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

// CommonFaults are the faults that the emulators of the platform's services and
// of plain services share. Absent fields leave their fault as it is.
type CommonFaults struct {
	// Outage answers every call with status 503.
	Outage *bool `json:"outage,omitempty"`
	// DelayMs is added before each call is handled.
	DelayMs *int `json:"delay_ms,omitempty"`
	// FreezeMs pauses input and output; 0 ends the pause.
	FreezeMs *int `json:"freeze_ms,omitempty"`
	// StopReadingMs pauses input; 0 ends the pause.
	StopReadingMs *int `json:"stop_reading_ms,omitempty"`
	// CrashMs (above 0) drops all connections and refuses new ones for the time.
	CrashMs *int `json:"crash_ms,omitempty"`
}

// base is the part that the simple emulators share: host, outage and delay.
type base struct {
	host *Host
	log  zerolog.Logger

	commonMu sync.Mutex
	outage   bool
	delayMs  int
}

// Addr returns the host and port of the emulator.
func (b *base) Addr() string { return b.host.Addr() }

// URL returns the base URL of the emulator.
func (b *base) URL() string { return b.host.URL() }

// Close drops all connections and ends the emulator.
func (b *base) Close() { b.host.Close() }

// Shutdown waits for running calls until ctx ends, then closes the emulator.
func (b *base) Shutdown(ctx context.Context) error { return b.host.Shutdown(ctx) }

// Crash drops all connections and refuses new ones until Reopen.
func (b *base) Crash() { b.host.Crash(0) }

// Reopen ends a crash.
func (b *base) Reopen() error { return trace.Wrap(b.host.Reopen()) }

// controlPaths are served also during an outage.
var controlPaths = []string{"/faults", "/stats", "/effects", "/starts"}

// disturb is the middleware of outage and delay.
func (b *base) disturb(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		for _, p := range controlPaths {
			if strings.HasPrefix(c.Request().URL.Path, p) {
				return next(c)
			}
		}
		outage, delay := b.disturbance()
		if outage {
			return fail(c, http.StatusServiceUnavailable, "outage", "injected outage")
		}
		if err := sleep(c.Request().Context(), ms(delay)); err != nil {
			return err
		}
		return next(c)
	}
}

func (b *base) disturbance() (bool, int) {
	b.commonMu.Lock()
	defer b.commonMu.Unlock()
	return b.outage, b.delayMs
}

func (b *base) applyCommon(f CommonFaults) error {
	if f.CrashMs != nil && *f.CrashMs <= 0 {
		return trace.BadParameter("crash_ms must be above 0")
	}
	b.commonMu.Lock()
	set(&b.outage, f.Outage)
	set(&b.delayMs, f.DelayMs)
	b.commonMu.Unlock()
	b.applyHost(f)
	return nil
}

func (b *base) applyHost(f CommonFaults) {
	if f.FreezeMs != nil {
		b.host.Freeze(ms(*f.FreezeMs))
	}
	if f.StopReadingMs != nil {
		b.host.StopReading(ms(*f.StopReadingMs))
	}
	if f.CrashMs != nil {
		b.host.Crash(ms(*f.CrashMs))
	}
}
