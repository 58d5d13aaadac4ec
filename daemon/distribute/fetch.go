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
	// peerTimeout bounds one call to a peer; peers answer in ms.
	peerTimeout = 2 * time.Second
	// storeTimeout bounds one call to the store, which is slow at times.
	storeTimeout = 3 * time.Second
)

// ErrNoSource: no source delivered a manifest.
var ErrNoSource = errors.New("distribute: no source of a bundle")

// source delivers a manifest and parts.
type source interface {
	name() string
	manifest(ctx context.Context) ([]byte, error)
	// parts may return fewer than asked for.
	parts(ctx context.Context, hashes []bundle.Hash) (map[bundle.Hash][]byte, error)
}

// peerSource fetches from another process.
type peerSource struct {
	keeper *Syncer
	member Member
	client PeerClient
}

func (p peerSource) name() string { return p.member.Node }

func (p peerSource) manifest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := p.keeper.cfg.Clock.Now()
	out, err := p.client.FetchManifest(ctx, new(rpc.FetchManifestRequest))
	if err != nil {
		return nil, fmt.Errorf("distribute: manifest of %s: %w", p.member.Node, err)
	}
	p.keeper.RecordContact(p.member.DataCentre, sent)
	p.keeper.meter.spend("manifest", len(out.GetManifest()))
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
		p.keeper.meter.spend("parts", size)
		if len(hashes) == before {
			return got, nil
		}
	}
	return got, nil
}

func (p peerSource) fetch(ctx context.Context, in *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := p.client.FetchParts(ctx, in)
	if err != nil {
		return nil, fmt.Errorf("distribute: parts of %s: %w", p.member.Node, err)
	}
	return out, nil
}

// storeSource fetches from the store.
type storeSource struct {
	keeper *Syncer
	// entry is the manifest already read, or nil.
	entry *kv.Entry
}

func (s storeSource) name() string { return "store" }

func (s storeSource) manifest(ctx context.Context) ([]byte, error) {
	if s.entry != nil {
		return s.entry.Value, nil
	}
	entry, err := s.keeper.readCurrent(ctx)
	return entry.Value, err
}

func (s storeSource) parts(ctx context.Context, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	got := make(map[bundle.Hash][]byte)
	for _, hash := range hashes {
		entry, err := s.keeper.get(ctx, KeyPart+string(hash))
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

// readCurrent reads the manifest in the store. An absent key is an entry with
// revision 0. It drops claims that the store disproves.
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
	s.storeAnswered(sent)
	s.claims.drop(before, max(versionOf(entry.Value), s.Version()))
	return entry, nil
}

// versionOf returns the version that data claims, unverified, or 0.
func versionOf(data []byte) uint64 {
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

// pull takes the manifest of from, fetches the missing parts from it and, where
// it lacks them, from others, and accepts the bundle. It returns the version
// that from presented.
func (s *Syncer) pull(ctx context.Context, from source, others ...source) (uint64, error) {
	data, err := from.manifest(ctx)
	if err != nil {
		return 0, err
	}
	if len(data) == 0 {
		return 0, nil
	}
	signed, err := bundle.DecodeSignedManifest(data)
	if err != nil {
		s.refused(err)
		return 0, err
	}
	m, err := signed.DecodeManifest()
	if err != nil {
		return 0, err
	}
	if err := s.worth(signed); err != nil {
		if errors.Is(err, errSame) {
			return m.Version, nil
		}
		s.refused(err)
		return m.Version, err
	}
	parts, err := s.collect(ctx, signed, m, append([]source{from}, others...))
	if err != nil {
		s.refused(err)
		return m.Version, err
	}
	return m.Version, s.Accept(signed, parts)
}

// collect returns the parts of m. It gets the keys first and checks the
// signatures, so that a forged manifest causes no further fetches.
func (k *Syncer) collect(ctx context.Context, s bundle.SignedManifest, m bundle.Manifest, from []source) (map[bundle.Hash][]byte, error) {
	parts := k.partsHeld(s)
	keys := m.Parts[bundle.PartKeys]
	if err := fill(ctx, parts, []bundle.Hash{keys}, from); err != nil {
		return nil, err
	}
	if _, _, err := bundle.VerifyWithKeysPart(s, parts[keys], k.cfg.Anchor); err != nil {
		return nil, err
	}
	all := slices.Collect(maps.Values(m.Parts))
	slices.Sort(all)
	err := fill(ctx, parts, slices.Compact(all), from)
	k.keepPartial(s, parts, err)
	return parts, err
}

// partsHeld returns the parts of the bundle in force and those fetched for s in
// an earlier attempt.
func (k *Syncer) partsHeld(s bundle.SignedManifest) map[bundle.Hash][]byte {
	parts := make(map[bundle.Hash][]byte)
	if c := k.Current(); c != nil {
		maps.Copy(parts, c.Parts)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.partialOf == s.Hash() {
		maps.Copy(parts, k.partial)
	}
	return parts
}

// keepPartial keeps the parts of an incomplete fetch for the next attempt.
func (k *Syncer) keepPartial(s bundle.SignedManifest, parts map[bundle.Hash][]byte, failure error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.partial, k.partialOf = nil, ""
	if failure != nil {
		k.partial, k.partialOf = maps.Clone(parts), s.Hash()
	}
}

// fill adds the parts with the hashes to parts, asking each source in turn for
// those still missing.
func fill(ctx context.Context, parts map[bundle.Hash][]byte, hashes []bundle.Hash, from []source) error {
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

// peers returns sources for members that can be reached.
func (s *Syncer) peers(members []Member) []source {
	var out []source
	for _, m := range members {
		if client := s.cfg.Network.Client(m.Node); client != nil {
			out = append(out, peerSource{keeper: s, member: m, client: client})
		}
	}
	return out
}

// member returns the member with the name; its data centre is empty when unknown.
func (s *Syncer) member(node string) Member {
	for m := range s.others() {
		if m.Node == node {
			return m
		}
	}
	return Member{Node: node}
}

// forged reports whether a manifest is not what operators signed.
func forged(err error) bool {
	return errors.Is(err, bundle.ErrNotEnoughSignOffs) || errors.Is(err, bundle.ErrUntrustedKeys) || errors.Is(err, bundle.ErrMalformed)
}

// catchUp fetches what peers claim to hold, then asks random peers and the store.
func (k *Syncer) catchUp(ctx context.Context) {
	claimed := k.claims.snapshot()
	spare := append(k.peers(k.pick(1, anyMember)), storeSource{keeper: k})
	for node, version := range claimed {
		if version <= k.Version() || ctx.Err() != nil {
			continue
		}
		for _, s := range k.peers([]Member{k.member(node)}) {
			presented, err := k.pull(ctx, s, spare...)
			if forged(err) {
				k.claims.ignore(node, k.cfg.Clock.Now().Add(ignoreFor))
			}
			if err == nil && presented < version {
				k.count("cactusknot_config_refused_total{reason=%q}", "claim_disproved")
				k.claims.disprove(node, presented)
			}
		}
	}
	for _, s := range spare {
		if !k.Behind() || ctx.Err() != nil {
			break
		}
		if _, err := k.pull(ctx, s, spare...); err != nil {
			k.cfg.Log.Debug().Err(err).Str("source", s.name()).Msg("fetch configuration")
		}
	}
	k.claims.settle(k.Version())
}
