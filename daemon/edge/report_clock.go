package edge

import (
	"maps"
	"sync"
	"time"
)

const (
	// offsetPeriod is how long the shortest delay of a router's reports is remembered at least.
	offsetPeriod = 10 * time.Second
	// reporterTTL is how long a router is remembered that sends no reports.
	reporterTTL = time.Minute
)

// reportClocks estimate when the reports of other routers were made, so that what several routers have
// seen can be put in order. Reports state the time that their process has run. The difference
// between that and the arrival is the delay of the report and a constant, so reports with
// the least difference have the least delay. It is safe for concurrent use.
type reportClocks struct {
	mu       sync.Mutex
	began    time.Time
	byRouter map[string]*reportClock
}

// reportClock holds the least differences of a router in this period and in the one before.
type reportClock struct {
	least, leastBefore time.Duration
	periodEnd          time.Time
}

// madeAt returns when a report that has arrived now was made, by this process's clock. elapsed is for how
// long its router had run then; 0 if that is not known.
func (c *reportClocks) madeAt(router string, now time.Time, elapsed time.Duration) time.Time {
	if elapsed <= 0 {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byRouter == nil {
		c.began, c.byRouter = now, make(map[string]*reportClock)
	}
	difference := now.Sub(c.began) - elapsed
	clock := c.byRouter[router]
	if clock == nil {
		maps.DeleteFunc(c.byRouter, func(_ string, other *reportClock) bool { return now.Sub(other.periodEnd) > reporterTTL })
		clock = &reportClock{least: difference, leastBefore: difference, periodEnd: now.Add(offsetPeriod)}
		c.byRouter[router] = clock
	}
	return now.Add(clock.update(now, difference) - difference)
}

// update takes a difference into account and returns the least one.
func (c *reportClock) update(now time.Time, difference time.Duration) time.Duration {
	if difference-min(c.least, c.leastBefore) > maxLoadExchange {
		// No exchange takes so long: the router has been restarted, or its clock stood still.
		c.least, c.leastBefore = difference, difference
	}
	if !now.Before(c.periodEnd) {
		c.least, c.leastBefore, c.periodEnd = difference, c.least, now.Add(offsetPeriod)
	}
	c.least = min(c.least, difference)
	return min(c.least, c.leastBefore)
}
