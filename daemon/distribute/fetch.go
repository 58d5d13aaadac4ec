package distribute

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

// Keys of the store. Operators write them with cactusctl.
const (
	// KeyCurrent holds the signed manifest in force.
	KeyCurrent = "bundle/current"
	// KeyPart is followed by the hash of a part.
	KeyPart = "bundle/part/"
	// KeyHistory is followed by the version, padded by HistoryKey.
	KeyHistory = "bundle/history/"
)

// HistoryKey returns the key of the signed manifest of a version. Versions are
// padded so that keys sort by version.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%020d", KeyHistory, version) }

const (
	// peerTimeout is how long a peer may be silent in a call, before its response or within it. Peers
	// respond within milliseconds.
	peerTimeout = 2 * time.Second
	// maxPeerTransfer bounds a call in sum. The longest response, parts of 1 MB, takes less on a
	// link with 1 Mbit/s.
	maxPeerTransfer = 12 * time.Second
	// storeTimeout limits one call to the store, which is slow at times.
	storeTimeout = 3 * time.Second
)

// peerLimits bound a call to a peer by progress, so that a long response ends on a thin link.
var peerLimits = transfer.Limits{Answer: peerTimeout, Silence: peerTimeout, Total: maxPeerTransfer}

// ErrNoSource is returned when no source delivered a valid bundle.
var ErrNoSource = errors.New("distribute: no source delivered a valid bundle")

// source delivers a manifest and parts.
type source interface {
	name() string
	manifest(ctx context.Context) ([]byte, error)
	// parts may return fewer parts than requested.
	parts(ctx context.Context, hashes []bundle.Hash) (map[bundle.Hash][]byte, error)
}

// peerSource fetches from another process.
type peerSource struct {
	syncer *Syncer
	member Member
	client PeerClient
}

func (p peerSource) name() string { return p.member.Node }

func (p peerSource) manifest(ctx context.Context) ([]byte, error) {
	call := transfer.New(ctx, peerLimits)
	defer call.Stop()
	sent := p.syncer.cfg.Clock.Now()
	out, err := p.client.FetchManifest(call.Context(), new(rpc.FetchManifestRequest))
	if err != nil {
		return nil, fmt.Errorf("distribute: manifest of %s: %w", p.member.Node, err)
	}
	p.syncer.RecordContact(p.member.DataCentre, sent)
	p.syncer.meter.spend("manifest", len(out.GetManifest()))
	return out.GetManifest(), nil
}

func (p peerSource) parts(ctx context.Context, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	got := make(map[bundle.Hash][]byte)
	for len(hashes) > 0 {
		in := &rpc.FetchPartsRequest{}
		for _, hash := range hashes {
			in.Hashes = append(in.Hashes, string(hash))
		}
		out, err := p.fetch(ctx, in)
		if err != nil || len(out.GetParts()) == 0 {
			return got, err
		}
		size := 0
		before := len(hashes)
		hashes = slices.DeleteFunc(slices.Clone(hashes), func(hash bundle.Hash) bool {
			data, ok := out.GetParts()[string(hash)]
			if ok {
				got[hash] = data
				size += len(data)
			}
			return ok
		})
		p.syncer.meter.spend("parts", size)
		if len(hashes) == before {
			return got, nil
		}
	}
	return got, nil
}

func (p peerSource) fetch(ctx context.Context, in *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	call := transfer.New(ctx, peerLimits)
	defer call.Stop()
	out, err := p.client.FetchParts(call.Context(), in)
	if err != nil {
		return nil, fmt.Errorf("distribute: parts of %s: %w", p.member.Node, err)
	}
	return out, nil
}

// storeSource fetches from the store.
type storeSource struct {
	syncer *Syncer
	// entry is the manifest if it has been read already, or nil.
	entry *kv.Entry
}

func (s storeSource) name() string { return "store" }

func (s storeSource) manifest(ctx context.Context) ([]byte, error) {
	if s.entry != nil {
		return s.entry.Value, nil
	}
	entry, err := s.syncer.readCurrent(ctx)
	return entry.Value, err
}

func (s storeSource) parts(ctx context.Context, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	got := make(map[bundle.Hash][]byte)
	for _, hash := range hashes {
		entry, err := s.syncer.get(ctx, KeyPart+string(hash))
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		if err != nil {
			return got, err
		}
		got[hash] = entry.Value
	}
	return got, nil
}

func (s *Syncer) get(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.cfg.Store.Get(ctx, key)
	s.meter.spend("store", len(key)+len(entry.Value))
	if err != nil {
		return entry, fmt.Errorf("distribute: read %s: %w", key, err)
	}
	return entry, nil
}

// readCurrent reads the manifest in the store and removes the claims that it
// disproves. For an absent key it returns an entry with revision 0.
func (s *Syncer) readCurrent(ctx context.Context) (kv.Entry, error) {
	before := s.claims.snapshot()
	sent := s.cfg.Clock.Now()
	entry, err := s.get(ctx, KeyCurrent)
	if errors.Is(err, kv.ErrNotFound) {
		entry, err = kv.Entry{Key: KeyCurrent}, nil
	}
	if err != nil {
		return entry, err
	}
	s.recordStoreRead(sent)
	s.claims.discardUnrenewed(before, max(claimedVersion(entry.Value), s.Version()))
	return entry, nil
}

// claimedVersion returns the unverified version of an encoded manifest, or 0.
func claimedVersion(data []byte) uint64 {
	s, err := bundle.DecodeSignedManifest(data)
	if err != nil {
		return 0
	}
	m, err := s.DecodeManifest()
	if err != nil {
		return 0
	}
	return m.Version
}

// fetchBundle reads the manifest of from, fetches the missing parts from it and, if
// it lacks some, from others, and accepts the bundle. It returns the version that
// from delivered.
func (s *Syncer) fetchBundle(ctx context.Context, from source, others ...source) (uint64, error) {
	data, err := from.manifest(ctx)
	if err != nil {
		return 0, err
	}
	if len(data) == 0 {
		return 0, nil
	}
	signed, err := bundle.DecodeSignedManifest(data)
	if err != nil {
		s.recordRefusal(err)
		return 0, err
	}
	m, err := signed.DecodeManifest()
	if err != nil {
		return 0, err
	}
	if err := s.checkManifest(signed); err != nil {
		if errors.Is(err, errAlreadyHeld) {
			return m.Version, nil
		}
		s.recordRefusal(err)
		return m.Version, err
	}
	parts, err := s.collectParts(ctx, signed, m, append([]source{from}, others...))
	if err != nil {
		s.recordRefusal(err)
		return m.Version, err
	}
	return m.Version, s.Accept(signed, parts)
}

// collectParts returns the parts of m. It fetches the keys first and verifies the
// signatures with them, so that a forged manifest causes no further fetches.
func (s *Syncer) collectParts(ctx context.Context, signed bundle.SignedManifest, m bundle.Manifest, from []source) (map[bundle.Hash][]byte, error) {
	parts := s.partsHeld(signed)
	keys := m.Parts[bundle.PartKeys]
	if err := fetchMissing(ctx, parts, []bundle.Hash{keys}, from); err != nil {
		return nil, err
	}
	if _, _, err := bundle.VerifyWithKeysPart(signed, parts[keys], s.cfg.Anchor); err != nil {
		return nil, err
	}
	all := slices.Collect(maps.Values(m.Parts))
	slices.Sort(all)
	err := fetchMissing(ctx, parts, slices.Compact(all), from)
	s.keepPartial(signed, parts, err)
	return parts, err
}

// partsHeld returns the parts of the current bundle and those fetched for the
// manifest in an earlier attempt.
func (s *Syncer) partsHeld(signed bundle.SignedManifest) map[bundle.Hash][]byte {
	parts := make(map[bundle.Hash][]byte)
	if c := s.Current(); c != nil {
		maps.Copy(parts, c.Parts)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partialOf == signed.Hash() {
		maps.Copy(parts, s.partial)
	}
	return parts
}

// keepPartial saves the parts of an incomplete fetch for the next attempt.
func (s *Syncer) keepPartial(signed bundle.SignedManifest, parts map[bundle.Hash][]byte, failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partial, s.partialOf = nil, ""
	if failure != nil {
		s.partial, s.partialOf = maps.Clone(parts), signed.Hash()
	}
}

// fetchMissing adds the parts with the given hashes to parts. It asks each source in
// turn for the parts that are still missing.
func fetchMissing(ctx context.Context, parts map[bundle.Hash][]byte, hashes []bundle.Hash, from []source) error {
	var failed []error
	for _, s := range from {
		missing := slices.DeleteFunc(slices.Clone(hashes), func(h bundle.Hash) bool { return parts[h] != nil })
		if len(missing) == 0 {
			return nil
		}
		got, err := s.parts(ctx, missing)
		if err != nil {
			failed = append(failed, err)
		}
		for _, hash := range missing {
			data, ok := got[hash]
			if ok && bundle.HashOf(data) == hash {
				parts[hash] = data
			}
		}
	}
	for _, hash := range hashes {
		if parts[hash] == nil {
			return fmt.Errorf("%w: %s: %w", bundle.ErrMissingPart, hash, errors.Join(failed...))
		}
	}
	return nil
}

// peerSources returns sources for the members that have a client.
func (s *Syncer) peerSources(members []Member) []source {
	var out []source
	for _, m := range members {
		if client := s.cfg.Network.Client(m.Node); client != nil {
			out = append(out, peerSource{syncer: s, member: m, client: client})
		}
	}
	return out
}

// member returns the member with the given name. If it is unknown, only its name is
// set.
func (s *Syncer) member(node string) Member {
	for m := range s.otherMembers() {
		if m.Node == node {
			return m
		}
	}
	return Member{Node: node}
}

// isForged reports whether err means that the manifest is not validly signed by
// operators.
func isForged(err error) bool {
	return errors.Is(err, bundle.ErrNotEnoughSignOffs) || errors.Is(err, bundle.ErrUntrustedKeys) || errors.Is(err, bundle.ErrMalformed)
}

// catchUp fetches the versions that peers claim to hold, then, if still behind, asks
// a random peer and the store.
func (s *Syncer) catchUp(ctx context.Context) {
	claimed := s.claims.snapshot()
	fallback := append(s.peerSources(s.pickRouters(1, anyMember)), storeSource{syncer: s})
	for node, version := range claimed {
		if version <= s.Version() || ctx.Err() != nil {
			continue
		}
		for _, src := range s.peerSources([]Member{s.member(node)}) {
			presented, err := s.fetchBundle(ctx, src, fallback...)
			if isForged(err) {
				s.claims.ignore(node, s.cfg.Clock.Now().Add(forgedIgnoreDuration))
			}
			if err == nil && presented < version {
				s.incrementCounter("cactusknot_config_refused_total{reason=%q}", "claim_disproved")
				s.claims.disprove(node, presented)
			}
		}
	}
	for _, src := range fallback {
		if !s.Behind() || ctx.Err() != nil {
			break
		}
		if _, err := s.fetchBundle(ctx, src, fallback...); err != nil {
			s.cfg.Log.Debug().Err(err).Str("source", src.name()).Msg("fetching the configuration failed")
		}
	}
	s.claims.discardUpTo(s.Version())
}
