package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// findGuilty returns the keys that explain the crashes, given in the order of time. A
// request that crashes its server also accuses the other keys of its prompt and the
// requests that had just begun beside it. So keys are convicted one after the other, and
// the crashes that one explains no longer count against others. Keys that no router has
// seen in a sound answer come first, and among equals those that stand later in their
// prompts, because fewer other prompts have them.
func findGuilty(cases []*crashCase, sound map[Key]time.Time) []Key {
	var guilty []Key
	for {
		key, ok := mostBlamed(cases, sound, true)
		if !ok {
			key, ok = mostBlamed(cases, sound, false)
		}
		if !ok {
			slices.Sort(guilty)
			return guilty
		}
		guilty = append(guilty, key)
		cases = slices.DeleteFunc(slices.Clone(cases), func(c *crashCase) bool {
			_, explained := c.keys[key]
			return explained
		})
	}
}

// mostBlamed returns the key with the most crashes since its latest sound answer, or false
// if there is none with enough crashes to convict. With neverSound, keys that were in a
// sound answer are left out.
func mostBlamed(cases []*crashCase, sound map[Key]time.Time, neverSound bool) (Key, bool) {
	tallies := make(map[Key]tally)
	for _, c := range cases {
		for key, position := range c.keys {
			at := sound[key]
			if neverSound && !at.IsZero() || !c.at.After(at) {
				continue
			}
			tallies[key] = tallies[key].add(c.at, position)
		}
	}
	if len(tallies) == 0 {
		return 0, false
	}
	most := slices.MinFunc(slices.Collect(maps.Keys(tallies)), func(a, b Key) int {
		x, y := tallies[a], tallies[b]
		return cmp.Or(cmp.Compare(y.crashes, x.crashes), sound[a].Compare(sound[b]), cmp.Compare(y.position, x.position), cmp.Compare(a, b))
	})
	return most, tallies[most].crashes >= crashesToConvict
}

// tally counts the crashes of a key that are far enough apart.
type tally struct {
	crashes  int
	last     time.Time
	position int
}

func (t tally) add(at time.Time, position int) tally {
	if t.crashes == 0 || at.Sub(t.last) >= minCrashInterval {
		t.crashes, t.last = t.crashes+1, at
	}
	t.position = max(t.position, position)
	return t
}
