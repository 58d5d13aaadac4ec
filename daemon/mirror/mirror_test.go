package mirror

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/content"
)

func entry(key string, revision int, value string) Change {
	return Change{Entry: kv.Entry{Key: key, Revision: kv.Revision(revision), Value: []byte(value)}}
}

func removed(key string, revision int) Change {
	return Change{Entry: kv.Entry{Key: key, Revision: kv.Revision(revision)}, Deleted: true}
}

// at returns a position of the first era.
func at(revision int) kv.Position { return kv.Position{Revision: kv.Revision(revision)} }

// A response that arrives late must not bring back an older value.
func TestOlderChangesAreIgnored(t *testing.T) {
	m := New()
	m.Apply([]Change{entry("a", 5, "new")}, at(5))
	if applied := m.Apply([]Change{entry("a", 3, "old"), removed("a", 4)}, at(4)); len(applied) != 0 {
		t.Errorf("applied %v", applied)
	}
	if e, ok := m.Get("a"); !ok || string(e.Value) != "new" || m.Position() != at(5) {
		t.Errorf("got %v %v at %s", e, ok, m.Position())
	}
}

// Keys that a listing lacks are removed, except those that are newer than it.
func TestResetRemovesMissingKeys(t *testing.T) {
	m := New()
	m.Apply([]Change{entry("a", 1, "1"), entry("b", 2, "2"), entry("c", 9, "3")}, at(9))
	m.Reset([]kv.Entry{{Key: "a", Revision: 1}}, at(5))
	if _, ok := m.Get("b"); ok {
		t.Error("b is still there")
	}
	if _, ok := m.Get("c"); !ok {
		t.Error("c was written after the listing and is gone")
	}
}

// Guards against a key that comes back because a copy that never had it, as it was read after
// the key was deleted, gets an older answer of a peer.
func TestLateAnswerBringsBackNoDeletedKey(t *testing.T) {
	m := New()
	m.Reset([]kv.Entry{{Key: "a", Revision: 1}}, at(5))
	m.Reset([]kv.Entry{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, at(3))
	m.Apply([]Change{entry("c", 4, "old")}, at(4))
	for _, key := range []string{"b", "c"} {
		if _, ok := m.Get(key); ok {
			t.Errorf("%s came back", key)
		}
	}
}

// Copies that merge the same changes in any order, in parts and from each other must
// become equal, and none may go back to an older value.
func TestCopiesConverge(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		truth := New()
		var history []Change
		for revision := 1; revision <= 200; revision++ {
			key := fmt.Sprint("k", random.IntN(12))
			c := entry(key, revision, fmt.Sprint(revision))
			if random.IntN(3) == 0 {
				c = removed(key, revision)
			}
			history = append(history, c)
			truth.Apply([]Change{c}, at(revision))
		}
		a, b := New(), New()
		for _, i := range random.Perm(len(history)) {
			a.Apply(history[i:i+1], at(0))
			if random.IntN(9) == 0 {
				changes, upTo, complete := a.ChangesSince(b.Position())
				if !complete {
					b.Apply(changes, upTo)
				}
			}
		}
		changes, _, _ := a.ChangesSince(at(0))
		b.Apply(changes, at(200))
		for i := range 12 {
			key := fmt.Sprint("k", i)
			want, ok := truth.Get(key)
			for name, m := range map[string]*Mirror{"a": a, "b": b} {
				got, has := m.Get(key)
				if name == "b" && !ok {
					continue // A complete copy conveys removals only through Reset.
				}
				if has != ok || string(got.Value) != string(want.Value) {
					t.Fatalf("seed %d, copy %s: %s is %q (%v), want %q (%v)", seed, name, key, got.Value, has, want.Value, ok)
				}
			}
		}
	}
}

// The number of remembered removed keys is bounded, and a removed key must not come
// back from a copy that is behind.
func TestTombstonesAreBounded(t *testing.T) {
	m := New()
	for i := 1; i <= 3*maxTombstones; i++ {
		m.Apply([]Change{removed(fmt.Sprint("k", i), i)}, at(i))
	}
	if len(m.entries) > maxTombstones+1 {
		t.Errorf("%d tombstones", len(m.entries))
	}
	m.Apply([]Change{entry("k1", 1, "old")}, at(1))
	if _, ok := m.Get("k1"); ok {
		t.Error("a removed key came back")
	}
	if _, _, complete := m.ChangesSince(at(1)); !complete {
		t.Error("a copy that is far behind got a difference with removals missing")
	}
}

// Guards against entries that are kept or dropped because their revisions are compared with
// those of an era before.
func TestNewEra(t *testing.T) {
	m := New()
	m.Reset([]kv.Entry{{Key: "a", Revision: 8}, {Key: "b", Revision: 9}}, kv.Position{Era: 1, Revision: 9})
	second := kv.Position{Era: 2, Revision: 5}
	m.Reset([]kv.Entry{{Key: "a", Revision: 4, Value: []byte("older")}}, second)
	if e, ok := m.Get("a"); !ok || string(e.Value) != "older" {
		t.Errorf("a is %v, %v", e, ok)
	}
	if _, ok := m.Get("b"); ok || m.Position() != second {
		t.Errorf("b is there: %v; at %s", ok, m.Position())
	}
	late := Change{Entry: kv.Entry{Key: "c", Revision: 10}, Era: 1}
	if applied := append(m.Apply([]Change{late}, late.Position()), m.Reset([]kv.Entry{late.Entry}, late.Position())...); len(applied) != 0 {
		t.Errorf("applied %v of the era before", applied)
	}
	if changes, at, complete := m.ChangesSince(kv.Position{Era: 1, Revision: 9}); !complete || at != second || len(changes) != 1 {
		t.Errorf("a copy of the era before got %v at %s, complete %v", changes, at, complete)
	}
	if changes, _, complete := m.ChangesSince(kv.Position{Era: 3, Revision: 1}); complete || len(changes) != 0 {
		t.Errorf("a copy of a later era got %v, complete %v", changes, complete)
	}
}

// restoredStore is a store that is restored from older copies of itself now and then.
type restoredStore struct {
	random  *rand.Rand
	at      kv.Position
	entries map[string]kv.Entry
	history []Change
}

// write sets or deletes a random key.
func (s *restoredStore) write() {
	s.at.Revision++
	c := entry(fmt.Sprint("k", s.random.IntN(12)), int(s.at.Revision), s.at.String())
	c.Era, c.Deleted = s.at.Era, s.random.IntN(3) == 0
	if c.Deleted {
		delete(s.entries, c.Key)
	} else {
		s.entries[c.Key] = c.Entry
	}
	s.history = append(s.history, c)
}

// restore goes back by up to 20 changes and begins a new era.
func (s *restoredStore) restore() {
	s.history = s.history[:max(0, len(s.history)-s.random.IntN(20))]
	s.entries = make(map[string]kv.Entry)
	s.at = kv.Position{Era: s.at.Era + 1}
	for i, c := range s.history {
		s.history[i].Era, s.at.Revision = s.at.Era, c.Revision
		if c.Deleted {
			delete(s.entries, c.Key)
		} else {
			s.entries[c.Key] = c.Entry
		}
	}
}

// read brings a copy up to date, by a listing if it is of another era.
func (s *restoredStore) read(m *Mirror) {
	if m.Position().Era != s.at.Era {
		m.Reset(slices.Collect(maps.Values(s.entries)), s.at)
		return
	}
	var changes []Change
	for _, c := range s.history {
		if c.Revision > m.Position().Revision {
			changes = append(changes, c)
		}
	}
	m.Apply(changes, s.at)
}

// Guards against entries that are kept, lost or brought back because revisions of different
// eras are compared, when copies notice a restore at different moments and read from the
// store and, with answers that come late, from each other.
func TestCopiesConvergeOverRestores(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		store := &restoredStore{random: random, at: kv.Position{Era: 1, Revision: 1}, entries: make(map[string]kv.Entry)}
		copies := []*Mirror{New(), New(), New()}
		var late []func()
		for range 300 {
			m, from := copies[random.IntN(3)], copies[random.IntN(3)]
			switch before := m.Position(); random.IntN(12) {
			case 0:
				store.restore()
			case 1, 2:
				store.read(m)
			case 3, 4:
				changes, at, complete := from.ChangesSince(before)
				late = append(late, func() { m.merge(changes, at, complete) })
			case 5, 6:
				if len(late) > 0 {
					i := random.IntN(len(late))
					late[i]()
					late = slices.Delete(late, i, i+1)
				}
			default:
				store.write()
			}
		}
		for i, m := range copies {
			store.read(m)
			for _, answer := range late {
				answer()
			}
			if got := m.values(); !maps.Equal(got, store.values()) {
				t.Fatalf("seed %d, copy %d at %s: %v, want %v at %s", seed, i, m.Position(), got, store.values(), store.at)
			}
		}
	}
}

// merge takes over the changes that another copy has given out.
func (m *Mirror) merge(changes []Change, at kv.Position, complete bool) {
	if !complete {
		m.Apply(changes, at)
		return
	}
	var listing []kv.Entry
	for _, c := range changes {
		listing = append(listing, c.Entry)
	}
	m.Reset(listing, at)
}

func (m *Mirror) values() map[string]string {
	values := make(map[string]string)
	for _, c := range m.entries {
		if !c.Deleted {
			values[c.Key] = string(c.Value)
		}
	}
	return values
}

func (s *restoredStore) values() map[string]string {
	values := make(map[string]string)
	for _, e := range s.entries {
		values[e.Key] = string(e.Value)
	}
	return values
}

// Guards against a large value that is lost between its name and its content: a later change must
// not wait for it, it must not be fetched if it is held, and an older one must not come back.
func TestMissingValues(t *testing.T) {
	value, next := strings.Repeat("v", content.MinBytes), strings.Repeat("n", content.MinBytes)
	named := func(revision int, value string) Change {
		c := entry("large", revision, value)
		c.Content, c.Value = content.RefOf(c.Value), nil
		return c
	}
	type step struct {
		do      func(m *Mirror) []Change
		applied string
		missing int
	}
	apply := func(changes ...Change) func(*Mirror) []Change {
		return func(m *Mirror) []Change { return m.Apply(changes, at(int(changes[len(changes)-1].Revision))) }
	}
	resolve := func(value string) func(*Mirror) []Change {
		return func(m *Mirror) []Change { return m.Resolve(content.RefOf([]byte(value)), []byte(value)) }
	}
	for name, steps := range map[string][]step{
		"resolved": {
			{apply(named(1, value), entry("small", 2, "s")), "small", 1},
			{resolve(next), "", 1},
			{resolve(value), "large", 0},
			{resolve(value), "", 0},
			{apply(named(1, value)), "", 0},
			{apply(named(3, value)), "large", 0},
		},
		"superseded":          {{apply(named(1, value)), "", 1}, {apply(named(2, next)), "", 1}, {resolve(value), "", 1}, {resolve(next), "large", 0}},
		"read from the store": {{apply(named(1, value)), "", 1}, {apply(entry("large", 1, value)), "large", 0}},
		"removed":             {{apply(named(1, value)), "", 1}, {apply(removed("large", 2)), "large", 0}, {resolve(value), "", 0}},
		"complete copy": {
			{func(m *Mirror) []Change { return m.ResetTo([]Change{named(1, value), entry("small", 2, "s")}, at(2)) }, "small", 1},
			{func(m *Mirror) []Change { return m.ResetTo([]Change{named(1, value)}, at(3)) }, "small", 1},
			{resolve(value), "large", 0},
			{func(m *Mirror) []Change {
				c := named(1, value)
				c.Era = 1
				return m.ResetTo([]Change{c}, kv.Position{Era: 1, Revision: 1})
			}, "large", 0},
		},
	} {
		m := New()
		for i, s := range steps {
			var keys []string
			for _, c := range s.do(m) {
				keys = append(keys, c.Key)
				if !c.Deleted && c.Value == nil {
					t.Errorf("%s, step %d: %s without its value", name, i, c.Key)
				}
			}
			if got := strings.Join(keys, " "); got != s.applied || len(m.Missing()) != s.missing {
				t.Errorf("%s, step %d: applied %q, %d missing", name, i, got, len(m.Missing()))
			}
		}
	}
}
