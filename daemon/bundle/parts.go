package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// WorkspaceShards is the number of parts that the workspaces are split into. With 64
// shards, a change of one workspace in a bundle of 1 MB transfers about 16 KB.
const WorkspaceShards = 64

// Names of the parts. The name of a workspace shard is workspacePrefix and two hex
// digits.
const (
	PartModels   = "models"
	PartRollouts = "rollouts"
	PartTopology = "topology"
	PartLimits   = "limits"
	PartKeys     = "keys"

	workspacePrefix = "workspaces/"
)

// Errors of joining parts, for errors.Is.
var (
	// ErrMissingPart: a part of the bundle is absent.
	ErrMissingPart = errors.New("bundle: missing part")
	// ErrPartHash: the content of a part does not match its hash in the manifest.
	ErrPartHash = errors.New("bundle: content of a part does not match its hash")
	// ErrUnknownPart: the manifest requires a part that this program version does not
	// know.
	ErrUnknownPart = errors.New("bundle: required part is unknown to this program version")
)

// Hash is a SHA-256 hash in lower-case hex.
type Hash string

// HashOf returns the hash of data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

type modelsPart struct {
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
}

type topologyPart struct {
	DataCentres []DataCentre `json:"data_centres"`
	VMs         []VM         `json:"vms"`
}

// Split encodes b as parts. It returns the content of each part by hash, and the hash of
// each part by name. The encoding does not depend on the order of workspaces, so equal
// content gives equal bytes. Empty workspace shards have no part.
func Split(b *Bundle) (parts map[Hash][]byte, names map[string]Hash, err error) {
	content := map[string]any{
		PartModels:   modelsPart{Models: b.Models, Services: b.Services},
		PartRollouts: b.Rollouts,
		PartTopology: topologyPart{DataCentres: b.DataCentres, VMs: b.VMs},
		PartLimits:   b.Limits,
		PartKeys:     b.Keys,
	}
	for name, shard := range shards(b.Workspaces) {
		content[name] = shard
	}
	parts = make(map[Hash][]byte, len(content))
	names = make(map[string]Hash, len(content))
	for name, value := range content {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, nil, fmt.Errorf("bundle: encode part %s: %w", name, err)
		}
		hash := HashOf(data)
		parts[hash] = data
		names[name] = hash
	}
	return parts, names, nil
}

// shards groups the workspaces by part name, sorted by name.
func shards(all []Workspace) map[string][]Workspace {
	out := make(map[string][]Workspace)
	for _, w := range all {
		name := WorkspacePartName(w.Name)
		out[name] = append(out[name], w)
	}
	for _, shard := range out {
		sortWorkspaces(shard)
	}
	return out
}

func sortWorkspaces(list []Workspace) {
	slices.SortStableFunc(list, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
}

// WorkspacePartName returns the name of the part that contains the workspace.
func WorkspacePartName(workspace string) string {
	return fmt.Sprintf("%s%02x", workspacePrefix, xxhash.Sum64String(workspace)%WorkspaceShards)
}

// knownPart reports whether this program version can decode the part.
func knownPart(name string) bool {
	switch name {
	case PartModels, PartRollouts, PartTopology, PartLimits, PartKeys:
		return true
	}
	return strings.HasPrefix(name, workspacePrefix)
}

// Join assembles the bundle that m describes from parts. It checks the hash of every part
// that it decodes and refuses unknown fields. It ignores parts unknown to this program
// version, but returns ErrUnknownPart if m requires one of them. It does not validate the
// bundle.
func Join(m Manifest, parts map[Hash][]byte) (*Bundle, error) {
	if err := m.checkRequiredParts(); err != nil {
		return nil, err
	}
	b := new(Bundle)
	var models modelsPart
	var topology topologyPart
	fixed := map[string]any{
		PartModels:   &models,
		PartRollouts: &b.Rollouts,
		PartTopology: &topology,
		PartLimits:   &b.Limits,
		PartKeys:     &b.Keys,
	}
	for name, target := range fixed {
		if err := decodePart(m, parts, name, target); err != nil {
			return nil, err
		}
	}
	b.Models, b.Services = models.Models, models.Services
	b.DataCentres, b.VMs = topology.DataCentres, topology.VMs
	return b, joinWorkspaces(b, m, parts)
}

func joinWorkspaces(b *Bundle, m Manifest, parts map[Hash][]byte) error {
	for _, name := range slices.Sorted(maps.Keys(m.Parts)) {
		if !strings.HasPrefix(name, workspacePrefix) {
			continue
		}
		var shard []Workspace
		if err := decodePart(m, parts, name, &shard); err != nil {
			return err
		}
		b.Workspaces = append(b.Workspaces, shard...)
	}
	sortWorkspaces(b.Workspaces)
	return nil
}

func decodePart(m Manifest, parts map[Hash][]byte, name string, target any) error {
	hash, listed := m.Parts[name]
	if !listed {
		return fmt.Errorf("%w: %s is not in the manifest", ErrMissingPart, name)
	}
	data, held := parts[hash]
	if !held {
		return fmt.Errorf("%w: %s", ErrMissingPart, name)
	}
	if HashOf(data) != hash {
		return fmt.Errorf("%w: %s", ErrPartHash, name)
	}
	if err := decodeExact(data, target); err != nil {
		return fmt.Errorf("part %s: %w", name, err)
	}
	return nil
}

// UnknownParts returns the parts of m that this program version does not know. Tools
// that change a bundle must copy them to the new version.
func (m Manifest) UnknownParts() map[string]Hash {
	out := make(map[string]Hash)
	for name, hash := range m.Parts {
		if !knownPart(name) {
			out[name] = hash
		}
	}
	return out
}
