package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/daemon/admission"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

const (
	// maxFailedGrants is how many waiting requests that find no room are passed over when
	// room may have become available. The servers with room may not suit the first ones.
	maxFailedGrants = 4
	// safetyInterval is the time after which waiting requests look for room although nothing
	// said that there is any. limitedInterval applies while rate limits keep servers closed,
	// since no event tells when they open.
	safetyInterval  = 200 * time.Millisecond
	limitedInterval = 25 * time.Millisecond
	// minTimerInterval bounds how often the timer runs when many decisions are due.
	minTimerInterval = 5 * time.Millisecond
	// maxRetryAfterShare is the part of the time to its deadline up to which a caller waits
	// before it returns. leastRetryAfter is the shortest time that callers can be told.
	maxRetryAfterShare = 0.33
	leastRetryAfter    = 10 * time.Millisecond
	// leastUrgent is the urgency at the server of a late request that is sent without room, so
	// that it does not delay others.
	leastUrgent = 9
	// plainWork is the expected time that a request of a service without a model takes a slot.
	plainWork = 100 * time.Millisecond
)

// Ends of a wait, as log lines and metrics name them; a refusal is named by its reason.
const (
	// endRoom: a server had room.
	endRoom = "room"
	// endNotSent: the request must not be sent any more.
	endNotSent = "not_sent"
	// endNoProgress: nothing got room for so long that the room must be misjudged.
	endNoProgress = "no_progress"
	// endHeldEnough: the request was held as long as it may be.
	endHeldEnough = "held_enough"
	// endPaused: all servers have asked for no requests.
	endPaused = "paused"
	// endAbandoned: the caller left, or its deadline passed.
	endAbandoned = "abandoned"
)

// admissions holds the queue of each service by its name, and what the callers of each route
// state as their timeouts.
type admissions struct{ queues, timeouts sync.Map }

// routeTimeouts are the timeouts that the callers of a route state.
type routeTimeouts struct {
	mu       sync.Mutex
	timeouts admission.Timeouts
}

// callerAge returns how long ago the caller first sent the request, as far as its timeout
// tells.
func (g *Gateway) callerAge(x *requestState) time.Duration {
	if x.call.Timeout <= 0 {
		return 0
	}
	found, ok := g.admission.timeouts.Load(x.route.Name)
	if !ok {
		found, _ = g.admission.timeouts.LoadOrStore(x.route.Name, &routeTimeouts{})
	}
	t := found.(*routeTimeouts)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeouts.Age(x.call.Timeout)
}

// serviceQueue holds the requests that wait for room at the servers of a service, or at a
// group of them.
type serviceQueue struct {
	service string
	// name is that of the service and the group.
	name string
	// waiting is the number of waiting requests, readable without the lock.
	waiting atomic.Int32

	mu    sync.Mutex
	queue *admission.Queue
	timer *time.Timer
	// closed is set while no server may take the first requests because of rate limits.
	closed bool
	// grantedAt is when a request was last sent, or when the first one began to wait.
	grantedAt time.Time
}

// waiter is the payload of an entry.
type waiter struct {
	x       *requestState
	request selection.Request
	// done receives the server or the refusal.
	done chan grant
}

// grant is the end of a wait.
type grant struct {
	choice  *selection.Choice
	err     *result.Error
	refusal *admission.Refusal
	// end tells which rule ended the wait.
	end string
}

// serviceQueue returns the queue of a service, or of the group of its servers with the name.
func (g *Gateway) serviceQueue(service, group string) *serviceQueue {
	name := service
	if group != "" {
		name += " " + group
	}
	if q, ok := g.admission.queues.Load(name); ok {
		return q.(*serviceQueue)
	}
	q, _ := g.admission.queues.LoadOrStore(name, &serviceQueue{service: service, name: name, queue: admission.New(rand.Float64)})
	return q.(*serviceQueue)
}

// serverGroup names the servers that the request may use, if it may not use all of its service.
// Requests for other servers must not wait behind it.
func (x *requestState) serverGroup() string {
	all := x.view.Servers[x.service.Name]
	if len(x.candidates) == len(all) || len(x.candidates) == 0 {
		return ""
	}
	group := "old"
	if x.candidates[0].Version == x.view.Splits[x.service.Name].Target {
		group = "target"
	}
	if len(x.route.Regions) > 0 || len(x.regions) > 0 {
		group += " " + strings.Join(x.route.Regions, ",") + " " + strings.Join(x.regions, ",")
	}
	return group
}

// choose returns the server for the next attempt. If none has room, the request waits in the
// queue of its service.
func (g *Gateway) choose(ctx context.Context, x *requestState) (*selection.Choice, *result.Error) {
	if err := g.checkBeforeAttempt(x); err != nil {
		return nil, err
	}
	request := g.selectionRequest(x, x.model, x.excluded)
	now := time.Now()
	// A further attempt has got its place in the order already.
	if len(x.servers) > 0 || x.started || x.call.ResumeAfter >= 0 {
		if choice, ok := g.Chooser.Choose(now, x.candidates, request); ok {
			return choice, nil
		}
	}
	if len(x.servers) == 0 {
		x.age = g.callerAge(x)
	}
	q := g.serviceQueue(x.service.Name, x.serverGroup())
	if q.waiting.Load() == 0 {
		if choice, room := g.chooseWithRoom(now, x, request); room == selection.RoomFound {
			work := plainWork
			if x.call.PromptTokens > 0 {
				work = choice.Prefill()
			}
			q.arrive(now, x.workspace, work)
			return choice, nil
		}
	}
	if err := g.refuseInPause(now, x, request); err != nil {
		return nil, err
	}
	if allTried(x.candidates, x.excluded) {
		return nil, result.NoBackend.With("no backend server may take the request")
	}
	return g.wait(ctx, q, x, request)
}

// arrive records a request that does not wait.
func (q *serviceQueue) arrive(now time.Time, workspace string, work time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Arrive(now, workspace, work)
}

// checkBeforeAttempt updates the candidates and refuses a request that must not be sent.
func (g *Gateway) checkBeforeAttempt(x *requestState) *result.Error {
	if err := g.refreshCandidates(x); err != nil {
		return err
	}
	if len(x.servers) == 0 {
		if err := g.stop.refuse(time.Now(), x.route, x.deadline); err != nil {
			return err
		}
	}
	if !x.trial && g.Quarantine.Holds(x.keys) {
		return result.Quarantined.With("since the request came")
	}
	return nil
}

func (g *Gateway) chooseWithRoom(now time.Time, x *requestState, request selection.Request) (*selection.Choice, selection.Room) {
	limit := g.backlogLimit(x.route.LatencyTarget, false)
	return g.Chooser.ChooseWithRoom(now, x.candidates, request, limit, x.route.LatencyTarget-x.age-now.Sub(x.startedAt))
}

// wait holds the request until it gets room or is refused.
func (g *Gateway) wait(ctx context.Context, q *serviceQueue, x *requestState, request selection.Request) (*selection.Choice, *result.Error) {
	w := &waiter{x: x, request: request, done: make(chan grant, 1)}
	now := time.Now()
	entry := g.newEntry(now, w)
	position, expected := g.offer(now, q, entry, w)
	var end grant
	select {
	case end = <-w.done:
	case <-ctx.Done():
		end = g.abandon(ctx, q, entry)
	}
	g.recordWait(w, entry, end, now, position, expected)
	return end.choice, end.err
}

// offer adds the entry to the queue and gives the room there is. It returns the entry's position
// and the expected wait.
func (g *Gateway) offer(now time.Time, q *serviceQueue, entry *admission.Entry, w *waiter) (position int, expected time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Len() == 0 {
		q.grantedAt = now
	}
	q.queue.Arrive(now, entry.Workspace, entry.Work)
	position, expected = q.queue.Position(entry), q.queue.ExpectedWait(now, entry)
	refusal := q.queue.Offer(now, entry, g.capacity(w.x))
	if refusal != nil && refusal.Entry != entry {
		refusal.Entry.Payload.(*waiter).refuse(refusal)
		refusal = nil
	}
	g.grantRoomLocked(now, q)
	if refusal == nil {
		return position, expected
	}
	// The expected wait may be that of requests for which there is no room.
	choice, room := g.Chooser.ChooseWithRoom(now, w.x.candidates, w.request, g.backlogLimit(entry.Target, entry.Late()), 0)
	if room == selection.RoomFound {
		q.send(now, entry, choice, endRoom)
	} else {
		w.refuse(refusal)
	}
	return position, expected
}

// abandon ends the wait of a request whose caller has left or whose deadline has passed.
func (g *Gateway) abandon(ctx context.Context, q *serviceQueue, entry *admission.Entry) grant {
	q.mu.Lock()
	q.queue.Remove(entry)
	q.waiting.Store(int32(q.queue.Len()))
	q.mu.Unlock()
	w := entry.Payload.(*waiter)
	select {
	case end := <-w.done:
		return end
	default:
		return grant{err: result.NoBackend.With("%v", ctx.Err()), end: endAbandoned}
	}
}

func (w *waiter) refuse(refusal *admission.Refusal) {
	code := result.NoBackend
	if refusal.Reason == admission.CannotEnd {
		code = result.DeadlineTooSoon
	}
	longest := time.Duration(maxRetryAfterShare * float64(time.Until(w.x.deadline)))
	if w.x.retryAfter = refusal.RetryAfter; w.x.retryAfter > longest {
		w.x.retryAfter = longest - time.Duration(rand.Float64()*float64(longest)/4)
	}
	w.x.retryAfter = max(w.x.retryAfter, leastRetryAfter)
	w.done <- grant{err: code.With("%s, expected wait %s", refusal.Reason, refusal.ExpectedWait.Round(time.Millisecond)), refusal: refusal, end: string(refusal.Reason)}
}

// newEntry describes a request to the queue.
func (g *Gateway) newEntry(now time.Time, w *waiter) *admission.Entry {
	x := w.x
	entry := &admission.Entry{
		Class: admission.ClassOf(x.urgency), Workspace: x.workspace, Kind: x.route.Name, ArrivedAt: x.startedAt, CallerSince: x.startedAt.Add(-x.age),
		Target: x.route.LatencyTarget, Deadline: x.deadline, Work: plainWork, Bytes: len(x.call.Body), Payload: w,
	}
	if x.call.PromptTokens > 0 {
		if estimate, ok := g.Chooser.Estimate(now, x.candidates, w.request); ok {
			entry.Work, entry.Answer = estimate.Prefill, time.Duration(x.expectedEvents()*float64(estimate.EventInterval))
		}
	}
	return entry
}

// capacity returns the work per second that this router's part of the servers should get done.
func (g *Gateway) capacity(x *requestState) float64 {
	places := len(x.candidates)
	if x.call.PromptTokens == 0 {
		places = 0
		for _, s := range x.candidates {
			places += max(s.Slots, 1)
		}
	}
	return float64(places) / float64(max(len(x.view.Routers), 1))
}

// wakeWaiting gives room that may have become available to waiting requests.
func (g *Gateway) wakeWaiting(service string) {
	for _, q := range g.admission.queues.Range {
		if q := q.(*serviceQueue); q.waiting.Load() > 0 && (service == "" || q.service == service) {
			g.grantRoom(q)
		}
	}
}

// HasWaiting reports whether a request waits for room.
func (g *Gateway) HasWaiting() bool {
	for _, q := range g.admission.queues.Range {
		if q.(*serviceQueue).waiting.Load() > 0 {
			return true
		}
	}
	return false
}

// WakeWaiting gives room that may have become available at any service to waiting requests.
func (g *Gateway) WakeWaiting() { g.wakeWaiting("") }

func (g *Gateway) grantRoom(q *serviceQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g.grantRoomLocked(time.Now(), q)
}

// grantRoomLocked sends the waiting requests that find room, in order, and decides on those whose
// time has come. The caller holds the queue's lock.
func (g *Gateway) grantRoomLocked(now time.Time, q *serviceQueue) {
	g.decideDue(now, q)
	var passedOver []*admission.Entry
	// Requests that are passed over keep their claim: a later one with a longer latency target
	// must not fill the servers beyond the limit of the earlier ones.
	limit := time.Duration(0)
	// full holds the candidates of the latest request for which all servers were full, and
	// fullLimit its limit.
	var full []*topology.Server
	var fullLimit time.Duration
	q.closed = false
	for len(passedOver) < maxFailedGrants {
		entry := q.queue.Next(now)
		if entry == nil {
			break
		}
		w := entry.Payload.(*waiter)
		if err := g.checkBeforeAttempt(w.x); err != nil {
			w.done <- grant{err: err, end: endNotSent}
			continue
		}
		own := g.backlogLimit(entry.Target, entry.Late())
		if limit > 0 && own > 0 {
			own = min(own, limit)
		}
		if own > 0 && own <= fullLimit && sameServers(full, w.x.candidates) {
			passedOver = append(passedOver, entry)
			continue
		}
		choice, room := g.Chooser.ChooseWithRoom(now, w.x.candidates, w.request, own, entry.Target-now.Sub(entry.CallerSince))
		if room == selection.RoomFound {
			q.send(now, entry, choice, endRoom)
			continue
		}
		if room == selection.RoomClosed {
			if err := g.refuseInPause(now, w.x, w.request); err != nil {
				w.done <- grant{err: err, end: endPaused}
				continue
			}
			q.closed = true
		}
		if room == selection.RoomFull && len(w.request.Excluded) == 0 {
			full, fullLimit = w.x.candidates, own
		}
		passedOver = append(passedOver, entry)
		if !entry.Late() {
			limit = own
		}
	}
	if len(passedOver) > 0 && g.grantOverdue(now, q, passedOver[0]) {
		passedOver = passedOver[1:]
	}
	for _, entry := range passedOver {
		q.queue.Return(now, entry)
	}
	q.waiting.Store(int32(q.queue.Len()))
	g.setTimer(now, q)
}

// backlogLimit returns the backlog limit of the servers for a request with the latency target.
func (g *Gateway) backlogLimit(target time.Duration, late bool) time.Duration {
	if !g.LimitBacklog {
		return 0
	}
	return selection.BacklogLimit(target, late)
}

// sameServers reports whether two lists are the same slice, as the candidates of most requests
// are.
func sameServers(a, b []*topology.Server) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// grantOverdue sends the first waiting request to a server without room if no request got any
// for half of its latency target: the room must be misjudged then.
func (g *Gateway) grantOverdue(now time.Time, q *serviceQueue, first *admission.Entry) bool {
	if now.Sub(q.grantedAt) < max(first.Target/2, safetyInterval) {
		return false
	}
	w := first.Payload.(*waiter)
	choice, ok := g.Chooser.Choose(now, w.x.candidates, w.request)
	if ok {
		q.send(now, first, choice, endNoProgress)
	}
	return ok
}

// send ends the wait of an entry that is not in the queue.
func (q *serviceQueue) send(now time.Time, entry *admission.Entry, choice *selection.Choice, end string) {
	q.queue.Granted(now, entry)
	q.grantedAt = now
	entry.Payload.(*waiter).done <- grant{choice: choice, end: end}
}

// decideDue refuses requests that can't end in time, and sends those that have been held as
// long as they may be to a server without room.
func (g *Gateway) decideDue(now time.Time, q *serviceQueue) {
	for entry := q.queue.Due(now); entry != nil; entry = q.queue.Due(now) {
		w := entry.Payload.(*waiter)
		if err := g.checkBeforeAttempt(w.x); err != nil {
			q.queue.Remove(entry)
			w.done <- grant{err: err, end: endNotSent}
			continue
		}
		_, open := g.Chooser.Estimate(now, w.x.candidates, w.request)
		if !entry.Committed() {
			if refusal := q.queue.Decide(now, entry, !open); refusal != nil {
				w.refuse(refusal)
			}
			continue
		}
		choice, ok := g.Chooser.Choose(now, w.x.candidates, w.request)
		if !ok {
			q.queue.Postpone(now, entry)
			continue
		}
		q.queue.Remove(entry)
		w.x.urgency = leastUrgent
		q.send(now, entry, choice, endHeldEnough)
	}
}

// setTimer sets the time at which waiting requests look for room without an event.
func (g *Gateway) setTimer(now time.Time, q *serviceQueue) {
	if q.queue.Len() == 0 {
		if q.timer != nil {
			q.timer.Stop()
		}
		return
	}
	interval := safetyInterval
	if q.closed {
		interval = limitedInterval
	}
	if at, ok := q.queue.NextDue(); ok {
		interval = max(min(interval, at.Sub(now)), minTimerInterval)
	}
	if q.timer == nil {
		q.timer = time.AfterFunc(interval, func() { g.grantRoom(q) })
		return
	}
	q.timer.Reset(interval)
}
