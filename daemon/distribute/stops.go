package distribute

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/rpc"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	// KeyStops is followed by <model>@<version>/<generation>.
	KeyStops = "stops/"
	// spreadSends is the number of messages in which a new notice or counter is sent.
	// With two peers per round it reaches 350 routers with a wide margin (2^10 > 350).
	spreadSends = 10
	// stopsPerMessage limits the older notices repeated in one message.
	stopsPerMessage = 8
	// stopRetry is the mean delay before a stop notice is written again.
	stopRetry = 2 * time.Second
)

// Stops is an immutable set of stop notices. For each model@version it holds the one
// with the highest generation.
type Stops struct {
	byVersion map[string]*rpc.StopNotice
}

// Stopped reports whether the version is stopped in a rollout of the generation.
func (s *Stops) Stopped(model, version string, generation uint64) bool {
	n, ok := s.byVersion[model+"@"+version]
	return ok && n.GetGeneration() >= generation
}

// All returns the notices. The caller must not modify them.
func (s *Stops) All() []*rpc.StopNotice {
	out := make([]*rpc.StopNotice, 0, len(s.byVersion))
	for _, n := range s.byVersion {
		out = append(out, n)
	}
	return out
}

// Stops returns the currently known notices. It does not block.
func (s *Syncer) Stops() *Stops { return s.stops.Load() }

// RaiseStop records a stop notice raised by this process, spreads it by gossip and
// writes it to the store. It is idempotent.
func (s *Syncer) RaiseStop(n *rpc.StopNotice) {
	if !s.mergeStop(n) {
		return
	}
	s.mu.Lock()
	s.pending[stopKey(n)] = n
	s.mu.Unlock()
	notify(s.catchUpNow)
}

// MergeStops merges notices from a peer.
func (s *Syncer) MergeStops(list []*rpc.StopNotice) {
	for _, n := range list {
		s.mergeStop(n)
	}
}

// mergeStop records a notice and reports whether it was new.
func (s *Syncer) mergeStop(n *rpc.StopNotice) bool {
	if n.GetModel() == "" || n.GetVersion() == "" {
		return false
	}
	id := n.GetModel() + "@" + n.GetVersion()
	s.mu.Lock()
	old := s.stops.Load()
	if known, ok := old.byVersion[id]; ok && known.GetGeneration() >= n.GetGeneration() {
		s.mu.Unlock()
		return false
	}
	next := &Stops{byVersion: make(map[string]*rpc.StopNotice, len(old.byVersion)+1)}
	maps.Copy(next.byVersion, old.byVersion)
	next.byVersion[id] = proto.CloneOf(n)
	s.stops.Store(next)
	s.stopSendsLeft[id] = spreadSends
	s.mu.Unlock()
	s.cfg.Log.Warn().Str("version", id).Uint64("generation", n.GetGeneration()).Str("origin", n.GetOrigin()).Msg("version stopped")
	notify(s.gossipNow)
	if s.cfg.OnStop != nil {
		s.cfg.OnStop(n)
	}
	return true
}

// stopsToSend returns the new notices and a few random older ones.
func (s *Syncer) stopsToSend() []*rpc.StopNotice {
	known := s.Stops()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*rpc.StopNotice
	older := 0
	for id, n := range known.byVersion {
		if s.stopSendsLeft[id] > 0 {
			s.stopSendsLeft[id]--
			out = append(out, n)
			continue
		}
		if older < stopsPerMessage {
			older++
			out = append(out, n)
		}
	}
	return out
}

func stopKey(n *rpc.StopNotice) string {
	return fmt.Sprintf("%s%s@%s/%d", KeyStops, n.GetModel(), n.GetVersion(), n.GetGeneration())
}

// writeStops writes the pending notices to the store and reports whether some remain.
func (s *Syncer) writeStops(ctx context.Context) bool {
	s.mu.Lock()
	todo := maps.Clone(s.pending)
	s.mu.Unlock()
	for key, n := range todo {
		if s.writeStop(ctx, key, n) {
			s.mu.Lock()
			delete(s.pending, key)
			s.mu.Unlock()
			delete(todo, key)
		}
	}
	return len(todo) > 0
}

// writeStop creates the key and reports whether the notice needs no further attempt.
// An existing key holds an equal notice, possibly written by this process when the
// response was lost.
func (s *Syncer) writeStop(ctx context.Context, key string, n *rpc.StopNotice) bool {
	value, err := protojson.Marshal(n)
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("key", key).Msg("encoding a stop notice failed")
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = s.cfg.Store.Put(ctx, key, value, 0, 0)
	s.meter.spend("store", len(key)+len(value))
	return err == nil || errors.Is(err, kv.ErrConflict)
}

// ReadStops reads and merges the stop notices in the store.
func (s *Syncer) ReadStops(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := s.cfg.Store.List(ctx, KeyStops)
	if err != nil {
		return fmt.Errorf("distribute: read stop notices: %w", err)
	}
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
		n := new(rpc.StopNotice)
		if err := protojson.Unmarshal(e.Value, n); err != nil {
			s.cfg.Log.Error().Err(err).Str("key", e.Key).Msg("malformed stop notice in the store")
			continue
		}
		s.mergeStop(n)
	}
	s.meter.spend("store", size)
	return nil
}
