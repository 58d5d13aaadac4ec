package distribute

import (
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"

	"google.golang.org/protobuf/proto"
)

const (
	// maxCounters limits the counters held, to about 15 MB.
	maxCounters = 50_000
	// counterBytesPerMessage limits the counters in one message, so that two messages
	// per second and their replies stay within BytesPerSecond.
	counterBytesPerMessage = 1000
	// refreshCounters is the number of known counters that a message repeats when
	// there are no new ones, about 300 bytes.
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

// counterTable holds the largest known count of each counter. unsent holds the
// number of messages in which a counter is still to be sent.
type counterTable struct {
	all    map[counterKey]*rpc.QualityCounter
	unsent map[counterKey]int
}

func newCounterTable() counterTable {
	return counterTable{all: make(map[counterKey]*rpc.QualityCounter), unsent: make(map[counterKey]int)}
}

// merge records c and reports whether it was new or had a higher count.
func (t *counterTable) merge(c *rpc.QualityCounter) bool {
	key := keyOf(c)
	old, known := t.all[key]
	if known && old.GetCount() >= c.GetCount() {
		return false
	}
	if !known && len(t.all) >= counterLimit(c) {
		return false
	}
	t.all[key] = proto.CloneOf(c)
	t.unsent[key] = spreadSends
	return true
}

// counterLimit returns how many counters may be held when c is new. Ratings in a
// rollout have additional space: without them no statistical test could stop a bad
// version.
func counterLimit(c *rpc.QualityCounter) int {
	if tags, err := routing.ParseTags(c.GetKind()); err == nil && tags.Rollout != "" {
		return 2 * maxCounters
	}
	return maxCounters
}

// take returns unsent counters of at most limit bytes in total.
func (t *counterTable) take(limit int) []*rpc.QualityCounter {
	var out []*rpc.QualityCounter
	for key, left := range t.unsent {
		c := t.all[key]
		limit -= proto.Size(c) + 3
		if limit < 0 {
			break
		}
		out = append(out, c)
		t.unsent[key] = left - 1
		if left <= 1 {
			delete(t.unsent, key)
		}
	}
	return out
}

// refresh marks a few arbitrary counters to be sent once more, so that a process
// that missed a new counter receives it later.
func (t *counterTable) refresh() {
	left := refreshCounters
	for key := range t.all {
		if left == 0 {
			return
		}
		left--
		t.unsent[key] = 1
	}
}

// RecordCounter records the current value of one of this process's own counters.
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

// mergeCounters merges counters received from a peer.
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
	limit := min(counterBytesPerMessage, s.meter.available())
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.counters.unsent) == 0 {
		s.counters.refresh()
	}
	return s.counters.take(limit)
}
