package quarantine

import (
	"slices"
	"sync"
	"time"
)

// soundGeneration is the number of sound parts after which the older ones are forgotten.
const soundGeneration = 4096

// generations remembers when parts were sound. A flood of parts replaces the latest
// generation by an empty one and drops the one before.
type generations struct{ latest, older map[Part]time.Time }

func (g *generations) record(now time.Time, part Part) {
	if len(g.latest) >= soundGeneration || g.latest == nil {
		g.latest, g.older = make(map[Part]time.Time), g.latest
	}
	g.latest[part] = now
}

// at returns when a part was last sound, or zero.
func (g *generations) at(part Part) time.Time {
	if at, ok := g.latest[part]; ok {
		return at
	}
	return g.older[part]
}

// Recorder collects the evidence of one router. The zero value is ready for use.
type Recorder struct {
	mu sync.Mutex
	// crashes are the latest crashes, the oldest first.
	crashes []Crash
	// sound holds when a part was last in a sound answer, answered when a whole request was
	// last answered. They are apart because each request is a part of its own.
	sound, answered generations
}

// RecordCrash records that a server crashed under a request with these parts.
func (r *Recorder) RecordCrash(now time.Time, server Incarnation, parts []Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, Crash{Server: server, At: now, Parts: parts})
	r.crashes = r.crashes[max(0, len(r.crashes)-maxReportedCrashes):]
}

// RecordSound records that an answer to a prompt with these parts goes on.
func (r *Recorder) RecordSound(now time.Time, parts []Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		r.sound.record(now, part)
	}
}

// RecordAnswered records that a request was answered completely.
func (r *Recorder) RecordAnswered(now time.Time, request Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered.record(now, request)
}

// RecordAlive records that a server has begun to answer a request that was sent at sentAt:
// it has not crashed before, whatever connections to it were lost.
func (r *Recorder) RecordAlive(server Incarnation, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.Server == server && c.At.Before(sentAt) })
}

// Report returns the evidence of this router. suspects are the parts that the other
// routers have seen in crashes.
func (r *Recorder) Report(now time.Time, suspects []Part) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now.Sub(c.At) > evidenceTTL })
	report := Evidence{Crashes: slices.Clone(r.crashes)}
	asked := make(map[Part]bool)
	add := func(parts []Part) {
		for _, part := range parts {
			if at := r.soundAt(part); !asked[part] && !at.IsZero() {
				report.Sound = append(report.Sound, Sound{Part: part, At: at})
			}
			asked[part] = true
		}
	}
	add(suspects)
	for _, c := range r.crashes {
		add(c.Parts)
	}
	return report
}

func (r *Recorder) soundAt(part Part) time.Time {
	sound, answered := r.sound.at(part), r.answered.at(part)
	if sound.After(answered) {
		return sound
	}
	return answered
}
