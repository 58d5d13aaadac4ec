package stats

import (
	"cmp"
	"errors"
)

// ErrInvalidEntry is returned for an entry whose counter is empty or not valid.
var ErrInvalidEntry = errors.New("stats: invalid counter entry")

// Node identifies one run of a process. After a restart under the same name, a process
// must use a higher incarnation, for example its start time.
type Node struct {
	Name        string
	Incarnation uint64
}

// Entry is the counter of one key at one node, as nodes send it to each other.
type Entry[K comparable] struct {
	Node    Node
	Key     K
	Counter Counter
}

// Table holds the counters of all nodes. It is a state-based CRDT with one row per node
// name and key. Rows are ordered by incarnation, then count, and Merge keeps the larger
// one. Only the highest incarnation of a row is stored, so the size is bounded by the
// number of names times the number of keys.
//
// After a restart, a node continues the counters of its earlier incarnation once it
// receives them from a peer. It should therefore merge a full Delta of a peer before it
// sends its own.
//
// Table is not safe for concurrent use; it belongs to the control goroutine.
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

// ownRow is the counter of this node for one key in two parts: carried was received from
// a peer and comes from an earlier incarnation, added was counted by this incarnation.
// Keeping them apart ensures that the earlier ratings count once.
type ownRow struct {
	carried Counter
	added   Counter
}

// NewTable returns an empty table for the node self.
func NewTable[K comparable](self Node) *Table[K] {
	return &Table[K]{
		self:   self,
		rows:   make(map[rowID[K]]*row),
		own:    make(map[K]*ownRow),
		pooled: make(map[K]Counter),
	}
}

// Self returns this node. Its incarnation rises when a peer reports a higher one.
func (t *Table[K]) Self() Node { return t.self }

// Version returns the table version, which each change of a row increases by one.
func (t *Table[K]) Version() uint64 { return t.version }

// Rows returns the number of rows.
func (t *Table[K]) Rows() int { return len(t.rows) }

// Add counts a rating at this node, or returns ErrInvalidRating.
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

// Merge applies the entries of a peer and returns the number of changes. It skips
// invalid entries and then returns ErrInvalidEntry.
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
		if t.supersedes(e) {
			t.store(e)
		}
	}
	return int(t.version - before), err
}

// mergeOwn applies an entry that bears the name of this node. It continues the counter
// of an earlier incarnation.
func (t *Table[K]) mergeOwn(e Entry[K]) {
	if e.Node.Incarnation > t.self.Incarnation {
		t.raiseIncarnation(e.Node.Incarnation + 1)
	}
	if e.Node.Incarnation == t.self.Incarnation {
		return
	}
	own, counted := t.own[e.Key]
	if !counted {
		if t.supersedes(e) {
			t.store(e)
		}
		return
	}
	if e.Counter.Count > own.carried.Count {
		own.carried = e.Counter
		t.storeOwn(e.Key, own)
	}
}

// raiseIncarnation sets a higher incarnation. It is necessary if the clock of the node
// was set back, so that peers do not mistake its counters for those of the earlier run.
func (t *Table[K]) raiseIncarnation(incarnation uint64) {
	t.self.Incarnation = incarnation
	for key, own := range t.own {
		t.storeOwn(key, own)
	}
}

// supersedes reports whether e is newer than the stored row.
func (t *Table[K]) supersedes(e Entry[K]) bool {
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

// Delta returns the rows that changed after the table version since, and the version to
// pass in the next call. If since is above the present version, which happens after a
// restart of this node, Delta returns every row.
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

// Pooled returns the counter of the ratings of all nodes for the key.
func (t *Table[K]) Pooled(key K) Counter { return t.pooled[key] }

// Totals returns a copy of the pooled counters of every key.
func (t *Table[K]) Totals() map[K]Counter {
	out := make(map[K]Counter, len(t.pooled))
	for key, c := range t.pooled {
		out[key] = c
	}
	return out
}

// Retain drops the rows for which keep returns false, such as keys of versions that are
// no longer configured and nodes that no longer exist. The caller must filter entries by
// the same rule before Merge, or peers add the rows again.
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
