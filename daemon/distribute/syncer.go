// Package distribute gets the configuration bundle, stop notices and quality
// counters to every process and spreads them further. It is independent of the
// transport: peers are reached through PeerClient and the store through kv.Store.
package distribute

import (
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

// ConfigurationReverted is violated when a process puts a version in force that
// is not above the one it held.
const ConfigurationReverted invariant.Name = "configuration_reverted"

// Errors of accepting a bundle. Callers test them with errors.Is.
var (
	// ErrOlderVersion: the version is below the one held.
	ErrOlderVersion = errors.New("distribute: version is older than the one held")
	// ErrForked: the version is the one held but the content differs.
	ErrForked = errors.New("distribute: another content has the same version")
	// ErrOldKeys: the operator keys are older than those held.
	ErrOldKeys = errors.New("distribute: operator keys are older than those held")
)

// PeerClient calls another process. The generated Twirp client implements it,
// and so does Keeper for tests and for the server side.
type PeerClient = rpc.Peer

// Network tells which processes exist and how to reach them. Its methods must
// be safe for concurrent use.
type Network interface {
	// Members returns the processes known now; this process may be among them.
	// The list is read only: with 2,050 processes a copy for each message cost 1.6%
	// of a core.
	Members() []Member
	// Client returns a client of the process, or nil when it can't be reached.
	Client(node string) PeerClient
}

// Config is what a Keeper needs. All fields but the marked ones must be set.
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
	// OnBundle, OnStop and OnCounter may be nil. They are called after the news
	// is published, outside of locks, and must not block.
	OnBundle  func(*Current)
	OnStop    func(*rpc.StopNotice)
	OnCounter func(*rpc.QualityCounter)
}

// Current is a verified bundle. It is immutable.
type Current struct {
	Bundle   *bundle.Bundle
	Version  uint64
	Manifest bundle.Manifest
	Signed   bundle.SignedManifest
	// Hash identifies the manifest.
	Hash bundle.Hash
	// Encoded is the JSON of Signed, as peers get it.
	Encoded []byte
	// Parts holds every part of the manifest, also those unknown to this program.
	Parts map[bundle.Hash][]byte
	// Since is when this process put the bundle in force.
	Since time.Time
}

// Syncer holds the verified bundle of a process. Traffic reads it without locks;
// mu is taken only by control work and is never held during a call.
type Syncer struct {
	cfg     Config
	current atomic.Pointer[Current]
	stops   atomic.Pointer[Stops]
	fresh   freshness
	claims  claims
	meter   *meter
	wake    chan struct{}
	spread  chan struct{}

	mu       sync.Mutex
	pending  map[string]*rpc.StopNotice
	hotStops map[string]int
	counters counterTable
	rounds   uint64
	// refusals holds properly signed manifests that this program refuses, so that
	// their parts are not fetched again.
	refusals map[bundle.Hash]error
	// partial holds the parts of partialOf fetched so far.
	partial   map[bundle.Hash][]byte
	partialOf bundle.Hash
}

// maxRefusals bounds the remembered refusals.
const maxRefusals = 64

// New returns a Keeper that holds no bundle.
func New(cfg Config) *Syncer {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	k := &Syncer{
		cfg:      cfg,
		meter:    newMeter(cfg.Clock, cfg.Metrics),
		wake:     make(chan struct{}, 1),
		spread:   make(chan struct{}, 1),
		pending:  make(map[string]*rpc.StopNotice),
		hotStops: make(map[string]int),
		counters: newCounterTable(),
		refusals: make(map[bundle.Hash]error),
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

// Accept verifies a signed manifest with its parts and puts it in force when it
// is higher than the version held. The version held is no error. Errors are
// ErrOlder, ErrForked, ErrOldKeys and those of bundle.Open; the refused bundle
// changes nothing.
func (k *Syncer) Accept(s bundle.SignedManifest, parts map[bundle.Hash][]byte) error {
	next, err := k.verify(s, parts)
	if err != nil {
		k.refused(err)
		return err
	}
	if next == nil {
		return nil
	}
	k.mu.Lock()
	held := k.current.Load()
	err = supersedes(held, next)
	if err == nil {
		k.publish(held, next)
	}
	k.mu.Unlock()
	if errors.Is(err, errSame) {
		return nil
	}
	if err != nil {
		k.refused(err)
		return err
	}
	k.accepted(next)
	return nil
}

// errSame: the manifest is the one held.
var errSame = errors.New("distribute: already held")

// verify returns nil without error for the manifest that is held.
func (k *Syncer) verify(s bundle.SignedManifest, parts map[bundle.Hash][]byte) (*Current, error) {
	err := k.worth(s)
	if errors.Is(err, errSame) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	b, m, err := bundle.Open(s, parts, k.cfg.Anchor)
	if err != nil {
		k.remember(s, err)
		return nil, err
	}
	encoded, err := s.Encode()
	if err != nil {
		return nil, fmt.Errorf("distribute: encode manifest: %w", err)
	}
	next := &Current{
		Bundle: b, Version: m.Version, Manifest: m, Signed: s, Hash: s.Hash(),
		Encoded: encoded, Parts: make(map[bundle.Hash][]byte, len(m.Parts)), Since: k.cfg.Clock.Now(),
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

// remember keeps the refusal of a manifest whose signatures are valid and whose
// parts are complete: fetching it again can't help.
func (k *Syncer) remember(s bundle.SignedManifest, err error) {
	for _, other := range []error{bundle.ErrNotEnoughSignOffs, bundle.ErrUntrustedKeys, bundle.ErrMissingPart, bundle.ErrPartHash} {
		if errors.Is(err, other) {
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.refusals) >= maxRefusals {
		clear(k.refusals)
	}
	k.refusals[s.Hash()] = err
}

// worth checks without signatures whether s could be put in force.
func (k *Syncer) worth(s bundle.SignedManifest) error {
	m, err := s.DecodeManifest()
	if err != nil {
		return err
	}
	hash := s.Hash()
	k.mu.Lock()
	err = k.refusals[hash]
	k.mu.Unlock()
	if err != nil {
		return err
	}
	return higher(k.current.Load(), m.Version, hash)
}

func higher(held *Current, version uint64, hash bundle.Hash) error {
	switch {
	case held == nil || version > held.Version:
		return nil
	case version < held.Version:
		return fmt.Errorf("%w: %d, held %d", ErrOlderVersion, version, held.Version)
	case hash != held.Hash:
		return fmt.Errorf("%w: %d", ErrForked, version)
	default:
		return errSame
	}
}

// supersedes reports why next may not replace held.
func supersedes(held, next *Current) error {
	if err := higher(held, next.Version, next.Hash); err != nil || held == nil {
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

// publish puts next in force. The caller holds mu.
func (s *Syncer) publish(held, next *Current) {
	if held != nil {
		ok := s.cfg.Checker.Assert(next.Version > held.Version, ConfigurationReverted,
			"%s: version %d replaced by %d", s.cfg.Self.Node, held.Version, next.Version)
		if !ok {
			return
		}
	}
	s.current.Store(next)
}

func (s *Syncer) accepted(next *Current) {
	s.cfg.Log.Info().Uint64("version", next.Version).Str("author", next.Manifest.Author).Msg("configuration in force")
	signal(s.spread)
	if s.cfg.OnBundle != nil {
		s.cfg.OnBundle(next)
	}
}

// refused counts and logs a refusal.
func (s *Syncer) refused(err error) {
	reason := refusal(err)
	s.count("cactusknot_config_refused_total{reason=%q}", reason)
	s.cfg.Log.Warn().Err(err).Str("reason", reason).Uint64("held", s.Version()).Msg("configuration refused")
}

// refusal names the metric label of a refusal.
func refusal(err error) string {
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

func (s *Syncer) count(format, label string) {
	s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(format, label)).Inc()
}

// RefusedCount returns how many bundles were refused for the reason; see
// docs/operators.md for the reasons.
func (s *Syncer) RefusedCount(reason string) uint64 {
	return s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_config_refused_total{reason=%q}", reason)).Get()
}

// signal wakes the reader of c without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random duration in [d/2, 3d/2), so that processes spread
// their calls.
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
