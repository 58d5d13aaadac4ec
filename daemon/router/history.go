package router

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// historySize bounds the remembered decisions; at 200 bytes each they take less
// than 1 MB.
const historySize = 4096

// pastDecision is one decision about a request, as explain shows it.
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

// Steps of a pastDecision.
const (
	stepModel   = "model"
	stepServer  = "backend server"
	stepCascade = "cascade"
)

// history remembers the last decisions of this router.
type history struct {
	mu   sync.Mutex
	ring [historySize]pastDecision
	next int
}

// add remembers a decision and forgets the oldest one.
func (h *history) add(id requestID, d pastDecision) {
	d.Request = uuid.UUID(id).String()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring[h.next] = d
	h.next = (h.next + 1) % historySize
}

// of returns the remembered decisions about a request, oldest first.
func (h *history) of(request string) []pastDecision {
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
