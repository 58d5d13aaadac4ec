package edge

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"

	"cactusknot.example/daemon/content"
	"cactusknot.example/daemon/rpc"
)

// maxContentReply bounds the parts of one reply in bytes, before compression.
const maxContentReply = 2 * contentBatch

// Content implements rpc.EdgePeer.
func (p peerServer) Content(_ context.Context, in *rpc.ContentRequest) (*rpc.ContentReply, error) {
	library, ref := &p.edge.fetcher.library, decodeContentRef(in.GetRef())
	if len(in.GetParts()) == 0 {
		return encodeParts(library.Parts(ref)), nil
	}
	data, ok := library.Read(ref, in.GetParts(), maxContentReply)
	if !ok {
		return &rpc.ContentReply{}, nil
	}
	return &rpc.ContentReply{Held: true, Data: compress(data)}, nil
}

func encodeContentRef(ref content.Ref) *rpc.ContentRef {
	return &rpc.ContentRef{Digest: ref.Digest[:], Size: uint64(ref.Size)}
}

// decodeContentRef returns the zero Ref if there is none, or if it is not usable.
func decodeContentRef(in *rpc.ContentRef) (ref content.Ref) {
	if len(in.GetDigest()) != len(ref.Digest) || in.GetSize() == 0 || in.GetSize() > maxPeerResponse {
		return content.Ref{}
	}
	copy(ref.Digest[:], in.GetDigest())
	ref.Size = int(in.GetSize())
	return ref
}

func encodeParts(parts []content.Part) *rpc.ContentReply {
	reply := &rpc.ContentReply{Held: len(parts) > 0}
	for _, part := range parts {
		reply.Parts = append(reply.Parts, part.ID)
		reply.Sizes = append(reply.Sizes, uint32(part.Size))
	}
	return reply
}

func decodeParts(in *rpc.ContentReply) []content.Part {
	parts := make([]content.Part, 0, len(in.GetParts()))
	for i, id := range in.GetParts()[:min(len(in.GetParts()), len(in.GetSizes()))] {
		parts = append(parts, content.Part{ID: id, Size: int(in.GetSizes()[i])})
	}
	return parts
}

func partIDs(parts []content.Part) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// compressors holds idle writers, each of which takes half a megabyte.
var compressors = sync.Pool{New: func() any {
	// The error is that of an unknown level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// compress returns data as a DEFLATE stream.
func compress(data []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// decompress returns the bytes of some parts. A stream of another length is content.ErrMismatch.
func decompress(data []byte, parts []content.Part) ([]byte, error) {
	size := 0
	for _, part := range parts {
		size += part.Size
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(size)+1))
	if err != nil || len(out) != size {
		return nil, content.ErrMismatch
	}
	return out, nil
}
