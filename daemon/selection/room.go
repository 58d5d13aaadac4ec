package selection

import (
	"maps"
	"time"

	"cactusknot.example/daemon/topology"
)

const (
	// roomShare is the part of a request's latency target that a server may need for the
	// prompts sent to it before. The rest is left for the request's own prompt.
	roomShare = 0.3
	// lateRoomShare is the same for a request that can no longer meet its target.
	lateRoomShare = 0.15
	// minBacklogLimit keeps a short latency target from declaring a server full because of
	// the base latency of a few concurrent requests.
	minBacklogLimit = 4 * baseLatency
	// modelQueueFactor times its slots is the number of requests in progress from which a
	// model engine is full. Its prompt backlog usually says so earlier.
	modelQueueFactor = 1.5
	// minQueueFactor and maxQueueFactor bound the same for a server without a model, where
	// it otherwise follows from the latency target and serviceQueueDelay.
	minQueueFactor = 1.5
	maxQueueFactor = 4
	// peerRoomShare is the part of the room beyond its equal share that a router may use:
	// the others may use it at the same time, until the next exchange of reports.
	peerRoomShare = 0.5
)

// Room tells whether a request may be sent now.
type Room uint8

// Values of Room.
const (
	// RoomFound: a server was chosen.
	RoomFound Room = iota
	// RoomElsewhere: the best server is full. Others have room, but would have to read so
	// much of the prompt again that the request would be late there, and later than at the
	// full one.
	RoomElsewhere
	// RoomFull: every server that may take the request is full.
	RoomFull
	// RoomClosed: no server may take the request, because of rate limits or because all of
	// them were tried.
	RoomClosed
)

// BacklogLimit returns the time that a server may need for the prompts sent to it before
// and still have room for a request with the latency target; 0 means no limit. For a request that
// can no longer meet its target (late) it keeps a server at work and leaves those that come next
// the time to meet theirs.
func BacklogLimit(target time.Duration, late bool) time.Duration {
	if target <= 0 {
		return 0
	}
	share := roomShare
	if late {
		share = lateRoomShare
	}
	return max(scale(target, share), minBacklogLimit)
}

// ChooseWithRoom is Choose restricted to servers that are not full for a request with the
// backlog limit; see BacklogLimit. timeLeft is the time left to the latency target. While the
// server that Choose would return has room, the result is the same.
func (c *Chooser) ChooseWithRoom(now time.Time, candidates []*topology.Server, r Request, limit, timeLeft time.Duration) (*Choice, Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, limited := c.best(now, candidates, r)
	if limited != nil {
		c.Limits.Want(limited.ID)
	}
	if best == nil {
		return nil, RoomClosed
	}
	if c.full(now, best.Server, r, limit) {
		var room Room
		if best, room = c.bestWithRoom(now, candidates, r, limit, max(timeLeft, best.ExpectedFirstByte)); best == nil {
			return nil, room
		}
	}
	c.choices++
	best.state.lastChoice = c.choices
	best.start(now)
	return best, RoomFound
}

// bestWithRoom returns the best of the servers that are not full, unless the first byte is
// expected there after more than the given time.
func (c *Chooser) bestWithRoom(now time.Time, candidates []*topology.Server, r Request, limit, within time.Duration) (*Choice, Room) {
	excluded := maps.Clone(r.Excluded)
	if excluded == nil {
		excluded = make(map[string]bool)
	}
	for _, server := range candidates {
		if c.full(now, server, r, limit) {
			excluded[server.ID] = true
		}
	}
	r.Excluded = excluded
	best, _ := c.best(now, candidates, r)
	switch {
	case best == nil:
		return nil, RoomFull
	case r.PromptTokens > 0 && best.ExpectedFirstByte > within:
		return nil, RoomElsewhere
	}
	return best, RoomFound
}

// full reports whether a server has no room for another request of this router. The room is
// shared by all routers: it is reduced by the work that the others report. Without a recent
// report, this router uses no more than its equal share.
func (c *Chooser) full(now time.Time, server *topology.Server, r Request, limit time.Duration) bool {
	s := c.serverState(server.ID)
	if limit <= 0 || s.inFlight == 0 && now.Sub(c.peerWorkAt) >= MaxPeerWorkAge {
		return false
	}
	share := 1 / float64(max(len(r.Routers), 1))
	peers, known := OutstandingWork{}, now.Sub(c.peerWorkAt) < MaxPeerWorkAge
	if known {
		peers = c.peerWork[server.ID]
	}
	if r.PromptTokens > 0 && s.pendingPrefill+peers.PrefillTime > 0 &&
		exceeds(float64(s.pendingPrefill), float64(peers.PrefillTime), float64(limit), share*float64(limit), known) {
		return true
	}
	places := maxInProgress(server, r, limit)
	return server.Slots > 0 && exceeds(float64(s.inFlight+1), float64(peers.InFlight), places, max(share*places, 1), known)
}

// maxInProgress returns the number of requests that may be in progress at a server.
func maxInProgress(server *topology.Server, r Request, limit time.Duration) float64 {
	factor := modelQueueFactor
	if r.PromptTokens == 0 {
		factor = min(max(float64(limit)/float64(serviceQueueDelay), minQueueFactor), maxQueueFactor)
	}
	return factor * float64(server.Slots)
}

// exceeds reports whether this router's own part of a quantity is over what the limit of all
// routers leaves it. Its equal share is its own while the total is within the limit.
func exceeds(own, peers, limit, equal float64, known bool) bool {
	if !known {
		return own > equal
	}
	return own+peers > limit || own > equal+peerRoomShare*max(limit-equal-peers, 0)
}

// Prefill returns the expected time that the server spends on the prompt.
func (c *Choice) Prefill() time.Duration { return c.prefill }
