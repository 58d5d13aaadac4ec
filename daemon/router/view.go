package router

import (
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/routing"
)

// view is an immutable snapshot of the configuration and the agents' state for
// request goroutines. The control goroutine publishes a new one after changes.
type view struct {
	current *distribute.Current
	routes  *routing.Snapshot
	servers *balance.Snapshot
	// peers maps VMs to agents.
	peers map[string]peer
	// homes maps agent incarnations to VMs.
	homes map[uint64]string
	// keys maps API key hashes to workspaces.
	keys map[string]*bundle.Workspace
}

// peer identifies an agent and how to reach it.
type peer struct {
	vm          string
	dataCentre  string
	address     string
	incarnation uint64
	inFlight    *balance.InFlightCounter
}

// version returns the version of the active bundle, or 0 if there is none.
func (v *view) version() uint64 {
	if v.current == nil {
		return 0
	}
	return v.current.Version
}

// workspaceOf returns the workspace of an API key, or nil if the key is unknown.
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
