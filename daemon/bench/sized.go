package bench

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/platform"
)

// Target sizes from docs/design.md, section 1.4.
const (
	targetRouters     = 350
	targetAgents      = 1700
	targetProcesses   = targetRouters + targetAgents
	targetModels      = 10
	targetDataCentres = 13
	targetRegions     = 4
	// keysPerWorkspace covers one key in use, one being replaced, and the others
	// for separate programs. With it a bundle of 1,600 workspaces has 1 MB.
	keysPerWorkspace = 6
)

func vmName(i int) string { return fmt.Sprintf("vm-%05d", i) }

func workspaceName(i int) string { return fmt.Sprintf("workspace-%05d", i) }

// sizedBundle returns a bundle with 10 models, 19 versions, a rollout and the
// given number of workspaces, each of which may use all models.
func sizedBundle(workspaces int) *bundle.Bundle {
	b := &bundle.Bundle{}
	for i := range targetModels {
		m := bundle.Model{Name: fmt.Sprintf("model-%02d", i), Current: "1", InputPrice: uint64(i+1) * 100_000, OutputPrice: uint64(i+1) * 400_000}
		m.Versions = append(m.Versions, bundle.Version{Name: "1", State: bundle.VersionServing})
		if i > 0 {
			m.Versions = append(m.Versions, bundle.Version{Name: "2", State: bundle.VersionServing})
		}
		b.Models = append(b.Models, m)
	}
	b.Rollouts = []bundle.Rollout{{
		ID: "r1", Model: "model-01", From: "1", To: "2", Steps: []float64{0.1, 1}, State: bundle.RolloutRunning, Generation: 1,
	}}
	for i := range targetDataCentres {
		b.DataCentres = append(b.DataCentres, bundle.DataCentre{
			Name: fmt.Sprintf("dc-%02d", i), Region: fmt.Sprintf("region-%d", i%targetRegions), State: bundle.DataCentreServing,
		})
	}
	for i := range workspaces {
		b.Workspaces = append(b.Workspaces, sizedWorkspace(b, i))
	}
	return b
}

func sizedWorkspace(b *bundle.Bundle, i int) bundle.Workspace {
	w := bundle.Workspace{Name: workspaceName(i), QualityTarget: 0.8, ExploreShare: 0.02}
	for j := range keysPerWorkspace {
		w.KeyHashes = append(w.KeyHashes, auth.HashAPIKey(fmt.Sprintf("key-%d-%d", i, j)))
	}
	for _, m := range b.Models {
		w.Allowed = append(w.Allowed, m.Name)
	}
	return w
}

// Test keys that sign the measured bundles.
var (
	benchRoot     = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	benchOperator = ed25519.NewKeyFromSeed([]byte("operator key of the benchmarks!!"))
)

func publicKey(name string, key ed25519.PrivateKey) bundle.OperatorKey {
	return bundle.OperatorKey{Name: name, PublicKey: base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))}
}

func benchTrustAnchor() bundle.TrustAnchor {
	return bundle.TrustAnchor{Roots: []bundle.OperatorKey{publicKey("root", benchRoot)}, SignOffs: 1}
}

// signedBundle splits the bundle into parts and returns the signed manifest of
// the given version with the parts.
func signedBundle(b *bundle.Bundle, version uint64) (bundle.SignedManifest, map[bundle.Hash][]byte, error) {
	b.Keys = bundle.SignKeys(bundle.Keys{Operators: []bundle.OperatorKey{publicKey("bench", benchOperator)}, SignOffs: 1, Serial: 1}, benchRoot)
	parts, names, err := bundle.Split(b)
	if err != nil {
		return bundle.SignedManifest{}, nil, err
	}
	s, err := bundle.NewSignedManifest(bundle.Manifest{Version: version, Parent: version - 1, Parts: names, Author: "bench"})
	if err != nil {
		return bundle.SignedManifest{}, nil, err
	}
	return bundle.Sign(s, benchOperator), parts, nil
}

// sizedVMs returns a VM list in which one in six VMs is a router.
func sizedVMs(size int) []platform.VM {
	out := make([]platform.VM, size)
	for i := range out {
		out[i] = platform.VM{
			Name: vmName(i), Role: platform.VMAgent, DataCentre: fmt.Sprintf("dc-%02d", i%targetDataCentres),
			Region: fmt.Sprintf("region-%d", i%targetRegions), Address: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256), State: platform.VMLive,
		}
		if i%6 == 0 {
			out[i].Role = platform.VMRouter
		}
	}
	return out
}
