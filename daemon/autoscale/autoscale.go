// Package autoscale computes the desired number of backend servers of a service in each data
// centre. It is pure: the caller passes the time, the state of the servers and what was ordered.
package autoscale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// growUtilization is the share of the slots that the forecast demand may use. The rest
	// absorbs short peaks while new servers boot.
	growUtilization = 0.7
	// shrinkUtilization is the share that the demand may use after servers are removed. It is
	// lower than growUtilization, so that noise does not cause orders in turn.
	shrinkUtilization = 0.6
	// lossUtilization is the share that the demand may use after the loss of a data centre.
	lossUtilization = 0.95
	// saturation is the share of the usable slots above which the demand is only a lower bound:
	// further requests wait at the routers, which is not part of the demand.
	saturation = 0.95
	// saturationGrowth multiplies the demand of a saturated service.
	saturationGrowth = 1.5
	// maxForecastGrowth bounds the forecast as a multiple of the present demand. The slope of a
	// burst does not last for the boot time.
	maxForecastGrowth = 1.5
	// levelTime is the time over which the present demand is averaged.
	levelTime = 3 * time.Second
	// minTrendTime and maxTrendTime bound the time over which the trend is measured. It is the
	// boot time otherwise.
	minTrendTime = 10 * time.Second
	maxTrendTime = time.Minute
	// minShrinkDelay is the least time for which the demand must have been low before servers
	// are removed. It is twice the boot time if that is longer.
	minShrinkDelay = 30 * time.Second
	// maxSampleAge is the age of the latest sample above which the demand is unknown.
	maxSampleAge = 3 * time.Second
)

// Bounds are the limits of a service's number of servers in each data centre.
type Bounds struct {
	Min, Max int
	// BootTime is the time after an order until new servers serve.
	BootTime time.Duration
}

// Sample is the state of a service at a time, by data centre.
type Sample struct {
	At time.Time
	// Work is the number of unfinished requests of all routers.
	Work map[string]float64
	// Running is the number of usable and cold servers.
	Running map[string]int
}

func (s Sample) total() (sum float64) {
	for _, work := range s.Work {
		sum += work
	}
	return sum
}

// DataCentre is the state of a service's servers in a data centre.
type DataCentre struct {
	// Usable servers have warmed up, Cold ones have not, Draining ones take no more requests.
	Usable, Cold, Draining int
	// ColdCapacity is the capacity of the cold servers by their warm-up ramp, in usable servers.
	ColdCapacity float64
	Evacuated    bool
}

func (d DataCentre) running() int { return d.Usable + d.Cold }

func (d DataCentre) capacity() float64 { return float64(d.Usable) + d.ColdCapacity }

// Order is the desired number of servers in a data centre.
type Order struct {
	Count int
	At    time.Time
}

// Input is what an order depends on.
type Input struct {
	Now    time.Time
	Bounds Bounds
	// Slots is the mean number of requests that a server runs concurrently.
	Slots       float64
	DataCentres map[string]DataCentre
	// History holds the demand in the order of time, at least for HistoryTime.
	History []Sample
	// RolloutInProgress is set while the service has a rollout that is not final.
	RolloutInProgress bool
	// Last holds the latest order for each data centre.
	Last map[string]Order
}

// Decision is an order that is due, with the figures behind it.
type Decision struct {
	DataCentre string
	// Count is the number to order, Before the one that was ordered or is running.
	Count, Before int
	// Demand is the present number of unfinished requests of the service, Forecast that after
	// the boot time, Peak the highest one within the shrink delay.
	Demand, Forecast, Peak float64
}

// ShrinkDelay returns how long the demand must have been low before servers are removed.
func (b Bounds) ShrinkDelay() time.Duration { return max(minShrinkDelay, 2*b.BootTime) }

// HistoryTime returns the time for which samples are needed.
func (b Bounds) HistoryTime() time.Duration { return max(b.ShrinkDelay(), maxTrendTime) + levelTime }

// valid reports whether servers can be ordered within the bounds.
func (b Bounds) valid() bool { return b.Min >= 0 && b.Max >= 1 && b.Max >= b.Min }

// Decide returns the orders that are due, sorted by data centre. The demand is divided evenly
// between the data centres that are not evacuated. An evacuated one keeps its number.
func Decide(in Input) []Decision {
	if !in.Bounds.valid() || in.Slots <= 0 || len(in.History) == 0 || in.Now.Sub(in.History[len(in.History)-1].At) > maxSampleAge {
		return nil
	}
	demand, forecast := in.forecast()
	peak := max(in.peak(Sample.total), forecast)
	active := in.active()
	mayShrink := in.mayShrink()
	var due []Decision
	for _, name := range active {
		before := in.current(name)
		own := func(s Sample) float64 { return s.Work[name] }
		grown := in.needed(forecast, in.level(own), growUtilization, len(active))
		count := max(before, grown)
		if kept := in.needed(peak, in.peak(own), shrinkUtilization, len(active)); grown <= before && kept < before && mayShrink {
			count = kept
		}
		if count != before {
			due = append(due, Decision{DataCentre: name, Count: count, Before: before, Demand: demand, Forecast: forecast, Peak: peak})
		}
	}
	return due
}

// active returns the sorted names of the data centres that are not evacuated.
func (in *Input) active() []string {
	names := make(map[string]bool)
	for name := range in.Last {
		names[name] = true
	}
	for name, d := range in.DataCentres {
		names[name] = !d.Evacuated
	}
	maps.DeleteFunc(names, func(_ string, active bool) bool { return !active })
	return slices.Sorted(maps.Keys(names))
}

// current returns the number of servers that the platform keeps in a data centre. Without an
// order, it is taken to be the highest number that was running recently: an order of the number
// that is left after a loss would make the loss permanent.
func (in *Input) current(name string) int {
	if last, ok := in.Last[name]; ok {
		return in.bounded(last.Count)
	}
	count := in.DataCentres[name].running()
	for _, s := range in.History {
		count = max(count, s.Running[name])
	}
	return in.bounded(count)
}

// bounded returns the nearest number within the bounds. It is at least 1: the demand for a service
// without servers would not be seen, because its requests wait at the routers.
func (in *Input) bounded(count int) int { return min(max(count, in.Bounds.Min, 1), in.Bounds.Max) }

// needed returns the number of servers that each of n data centres needs for the demand of the
// service and its own one. The rest can bear the loss of one data centre.
func (in *Input) needed(demand, own, utilization float64, n int) int {
	perServer := in.Slots * utilization
	count := math.Ceil(demand / perServer / float64(n))
	// Requests may be bound to a region, so that they can't use the servers elsewhere.
	count = max(count, math.Ceil(own/(in.Slots*lossUtilization)))
	if n > 1 {
		count = max(count, math.Ceil(demand/(in.Slots*lossUtilization)/float64(n-1)))
	}
	return in.bounded(int(min(count, float64(in.Bounds.Max))))
}

// mayShrink reports whether servers may be removed at all: the demand has been known for the
// shrink delay, no order is more recent than that, nothing disturbs the service, and all
// servers that were ordered have warmed up.
func (in *Input) mayShrink() bool {
	since := in.Now.Add(-in.Bounds.ShrinkDelay())
	if in.RolloutInProgress || in.History[0].At.After(since) {
		return false
	}
	for name, d := range in.DataCentres {
		if d.Evacuated || d.Draining > 0 || d.Cold > 0 || d.running() < in.current(name) {
			return false
		}
	}
	for name, last := range in.Last {
		if _, known := in.DataCentres[name]; last.At.After(since) || !known && last.Count > 0 {
			return false
		}
	}
	// A gap means that the demand was unknown, for example without an aggregator.
	for i := 1; i < len(in.History); i++ {
		if gap := in.History[i]; gap.At.After(since) && gap.At.Sub(in.History[i-1].At) > maxSampleAge {
			return false
		}
	}
	return true
}

// level returns the mean of the latest samples.
func (in *Input) level(value func(Sample) float64) float64 {
	sum, n := 0.0, 0
	for _, s := range in.since(levelTime) {
		sum += value(s)
		n++
	}
	return sum / float64(max(n, 1))
}

// peak returns the highest sample within the shrink delay.
func (in *Input) peak(value func(Sample) float64) (highest float64) {
	for _, s := range in.since(in.Bounds.ShrinkDelay()) {
		highest = max(highest, value(s))
	}
	return highest
}

// since returns the samples that are not older than a time.
func (in *Input) since(age time.Duration) []Sample {
	from := in.Now.Add(-age)
	first, _ := slices.BinarySearchFunc(in.History, from, func(s Sample, t time.Time) int { return cmp.Compare(s.At.UnixNano(), t.UnixNano()) })
	return in.History[first:]
}

// forecast returns the present demand and that after the boot time. A falling trend is not
// extrapolated.
func (in *Input) forecast() (demand, forecast float64) {
	demand = in.level(Sample.total)
	forecast = demand + max(in.slope(), 0)*in.Bounds.BootTime.Seconds()
	forecast = min(forecast, maxForecastGrowth*demand)
	capacity := 0.0
	for _, d := range in.DataCentres {
		if !d.Evacuated {
			capacity += d.capacity()
		}
	}
	if demand > saturation*capacity*in.Slots {
		forecast = max(forecast, saturationGrowth*demand)
	}
	return demand, forecast
}

// slope returns the change of the demand per second by least squares. It is 0 until the samples
// cover half of the time over which the trend is measured.
func (in *Input) slope() float64 {
	window := min(max(in.Bounds.BootTime, minTrendTime), maxTrendTime)
	samples := in.since(window)
	if len(samples) < 3 || in.Now.Sub(samples[0].At) < window/2 {
		return 0
	}
	var meanX, meanY float64
	for _, s := range samples {
		meanX += s.At.Sub(in.Now).Seconds() / float64(len(samples))
		meanY += s.total() / float64(len(samples))
	}
	var xy, xx float64
	for _, s := range samples {
		x := s.At.Sub(in.Now).Seconds() - meanX
		xy += x * (s.total() - meanY)
		xx += x * x
	}
	if xx == 0 {
		return 0
	}
	return xy / xx
}
