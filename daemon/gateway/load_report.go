package gateway

import (
	"fmt"
	"sync"
	"time"
)

// loadProblemInterval is the time between log lines on the same problem of a service's load
// reports. A service that sends no reports would otherwise cause a line for each answer.
const loadProblemInterval = time.Minute

// loadProblems bounds the log lines on load reports that are not used.
type loadProblems struct {
	mu sync.Mutex
	// logged holds when a line was last written on a problem of a service.
	logged map[loadProblemKey]time.Time
}

type loadProblemKey struct {
	service string
	problem LoadProblem
}

// due reports whether a line is due and, if so, records it.
func (l *loadProblems) due(now time.Time, service string, problem LoadProblem) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := loadProblemKey{service, problem}
	if at, ok := l.logged[key]; ok && now.Sub(at) < loadProblemInterval {
		return false
	}
	if l.logged == nil {
		l.logged = make(map[loadProblemKey]time.Time)
	}
	l.logged[key] = now
	return true
}

// recordLoad records the load that a response reports. What is absent, unreadable or absurd
// changes nothing.
func (g *Gateway) recordLoad(a *attempt) {
	if a.reply.HasLoad {
		a.choice.RecordLoad(time.Now(), a.reply.Load)
	}
	problem := a.reply.LoadProblem
	if problem == NoLoadProblem {
		return
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_load_reports_not_used_total{reason=%q}", problem)).Inc()
	if g.loadProblems.due(time.Now(), a.service.Name, problem) {
		g.logEvent(g.Log.Info()).Str("request", a.call.ID).Str("server", a.target.ID).Str("service", a.service.Name).
			Stringer("reason", problem).Bool("requests_used", a.reply.HasLoad).Msg("load report of backend server not used, or only in part")
	}
}
