package agent

import (
	"context"
	"net/http"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/rpc"

	"google.golang.org/protobuf/proto"
)

const executePath = "/internal/execute"

// internalHandler serves execute and exchange to routers and the Peer service to
// all processes.
func (a *Agent) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+executePath, auth.RequireIdentity(http.HandlerFunc(a.serveExecute), auth.RoleRouter))
	mux.Handle(rpc.AgentPathPrefix, auth.RequireIdentity(rpc.NewAgentServer(&exchangeServer{agent: a}), auth.RoleRouter))
	mux.Handle(rpc.PeerPathPrefix, a.PeerHandler())
	return mux
}

func (a *Agent) callerOf(r *http.Request) string {
	id, _ := auth.IdentityFrom(r.Context())
	return id.VM
}

// exchangeServer implements the Agent service.
type exchangeServer struct{ agent *Agent }

// Exchange merges the router's configuration version and stop notices and returns
// the state of the backend server.
func (s *exchangeServer) Exchange(ctx context.Context, in *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	id, _ := auth.IdentityFrom(ctx)
	s.agent.Syncer.ObserveVersion(in.GetBundleVersion(), id.VM)
	s.agent.Syncer.MergeStops(in.GetStops())
	if p := s.agent.Directory.Processes().Find(id.VM); p != nil {
		s.agent.Syncer.RecordContact(p.DataCentre, s.agent.Clock.Now())
	}
	state := s.agent.state()
	state.CachedPrefixes = s.agent.backend.prefixes()
	out := &rpc.ExchangeResponse{State: state}
	s.agent.Syncer.RecordControlBytes("exchange", proto.Size(in)+proto.Size(out))
	return out, nil
}
