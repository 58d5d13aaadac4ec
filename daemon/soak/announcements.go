package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// pauseTimes are the pauses that engines ask for, in seconds; one can't be read.
var pauseTimes = []string{"0.4", "1", "2.5", "soon"}

// Times between two announcements of WithAnnouncements.
const (
	minAnnouncementGap = time.Second
	maxAnnouncementGap = 3 * time.Second
)

// WithAnnouncements returns the schedule with engines that announce that they leave or pause, at
// times that the seed chooses.
func WithAnnouncements(actions []Action, seed uint64, duration time.Duration) []Action {
	p := &planner{rng: rand.New(rand.NewPCG(seed, 4)), end: duration, actions: slices.Clone(actions)}
	for at := faultFreeStart; at < duration-minFaultTime; at += p.between(minAnnouncementGap, maxAnnouncementGap) {
		a := Action{At: at, For: min(p.between(minFaultTime, maxFaultTime), duration-at), Kind: EngineLeaving}
		a.Target = engineVMs[p.rng.IntN(len(engineVMs))]
		if p.rng.IntN(2) == 0 {
			a.Kind, a.Arg = EnginePause, pauseTimes[p.rng.IntN(len(pauseTimes))]
		}
		if !p.targetBusy(a) {
			p.add(a)
		}
	}
	slices.SortStableFunc(p.actions, func(a, b Action) int { return int(a.At - b.At) })
	return p.actions
}

// checkAnnouncements: no request reaches a backend server that has announced that it leaves or
// pauses, unless its agent has started again since or did not run.
func checkAnnouncements(h *History) ([]Violation, int) {
	v := &violations{name: "announcements_heeded"}
	checked := 0
	for _, f := range h.Faults {
		if f.Kind == EngineLeaving || f.Kind == EnginePause {
			checked++
		}
	}
	for vm, log := range h.Starts {
		for _, u := range log.Unheeded {
			at := time.UnixMilli(u.UnixMs)
			told := at.Add(-time.Duration(u.AfterMs) * time.Millisecond)
			if h.hadFault(vm, told, at, KillProcess, FreezeProcess, StopProcess) {
				continue
			}
			v.add("", "%s got a request at %s, %d ms after it had announced: %s", vm, h.sinceStart(at), u.AfterMs, u.Kind)
		}
	}
	return v.list, checked
}
