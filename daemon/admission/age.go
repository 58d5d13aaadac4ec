package admission

import "time"

const (
	// frequentShare is the part of a route's requests that state the same timeout from which
	// that timeout counts as one that callers begin with. Callers that return after a refusal
	// state what is left of theirs, which differs from request to request.
	frequentShare = 0.05
	// minFrequentCount is the least number of such requests.
	minFrequentCount = 8
	// timeoutSamples is the number of requests after which the counts are halved, and
	// maxTimeouts bounds the different timeouts that are counted.
	timeoutSamples = 1024
	maxTimeouts    = 256
	// refreshInterval is the number of requests after which the list of frequent timeouts is
	// made again, once there are as many.
	refreshInterval = 64
	// minAge is the least age that is told from the time that a request takes to arrive.
	minAge = 20 * time.Millisecond
)

// Timeouts estimates from the timeouts that the callers of a route state how long ago a caller
// sent its request for the first time. It is not safe for concurrent use.
type Timeouts struct {
	counts map[time.Duration]int
	total  int
	// frequent lists the timeouts that callers begin with.
	frequent []time.Duration
}

// Age records the timeout that a request states and returns how long ago its caller first
// sent it, or 0 if the timeout does not tell.
func (t *Timeouts) Age(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.record(timeout)
	if t.total < refreshInterval || t.total%refreshInterval == 0 {
		t.refresh()
	}
	age := time.Duration(0)
	for _, value := range t.frequent {
		if value == timeout {
			return 0
		}
		if value > timeout && (age == 0 || value-timeout < age) {
			age = value - timeout
		}
	}
	if age < minAge {
		return 0
	}
	return age
}

// refresh lists the frequent timeouts.
func (t *Timeouts) refresh() {
	t.frequent = t.frequent[:0]
	for value, count := range t.counts {
		if count >= minFrequentCount && float64(count) >= frequentShare*float64(t.total) {
			t.frequent = append(t.frequent, value)
		}
	}
}

func (t *Timeouts) record(timeout time.Duration) {
	if t.counts == nil {
		t.counts = make(map[time.Duration]int)
	}
	if t.total++; t.total >= timeoutSamples {
		t.total = 0
		for value, count := range t.counts {
			if count /= 2; count == 0 {
				delete(t.counts, value)
				continue
			}
			t.counts[value] = count
			t.total += count
		}
	}
	if _, known := t.counts[timeout]; known || len(t.counts) < maxTimeouts {
		t.counts[timeout]++
	}
}
