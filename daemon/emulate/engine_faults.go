package emulate

import (
	"time"

	"github.com/gravitational/trace"
)

// EngineFaults is the body of POST /faults of an engine. An absent field leaves
// its fault unchanged.
type EngineFaults struct {
	AnnouncementFaults
	// FreezeMs pauses the batch, input and output; 0 ends the pause.
	FreezeMs *int `json:"freeze_ms,omitempty"`
	// StopReadingMs pauses input only; 0 ends the pause.
	StopReadingMs *int `json:"stop_reading_ms,omitempty"`
	// CrashMs cancels all requests and refuses connections for that duration,
	// which must be above 0. The engine then starts cold in a new epoch.
	CrashMs *int `json:"crash_ms,omitempty"`
	// Cold makes the engine cold and clears its prefix cache without a restart.
	Cold bool `json:"cold,omitempty"`
	// SlowFactor multiplies the step duration; 1 ends the fault.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// ResetAfterBytes resets each chat response after that many body bytes; a
	// negative number ends the fault.
	ResetAfterBytes *int `json:"reset_after_bytes,omitempty"`
	// Violation replaces each chat response by a violation of the protocol, one of the
	// Violation constants; the empty string ends the fault.
	Violation *string `json:"violation,omitempty"`
	// ErrorRate is the share of chat requests that fail with status 500, 0 to 1.
	ErrorRate *float64 `json:"error_share,omitempty"`
	// Quality overrides the quality of versions, keyed by model@version; a negative
	// number restores the configured quality.
	Quality map[string]float64 `json:"quality,omitempty"`
	// LoseCacheEvents is the number of upcoming cache events to drop.
	LoseCacheEvents *int `json:"lose_cache_events,omitempty"`
	// CacheEventDelayMs replaces EngineConfig.CacheEventDelayMs.
	CacheEventDelayMs *int `json:"cache_event_delay_ms,omitempty"`
	// HoldLoadReportMs stops updates of the load report for that duration.
	HoldLoadReportMs *int `json:"hold_load_report_ms,omitempty"`
}

type engineFaultState struct {
	slowFactor      float64
	resetAfter      int
	violation       string
	errorRate       float64
	reportHeldUntil time.Time
}

func (s *engineFaultState) reset() { *s = engineFaultState{slowFactor: 1, resetAfter: -1} }

// SetFaults sets the faults whose fields in f are present.
func (e *Engine) SetFaults(f EngineFaults) error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return trace.BadParameter("slow_factor must be above 0")
	}
	if f.ErrorRate != nil && (*f.ErrorRate < 0 || *f.ErrorRate > 1) {
		return trace.BadParameter("error_share must be within 0..1")
	}
	if f.CrashMs != nil && *f.CrashMs <= 0 {
		return trace.BadParameter("crash_ms must be above 0")
	}
	if f.Violation != nil {
		if err := checkViolation(*f.Violation); err != nil {
			return err
		}
	}
	e.announcements.set(f.AnnouncementFaults)
	e.setEngineFaults(f)
	if f.FreezeMs != nil {
		e.server.Freeze(milliseconds(*f.FreezeMs))
	}
	if f.StopReadingMs != nil {
		e.server.StopReading(milliseconds(*f.StopReadingMs))
	}
	if f.CrashMs != nil {
		e.Crash(milliseconds(*f.CrashMs))
	}
	return nil
}

func (e *Engine) setEngineFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	setIfPresent(&e.faults.slowFactor, f.SlowFactor)
	setIfPresent(&e.faults.resetAfter, f.ResetAfterBytes)
	setIfPresent(&e.faults.violation, f.Violation)
	setIfPresent(&e.faults.errorRate, f.ErrorRate)
	setIfPresent(&e.cache.dropEvents, f.LoseCacheEvents)
	if f.CacheEventDelayMs != nil {
		e.cacheEventDelay = milliseconds(*f.CacheEventDelayMs)
	}
	if f.HoldLoadReportMs != nil {
		e.faults.reportHeldUntil = now.Add(milliseconds(*f.HoldLoadReportMs))
	}
	if f.Cold {
		e.warmupCompletions = 0
		e.cache.clear(now)
	}
	for id, q := range f.Quality {
		if q < 0 {
			delete(e.qualityOverrides, id)
			continue
		}
		e.qualityOverrides[id] = min(q, 1)
	}
}

func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}
