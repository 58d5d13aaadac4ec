package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/rpc"
)

const (
	// pullInterval is the pause between questions to peers while the store is away.
	pullInterval = 700 * time.Millisecond
	// peerTimeout bounds one call to a peer.
	peerTimeout = 800 * time.Millisecond
)

// peerServer offers this process's mirror and takes evidence. It implements
// rpc.EdgePeer.
type peerServer struct{ edge *Edge }

// Changes returns what the mirror has learnt after a revision.
func (p peerServer) Changes(_ context.Context, in *rpc.ChangesRequest) (*rpc.ChangesReply, error) {
	changes, at, complete := p.edge.mirror.ChangesSince(kv.Revision(in.GetAfterRevision()))
	reply := &rpc.ChangesReply{AtRevision: uint64(at), Complete: complete}
	for _, c := range changes {
		reply.Changes = append(reply.Changes, &rpc.MirrorChange{
			Key: c.Key, Value: c.Value, Revision: uint64(c.Revision), Lease: uint64(c.Lease), Deleted: c.Deleted,
		})
	}
	return reply, nil
}

// Report takes a peer's evidence.
func (p peerServer) Report(_ context.Context, in *rpc.EvidenceReport) (*rpc.EvidenceReply, error) {
	p.edge.control.rollouts.hear(in.GetRouter(), decodeEvidence(in))
	return &rpc.EvidenceReply{}, nil
}

// decodeEvidence returns the counts of a report by service.
func decodeEvidence(in *rpc.EvidenceReport) map[string]ownCounts {
	reports := make(map[string]ownCounts, len(in.GetServices()))
	for _, s := range in.GetServices() {
		reports[s.GetService()] = ownCounts{Order: s.GetOrderRevision(), Evidence: rollout.Evidence{
			Target: rollout.Counts{Good: int(s.GetTargetGood()), Bad: int(s.GetTargetBad())},
			Base:   rollout.Counts{Good: int(s.GetBaseGood()), Bad: int(s.GetBaseBad())},
		}}
	}
	return reports
}

// peerHandler serves the calls of peers.
func (e *Edge) peerHandler() http.Handler { return rpc.NewEdgePeerServer(peerServer{e}) }

// peerClient returns a client of the peer at address.
func (e *Edge) peerClient(address string) rpc.EdgePeer {
	return rpc.NewEdgePeerProtobufClient("http://"+address, e.peerHTTP)
}

// pullFromPeers asks a random peer for changes while the store does not answer.
func (e *Edge) pullFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		if e.control.storeAway() < peersAfter {
			continue
		}
		peers := e.control.peers()
		if len(peers) == 0 {
			continue
		}
		peer := peers[rand.IntN(len(peers))]
		news, err := e.pull(ctx, peer)
		switch {
		case err != nil:
			e.log.Debug().Err(err).Str("peer", peer).Msg("peer did not answer")
		case news > 0:
			e.log.Info().Str("peer", peer).Int("changes", news).Uint64("revision", uint64(e.mirror.Revision())).Msg("changes from peer")
		}
	}
}

func (e *Edge) pull(ctx context.Context, peer string) (news int, err error) {
	reply, err := e.peerClient(peer).Changes(ctx, &rpc.ChangesRequest{AfterRevision: uint64(e.mirror.Revision())})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	changes := make([]mirror.Change, 0, len(reply.GetChanges()))
	for _, c := range reply.GetChanges() {
		changes = append(changes, mirror.Change{Deleted: c.GetDeleted(), Entry: kv.Entry{
			Key: c.GetKey(), Value: c.GetValue(), Revision: kv.Revision(c.GetRevision()), Lease: kv.LeaseID(c.GetLease()),
		}})
	}
	return e.mergeFromPeer(changes, kv.Revision(reply.GetAtRevision()), reply.GetComplete()), nil
}
