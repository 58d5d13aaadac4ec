// Package distribute replicates the configuration bundle, stop notices and quality
// counters to every process, by gossip between processes and by watching the store.
// It is independent of the transport: peers are called through PeerClient and the
// store through kv.Store.
package distribute

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/rpc"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// ConfigurationReverted is violated when a process activates a version that is not
// higher than the one it holds.
const ConfigurationReverted invariant.Name = "configuration_reverted"

// Errors returned by Accept. Callers test for them with errors.Is.
var (
	// ErrOlderVersion: the version is lower than the one held.
	ErrOlderVersion = errors.New("distribute: version is older than the one held")
	// ErrForked: the version equals the one held but the content differs.
	ErrForked = errors.New("distribute: version is already held with different content")
	// ErrOldKeys: the operator keys are older than those held.
	ErrOldKeys = errors.New("distribute: operator keys are older than those held")
)

// PeerClient calls another process. The generated Twirp client implements it.
// Syncer implements it as well, for the server side and for tests.
type PeerClient = rpc.Peer

// Network lists the known processes and provides clients for them. Its methods must
// be safe for concurrent use.
type Network interface {
	// Members returns the currently known processes, which may include this one. The
	// caller must not modify the list: with 2,050 processes, a copy for each message
	// cost 1.6% of a core.
	Members() []Member
	// Client returns a client of the process, or nil when it can't be reached.
	Client(node string) PeerClient
}

// Config configures a Syncer. All fields must be set unless noted otherwise.
type Config struct {
	Self    Member
	Anchor  bundle.TrustAnchor
	Store   kv.Store
	Network Network
	Clock   clock.Clock
	Rand    *rand.Rand
	// Checker may be nil.
	Checker *invariant.Checker
	Log     zerolog.Logger
	// Metrics may be nil.
	Metrics *metrics.Set
	// OnBundle, OnStop and OnCounter may be nil. They are called without locks after
	// the change is visible, and must not block.
	OnBundle  func(*Current)
	OnStop    func(*rpc.StopNotice)
	OnCounter func(*rpc.QualityCounter)
	// StoreEra returns the latest era of the store that the process has heard of, and
	// ObserveStoreEra records the era that a peer has sent. Both may be nil.
	StoreEra        func() uint64
	ObserveStoreEra func(era uint64)
}

// Current is a verified bundle. It is immutable.
type Current struct {
	Bundle   *bundle.Bundle
	Version  uint64
	Manifest bundle.Manifest
	Signed   bundle.SignedManifest
	// Hash identifies the manifest.
	Hash bundle.Hash
	// Encoded is the JSON encoding of Signed that is sent to peers.
	Encoded []byte
	// Parts holds every part of the manifest, including those that this version of
	// the program doesn't know.
	Parts map[bundle.Hash][]byte
	// Since is the time at which this process activated the bundle.
	Since time.Time
}

// Syncer holds the verified bundle, the stop notices and the quality counters of a
// process and synchronizes them with its peers and the store. Request processing
// reads the bundle and the stop notices without locks. mu is taken only by control
// operations and is never held during a remote call.
type Syncer struct {
	cfg        Config
	current    atomic.Pointer[Current]
	stops      atomic.Pointer[Stops]
	fresh      freshness
	claims     claims
	meter      *meter
	catchUpNow chan struct{}
	gossipNow  chan struct{}

	mu            sync.Mutex
	pending       map[string]*rpc.StopNotice
	stopSendsLeft map[string]int
	counters      counterTable
	rounds        uint64
	// refusals holds the errors of correctly signed manifests that were refused, so
	// that their parts are not fetched again.
	refusals map[bundle.Hash]error
	// partial holds the parts fetched so far of the manifest with the hash partialOf.
	partial   map[bundle.Hash][]byte
	partialOf bundle.Hash
	// endWatch ends the store call of watch; nil if none is running.
	endWatch context.CancelFunc
}

// maxRefusals limits the size of Syncer.refusals.
const maxRefusals = 64

// New returns a Syncer without a bundle.
func New(cfg Config) *Syncer {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	k := &Syncer{
		cfg:           cfg,
		meter:         newMeter(cfg.Clock, cfg.Metrics),
		catchUpNow:    make(chan struct{}, 1),
		gossipNow:     make(chan struct{}, 1),
		pending:       make(map[string]*rpc.StopNotice),
		stopSendsLeft: make(map[string]int),
		counters:      newCounterTable(),
		refusals:      make(map[bundle.Hash]error),
	}
	if k.cfg.StoreEra == nil {
		k.cfg.StoreEra = func() uint64 { return 0 }
	}
	if k.cfg.ObserveStoreEra == nil {
		k.cfg.ObserveStoreEra = func(uint64) {}
	}
	k.stops.Store(&Stops{})
	k.fresh.contacts = make(map[string]time.Time)
	cfg.Metrics.NewGauge("cactusknot_config_version", func() float64 { return float64(k.Version()) })
	return k
}

// Current returns the bundle in force, or nil before the first one. It does not
// block.
func (s *Syncer) Current() *Current { return s.current.Load() }

// Version returns the version in force, or 0 before the first one.
func (s *Syncer) Version() uint64 {
	if c := s.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Accept verifies a signed manifest with its parts and activates it if its version
// is higher than the one held. Accepting the bundle that is held is not an error.
// Accept returns ErrOlderVersion, ErrForked, ErrOldKeys or an error of bundle.Open;
// a refused bundle changes nothing.
func (s *Syncer) Accept(signed bundle.SignedManifest, parts map[bundle.Hash][]byte) error {
	next, err := s.verify(signed, parts)
	if err != nil {
		s.recordRefusal(err)
		return err
	}
	if next == nil {
		return nil
	}
	s.mu.Lock()
	held := s.current.Load()
	err = supersedes(held, next)
	if err == nil {
		s.activate(held, next)
	}
	s.mu.Unlock()
	if errors.Is(err, errAlreadyHeld) {
		return nil
	}
	if err != nil {
		s.recordRefusal(err)
		return err
	}
	s.notifyAccepted(next)
	return nil
}

// errAlreadyHeld is returned for the manifest that is already held.
var errAlreadyHeld = errors.New("distribute: already held")

// verify checks a manifest and its parts. It returns nil without an error for the
// manifest that is already held.
func (s *Syncer) verify(signed bundle.SignedManifest, parts map[bundle.Hash][]byte) (*Current, error) {
	err := s.checkManifest(signed)
	if errors.Is(err, errAlreadyHeld) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	b, m, err := bundle.Open(signed, parts, s.cfg.Anchor)
	if err != nil {
		s.rememberRefusal(signed, err)
		return nil, err
	}
	encoded, err := signed.Encode()
	if err != nil {
		return nil, fmt.Errorf("distribute: encode manifest: %w", err)
	}
	next := &Current{
		Bundle: b, Version: m.Version, Manifest: m, Signed: signed, Hash: signed.Hash(),
		Encoded: encoded, Parts: make(map[bundle.Hash][]byte, len(m.Parts)), Since: s.cfg.Clock.Now(),
	}
	for name, hash := range m.Parts {
		data, held := parts[hash]
		if !held || bundle.HashOf(data) != hash {
			return nil, fmt.Errorf("%w: %s", bundle.ErrMissingPart, name)
		}
		next.Parts[hash] = data
	}
	return next, nil
}

// rememberRefusal records the refusal of a manifest whose signatures are valid and
// whose parts are complete, since fetching it again would give the same result.
func (s *Syncer) rememberRefusal(signed bundle.SignedManifest, err error) {
	for _, other := range []error{bundle.ErrNotEnoughSignOffs, bundle.ErrUntrustedKeys, bundle.ErrMissingPart, bundle.ErrPartHash} {
		if errors.Is(err, other) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refusals) >= maxRefusals {
		clear(s.refusals)
	}
	s.refusals[signed.Hash()] = err
}

// checkManifest checks, without verifying signatures, whether the manifest could be
// activated.
func (s *Syncer) checkManifest(signed bundle.SignedManifest) error {
	m, err := signed.DecodeManifest()
	if err != nil {
		return err
	}
	hash := signed.Hash()
	s.mu.Lock()
	err = s.refusals[hash]
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return checkHigher(s.current.Load(), m.Version, hash)
}

func checkHigher(held *Current, version uint64, hash bundle.Hash) error {
	switch {
	case held == nil || version > held.Version:
		return nil
	case version < held.Version:
		return fmt.Errorf("%w: %d, held %d", ErrOlderVersion, version, held.Version)
	case hash != held.Hash:
		return fmt.Errorf("%w: %d", ErrForked, version)
	default:
		return errAlreadyHeld
	}
}

// supersedes returns an error if next must not replace held.
func supersedes(held, next *Current) error {
	if err := checkHigher(held, next.Version, next.Hash); err != nil || held == nil {
		return err
	}
	old, keys := held.Bundle.Keys, next.Bundle.Keys
	if keys.Serial < old.Serial {
		return fmt.Errorf("%w: serial %d, held %d", ErrOldKeys, keys.Serial, old.Serial)
	}
	if keys.Serial == old.Serial && !keys.SameContent(old) {
		return fmt.Errorf("%w: serial %d has other keys", ErrOldKeys, keys.Serial)
	}
	return nil
}

// activate makes next the current bundle. The caller holds mu.
func (s *Syncer) activate(held, next *Current) {
	if held != nil {
		ok := s.cfg.Checker.Assert(next.Version > held.Version, ConfigurationReverted,
			"%s: version %d replaced by %d", s.cfg.Self.Node, held.Version, next.Version)
		if !ok {
			return
		}
	}
	s.current.Store(next)
}

func (s *Syncer) notifyAccepted(next *Current) {
	s.cfg.Log.Info().Uint64("version", next.Version).Str("author", next.Manifest.Author).Msg("configuration in force")
	notify(s.gossipNow)
	if s.cfg.OnBundle != nil {
		s.cfg.OnBundle(next)
	}
}

// recordRefusal counts and logs the refusal of a bundle.
func (s *Syncer) recordRefusal(err error) {
	reason := refusalLabel(err)
	s.incrementCounter("cactusknot_config_refused_total{reason=%q}", reason)
	s.cfg.Log.Warn().Err(err).Str("reason", reason).Uint64("held", s.Version()).Msg("configuration refused")
}

// refusalLabel returns the metric label for a refusal.
func refusalLabel(err error) string {
	reasons := []struct {
		err  error
		name string
	}{
		{ErrOlderVersion, "older"},
		{ErrForked, "forked"},
		{ErrOldKeys, "old_keys"},
		{bundle.ErrNotEnoughSignOffs, "sign_offs"},
		{bundle.ErrUntrustedKeys, "untrusted_keys"},
		{bundle.ErrUnknownPart, "unknown_part"},
		{bundle.ErrMissingPart, "missing_part"},
		{bundle.ErrPartHash, "part_hash"},
		{bundle.ErrMalformed, "malformed"},
	}
	for _, r := range reasons {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "invalid"
}

func (s *Syncer) incrementCounter(format, label string) {
	s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(format, label)).Inc()
}

// RefusedCount returns how many bundles were refused for the reason; see
// docs/operators.md for the reasons.
func (s *Syncer) RefusedCount(reason string) uint64 {
	return s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_config_refused_total{reason=%q}", reason)).Get()
}

// notify sends to c without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random duration in [d/2, 3d/2), so that processes don't call at
// the same time.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.cfg.Rand.Int64N(int64(d)))
}

func (s *Syncer) shuffle(n int, swap func(i, j int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Rand.Shuffle(n, swap)
}
