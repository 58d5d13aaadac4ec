package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// findGuilty returns the parts that explain the crashes, given in the order of time. A
// request that crashes its server also accuses the other parts of its prompt and the
// requests that had just begun beside it. So parts are convicted one after the other, and
// the crashes that one explains no longer count against others. Parts that no router has
// seen in a sound answer come first, and among equals those that stand later in their
// prompts, because fewer other prompts have them.
func findGuilty(cases []*crashCase, sound map[Part]time.Time) []Part {
	var guilty []Part
	for {
		part, ok := mostBlamed(cases, sound, true)
		if !ok {
			part, ok = mostBlamed(cases, sound, false)
		}
		if !ok {
			slices.Sort(guilty)
			return guilty
		}
		guilty = append(guilty, part)
		cases = slices.DeleteFunc(slices.Clone(cases), func(c *crashCase) bool {
			_, explained := c.parts[part]
			return explained
		})
	}
}

// mostBlamed returns the part with the most crashes since its latest sound answer, or false
// if there is none with enough crashes to convict. With neverSound, parts that were in a
// sound answer are left out.
func mostBlamed(cases []*crashCase, sound map[Part]time.Time, neverSound bool) (Part, bool) {
	tallies := make(map[Part]tally)
	for _, c := range cases {
		for part, position := range c.parts {
			at := sound[part]
			if neverSound && !at.IsZero() || !c.at.After(at) {
				continue
			}
			tallies[part] = tallies[part].add(c.at, position)
		}
	}
	if len(tallies) == 0 {
		return 0, false
	}
	most := slices.MinFunc(slices.Collect(maps.Keys(tallies)), func(a, b Part) int {
		x, y := tallies[a], tallies[b]
		return cmp.Or(cmp.Compare(y.crashes, x.crashes), sound[a].Compare(sound[b]), cmp.Compare(y.position, x.position), cmp.Compare(a, b))
	})
	return most, tallies[most].crashes >= crashesToConvict
}

// tally counts the crashes of a part that are far enough apart.
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
