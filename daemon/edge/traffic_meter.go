package edge

import "time"

// surgeWindow is the time over which the latest rate of requests is taken.
const surgeWindow = 1000 * time.Millisecond

// trafficMeter compares the latest rate of a growing count with its mean rate.
type trafficMeter struct {
	// samples are the counts of the latest surgeWindow, the oldest first, preceded by the first one.
	samples []countSample
}

type countSample struct {
	at    time.Time
	count int
}

// surge records a count and returns how many times its mean rate the latest rate is; 0 if that is not
// known.
func (m *trafficMeter) surge(now time.Time, count int) float64 {
	if count == 0 {
		m.samples = nil
		return 0
	}
	m.samples = append(m.samples, countSample{now, count})
	for len(m.samples) > 3 && now.Sub(m.samples[2].at) >= surgeWindow {
		m.samples = append(m.samples[:1], m.samples[2:]...)
	}
	first, recent := m.samples[0], m.samples[min(1, len(m.samples)-1)]
	mean, latest := first.rateUntil(now, count), recent.rateUntil(now, count)
	if mean <= 0 || now.Sub(recent.at) < surgeWindow {
		return 0
	}
	return latest / mean
}

// rateUntil returns the rate per second at which the count has grown since.
func (s countSample) rateUntil(now time.Time, count int) float64 {
	if since := now.Sub(s.at).Seconds(); since > 0 {
		return float64(count-s.count) / since
	}
	return 0
}
