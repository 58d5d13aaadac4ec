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
func (c *requestGenerator) request(workspace, kind int, modelName string) routing.Request {
	c.next++
	req := routing.Request{
		ID:        strconv.Itoa(c.next) + "-" + strconv.FormatUint(c.rng.Uint64(), 36),
		Workspace: c.workload.Workspaces[workspace].Name,
		Model:     modelName,
		Kind:      c.workload.Kinds[kind].Name,
	}
	if c.rng.Float64() < c.workload.SessionShare {
		req.Session = c.session(workspace, req.ID)
	}
	return req
}

func (c *requestGenerator) session(workspace int, id string) *routing.Session {
	open := c.open[workspace]
	if len(open) > 0 && c.rng.Float64() >= 1/c.workload.SessionRequests {
		return open[c.rng.IntN(len(open))]
	}
	s := &routing.Session{ID: id, Workspace: c.workload.Workspaces[workspace].Name}
	if len(open) < maxOpenSessions {
		c.open[workspace] = append(open, s)
		return s
	}
	open[c.rng.IntN(len(open))] = s
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
