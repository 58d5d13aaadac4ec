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

var _ rpc.Peer = (*Keeper)(nil)

// Sync serves a peer's gossip: it merges what the peer sent and answers with
// what this process holds. A peer without a bundle gets every stop notice.
func (k *Keeper) Sync(_ context.Context, in *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	now := k.cfg.Clock.Now()
	for m := range k.others() {
		if m.Node == in.GetNode() {
			k.Contact(m.DataCentre, now)
			break
		}
	}
	k.Learn(in.GetStops())
	k.mergeCounters(in.GetCounters())
	k.Heard(in.GetBundleVersion(), in.GetNode())
	out := &rpc.SyncResponse{
		Node:          k.cfg.Self.Node,
		BundleVersion: k.Version(),
		Stops:         k.stopsToSend(),
		Counters:      k.countersToSend(),
	}
	if in.GetBundleVersion() == 0 {
		out.Stops = k.Stops().All()
	}
	k.meter.spend("sync", proto.Size(in)+proto.Size(out))
	return out, nil
}

// FetchManifest serves the signed manifest in force, or an empty reply.
func (k *Keeper) FetchManifest(context.Context, *rpc.FetchManifestRequest) (*rpc.FetchManifestResponse, error) {
	out := new(rpc.FetchManifestResponse)
	if c := k.Current(); c != nil {
		out.Manifest = c.Encoded
	}
	k.meter.spend("manifest", len(out.GetManifest()))
	return out, nil
}

// FetchParts serves parts of the bundle in force, up to a bound; the caller asks
// again for those that are missing.
func (k *Keeper) FetchParts(_ context.Context, in *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	out := &rpc.FetchPartsResponse{Parts: make(map[string][]byte)}
	c := k.Current()
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
	k.meter.spend("parts", size)
	return out, nil
}
