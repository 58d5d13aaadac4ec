package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/content"
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

const (
	// pullInterval is the time between requests to peers during a store outage.
	pullInterval = 700 * time.Millisecond
	// peerTimeout is how long a peer may be silent in a call, before its answer or within it.
	peerTimeout = 800 * time.Millisecond
	// maxPeerTransfer bounds a call to a peer in sum: the longest answer, a copy of the store with
	// some thousand keys, takes less on a link with 1 Mbit/s.
	maxPeerTransfer = 10 * time.Second
	// maxChangesWait bounds the wait of a call for changes.
	maxChangesWait = 2 * time.Second
	// maxPeerResponse bounds the size in bytes of a peer's response; the complete copy of the store
	// is the longest. maxPeerResponses bounds the sum of all responses that are being read.
	maxPeerResponse  = 8 << 20
	maxPeerResponses = 16 << 20
	// maxPeerRequest bounds the size in bytes of a peer's request.
	maxPeerRequest = 2 << 20
)

// newPeerTransport returns the transport for calls of peers. An address in the list of routers may
// belong to another process by now, which may send anything.
func newPeerTransport() http.RoundTripper {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.MaxResponseHeaderBytes = httplimit.MaxHeaderBytes
	return httplimit.NewTransport(base, maxPeerResponse, &httplimit.Budget{Max: maxPeerResponses})
}

// setPeerTransport makes this router call its peers by base.
func (e *Edge) setPeerTransport(base http.RoundTripper) {
	limits := transfer.Limits{Answer: peerTimeout, Silence: peerTimeout, Total: maxPeerTransfer}
	e.peerHTTP = &http.Client{Transport: transfer.NewTransport(base, limits, &e.transfers.peers, e.reportTransfer)}
}

// peerServer implements rpc.EdgePeer, the service that routers offer to each other.
type peerServer struct{ edge *Edge }

// Changes returns the changes that the mirror has received after a revision. It waits for
// one if the caller asks for that, but not longer than the copy is fresh enough.
func (p peerServer) Changes(ctx context.Context, in *rpc.ChangesRequest) (*rpc.ChangesReply, error) {
	after := kv.Position{Era: in.GetAfterEra(), Revision: kv.Revision(in.GetAfterRevision())}
	p.edge.controller.noteEra(after.Era, eraFromPeer)
	if wait := p.changesWait(in); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-p.edge.mirror.Changed(after):
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	changes, at, complete := p.edge.mirror.ChangesSince(after)
	now := time.Now()
	reply := &rpc.ChangesReply{
		AtRevision: uint64(at.Revision), AtEra: at.Era, Complete: complete, AgeMs: uint32(p.edge.controller.storeResponseAge(now).Milliseconds()),
		OutageEndedAgoMs: uint64(p.edge.controller.outageEndedAgo(now).Milliseconds()),
		Receiving:        p.edge.transfers.receiving(now),
	}
	for _, c := range changes {
		change := &rpc.MirrorChange{Key: c.Key, Value: c.Value, Revision: uint64(c.Revision), Lease: uint64(c.Lease), Deleted: c.Deleted}
		switch {
		case c.Content != (content.Ref{}) && in.GetByReference():
			change.Value, change.Content = nil, encodeContentRef(c.Content)
		case c.Missing():
			return nil, twirp.Unavailable.Errorf("the value of %s is not held", c.Key)
		}
		reply.Changes = append(reply.Changes, change)
	}
	return reply, nil
}

// changesWait returns how long a call of Changes may wait. While an answer of the store is
// arriving, the age of the copy does not matter: callers that do not leave this router would poll it
// without a pause.
func (p peerServer) changesWait(in *rpc.ChangesRequest) time.Duration {
	wait, now := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxChangesWait), time.Now()
	if in.GetMaxAgeMs() > 0 && !p.edge.transfers.receiving(now) {
		fresh := time.Duration(in.GetMaxAgeMs())*time.Millisecond - p.edge.controller.storeResponseAge(now)
		wait = min(wait, fresh)
	}
	return wait
}

// Report merges the rollout evidence of a peer.
func (p peerServer) Report(_ context.Context, in *rpc.EvidenceReport) (*rpc.EvidenceReply, error) {
	p.edge.controller.rollouts.mergeReports(in.GetRouter(), decodeEvidence(in))
	return &rpc.EvidenceReply{}, nil
}

// decodeEvidence returns the evidence of a report by service.
func decodeEvidence(in *rpc.EvidenceReport) map[string]routerEvidence {
	reports := make(map[string]routerEvidence, len(in.GetServices()))
	for _, s := range in.GetServices() {
		reports[s.GetService()] = routerEvidence{Order: kv.Position{Era: s.GetOrderEra(), Revision: kv.Revision(s.GetOrderRevision())}, Evidence: rollout.Evidence{
			Target: rollout.Counts{Good: int(s.GetTargetGood()), Bad: int(s.GetTargetBad())},
			Base:   rollout.Counts{Good: int(s.GetBaseGood()), Bad: int(s.GetBaseBad())},

			TargetPace: decodePace(s.GetTargetPace()), BasePace: decodePace(s.GetBasePace()),
		}}
	}
	return reports
}

// peerHandler returns the HTTP handler for calls of other routers.
func (e *Edge) peerHandler() http.Handler {
	return http.MaxBytesHandler(rpc.NewEdgePeerServer(peerServer{e}), maxPeerRequest)
}

// peerClient returns a client of the peer at address.
func (e *Edge) peerClient(address string) rpc.EdgePeer {
	return rpc.NewEdgePeerProtobufClient("http://"+address, e.peerHTTP)
}

// pullFromPeers requests changes from a random peer during a store outage.
func (e *Edge) pullFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		if e.controller.storeOutage() < peerFallbackDelay {
			continue
		}
		peers := e.controller.peers()
		if len(peers) == 0 {
			continue
		}
		peer := peers[rand.IntN(len(peers))]
		count, err := e.pullFrom(ctx, peer)
		switch {
		case err != nil:
			e.log.Debug().Err(err).Str("peer", peer).Msg("request for changes from peer failed")
		case count > 0:
			e.log.Info().Str("peer", peer).Int("changes", count).Stringer("position", e.mirror.Position()).Msg("applied changes from peer")
		}
	}
}

// pullFrom merges the changes that a peer has received and returns their number.
func (e *Edge) pullFrom(ctx context.Context, peer string) (count int, err error) {
	after := e.mirror.Position()
	reply, err := e.peerClient(peer).Changes(ctx, &rpc.ChangesRequest{
		AfterRevision: uint64(after.Revision), AfterEra: after.Era, ByReference: true,
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	now := time.Now()
	e.controller.contact.peerResponse(now.Add(-time.Duration(reply.GetAgeMs())*time.Millisecond), holdSince(now, reply))
	return e.mergeReply(peer, reply), nil
}

// mergeReply merges the changes of the reply of the peer at address and returns the number of new
// ones, but for those whose values are yet to be fetched.
func (e *Edge) mergeReply(address string, reply *rpc.ChangesReply) int {
	e.fetcher.prefer(address)
	at := kv.Position{Era: reply.GetAtEra(), Revision: kv.Revision(reply.GetAtRevision())}
	changes := make([]mirror.Change, 0, len(reply.GetChanges()))
	for _, c := range reply.GetChanges() {
		changes = append(changes, mirror.Change{Era: at.Era, Deleted: c.GetDeleted(), Content: decodeContentRef(c.GetContent()), Entry: kv.Entry{
			Key: c.GetKey(), Value: c.GetValue(), Revision: kv.Revision(c.GetRevision()), Lease: kv.LeaseID(c.GetLease()),
		}})
	}
	return e.mergeFromPeer(changes, at, reply.GetComplete())
}
