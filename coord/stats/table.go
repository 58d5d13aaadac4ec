package stats

import (
	"cmp"
	"errors"
)

// ErrInvalidEntry reports an entry that no node can have produced.
var ErrInvalidEntry = errors.New("stats: invalid counter entry")

// Node identifies one run of a process. A process that restarts under the same
// name must take a higher incarnation, for example its start time.
type Node struct {
	Name        string
	Incarnation uint64
}

// Entry is the counter of one key at one node, as it travels between nodes.
type Entry[K comparable] struct {
	Node    Node
	Key     K
	Counter Counter
}

// Table holds the counters of all nodes. It is a state-based CRDT: each row
// (node name, key) is ordered by incarnation, then count, and Merge keeps the
// larger. Only the highest incarnation of a row is held, so the size is bounded
// by names times keys. A node continues the counter of its earlier incarnation
// as soon as it learns it; a node should therefore merge a full Delta of a peer
// before it sends its own. Table is not safe for concurrent use; it belongs to
// the control goroutine.
type Table[K comparable] struct {
	self    Node
	version uint64
	rows    map[rowID[K]]*row
	own     map[K]*ownRow
	pooled  map[K]Counter
}

type rowID[K comparable] struct {
	node string
	key  K
}

type row struct {
	incarnation uint64
	counter     Counter
	// changed is the table version at which the row last changed.
	changed uint64
}

// ownRow splits the table's own counter: carried comes from an earlier
// incarnation and is counted once, added was counted by this one.
type ownRow struct {
	carried Counter
	added   Counter
}

// NewTable returns an empty table of the node self.
func NewTable[K comparable](self Node) *Table[K] {
	return &Table[K]{
		self:   self,
		rows:   make(map[rowID[K]]*row),
		own:    make(map[K]*ownRow),
		pooled: make(map[K]Counter),
	}
}

// Self returns the node; its incarnation rises when a peer knows a higher one.
func (t *Table[K]) Self() Node { return t.self }

// Version returns the number of the last change.
func (t *Table[K]) Version() uint64 { return t.version }

// Rows returns the number of rows held.
func (t *Table[K]) Rows() int { return len(t.rows) }

// Add counts a rating of this node. It returns ErrRating for a rating outside 0
// to 1.
func (t *Table[K]) Add(key K, rating float64) error {
	own := t.ownRow(key)
	added, err := own.added.Add(rating)
	if err != nil {
		return err
	}
	own.added = added
	t.storeOwn(key, own)
	return nil
}

func (t *Table[K]) ownRow(key K) *ownRow {
	own, ok := t.own[key]
	if ok {
		return own
	}
	own = &ownRow{}
	if r, ok := t.rows[rowID[K]{t.self.Name, key}]; ok {
		own.carried = r.counter
	}
	t.own[key] = own
	return own
}

func (t *Table[K]) storeOwn(key K, own *ownRow) {
	t.store(Entry[K]{Node: t.self, Key: key, Counter: own.carried.Plus(own.added)})
}

// Merge takes the entries of a peer and returns the number of rows that changed.
// Invalid entries are skipped and reported as ErrEntry.
func (t *Table[K]) Merge(entries []Entry[K]) (int, error) {
	var err error
	before := t.version
	for _, e := range entries {
		if e.Counter.Count == 0 || !e.Counter.Valid() {
			err = ErrInvalidEntry
			continue
		}
		if e.Node.Name == t.self.Name {
			t.mergeOwn(e)
			continue
		}
		if t.newer(e) {
			t.store(e)
		}
	}
	return int(t.version - before), err
}

// mergeOwn continues the counter of an earlier incarnation of this node.
func (t *Table[K]) mergeOwn(e Entry[K]) {
	if e.Node.Incarnation > t.self.Incarnation {
		t.raise(e.Node.Incarnation + 1)
	}
	if e.Node.Incarnation == t.self.Incarnation {
		return
	}
	own, counted := t.own[e.Key]
	if !counted {
		if t.newer(e) {
			t.store(e)
		}
		return
	}
	if e.Counter.Count > own.carried.Count {
		own.carried = e.Counter
		t.storeOwn(e.Key, own)
	}
}

// raise takes a higher incarnation after the node's clock was stepped back, so
// that peers do not take its counters for those of the earlier run.
func (t *Table[K]) raise(incarnation uint64) {
	t.self.Incarnation = incarnation
	for key, own := range t.own {
		t.storeOwn(key, own)
	}
}

func (t *Table[K]) newer(e Entry[K]) bool {
	r, ok := t.rows[rowID[K]{e.Node.Name, e.Key}]
	if !ok {
		return true
	}
	order := cmp.Or(
		cmp.Compare(e.Node.Incarnation, r.incarnation),
		cmp.Compare(e.Counter.Count, r.counter.Count),
		cmp.Compare(e.Counter.Sum, r.counter.Sum),
		cmp.Compare(e.Counter.SumSquares, r.counter.SumSquares),
	)
	return order > 0
}

func (t *Table[K]) store(e Entry[K]) {
	id := rowID[K]{e.Node.Name, e.Key}
	t.version++
	r, ok := t.rows[id]
	if !ok {
		r = &row{}
		t.rows[id] = r
	}
	t.pooled[e.Key] = t.pooled[e.Key].Minus(r.counter).Plus(e.Counter)
	*r = row{incarnation: e.Node.Incarnation, counter: e.Counter, changed: t.version}
}

// Delta returns the rows changed after the table version since, and the version
// to ask for next time. A since above the present version, as after a restart of
// this node, returns every row.
func (t *Table[K]) Delta(since uint64) ([]Entry[K], uint64) {
	if since > t.version {
		since = 0
	}
	var out []Entry[K]
	if since == t.version {
		return out, t.version
	}
	for id, r := range t.rows {
		if r.changed > since {
			out = append(out, Entry[K]{Node: Node{id.node, r.incarnation}, Key: id.key, Counter: r.counter})
		}
	}
	return out, t.version
}

// Pooled returns the ratings of all nodes for the key.
func (t *Table[K]) Pooled(key K) Counter { return t.pooled[key] }

// Totals returns a copy of the pooled ratings of every key.
func (t *Table[K]) Totals() map[K]Counter {
	out := make(map[K]Counter, len(t.pooled))
	for key, c := range t.pooled {
		out[key] = c
	}
	return out
}

// Retain drops the rows for which keep returns false, such as keys of versions
// that left the configuration and nodes that are gone. The caller filters
// entries with the same rule before Merge, else peers bring them back.
func (t *Table[K]) Retain(keep func(node string, key K) bool) {
	for id, r := range t.rows {
		if keep(id.node, id.key) {
			continue
		}
		rest := t.pooled[id.key].Minus(r.counter)
		t.pooled[id.key] = rest
		if rest.Count == 0 {
			delete(t.pooled, id.key)
		}
		delete(t.rows, id)
		if id.node == t.self.Name {
			delete(t.own, id.key)
		}
	}
}
