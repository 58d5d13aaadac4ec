package gateway

import (
	"time"

	"cactusknot.example/daemon/selection"
)

// count counts the request once as begun.
func (g *Gateway) count(a *attempt, at time.Time) {
	if a.counted || a.workspace == "" || g.Count == nil {
		return
	}
	a.counted, a.countedAt = true, at
	g.Count(a.workspace, at, 1)
}

// countSent counts a request to a plain service when it is sent. The head of its response
// arrives at the end of the work, and a window may have been settled by then.
func (g *Gateway) countSent(a *attempt) {
	if a.call.PromptTokens == 0 {
		g.count(a, a.sentAt)
	}
}

// countBegun counts a request to a model service when its first token arrives.
func (g *Gateway) countBegun(a *attempt) {
	if a.reply.Sealed {
		g.count(a, a.begunAt)
	}
}

// settleCount takes back the count of an attempt that has not run, so that the next one
// counts. An attempt without an answer may have run and stays counted.
func (g *Gateway) settleCount(a *attempt) {
	if a.countedAt.IsZero() || a.begun.Load() || a.outcome != selection.Refused && !a.notSent {
		return
	}
	g.Count(a.workspace, a.countedAt, -1)
	a.counted, a.countedAt = false, time.Time{}
}
