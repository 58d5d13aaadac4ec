package distribute

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
)

// MaxHistory is the number of manifests that the store keeps for rollbacks.
const MaxHistory = 50

// ErrParentMismatch is returned for a proposal whose parent is not the version in
// the store.
var ErrParentMismatch = errors.New("distribute: parent of the proposal is not the version in the store")

// StoredBundle is a configuration read from the store. Its zero value represents an
// empty store.
type StoredBundle struct {
	Signed   bundle.SignedManifest
	Manifest bundle.Manifest
	Bundle   *bundle.Bundle
	Parts    map[bundle.Hash][]byte
	// Revision of KeyCurrent; 0 for versions read from the history.
	Revision kv.Revision
}

// ReadStoredBundle reads the configuration in the store and checks the hashes of its
// parts. It verifies the sign-offs with the keys of the bundle itself, but not those
// keys, since it has no root keys: processes verify them.
func ReadStoredBundle(ctx context.Context, store kv.Store) (StoredBundle, error) {
	entry, err := store.Get(ctx, KeyCurrent)
	if errors.Is(err, kv.ErrNotFound) {
		return StoredBundle{}, nil
	}
	if err != nil {
		return StoredBundle{}, fmt.Errorf("distribute: read %s: %w", KeyCurrent, err)
	}
	out, err := readParts(ctx, store, entry.Value)
	out.Revision = entry.Revision
	return out, err
}

// ReadHistory reads an earlier version from the store, or kv.ErrNotFound.
func ReadHistory(ctx context.Context, store kv.Store, version uint64) (StoredBundle, error) {
	entry, err := store.Get(ctx, HistoryKey(version))
	if err != nil {
		return StoredBundle{}, fmt.Errorf("distribute: read version %d: %w", version, err)
	}
	return readParts(ctx, store, entry.Value)
}

func readParts(ctx context.Context, store kv.Store, data []byte) (StoredBundle, error) {
	out := StoredBundle{Parts: make(map[bundle.Hash][]byte)}
	var err error
	if out.Signed, err = bundle.DecodeSignedManifest(data); err != nil {
		return out, err
	}
	if out.Manifest, err = out.Signed.DecodeManifest(); err != nil {
		return out, err
	}
	for name, hash := range out.Manifest.Parts {
		entry, err := store.Get(ctx, KeyPart+string(hash))
		if err != nil {
			return out, fmt.Errorf("distribute: read part %s: %w", name, err)
		}
		out.Parts[hash] = entry.Value
	}
	if out.Bundle, err = bundle.Join(out.Manifest, out.Parts); err != nil {
		return out, err
	}
	_, err = bundle.Verify(out.Signed, out.Bundle.Keys)
	return out, err
}

// Propose replaces base with signed in the store. Parts are written first, so that a
// manifest in the store is always complete. Propose returns ErrParentMismatch or
// kv.ErrConflict if another configuration was written first, and
// kv.ErrUnknownOutcome if the change may or may not have been written; it is then
// safe to propose the same configuration again.
func Propose(ctx context.Context, store *kv.Client, base StoredBundle, signed bundle.SignedManifest, parts map[bundle.Hash][]byte) error {
	m, err := signed.DecodeManifest()
	if err != nil {
		return err
	}
	if m.Parent != base.Manifest.Version {
		return fmt.Errorf("%w: version %d, in the store %d", ErrParentMismatch, m.Parent, base.Manifest.Version)
	}
	encoded, err := signed.Encode()
	if err != nil {
		return err
	}
	if err := writeHistory(ctx, store, base); err != nil {
		return err
	}
	if err := writeParts(ctx, store, parts); err != nil {
		return err
	}
	_, err = store.PutOnce(ctx, KeyCurrent, encoded, base.Revision, 0, kv.MatchValue(encoded))
	if err != nil {
		return fmt.Errorf("distribute: write %s: %w", KeyCurrent, err)
	}
	// A concurrent Prune may have deleted a part before the manifest that uses it was
	// written.
	return writeParts(ctx, store, parts)
}

func writeHistory(ctx context.Context, store *kv.Client, s StoredBundle) error {
	if s.Manifest.Version == 0 {
		return nil
	}
	encoded, err := s.Signed.Encode()
	if err != nil {
		return err
	}
	return createIfAbsent(ctx, store, HistoryKey(s.Manifest.Version), encoded)
}

func writeParts(ctx context.Context, store *kv.Client, parts map[bundle.Hash][]byte) error {
	for _, hash := range slices.Sorted(maps.Keys(parts)) {
		if err := createIfAbsent(ctx, store, KeyPart+string(hash), parts[hash]); err != nil {
			return err
		}
	}
	return nil
}

// createIfAbsent writes the key unless it exists.
func createIfAbsent(ctx context.Context, store *kv.Client, key string, value []byte) error {
	_, err := store.PutOnce(ctx, key, value, 0, 0, kv.MatchValue(value))
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("distribute: write %s: %w", key, err)
	}
	return nil
}

// Prune deletes the oldest manifests beyond MaxHistory and the parts that only they
// use. A concurrent proposal that uses such a part stays complete: either it writes
// its parts after the deletion, or Prune reads its manifest and restores the parts.
func Prune(ctx context.Context, store *kv.Client) error {
	entries, err := store.List(ctx, KeyHistory)
	if err != nil || len(entries) <= MaxHistory {
		return err
	}
	old, kept := entries[:len(entries)-MaxHistory], entries[len(entries)-MaxHistory:]
	used := make(map[bundle.Hash]bool)
	for _, e := range kept {
		markUsedParts(e.Value, used)
	}
	if err := markCurrentParts(ctx, store, used); err != nil {
		return err
	}
	removed := make(map[bundle.Hash][]byte)
	for _, e := range old {
		if err := deleteParts(ctx, store, e.Value, used, removed); err != nil {
			return err
		}
		if err := store.Delete(ctx, e.Key, e.Revision); err != nil && !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	now := make(map[bundle.Hash]bool)
	if err := markCurrentParts(ctx, store, now); err != nil {
		return err
	}
	maps.DeleteFunc(removed, func(h bundle.Hash, _ []byte) bool { return !now[h] })
	return writeParts(ctx, store, removed)
}

func markCurrentParts(ctx context.Context, store *kv.Client, used map[bundle.Hash]bool) error {
	entry, err := store.Get(ctx, KeyCurrent)
	if err != nil {
		return err
	}
	markUsedParts(entry.Value, used)
	return nil
}

func markUsedParts(data []byte, used map[bundle.Hash]bool) {
	s, err := bundle.DecodeSignedManifest(data)
	if err != nil {
		return
	}
	m, err := s.DecodeManifest()
	if err != nil {
		return
	}
	for _, hash := range m.Parts {
		used[hash] = true
	}
}

func deleteParts(ctx context.Context, store *kv.Client, data []byte, used map[bundle.Hash]bool, removed map[bundle.Hash][]byte) error {
	mine := make(map[bundle.Hash]bool)
	markUsedParts(data, mine)
	for hash := range mine {
		if used[hash] || removed[hash] != nil {
			continue
		}
		entry, err := store.Get(ctx, KeyPart+string(hash))
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if err := store.Delete(ctx, entry.Key, entry.Revision); err != nil && !errors.Is(err, kv.ErrNotFound) {
			return err
		}
		removed[hash] = entry.Value
	}
	return nil
}
