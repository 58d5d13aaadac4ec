package main

import (
	"io"
	"net/http"
	"time"
)

// endsAllowed is the number of ends of the processes of a machine from which the rule counts the
// machine; two such machines break it.
const endsAllowed = 3

// enforceMemory returns a function that acts for the platform for some time: a process that exceeds
// memory_mb is killed and started again. The function reports whether the rule is broken, and returns as
// soon as it is.
func (h *harness) enforceMemory(report func()) (watch func(time.Duration) (broken bool)) {
	ends, peaks := make([]int, len(h.edges)), make([]int64, len(h.edges))
	return func(d time.Duration) bool {
		broken := func() bool {
			machines := 0
			for _, n := range ends {
				if n >= endsAllowed {
					machines++
				}
			}
			return machines >= 2
		}
		for until := time.Now().Add(d); time.Now().Before(until) && !broken(); time.Sleep(20 * time.Millisecond) {
			for i, e := range h.edges {
				used := e.memory()
				peaks[i] = max(peaks[i], used)
				if used <= memoryMB<<20 {
					continue
				}
				ends[i]++
				h.note("platform: %s uses %d MB, its limit is %d MB: killed, for the %d. time", e.name, used>>20, memoryMB, ends[i])
				e.kill()
				h.start(e)
			}
		}
		for i, e := range h.edges {
			h.note("platform: %s used %d MB at most and was killed %d times", e.name, peaks[i]>>20, ends[i])
		}
		report()
		return broken()
	}
}

func discard(response *http.Response) (int64, error) {
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}
