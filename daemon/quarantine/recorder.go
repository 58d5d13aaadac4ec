package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// soundGeneration is the number of sound keys after which the older ones are forgotten.
const soundGeneration = 4096

// generations remembers when keys were sound. A flood of keys replaces the latest
// generation by an empty one and drops the one before.
type generations struct{ latest, older map[Key]time.Time }

func (g *generations) record(now time.Time, key Key) {
	if len(g.latest) >= soundGeneration || g.latest == nil {
		g.latest, g.older = make(map[Key]time.Time), g.latest
	}
	g.latest[key] = now
}

// at returns when a key was last sound, or zero.
func (g *generations) at(key Key) time.Time {
	if at, ok := g.latest[key]; ok {
		return at
	}
	return g.older[key]
}

// Recorder collects the evidence of one router. The zero value is ready for use.
//
// Crashes are bounded by their number and by the number of distinct keys, not by the requests
// that they cut off. Beyond the bounds, keys that are known from one crash alone go first, since
// they explain least.
type Recorder struct {
	mu sync.Mutex
	// crashes are the latest crashes, the oldest first, and exposures is the number of keys in them.
	crashes   []*recordedCrash
	exposures int
	// digest is that of the crashes; stale if they have changed since.
	digest uint64
	stale  bool
	// suspects are the keys about which this router was last asked. Other routers may have seen
	// them in further crashes.
	suspects map[Key]bool
	// goingOn holds when an answer with a part last went on, outlived when a server last outlived
	// one, and answered when a whole request was last answered. The last are apart because each
	// request has a key of its own.
	goingOn, outlived, answered generations
	// dropped counts the keys of crashes that were forgotten because there were too many.
	dropped uint64
}

// recordedCrash is what this router knows of the crash of a server.
type recordedCrash struct {
	server Incarnation
	keys   map[Key]recordedExposure
}

type recordedExposure struct {
	Exposure
	// lostAt is when the latest request with the key was cut off.
	lostAt time.Time
}

// at returns when the first of the requests was cut off whose keys are known, or zero.
func (c *recordedCrash) at() (at time.Time) {
	for _, e := range c.keys {
		if at.IsZero() || e.lostAt.Before(at) {
			at = e.lostAt
		}
	}
	return at
}

// RecordCrash records that a server crashed under a request with these keys that was sent to
// it at sentAt. The keys are those of the parts in the order of the prompt; the last is that of the
// whole request. goingOn is set if the answer had gone on for longer than GuiltWindow.
func (r *Recorder) RecordCrash(now, sentAt time.Time, server Incarnation, keys []Key, goingOn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.crash(server)
	for position, key := range keys {
		e := Exposure{Key: key, SentAt: sentAt, Position: position, Whole: position == len(keys)-1}
		e.GoingOn = goingOn && !e.Whole
		before, known := c.keys[key]
		switch {
		case known:
			e = e.merge(before.Exposure)
		case len(c.keys) >= maxCrashExposures:
			r.dropped++
			continue
		default:
			r.exposures++
		}
		c.keys[key] = recordedExposure{Exposure: e, lostAt: now}
	}
	r.stale = true
	r.enforceBounds()
}

// index returns the place of a server's crash in crashes, or -1.
func (r *Recorder) index(server Incarnation) int {
	return slices.IndexFunc(r.crashes, func(c *recordedCrash) bool { return c.server == server })
}

// crash returns the record of a server's crash. It adds one if there is none.
func (r *Recorder) crash(server Incarnation) *recordedCrash {
	if i := r.index(server); i >= 0 {
		return r.crashes[i]
	}
	c := &recordedCrash{server: server, keys: make(map[Key]recordedExposure)}
	r.crashes = append(r.crashes, c)
	return c
}

// enforceBounds drops what explains least if there are too many crashes or keys.
func (r *Recorder) enforceBounds() {
	if len(r.crashes) <= maxCrashes && r.exposures <= maxExposures {
		return
	}
	counts := make(map[Key]int)
	for _, c := range r.crashes {
		for key := range c.keys {
			counts[key]++
		}
	}
	// Keys of the latest crash may be in the next one.
	for _, c := range r.crashes[:len(r.crashes)-1] {
		if r.exposures <= maxExposures*3/4 {
			break
		}
		r.dropped += uint64(r.remove(c, func(e recordedExposure) bool { return counts[e.Key] == 1 && !r.suspects[e.Key] }))
	}
	for len(r.crashes) > maxCrashes || r.exposures > maxExposures && len(r.crashes) > 1 {
		r.dropped += uint64(r.remove(r.crashes[0], func(recordedExposure) bool { return true }))
		r.crashes = r.crashes[1:]
	}
}

// remove removes keys of a crash and returns their number.
func (r *Recorder) remove(c *recordedCrash, which func(recordedExposure) bool) (removed int) {
	before := len(c.keys)
	maps.DeleteFunc(c.keys, func(_ Key, e recordedExposure) bool { return which(e) })
	removed = before - len(c.keys)
	r.exposures -= removed
	r.stale = r.stale || removed > 0
	return removed
}

// Dropped returns the number of keys in crashes that were forgotten before their time because
// there were too many.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// RecordGoingOn records that an answer to a prompt with these parts goes on.
func (r *Recorder) RecordGoingOn(now time.Time, parts []Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range parts {
		r.goingOn.record(now, key)
	}
}

// RecordOutlived records that a server has outlived an answer to a prompt with these parts. It
// returns those of them with crashes that no longer count.
func (r *Recorder) RecordOutlived(now time.Time, parts []Key) (acquitted []Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range parts {
		if r.accusedSince(key, r.outlived.at(key)) {
			acquitted = append(acquitted, key)
		}
		r.outlived.record(now, key)
	}
	return acquitted
}

// accusedSince reports whether a server has crashed under a request with the key after a time.
func (r *Recorder) accusedSince(key Key, at time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c *recordedCrash) bool { return c.keys[key].lostAt.After(at) })
}

// RecordAnswered records that a request was answered completely.
func (r *Recorder) RecordAnswered(now time.Time, request Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered.record(now, request)
}

// RecordAlive records that a server has begun to answer a request that was sent at sentAt:
// it has not crashed before, whatever connections to it were lost.
func (r *Recorder) RecordAlive(server Incarnation, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Nearly all answers come from servers that have not crashed.
	if i := r.index(server); i >= 0 && r.remove(r.crashes[i], func(e recordedExposure) bool { return e.lostAt.Before(sentAt) }) > 0 {
		r.dropEmpty()
	}
}

// dropEmpty drops the crashes that have no key left.
func (r *Recorder) dropEmpty() {
	r.crashes = slices.DeleteFunc(r.crashes, func(c *recordedCrash) bool { return len(c.keys) == 0 })
}

// Report returns the evidence of this router. suspects are the keys that the routers are asked
// about. The crashes are left out if known is their digest.
func (r *Recorder) Report(now time.Time, suspects []Key, known uint64) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.crashes {
		r.remove(c, func(e recordedExposure) bool { return now.Sub(e.lostAt) > evidenceTTL })
	}
	r.dropEmpty()
	var report Evidence
	r.suspects = make(map[Key]bool, len(suspects))
	for _, key := range suspects {
		r.suspects[key] = true
		if s := r.sound(key); s != (Sound{Key: key}) {
			report.Sound = append(report.Sound, s)
		}
	}
	if r.stale || r.digest != known {
		report.Crashes = r.list()
	}
	if r.stale {
		r.digest, r.stale = digestOf(report.Crashes), false
	}
	if report.Digest = r.digest; report.Digest == known {
		report.Crashes = nil
	}
	return report
}

// list returns the crashes, the oldest first, with their keys in order.
func (r *Recorder) list() []Crash {
	crashes := make([]Crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		crash := Crash{Server: c.server, At: c.at(), Exposures: make([]Exposure, 0, len(c.keys))}
		for _, e := range c.keys {
			crash.Exposures = append(crash.Exposures, e.Exposure)
		}
		slices.SortFunc(crash.Exposures, func(a, b Exposure) int { return cmp.Compare(a.Key, b.Key) })
		crashes = append(crashes, crash)
	}
	return crashes
}

// digestOf returns a digest of the servers and the keys of crashes; 0 if there are none.
func digestOf(crashes []Crash) uint64 {
	if len(crashes) == 0 {
		return 0
	}
	digest := xxhash.New()
	add := func(n uint64) { _, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	for _, c := range crashes {
		add(uint64(c.Server))
		add(uint64(c.At.UnixNano()))
		for _, e := range c.Exposures {
			add(uint64(e.Key))
		}
	}
	return max(digest.Sum64(), 1)
}

func (r *Recorder) sound(key Key) Sound {
	s := Sound{Key: key, OutlivedAt: r.outlived.at(key), GoingOnAt: r.goingOn.at(key)}
	return s.join(Sound{OutlivedAt: r.answered.at(key)})
}
