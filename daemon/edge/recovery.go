package edge

import (
	"sync"
	"time"
)

// Bounds that apply if the settings of a deployment leave them out: the smallest of all
// deployments known.
const (
	DefaultContact     = 3 * time.Second
	DefaultConfigApply = 2 * time.Second
	DefaultReadsPerS   = 2000
	// DefaultServerHeartbeat is the interval at which backend servers renew their entries.
	DefaultServerHeartbeat = 1200 * time.Millisecond
)

const (
	// maxProbeInterval is the time between the starts of two probes while the store is away, unless
	// there are so many routers that the store could not serve them.
	maxProbeInterval = 300 * time.Millisecond
	// probeJitter is the largest random extension of the interval, as a share of it. The
	// interval is only extended, so that all probes together stay within probeReadsShare.
	probeJitter = 0.25
	// probeReadsShare is the share of the store's reads per second that the probes of all
	// routers may use.
	probeReadsShare = 0.25
	// listingIntervals is the time after which a listing without an answer is requested once
	// more, in probe intervals. A listing takes several round trips.
	listingIntervals = 2
	// pollAllowance is how much longer than its wait a long poll may take before a probe is
	// started beside it, besides twice the time that the poll before took longer, and
	// maxPollAllowance bounds the sum. A store that is usually fast is found silent sooner, and
	// a slow one is not probed beside each poll.
	pollAllowance    = 200 * time.Millisecond
	maxPollAllowance = 600 * time.Millisecond
	// settleTime is how long after an outage or a restore the long polls are short, and
	// settleWait is their length. A store that has just come back may be restored or go
	// away once more without any call being lost.
	settleTime = 10 * time.Second
	settleWait = 500 * time.Millisecond
	// recoveryShare is the part of the shorter bound in which a router recovers; the rest covers
	// late timers. probesPerBound is the least number of probes in that time.
	recoveryShare  = 0.95
	probesPerBound = 6
	// contactMargin is the time by which the hold on vanished entries ends before this router
	// counts as in touch. It also covers the error of the times that peers state.
	contactMargin = 200 * time.Millisecond
	// heartbeatsToLapse is the number of heartbeat intervals that an outage lasts at least before
	// the entry of a live server lapses in it: entries are removed after three intervals of
	// silence, and the latest renewal may be one interval old.
	heartbeatsToLapse = 2
)

// recoveryBound is the longest time from the end of an outage, as this router sees it, until
// the newest configuration is in force, if a probe and a listing together are answered within two
// fifths of it.
func (s *Settings) recoveryBound() time.Duration {
	return time.Duration(recoveryShare * float64(min(s.contactBound(), orDefault(s.ConfigApply, DefaultConfigApply))))
}

// minLapse returns the shortest outage of the store in which the entry of a live server lapses.
func (s *Settings) minLapse() time.Duration {
	return heartbeatsToLapse * orDefault(s.ServerHeartbeat, DefaultServerHeartbeat)
}

func (s *Settings) contactBound() time.Duration { return orDefault(s.Contact, DefaultContact) }

// probeInterval returns the interval between the probes of one of some routers.
func (s *Settings) probeInterval(routers int) time.Duration {
	share := probeReadsShare * orDefault(s.StoreReadsPerS, DefaultReadsPerS)
	return max(min(maxProbeInterval, s.recoveryBound()/probesPerBound), time.Duration(float64(routers)/share*float64(time.Second)))
}

// mayListTogether reports whether the listings of some routers, started within eraJitter, stay
// within the share of the store's reads.
func (s *Settings) mayListTogether(routers int) bool {
	return float64(routers) <= probeReadsShare*orDefault(s.StoreReadsPerS, DefaultReadsPerS)*eraJitter.Seconds()
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// callSchedule decides when a router calls the store again while a call has not been
// answered. It has no clock and no network.
type callSchedule struct {
	interval time.Duration
	// jitter returns a random number between 0 and 1.
	jitter func() float64
	due    time.Time
	lost   bool
}

// first records the start of the first call, which may take some time before it is repeated.
func (s *callSchedule) first(now time.Time, allowance time.Duration) { s.due = now.Add(allowance) }

// loseCall records that a call was lost. The call after the first loss is due at once,
// because it tells whether the store is away or has been restored.
func (s *callSchedule) loseCall(now time.Time) {
	if !s.lost {
		s.lost, s.due = true, now
	}
}

// repeat records the start of a further call.
func (s *callSchedule) repeat(now time.Time) {
	s.lost = true
	s.due = now.Add(s.interval + time.Duration(probeJitter*s.jitter()*float64(s.interval)))
}

// storeContact records when this router reaches the store. It determines from when the router
// counts as in touch after a disruption, and until when entries that vanish are held. It has
// no clock and is safe for concurrent use.
type storeContact struct {
	mu sync.Mutex
	// bound is how long after the end of a disruption the router counts as in touch, minLapse the
	// shortest outage in which the entry of a live server lapses.
	bound, minLapse time.Duration
	// respondedAt is the time of the store's last response, or of the start of the process.
	respondedAt time.Time
	// sameEraAt is the latest time at which the store was in the era that this router holds.
	sameEraAt time.Time
	// lostSince is when the first call of the current outage was lost; zero while the store
	// responds.
	lostSince time.Time
	// cutCallAt is when the only call that was lost so far was started, if it failed before its
	// answer was due; zero otherwise. Whether that is an outage is open until the next answer.
	cutCallAt time.Time
	// disruptedAt is the latest time at which a disruption is known not to have ended: the
	// start of the latest call that was lost, or the last response of an earlier era. The first
	// response of a new era says nothing of when that era began.
	disruptedAt time.Time
	// servedSince is since when, during the current outage, the store has served a peer.
	servedSince time.Time
	// holdUntil is when the hold on vanished entries ends.
	holdUntil time.Time
	// settledAt is when the store counts as settled after an outage or a restore.
	settledAt time.Time
}

// responded records a response of the store. It returns how long the store was away; zero
// if no call was lost before.
func (c *storeContact) responded(now time.Time) (away time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lostSince.IsZero() {
		away = now.Sub(c.respondedAt)
		c.disruptedAt = latest(c.disruptedAt, c.cutCallAt)
		c.endDisruption(now)
		c.endLoss()
	}
	c.respondedAt = now
	return away
}

func (c *storeContact) endLoss() {
	c.lostSince, c.cutCallAt, c.servedSince = time.Time{}, time.Time{}, time.Time{}
}

// lost records that a call that was started at a time has been lost. It reports whether it
// begins an outage.
func (c *storeContact) lost(now, started time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins := c.lostSince.IsZero() || !c.cutCallAt.IsZero()
	c.disruptedAt = latest(c.disruptedAt, latest(started, c.cutCallAt))
	c.cutCallAt = time.Time{}
	if c.lostSince.IsZero() {
		c.lostSince = now
	}
	return begins
}

// cut records that a call has failed before its answer was due, as a long poll does that the
// store cuts. It reports whether the call begins an outage for certain.
func (c *storeContact) cut(now, started time.Time) bool {
	if c.firstCut(now, started) {
		return false
	}
	return c.lost(now, started)
}

// firstCut records a call that was cut, if no call was lost before.
func (c *storeContact) firstCut(now, started time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lostSince.IsZero() {
		return false
	}
	c.lostSince, c.cutCallAt = now, started
	return true
}

// resumed records that the repetition of a call that was cut has been answered. It reports
// whether that was no outage: the answer came at once, and so soon after the one before the cut
// that no entry of a live server can have lapsed in between. Vanished entries are not held then.
// The long polls are short for some time all the same, because a cut may announce an outage.
func (c *storeContact) resumed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutCallAt.IsZero() || now.Sub(c.lostSince) >= contactMargin || now.Sub(c.respondedAt) >= c.minLapse {
		return false
	}
	c.endLoss()
	c.settledAt = now.Add(settleTime)
	return true
}

// inEra records that the store was in the era that this router holds.
func (c *storeContact) inEra(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sameEraAt = latest(c.sameEraAt, at)
}

// restored records that the store is in a new era. Entries that are missing in the restored
// copy are written again, as after an outage.
func (c *storeContact) restored(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disruptedAt = latest(c.disruptedAt, c.sameEraAt)
	c.endDisruption(now)
}

// endDisruption begins the hold on vanished entries: live servers write their entries again
// within reregistrationGrace of the time from which the store serves them. The hold ends
// before this router counts as in touch.
func (c *storeContact) endDisruption(now time.Time) {
	since := now
	if !c.servedSince.IsZero() && c.servedSince.Before(now) {
		since = c.servedSince
	}
	c.holdUntil = since.Add(reregistrationGrace)
	if inTouch := c.inTouchAt(); inTouch.Before(c.holdUntil) {
		c.holdUntil = inTouch
	}
	c.settledAt = now.Add(settleTime)
}

// inTouchAt returns the earliest time at which this router may count as in touch, less the
// margin.
func (c *storeContact) inTouchAt() time.Time { return c.disruptedAt.Add(c.bound - contactMargin) }

// peerResponse records what a peer knows of the store: when it responded to the peer, and from
// when the peer's hold on vanished entries counts; zero if it was never out of contact. If the
// store served the peer during this router's outage, the servers could write their entries
// since then.
func (c *storeContact) peerResponse(respondedAt, holdSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostSince.IsZero() || respondedAt.Before(c.lostSince.Add(contactMargin)) {
		return
	}
	if holdSince.IsZero() {
		holdSince = c.lostSince.Add(-reregistrationGrace)
	}
	if c.servedSince.IsZero() || holdSince.Before(c.servedSince) {
		c.servedSince = holdSince
	}
	// The peer's changes may be removals that it still holds back. Its hold may be that of a later
	// outage of its own, which must not extend this router's beyond the time from which it may
	// count as in touch.
	c.holdUntil = latest(c.holdUntil, earliest(c.servedSince.Add(reregistrationGrace), c.inTouchAt()))
}

// followReader takes over what the reader of a follower knows: when the store responded to it,
// and from when its hold on vanished entries counts; zero for no hold.
func (c *storeContact) followReader(respondedAt, holdSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.respondedAt = respondedAt
	if holdSince.IsZero() {
		return
	}
	until := holdSince.Add(reregistrationGrace)
	if inTouch := c.inTouchAt(); holdSince.Before(inTouch) && inTouch.Before(until) {
		// The outage is one that this router has noticed itself.
		until = inTouch
	}
	c.holdUntil = latest(c.holdUntil, until)
}

// hold returns when the hold on vanished entries ends; zero before the first disruption.
func (c *storeContact) hold() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdUntil
}

// holdSince returns the time from which the hold on vanished entries counts, for peers; zero
// before the first disruption.
func (c *storeContact) holdSince() time.Time {
	if until := c.hold(); !until.IsZero() {
		return until.Add(-reregistrationGrace)
	}
	return time.Time{}
}

// outage returns the duration of the current outage; 0 while the store responds.
func (c *storeContact) outage(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostSince.IsZero() {
		return 0
	}
	return now.Sub(c.lostSince)
}

// responseAge returns the time since the store's last response.
func (c *storeContact) responseAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.respondedAt)
}

// settled reports whether the last outage or restore is some time ago.
func (c *storeContact) settled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.settledAt)
}
