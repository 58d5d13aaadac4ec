package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// accusation is what a verdict is based on.
type accusation struct {
	now time.Time
	// cases are the crashes in the order of time.
	cases []*crashCase
	sound map[Key]Sound
	// suspects are the keys that are judged.
	suspects map[Key]bool
}

// findGuilty returns the keys that explain the crashes. A request that crashes its server also
// accuses the other keys of its prompt and the requests that ran beside it. So keys are convicted
// one after the other, and the crashes that one explains no longer count against others. Keys that no
// router has seen in a sound answer come first, and among equals those that stand later in their
// prompts, because fewer other prompts have them.
func (a accusation) findGuilty() []Key {
	var guilty []Key
	for {
		key, ok := a.nextGuilty()
		if !ok {
			slices.Sort(guilty)
			return guilty
		}
		guilty = append(guilty, key)
		a.cases = slices.DeleteFunc(slices.Clone(a.cases), func(c *crashCase) bool {
			_, explained := c.keys[key]
			return explained
		})
	}
}

// nextGuilty returns the key that explains most of the crashes, or false if there is none. A request
// that was sent on from one server that was lost to another is in some of the crashes that it has not
// caused, but in fewer than the cause.
func (a accusation) nextGuilty() (Key, bool) {
	early, count := a.firstBlamed(rule{neverSound: true}, rule{})
	late, lateCount := a.firstBlamed(rule{late: true, neverSound: true}, rule{late: true})
	if lateCount > count {
		return late, true
	}
	return early, count > 0
}

// firstBlamed returns the most blamed key by the first of the rules by which there is one, and the
// number of its crashes; 0 if there is none.
func (a accusation) firstBlamed(rules ...rule) (key Key, crashes int) {
	for _, r := range rules {
		if key, crashes = a.mostBlamed(r); crashes > 0 {
			break
		}
	}
	return key, crashes
}

// rule tells which crashes count against a key.
type rule struct {
	// late counts also crashes under answers that went on, unless the key was trusted at that time.
	// Otherwise an answer that went on is no cause, and acquits its parts of the crashes before.
	late bool
	// neverSound leaves out keys that were in a sound answer.
	neverSound bool
}

// acquitted reports whether a crash does not count against an exposed key.
func (r rule) acquitted(s Sound, c *crashCase, e Exposure) bool {
	if r.late {
		return r.neverSound && !s.OutlivedAt.IsZero() || s.acquits(c.at) || e.GoingOn && s.trusted(c.at)
	}
	soundAt := r.soundAt(s)
	return r.neverSound && !soundAt.IsZero() || e.GoingOn || !c.at.After(soundAt)
}

// soundAt returns the time of the latest sound answer.
func (r rule) soundAt(s Sound) time.Time {
	if r.late {
		return s.OutlivedAt
	}
	return s.latest()
}

// convicts reports whether the crashes of a key convict it, given the number of all crashes that
// are known. While most servers are lost for another reason, requests that share a part are at some
// of them by chance, and the more so the longer their answers are. An innocent part needs time until
// a server outlives an answer with it.
func (r rule) convicts(now time.Time, t tally, all int) bool {
	switch {
	case r.late:
		return t.goingOn && t.crashes >= crashesToConvictPart && t.arrivals >= crashesToConvict &&
			lateShare*t.crashes >= all && now.Sub(t.times[0]) >= SurvivalWindow
	case !t.whole && all > 2*t.crashes:
		return t.crashes >= crashesToConvictPart
	}
	return t.crashes >= crashesToConvict
}

// mostBlamed returns the key with the most crashes that count by a rule, and their number; 0 if no
// key has enough to be convicted.
func (a accusation) mostBlamed(r rule) (Key, int) {
	tallies := a.countCrashes(r)
	maps.DeleteFunc(tallies, func(_ Key, t tally) bool { return !r.convicts(a.now, t, len(a.cases)) })
	if len(tallies) == 0 {
		return 0, 0
	}
	most := slices.MinFunc(slices.Collect(maps.Keys(tallies)), func(one, other Key) int {
		x, y := tallies[one], tallies[other]
		return cmp.Or(cmp.Compare(y.crashes, x.crashes), a.sound[one].latest().Compare(a.sound[other].latest()),
			cmp.Compare(y.position, x.position), cmp.Compare(one, other))
	})
	return most, tallies[most].crashes
}

// countCrashes counts the crashes of each suspect that count by a rule.
func (a accusation) countCrashes(r rule) map[Key]tally {
	tallies := make(map[Key]tally)
	for i, c := range a.cases {
		if !c.settled {
			continue
		}
		for key, e := range c.keys {
			s := a.sound[key]
			if !a.suspects[key] || r.acquitted(s, c, e) || lostBeside(a.cases, i, key, massLossWindow) >= massLoss {
				continue
			}
			t := tallies[key]
			common := c.at.Sub(r.soundAt(s)) <= recentlySound
			inTurn := !common && t.followedBy(c.at, e) && lostBeside(a.cases, i, key, minCrashInterval) == 0
			if t.apart(c.at, common) || inTurn {
				t.count(c, e)
			}
			t.position, t.whole = max(t.position, e.Position), t.whole || e.Whole
			tallies[key] = t
		}
	}
	return tallies
}

// tally counts the crashes of a key that count separately.
type tally struct {
	crashes int
	// arrivals is the number of them at which the key had not been sent on from an earlier one.
	arrivals int
	// times are the times of the crashes that were counted, last that of the latest.
	times    []time.Time
	last     time.Time
	position int
	whole    bool
	// goingOn is set if an answer with the key went on in one of the crashes.
	goingOn bool
}

// count adds a crash that counts separately.
func (t *tally) count(c *crashCase, e Exposure) {
	if !t.sentOn(e) {
		t.arrivals++
	}
	t.crashes, t.last, t.times = t.crashes+1, c.at, append(t.times, c.at)
	t.goingOn = t.goingOn || e.GoingOn
}

// sentOn reports whether the key came to a server by a retry after one of the crashes.
func (t tally) sentOn(e Exposure) bool {
	return slices.ContainsFunc(t.times, func(at time.Time) bool {
		since := e.SentAt.Sub(at)
		return since >= 0 && since < retryWindow
	})
}

// apart reports whether a crash is far enough from the one before to count separately. common
// is set if the key was in a sound answer shortly before.
func (t tally) apart(at time.Time, common bool) bool {
	interval := minCrashInterval
	if common {
		interval = minCommonInterval
	}
	return t.crashes == 0 || at.Sub(t.last) >= interval
}

// followedBy reports whether the key came to a server that crashed at a time only after the crash
// before, and while the server still ran. Servers that are lost at the same moment have their
// requests already, but for retries of requests that another one of them has lost.
func (t tally) followedBy(at time.Time, e Exposure) bool {
	return !e.SentAt.Before(t.last) && !at.Before(e.SentAt)
}

// lostBeside returns how many servers that did not have the key were lost within a time of crash
// i; at most massLoss. The cases are in the order of time.
func lostBeside(cases []*crashCase, i int, key Key, within time.Duration) (lost int) {
	count := func(c *crashCase) {
		if _, exposed := c.keys[key]; !exposed {
			lost++
		}
	}
	for j := i - 1; j >= 0 && lost < massLoss && cases[i].at.Sub(cases[j].at) < within; j-- {
		count(cases[j])
	}
	for j := i + 1; j < len(cases) && lost < massLoss && cases[j].at.Sub(cases[i].at) < within; j++ {
		count(cases[j])
	}
	return lost
}
