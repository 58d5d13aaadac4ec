package router

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// historySize is the number of decisions kept in memory. At 200 bytes each they take
// less than 1 MB.
const historySize = 4096

// pastDecision is a recorded decision about a request, as GET /admin/explain returns
// it.
type pastDecision struct {
	Request       string    `json:"request"`
	Time          time.Time `json:"time"`
	Step          string    `json:"step"`
	Workspace     string    `json:"workspace,omitempty"`
	Target        string    `json:"target,omitempty"`
	VM            string    `json:"vm,omitempty"`
	DataCentre    string    `json:"data_centre,omitempty"`
	Reason        string    `json:"reason"`
	BundleVersion uint64    `json:"bundle_version"`
}

// Values of pastDecision.Step.
const (
	stepModel   = "model"
	stepServer  = "backend server"
	stepCascade = "cascade"
)

// history is a ring buffer of this router's latest decisions.
type history struct {
	mu   sync.Mutex
	ring [historySize]pastDecision
	next int
}

// add records a decision in place of the oldest one.
func (h *history) add(id requestID, d pastDecision) {
	d.Request = uuid.UUID(id).String()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring[h.next] = d
	h.next = (h.next + 1) % historySize
}

// find returns the remembered decisions about a request, oldest first.
func (h *history) find(request string) []pastDecision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []pastDecision
	for i := range historySize {
		d := &h.ring[(h.next+i)%historySize]
		if d.Request == request {
			out = append(out, *d)
		}
	}
	return out
}
