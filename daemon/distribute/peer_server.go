package distribute

import (
	"context"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/rpc"

	"google.golang.org/protobuf/proto"
)

const (
	// maxReplyBytes limits the parts in one response; the caller requests the rest.
	maxReplyBytes = kv.MaxValueBytes
	// maxHashes limits the parts requested in one call.
	maxHashes = bundle.MaxParts
)

var _ rpc.Peer = (*Syncer)(nil)

// Sync handles a gossip message: it merges the data of the peer and responds with
// the data of this process. A peer without a bundle receives all stop notices.
func (s *Syncer) Sync(_ context.Context, in *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	now := s.cfg.Clock.Now()
	for m := range s.otherMembers() {
		if m.Node == in.GetNode() {
			s.RecordContact(m.DataCentre, now)
			break
		}
	}
	s.MergeStops(in.GetStops())
	s.mergeCounters(in.GetCounters())
	s.ObserveVersion(in.GetBundleVersion(), in.GetNode())
	s.cfg.ObserveStoreEra(in.GetStoreEra())
	out := &rpc.SyncResponse{
		Node:          s.cfg.Self.Node,
		BundleVersion: s.Version(),
		Stops:         s.stopsToSend(),
		Counters:      s.countersToSend(),
		StoreEra:      s.cfg.StoreEra(),
	}
	if in.GetBundleVersion() == 0 {
		out.Stops = s.Stops().All()
	}
	s.meter.spend("sync", proto.Size(in)+proto.Size(out))
	return out, nil
}

// FetchManifest returns the current signed manifest, or an empty response.
func (s *Syncer) FetchManifest(context.Context, *rpc.FetchManifestRequest) (*rpc.FetchManifestResponse, error) {
	out := new(rpc.FetchManifestResponse)
	if c := s.Current(); c != nil {
		out.Manifest = c.Encoded
	}
	s.meter.spend("manifest", len(out.GetManifest()))
	return out, nil
}

// FetchParts returns parts of the current bundle, up to maxReplyBytes. The caller
// requests the missing ones again.
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
