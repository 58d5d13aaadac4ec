package admission

import (
	"math"
	"time"
)

const (
	// usualTime is the time constant of a workspace's usual load.
	usualTime = time.Minute
	// minUsualTime is the least time over which the usual load is averaged.
	minUsualTime = 10 * time.Second
	// maxWorkspaces bounds the workspaces whose usual load is known.
	maxWorkspaces = 1024
	// minWeightShare times the mean is the least weight of a workspace, so that one without
	// usual load is served.
	minWeightShare = 0.1
	// largeShare is the part of the requests of a kind that counts as large.
	largeShare = 0.1
	// largeServedShare is the least part of large requests that are served, relative to the
	// whole kind. The guarantee is a half; the margin covers the time until it takes effect.
	largeServedShare = 0.6
	// kindRequests is the number of requests over which the counts of a kind are averaged.
	kindRequests = 200
	// thresholdStep is the step of the threshold of large requests, as a share of it, and
	// minThresholdStep its least part, so that a threshold of 0 can rise.
	thresholdStep    = 0.05
	minThresholdStep = 100 * time.Microsecond
	// maxKinds bounds the kinds that are told apart.
	maxKinds = 256
)

// usualLoad measures the load of each workspace. The weights follow from it, so that a
// workspace with many times its usual load waits for itself.
type usualLoad struct {
	byWorkspace map[string]*load
	total       load
	// since is the time of the first record.
	since time.Time
}

type load struct {
	work float64
	at   time.Time
}

func (l *load) add(now time.Time, work float64) {
	if passed := now.Sub(l.at); passed > 0 {
		if !l.at.IsZero() {
			l.work *= math.Exp(-float64(passed) / float64(usualTime))
		}
		l.at = now
	}
	l.work += work
}

func (u *usualLoad) record(now time.Time, workspace string, work time.Duration) {
	if u.byWorkspace == nil {
		u.since = now
		u.byWorkspace = make(map[string]*load)
	}
	l := u.byWorkspace[workspace]
	if l == nil {
		if len(u.byWorkspace) >= maxWorkspaces {
			u.forget(now)
		}
		l = &load{}
		u.byWorkspace[workspace] = l
	}
	seconds := max(work, time.Millisecond).Seconds()
	l.add(now, seconds)
	u.total.add(now, seconds)
}

// perSecond returns the mean work per second over the time constant, or since the first
// record if that is shorter.
func (u *usualLoad) perSecond() float64 {
	passed := u.total.at.Sub(u.since)
	if u.since.IsZero() || passed < minUsualTime {
		passed = minUsualTime
	}
	return u.total.work / (usualTime.Seconds() * (1 - math.Exp(-float64(passed)/float64(usualTime))))
}

// forget drops the workspaces without load for a long time, or all if there are none.
func (u *usualLoad) forget(now time.Time) {
	for name, l := range u.byWorkspace {
		if now.Sub(l.at) > usualTime {
			delete(u.byWorkspace, name)
		}
	}
	if len(u.byWorkspace) >= maxWorkspaces {
		clear(u.byWorkspace)
		u.total = load{}
	}
}

// weight returns the part of a workspace in the usual load, at least a part of the mean.
func (u *usualLoad) weight(now time.Time, workspace string) float64 {
	least := minWeightShare / float64(max(len(u.byWorkspace), 1))
	l := u.byWorkspace[workspace]
	if l == nil || u.total.work <= 0 {
		return least
	}
	// The total is decayed up to its latest record, the workspace up to its own.
	own := l.work * math.Exp(-float64(u.total.at.Sub(l.at))/float64(usualTime))
	return max(own/u.total.work, least)
}

// kinds measures how many large requests of each kind are served.
type kinds struct{ byName map[string]*kind }

type kind struct {
	// threshold is the work from which a request is large: a running estimate of the
	// quantile.
	threshold time.Duration
	// ended and served count all requests whose wait has ended and those of them that got
	// room, largeEnded and largeServed the large ones. Old ones count less.
	ended, served, largeEnded, largeServed float64
}

// arrive records a request and reports whether it is a large one of its kind.
func (k *kinds) arrive(name string, work time.Duration) (large bool) {
	if k.byName == nil {
		k.byName = make(map[string]*kind)
	}
	c := k.byName[name]
	if c == nil {
		if len(k.byName) >= maxKinds {
			clear(k.byName)
		}
		c = &kind{threshold: work}
		k.byName[name] = c
	}
	large = work > c.threshold
	// Stochastic approximation of the quantile: the steps cancel out where largeShare of the
	// requests are above.
	step := thresholdStep*float64(c.threshold) + float64(minThresholdStep)
	if large {
		c.threshold += time.Duration(step * (1 - largeShare))
	} else {
		c.threshold -= time.Duration(step * largeShare)
	}
	return large
}

// end records the end of a wait and whether the request got room.
func (k *kinds) end(name string, large, served bool) {
	c := k.byName[name]
	if c == nil {
		return
	}
	const keep, keepLarge = 1 - 1.0/kindRequests, 1 - 1/(kindRequests*largeShare)
	got := 0.0
	if served {
		got = 1
	}
	c.ended, c.served = c.ended*keep+1, c.served*keep+got
	if large {
		c.largeEnded, c.largeServed = c.largeEnded*keepLarge+1, c.largeServed*keepLarge+got
	}
}

// protects reports whether large requests of a kind go before others because too few of them
// were served.
func (k *kinds) protects(name string) bool {
	c := k.byName[name]
	if c == nil || c.largeEnded == 0 {
		return false
	}
	return c.largeServed/c.largeEnded < largeServedShare*c.served/c.ended
}
