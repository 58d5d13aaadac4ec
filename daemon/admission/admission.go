// Package admission decides in which order requests that find no room at the backend
// servers of a service are sent, and which of them are refused. A Queue has no network and no
// clock; it is not safe for concurrent use.
package admission

import (
	"container/heap"
	"math"
	"time"
)

const (
	// A class that waits gets room for a request at the latest when others got
	// guaranteedMultiple times as much, which is a tenth of all.
	guaranteedMultiple = 9
	// maxClasses bounds the priority classes that are told apart; larger ones count as the
	// last.
	maxClasses = 10
	// MaxEntries and MaxBytes bound a queue, so that the waiting requests of a router fit into its
	// memory. The bytes are those of the requests' bodies.
	MaxEntries = 12_000
	MaxBytes   = 64 << 20
	// A held request may be refused until refusalHoldShare of its latency target, or
	// maxRefusalShare of the time from its arrival to its deadline, has passed, whichever is
	// earlier.
	refusalHoldShare = 0.5
	maxRefusalShare  = 0.25
	// certainShare is the part of an expected wait and of an expected answer that counts when
	// a request is refused: the wait is the estimate for the end of the queue, and callers
	// often state an upper bound as the length of the answer. With 1 in place of 0.5, requests
	// were refused at 80% load.
	certainShare = 0.5
	// minSpareShare is the least part of the room that late requests are expected to get.
	minSpareShare = 0.25
	// delayPerWork times its work is the delay of a request that weighs as much as the delay of
	// others by the same multiple of theirs.
	delayPerWork = 10
	// rateTime is the time constant of the rate at which work is sent while requests wait.
	rateTime = time.Second
	// minRate is the lowest rate in seconds of work per second; it keeps expected waits finite.
	minRate = 1e-3
	// minRateShare times the rate that the servers should reach is the lowest rate used for
	// an expected wait: a rate that is measured too low must not cause refusals.
	minRateShare = 0.5
)

// Reason tells why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// CannotEnd: by the expected wait, the request can't end before its deadline.
	CannotEnd Reason = "cannot_end"
	// QueueFull: the queue is full, and the refusal of the request costs least.
	QueueFull Reason = "queue_full"
	// NoServer: no server may take the request when it is decided whether to go on holding it.
	NoServer Reason = "no_server"
)

// Entry is a request that waits for room. The fields up to Payload are set by the caller and
// must not change while the request waits.
type Entry struct {
	// Class is the priority class; 0 is the most urgent.
	Class     int
	Workspace string
	// Kind names requests of similar size, such as those of a route.
	Kind string
	// ArrivedAt is when the router got the request. CallerSince is when the caller first sent
	// it, if an earlier attempt was refused; otherwise the same time.
	ArrivedAt, CallerSince time.Time
	// Target is the latency target, 0 for none.
	Target   time.Duration
	Deadline time.Time
	// Work is the expected time that a server spends on the request before its first byte,
	// Answer the expected time from the first byte to the last.
	Work, Answer time.Duration
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Payload is not used by the queue.
	Payload any

	// onTimeUntil is the latest start at which the request meets its latency target.
	onTimeUntil time.Time
	// order is the place of the request among those that can meet their latency target.
	order time.Time
	// refusable is until when the request may be refused.
	refusable time.Time
	// latestStart is until when the request may be held.
	latestStart time.Time
	// committed is set once the request may no longer be refused.
	committed bool
	large     bool
	// favoured is set if the request goes before others of its class because too few large
	// ones of its kind were served.
	favoured bool
	// postponedTo is when the decision on an entry that must be sent is repeated.
	postponedTo time.Time
	// due is the next time at which the queue has to decide on the entry.
	due time.Time
	// line is the heap that holds the entry, at lineIndex; dueIndex is its place in the heap
	// by due time. They are -1 while the entry is in none.
	line *line
	// lineName is the name of the line that last held the entry.
	lineName            string
	weight              float64
	lineIndex, dueIndex int
	late                bool
}

// ClassOf returns the class of a priority: configured priorities may be out of the range of
// the classes that are told apart.
func ClassOf(priority int) int { return min(max(priority, 0), maxClasses-1) }

// Returned reports whether the caller has sent the request before and was refused.
func (e *Entry) Returned() bool { return e.CallerSince.Before(e.ArrivedAt) }

// Late reports whether the request can no longer meet its latency target.
func (e *Entry) Late() bool { return e.late }

// Committed reports whether the request may no longer be refused.
func (e *Entry) Committed() bool { return e.committed }

// Refusal is the decision to refuse a request.
type Refusal struct {
	Entry  *Entry
	Reason Reason
	// ExpectedWait is the time after which room for the request is expected.
	ExpectedWait time.Duration
	RetryAfter   time.Duration
}

// Queue holds the waiting requests of a service.
type Queue struct {
	// Random returns a number from [0, 1); it spreads the callers that return.
	Random func() float64

	classes [maxClasses]class
	due     dueHeap
	entries int
	bytes   int
	rate    rate
	usual   usualLoad
	kinds   kinds
}

// class holds the waiting requests of a priority class.
type class struct {
	// onTime holds the requests that can still meet their latency target, late the others.
	onTime, late flows
	// passedBy is the work granted to other classes since this one last got room. It is 0
	// while no request of the class waits.
	passedBy time.Duration
}

func (c *class) waiting() int { return c.onTime.entries + c.late.entries }

// New returns an empty queue.
func New(random func() float64) *Queue { return &Queue{Random: random} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.entries }

// Arrive records a request, whether it has to wait or not.
func (q *Queue) Arrive(now time.Time, workspace string, work time.Duration) {
	q.usual.record(now, workspace, work)
}

// Offer adds a request that found no room. capacity is the work per second that this router's
// part of the servers should get done. The result is nil if nothing is refused; otherwise the
// refused entry is the new one or one that had waited, which is no longer in the queue.
func (q *Queue) Offer(now time.Time, e *Entry, capacity float64) *Refusal {
	q.rate.expected = capacity
	e.Class = ClassOf(e.Class)
	e.Work = max(e.Work, time.Millisecond)
	e.lineIndex, e.dueIndex = -1, -1
	e.large = q.kinds.arrive(e.Kind, e.Work)
	e.favoured = e.large && q.kinds.protects(e.Kind)
	q.setTimes(now, e)
	// Without a wait the request is sent to find out whether it can end: the estimate of an
	// answer's length may be wrong, and nothing is gained by refusing it.
	if wait := q.ExpectedWait(now, e); q.entries > 0 && q.cannotEnd(now, e, wait) {
		return q.refuse(e, CannotEnd, wait)
	}
	if q.entries < MaxEntries && q.bytes+e.Bytes <= MaxBytes {
		q.insert(now, e)
		return nil
	}
	victim := q.cheapest(now, e)
	wait := q.ExpectedWait(now, victim)
	if victim != e {
		q.Remove(victim)
		if q.bytes+e.Bytes > MaxBytes {
			// Both are too much: the new one is refused as well, and the queue keeps the other.
			q.insert(now, victim)
			victim = e
		} else {
			q.insert(now, e)
		}
	}
	return q.refuse(victim, QueueFull, wait)
}

// setTimes derives the times of an entry's decisions.
func (q *Queue) setTimes(now time.Time, e *Entry) {
	e.onTimeUntil = e.Deadline
	if e.Target > 0 {
		e.onTimeUntil = e.CallerSince.Add(e.Target - e.Work)
	}
	e.order = e.CallerSince.Add(delayPerWork * e.Work)
	refusable := e.ArrivedAt.Add(time.Duration(refusalHoldShare * float64(e.Target)))
	if share := e.ArrivedAt.Add(time.Duration(maxRefusalShare * float64(e.Deadline.Sub(e.ArrivedAt)))); share.Before(refusable) {
		refusable = share
	}
	e.latestStart = e.Deadline.Add(-e.Work - e.Answer - e.Target)
	if e.latestStart.Before(refusable) {
		e.latestStart = refusable
	}
	e.refusable = refusable
	if e.favoured {
		e.onTimeUntil, e.order = e.latestStart, e.ArrivedAt
	}
	e.late = !now.Before(e.onTimeUntil)
}

// cannotEnd reports whether a request can't end before its deadline after a wait.
func (q *Queue) cannotEnd(now time.Time, e *Entry, wait time.Duration) bool {
	if e.favoured {
		return !now.Add(e.Work).Before(e.Deadline)
	}
	return now.Add(time.Duration(certainShare*float64(wait+e.Answer)) + e.Work).After(e.Deadline)
}

// refuse returns the refusal of an entry that is not in the queue.
func (q *Queue) refuse(e *Entry, reason Reason, wait time.Duration) *Refusal {
	q.kinds.end(e.Kind, e.large, false)
	return &Refusal{Entry: e, Reason: reason, ExpectedWait: wait, RetryAfter: q.retryAfter(wait)}
}

const (
	minRetryAfter = 50 * time.Millisecond
	// minRetrySpread is the least time over which refused callers return.
	minRetrySpread = 400 * time.Millisecond
)

// retryAfter returns a random time around the one at which room is expected.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	spread := max(wait, minRetrySpread)
	return max(wait-spread/4, minRetryAfter) + time.Duration(q.Random()*float64(spread))
}

func (q *Queue) insert(now time.Time, e *Entry) {
	e.late = !now.Before(e.onTimeUntil)
	q.flowsOf(e).push(e, q.usual.weight(now, e.Workspace))
	q.schedule(e)
	heap.Push(&q.due, e)
	q.entries++
	q.bytes += e.Bytes
}

func (q *Queue) flowsOf(e *Entry) *flows {
	if e.late {
		return &q.classes[e.Class].late
	}
	return &q.classes[e.Class].onTime
}

// Remove removes a waiting entry; it does nothing if the entry does not wait.
func (q *Queue) Remove(e *Entry) {
	if e.line == nil {
		return
	}
	q.flowsOf(e).remove(e)
	heap.Remove(&q.due, e.dueIndex)
	q.entries--
	q.bytes -= e.Bytes
	if c := &q.classes[e.Class]; c.waiting() == 0 {
		c.passedBy = 0
	}
}

// Return puts back an entry that Next has returned and that found no room.
func (q *Queue) Return(now time.Time, e *Entry) { q.insert(now, e) }

// Next removes the entry that is to get room first and returns it, or nil if none waits. The
// caller calls either Granted or Return with it.
func (q *Queue) Next(now time.Time) *Entry {
	q.advance(now)
	e := q.first()
	if e == nil {
		return nil
	}
	passedBy := q.classes[e.Class].passedBy
	q.Remove(e)
	q.classes[e.Class].passedBy = passedBy
	return e
}

// first returns the entry that is to get room first.
func (q *Queue) first() *Entry {
	e := q.mostUrgent()
	if e == nil {
		return nil
	}
	for i := range q.classes {
		c := &q.classes[i]
		if i == e.Class || c.waiting() == 0 {
			continue
		}
		if owed := c.first(); c.passedBy >= guaranteedMultiple*owed.Work {
			return owed
		}
	}
	return e
}

// mostUrgent returns the first entry regardless of the guaranteed shares.
func (q *Queue) mostUrgent() *Entry {
	for i := range q.classes {
		if q.classes[i].onTime.entries > 0 {
			return q.classes[i].onTime.first()
		}
	}
	for i := range q.classes {
		if q.classes[i].late.entries > 0 {
			return q.classes[i].late.first()
		}
	}
	return nil
}

func (c *class) first() *Entry {
	if c.onTime.entries > 0 {
		return c.onTime.first()
	}
	return c.late.first()
}

// Granted records that an entry is sent.
func (q *Queue) Granted(now time.Time, e *Entry) {
	q.rate.record(now, e.Work)
	q.kinds.end(e.Kind, e.large, !e.committed || now.Before(e.latestStart))
	for i := range q.classes {
		switch c := &q.classes[i]; {
		case c.waiting() == 0:
			c.passedBy = 0
		case i == e.Class:
			c.passedBy = max(0, c.passedBy-guaranteedMultiple*e.Work)
		default:
			c.passedBy += e.Work
		}
	}
	q.flowsOf(e).spend(e)
}

// advance moves entries that can no longer meet their latency target behind those that can. It
// stops at an entry on which a decision is due.
func (q *Queue) advance(now time.Time) {
	for len(q.due) > 0 {
		e := q.due[0]
		if e.late || now.Before(e.onTimeUntil) {
			return
		}
		q.classes[e.Class].onTime.remove(e)
		e.late = true
		q.classes[e.Class].late.push(e, q.usual.weight(now, e.Workspace))
		q.schedule(e)
	}
}

// schedule sets the time of an entry's next event.
func (q *Queue) schedule(e *Entry) {
	e.due = e.refusable
	if e.committed {
		e.due = e.latestStart
		if e.postponedTo.After(e.due) {
			e.due = e.postponedTo
		}
	}
	if !e.late && e.onTimeUntil.Before(e.due) {
		e.due = e.onTimeUntil
	}
	if e.dueIndex >= 0 {
		heap.Fix(&q.due, e.dueIndex)
	}
}

// Due returns the next entry on which a decision is due, or nil. It stays in the queue. A
// committed entry has been held as long as it may be and must be sent; see Postpone. For any
// other one, see Decide.
func (q *Queue) Due(now time.Time) *Entry {
	q.advance(now)
	if len(q.due) == 0 || now.Before(q.due[0].due) {
		return nil
	}
	return q.due[0]
}

// Decide refuses a due entry that can't end before its deadline, and removes it. Otherwise it
// commits to serve the entry and returns nil. noServer tells that no server may take it.
func (q *Queue) Decide(now time.Time, e *Entry, noServer bool) *Refusal {
	wait := q.ExpectedWait(now, e)
	reason := CannotEnd
	if noServer {
		reason = NoServer
	} else if !q.cannotEnd(now, e, wait) {
		e.committed = true
		q.schedule(e)
		return nil
	}
	q.Remove(e)
	return q.refuse(e, reason, wait)
}

// ExpectedWait estimates how long an entry waits, whether it is in the queue or not: the work
// that precedes it by the rate at which work was sent lately.
func (q *Queue) ExpectedWait(now time.Time, e *Entry) time.Duration {
	var onTime, late time.Duration
	for i := range q.classes {
		c := &q.classes[i]
		if i < e.Class || i != e.Class && e.late {
			onTime += c.onTime.work
		}
		if i < e.Class && e.late {
			late += c.late.work
		}
	}
	// When a decision is due, an entry that can meet its target is not at the end of its group.
	own := &q.classes[e.Class]
	group := q.flowsOf(e).work
	switch {
	case e.line == nil:
	case e.late:
		group -= e.Work
	default:
		group = (group - e.Work) / 2
	}
	if !e.late {
		return dividedBy(onTime+group, q.rate.perSecond(now))
	}
	return dividedBy(onTime+own.onTime.work, q.rate.perSecond(now)) + dividedBy(late+group, q.spare())
}

func dividedBy(work time.Duration, perSecond float64) time.Duration {
	return time.Duration(float64(work) / max(perSecond, minRate))
}

// spare returns the work per second that is left for late requests: those that arrive
// meanwhile and can meet their target precede them.
func (q *Queue) spare() float64 {
	return max(q.rate.expected-q.usual.perSecond(), minSpareShare*q.rate.expected)
}

// Position returns the number of waiting requests in the classes that precede an entry and in
// its own, as an estimate of its place.
func (q *Queue) Position(e *Entry) int {
	n := 0
	for i := range q.classes {
		if i <= e.Class || e.late {
			n += q.classes[i].onTime.entries
		}
		if i <= e.Class && e.late {
			n += q.classes[i].late.entries
		}
	}
	return n
}

// ClassState describes the waiting requests of a class.
type ClassState struct {
	Class int
	// OnTime requests can still meet their latency target, Late ones can't.
	OnTime, Late int
	// Work is the time that servers need for all of them.
	Work time.Duration
	// ExpectedWait is that of a request that would arrive now.
	ExpectedWait time.Duration
}

// State returns the classes with waiting requests.
func (q *Queue) State(now time.Time) []ClassState {
	var list []ClassState
	for i := range q.classes {
		c := &q.classes[i]
		if c.waiting() == 0 {
			continue
		}
		list = append(list, ClassState{
			Class: i, OnTime: c.onTime.entries, Late: c.late.entries, Work: c.onTime.work + c.late.work,
			ExpectedWait: q.ExpectedWait(now, &Entry{Class: i}),
		})
	}
	return list
}

// rate measures the work that is sent while requests wait, in work per time.
type rate struct {
	expected float64
	measured float64
	at       time.Time
}

func (r *rate) record(now time.Time, work time.Duration) {
	if r.at.IsZero() {
		r.at, r.measured = now, r.expected
	}
	r.decay(now)
	r.measured += work.Seconds() / rateTime.Seconds()
}

func (r *rate) decay(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.measured *= math.Exp(-float64(passed) / float64(rateTime))
		r.at = now
	}
}

func (r *rate) perSecond(now time.Time) float64 {
	if !r.at.IsZero() {
		r.decay(now)
	}
	return max(r.measured, minRateShare*r.expected, minRate)
}

// cheapest returns the entry whose refusal costs least: the new one or one that may still be
// refused. Late requests come first, then less urgent classes, then the workspace with
// the most waiting requests for its weight.
func (q *Queue) cheapest(now time.Time, added *Entry) *Entry {
	q.advance(now)
	for _, late := range []bool{true, false} {
		for i := maxClasses - 1; i >= 0; i-- {
			f := &q.classes[i].onTime
			if late {
				f = &q.classes[i].late
			}
			victim := f.cheapest(q)
			if added.Class == i && added.late == late && q.refusable(added) && (victim == nil || cheaper(added, victim)) {
				victim = added
			}
			if victim != nil {
				return victim
			}
		}
	}
	return added
}

// refusable reports whether a waiting entry may be refused to make room in the queue.
func (q *Queue) refusable(e *Entry) bool {
	return !e.committed && !e.Returned() && !e.favoured
}

// cheaper reports whether the refusal of a costs less than that of b, of the same class: the
// same is lost, and more work is saved.
func cheaper(a, b *Entry) bool { return a.Work > b.Work }

// postponement is the delay of a decision on an entry that must be sent and can't be yet.
const postponement = 25 * time.Millisecond

// Postpone repeats the decision on a due entry a little later.
func (q *Queue) Postpone(now time.Time, e *Entry) {
	e.postponedTo = now.Add(postponement)
	q.schedule(e)
}

// NextDue returns the time of the next decision. ok is false if no entry waits.
func (q *Queue) NextDue() (at time.Time, ok bool) {
	if len(q.due) == 0 {
		return time.Time{}, false
	}
	return q.due[0].due, true
}
