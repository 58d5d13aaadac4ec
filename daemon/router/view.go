package router

import (
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/routing"
)

// view is the immutable state that request goroutines read. The control
// goroutine publishes a new one on each change.
type view struct {
	current *distribute.Current
	routes  *routing.Snapshot
	servers *balance.Snapshot
	// peers holds the address and incarnation of each agent by VM.
	peers map[string]peer
	// homes holds the VM of each known agent incarnation.
	homes map[uint64]string
	// keys holds the workspace of each API key hash.
	keys map[string]*bundle.Workspace
}

// peer is what a call to an agent needs.
type peer struct {
	vm          string
	dataCentre  string
	address     string
	incarnation uint64
	flight      *balance.InFlightCounter
}

// version returns the version of the bundle in force, 0 for none.
func (v *view) version() uint64 {
	if v.current == nil {
		return 0
	}
	return v.current.Version
}

// workspaceOf returns the workspace of an API key, or nil.
func (v *view) workspaceOf(apiKey string) *bundle.Workspace { return v.keys[auth.HashAPIKey(apiKey)] }

func indexKeys(b *bundle.Bundle) map[string]*bundle.Workspace {
	keys := make(map[string]*bundle.Workspace, len(b.Workspaces))
	for i := range b.Workspaces {
		for _, hash := range b.Workspaces[i].KeyHashes {
			keys[hash] = &b.Workspaces[i]
		}
	}
	return keys
}
