package distribute

import (
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"

	"google.golang.org/protobuf/proto"
)

const (
	// maxCounters bounds the counters held, about 15 MB.
	maxCounters = 50_000
	// counterBytesPerMessage bounds the counters in one message, so that two
	// messages a second and their replies stay within BytesPerSecond.
	counterBytesPerMessage = 1000
	// refreshCounters is how many known counters an idle message repeats, about
	// 300 bytes.
	refreshCounters = 3
)

type counterKey struct {
	node                            string
	incarnation                     uint64
	workspace, model, version, kind string
}

func keyOf(c *rpc.QualityCounter) counterKey {
	return counterKey{
		node: c.GetNode(), incarnation: c.GetNodeIncarnation(),
		workspace: c.GetWorkspace(), model: c.GetModel(), version: c.GetVersion(), kind: c.GetKind(),
	}
}

// counterTable holds the largest count of each counter and the counters still
// to be spread.
type counterTable struct {
	all map[counterKey]*rpc.QualityCounter
	hot map[counterKey]int
}

func newCounterTable() counterTable {
	return counterTable{all: make(map[counterKey]*rpc.QualityCounter), hot: make(map[counterKey]int)}
}

// merge reports whether c was news.
func (t *counterTable) merge(c *rpc.QualityCounter) bool {
	key := keyOf(c)
	old, known := t.all[key]
	if known && old.GetCount() >= c.GetCount() {
		return false
	}
	if !known && len(t.all) >= bound(c) {
		return false
	}
	t.all[key] = proto.CloneOf(c)
	t.hot[key] = hotRounds
	return true
}

// bound returns how many counters may be held when c is new. Ratings in a roll-out
// have room of their own: without them no test could stop a bad version.
func bound(c *rpc.QualityCounter) int {
	if tags, err := routing.ParseTags(c.GetKind()); err == nil && tags.Rollout != "" {
		return 2 * maxCounters
	}
	return maxCounters
}

// take returns counters to send of at most limit bytes.
func (t *counterTable) take(limit int) []*rpc.QualityCounter {
	var out []*rpc.QualityCounter
	for key, left := range t.hot {
		c := t.all[key]
		limit -= proto.Size(c) + 3
		if limit < 0 {
			break
		}
		out = append(out, c)
		t.hot[key] = left - 1
		if left <= 1 {
			delete(t.hot, key)
		}
	}
	return out
}

// refresh marks a few arbitrary counters for sending once more, so that a
// process that missed one while it was new gets it later.
func (t *counterTable) refresh() {
	left := refreshCounters
	for key := range t.all {
		if left == 0 {
			return
		}
		left--
		t.hot[key] = 1
	}
}

// RecordCounter records the present value of one of this process's own counters.
func (s *Syncer) RecordCounter(c *rpc.QualityCounter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.merge(c)
}

// Counters returns the largest known value of every counter of every node. The
// messages must not be changed.
func (s *Syncer) Counters() []*rpc.QualityCounter {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*rpc.QualityCounter, 0, len(s.counters.all))
	for _, c := range s.counters.all {
		out = append(out, c)
	}
	return out
}

// mergeCounters takes counters from a peer.
func (s *Syncer) mergeCounters(list []*rpc.QualityCounter) {
	var news []*rpc.QualityCounter
	s.mu.Lock()
	for _, c := range list {
		if s.counters.merge(c) {
			news = append(news, c)
		}
	}
	s.mu.Unlock()
	if s.cfg.OnCounter == nil {
		return
	}
	for _, c := range news {
		s.cfg.OnCounter(c)
	}
}

func (s *Syncer) countersToSend() []*rpc.QualityCounter {
	limit := min(counterBytesPerMessage, s.meter.room())
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.counters.hot) == 0 {
		s.counters.refresh()
	}
	return s.counters.take(limit)
}
