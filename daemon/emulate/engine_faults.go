package emulate

import (
	"time"

	"github.com/gravitational/trace"
)

// EngineFaults is the body of POST /faults of an engine. Absent fields leave
// their fault as it is.
type EngineFaults struct {
	// FreezeMs pauses batch, input and output; 0 ends the pause.
	FreezeMs *int `json:"freeze_ms,omitempty"`
	// StopReadingMs pauses input only; 0 ends the pause.
	StopReadingMs *int `json:"stop_reading_ms,omitempty"`
	// CrashMs drops all requests and refuses connections for the time (above 0);
	// the engine then starts cold in a new epoch.
	CrashMs *int `json:"crash_ms,omitempty"`
	// Cold makes the engine cold without a restart and empties its prefix cache.
	Cold bool `json:"cold,omitempty"`
	// SlowFactor multiplies the step time; 1 ends the fault.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// ResetAfterBytes resets each chat response after that many body bytes; a
	// negative number ends the fault.
	ResetAfterBytes *int `json:"reset_after_bytes,omitempty"`
	// ErrorRate of the chat requests get status 500, 0 to 1.
	ErrorRate *float64 `json:"error_share,omitempty"`
	// Quality sets the quality of versions by model@version; a negative number
	// restores the stated one.
	Quality map[string]float64 `json:"quality,omitempty"`
	// LoseCacheEvents is the number of coming cache events that are lost.
	LoseCacheEvents *int `json:"lose_cache_events,omitempty"`
	// CacheEventDelayMs replaces the setting.
	CacheEventDelayMs *int `json:"cache_event_delay_ms,omitempty"`
	// HoldLoadReportMs keeps the present load report for the time.
	HoldLoadReportMs *int `json:"hold_load_report_ms,omitempty"`
}

type engineFaultState struct {
	slow       float64
	resetAfter int
	errorShare float64
	holdReport time.Time
}

func (s *engineFaultState) reset() { *s = engineFaultState{slow: 1, resetAfter: -1} }

// Apply sets the faults that f names.
func (e *Engine) Apply(f EngineFaults) error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return trace.BadParameter("slow_factor must be above 0")
	}
	if f.ErrorRate != nil && (*f.ErrorRate < 0 || *f.ErrorRate > 1) {
		return trace.BadParameter("error_share must be within 0..1")
	}
	if f.CrashMs != nil && *f.CrashMs <= 0 {
		return trace.BadParameter("crash_ms must be above 0")
	}
	e.applyState(f)
	if f.FreezeMs != nil {
		e.host.Freeze(ms(*f.FreezeMs))
	}
	if f.StopReadingMs != nil {
		e.host.StopReading(ms(*f.StopReadingMs))
	}
	if f.CrashMs != nil {
		e.Crash(ms(*f.CrashMs))
	}
	return nil
}

func (e *Engine) applyState(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	set(&e.faults.slow, f.SlowFactor)
	set(&e.faults.resetAfter, f.ResetAfterBytes)
	set(&e.faults.errorShare, f.ErrorRate)
	set(&e.cache.skip, f.LoseCacheEvents)
	if f.CacheEventDelayMs != nil {
		e.cacheLate = ms(*f.CacheEventDelayMs)
	}
	if f.HoldLoadReportMs != nil {
		e.faults.holdReport = now.Add(ms(*f.HoldLoadReportMs))
	}
	if f.Cold {
		e.warmth = 0
		e.cache.clear(now)
	}
	for id, q := range f.Quality {
		if q < 0 {
			delete(e.quality, id)
			continue
		}
		e.quality[id] = min(q, 1)
	}
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}
