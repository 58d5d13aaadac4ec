package bench

import (
	"math/rand/v2"
	"strconv"

	"cactusknot.example/daemon/routing"
)

// maxOpenSessions is the maximum number of open sessions per workspace.
const maxOpenSessions = 20

// requestGenerator generates requests with new IDs, some of them within a
// session.
type requestGenerator struct {
	workload *Workload
	rng      *rand.Rand
	open     [][]*routing.Session
	next     int
}

func newRequestGenerator(w *Workload, rng *rand.Rand) *requestGenerator {
	return &requestGenerator{workload: w, rng: rng, open: make([][]*routing.Session, len(w.Workspaces))}
}

// request returns a request of the workspace to the model.
func (g *requestGenerator) request(workspace, kind int, modelName string) routing.Request {
	g.next++
	req := routing.Request{
		ID:        strconv.Itoa(g.next) + "-" + strconv.FormatUint(g.rng.Uint64(), 36),
		Workspace: g.workload.Workspaces[workspace].Name,
		Model:     modelName,
		Kind:      g.workload.Kinds[kind].Name,
	}
	if g.rng.Float64() < g.workload.SessionShare {
		req.Session = g.session(workspace, req.ID)
	}
	return req
}

func (g *requestGenerator) session(workspace int, id string) *routing.Session {
	open := g.open[workspace]
	if len(open) > 0 && g.rng.Float64() >= 1/g.workload.SessionRequests {
		return open[g.rng.IntN(len(open))]
	}
	s := &routing.Session{ID: id, Workspace: g.workload.Workspaces[workspace].Name}
	if len(open) < maxOpenSessions {
		g.open[workspace] = append(open, s)
		return s
	}
	open[g.rng.IntN(len(open))] = s
	return s
}

// storePin updates the pins of a session as the router does in the session
// token.
func storePin(s *routing.Session, d *routing.Decision) {
	if s == nil || !d.NewPin {
		return
	}
	for i := range s.Pins {
		if s.Pins[i].Model == d.Model {
			s.Pins[i].Version = d.Version
			return
		}
	}
	s.Pins = append(s.Pins, routing.Pin{Model: d.Model, Version: d.Version})
}
