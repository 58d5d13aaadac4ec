package distribute

import (
	"context"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/rpc"

	"google.golang.org/protobuf/proto"
)

const (
	// maxReplyBytes bounds the parts in one reply; the caller asks for the rest.
	maxReplyBytes = kv.MaxValueBytes
	// maxHashes bounds the parts asked for in one call.
	maxHashes = bundle.MaxParts
)

var _ rpc.Peer = (*Syncer)(nil)

// Sync serves a peer's gossip: it merges what the peer sent and answers with
// what this process holds. A peer without a bundle gets every stop notice.
func (s *Syncer) Sync(_ context.Context, in *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	now := s.cfg.Clock.Now()
	for m := range s.others() {
		if m.Node == in.GetNode() {
			s.RecordContact(m.DataCentre, now)
			break
		}
	}
	s.MergeStops(in.GetStops())
	s.mergeCounters(in.GetCounters())
	s.ObserveVersion(in.GetBundleVersion(), in.GetNode())
	out := &rpc.SyncResponse{
		Node:          s.cfg.Self.Node,
		BundleVersion: s.Version(),
		Stops:         s.stopsToSend(),
		Counters:      s.countersToSend(),
	}
	if in.GetBundleVersion() == 0 {
		out.Stops = s.Stops().All()
	}
	s.meter.spend("sync", proto.Size(in)+proto.Size(out))
	return out, nil
}

// FetchManifest serves the signed manifest in force, or an empty reply.
func (s *Syncer) FetchManifest(context.Context, *rpc.FetchManifestRequest) (*rpc.FetchManifestResponse, error) {
	out := new(rpc.FetchManifestResponse)
	if c := s.Current(); c != nil {
		out.Manifest = c.Encoded
	}
	s.meter.spend("manifest", len(out.GetManifest()))
	return out, nil
}

// FetchParts serves parts of the bundle in force, up to a bound; the caller asks
// again for those that are missing.
func (s *Syncer) FetchParts(_ context.Context, in *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	out := &rpc.FetchPartsResponse{Parts: make(map[string][]byte)}
	c := s.Current()
	if c == nil || len(in.GetHashes()) > maxHashes {
		return out, nil
	}
	size := 0
	for _, hash := range in.GetHashes() {
		data, held := c.Parts[bundle.Hash(hash)]
		if !held {
			continue
		}
		if size > 0 && size+len(data) > maxReplyBytes {
			break
		}
		size += len(data)
		out.Parts[hash] = data
	}
	s.meter.spend("parts", size)
	return out, nil
}
