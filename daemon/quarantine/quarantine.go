// Package quarantine keeps requests that crash backend servers away from them. In the
// field such a request is called a query of death: each retry of it, and each other
// request with the same deadly part in its prompt, ends one more server.
//
// A crash of a server accuses all requests that were sent to it and not yet answered, each as
// a whole, and the parts of their prompts. An answer that the server outlives acquits the parts of
// its prompt, a complete one also the request as a whole. One that only goes on for a while acquits
// the parts that servers have outlived lately: nearly all of their answers go on beside the cause of
// a crash, while the answers with a deadly part all end with one. Each router collects what it sees
// (Recorder). The evidence of all routers is pooled (Pool), and parts that are found
// guilty are quarantined (List): requests with them are refused, but for a trial now and
// then. The package needs no network; all methods that depend on the time take it as an
// argument. They are safe for concurrent use.
package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies what may crash the servers of a service: a part of prompts, or a whole
// request with all its repetitions.
type Key uint64

// String returns the key as store keys and log lines name it.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// PromptKeys returns the keys of the parts of a prompt, given their IDs: of all but the last,
// which only this request or its session has.
func PromptKeys(service string, ids []string) []Key {
	if len(ids) < 2 {
		return nil
	}
	keys := make([]Key, 0, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		keys = append(keys, Key(xxhash.Sum64String(service+"/"+id)))
	}
	return keys
}

// WholeRequest returns the key of a request and its repetitions: requests to
// the same service and path, of the same caller, with the same prompt and body.
func WholeRequest(service, path, caller string, promptParts []string, body []byte) Key {
	digest := xxhash.New()
	for _, field := range append([]string{service, path, caller}, promptParts...) {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return Key(digest.Sum64())
}

// Incarnation identifies one life of a backend server, so that the reports of several
// routers on one crash count once.
type Incarnation uint64

// IncarnationOf returns the incarnation of a server that was started at a Unix time in
// milliseconds, or 0 if the start is not known.
func IncarnationOf(server string, startedMS int64) Incarnation {
	return Incarnation(xxhash.Sum64String(server) ^ uint64(startedMS))
}

const (
	// GuiltWindow is how long after the first event of its answer a prompt is the likely cause of
	// the crash of its server. An answer that goes on for longer is likely to be sound.
	GuiltWindow = 500 * time.Millisecond
	// SurvivalWindow is how long an answer goes on, whether complete or not, until the server has
	// outlived it.
	SurvivalWindow = 3 * time.Second
	// trustTTL is how long after an answer that its server outlived a part is trusted: answers
	// with it that go on are sound.
	trustTTL = 2 * time.Minute
	// evidenceTTL is how long a crash counts. A deadly part may come seldom.
	evidenceTTL = RecordLifetime
	// settleTime is how long a crash is known before it counts. In this time all routers
	// report which parts they have seen in answers that go on.
	settleTime = time.Second
	// crashesToConvict is the number of crashes since the latest sound answer from which a key
	// is guilty, and crashesToConvictPart the same for a part while most crashes are not under it.
	crashesToConvict     = 3
	crashesToConvictPart = 4
	// lateShare is the part of all crashes, one in lateShare, that a key must be in if its answers
	// were going on.
	lateShare = 3
	// retryWindow is how long after a crash the requests that it cut off are sent on.
	retryWindow = 100 * time.Millisecond
	// minCrashInterval is the minimum time between crashes that count separately, unless a request
	// was at one server after the other and no other server was lost at that moment.
	minCrashInterval = 50 * time.Millisecond
	// massLoss is the number of servers without a key that are lost within massLossWindow of a
	// crash from which the crash has another cause than the key.
	massLoss       = 5
	massLossWindow = 250 * time.Millisecond
	// recentlySound is how long after a sound answer a key counts as common. Common requests are
	// at all servers that are lost within a moment, so crashes under them count separately only
	// if they are minCommonInterval apart. Three of them are known in less than the time that
	// the routers have after the third.
	recentlySound     = 10 * time.Second
	minCommonInterval = 700 * time.Millisecond
	// maxCrashes bounds the crashes that a router reports, maxExposures the keys in all of them
	// together, and maxCrashExposures those in one of them.
	maxCrashes        = 128
	maxExposures      = 2048
	maxCrashExposures = 1024
	// maxSuspects bounds the keys that the routers are asked about.
	maxSuspects = 128
)

// Crash is the crash of a server as one router saw it, whatever number of requests it cut off.
type Crash struct {
	Server Incarnation
	// At is when the first request was cut off.
	At time.Time
	// Exposures are the accused keys, each once.
	Exposures []Exposure
}

// Exposure tells of a key that was at a server when it crashed.
type Exposure struct {
	Key Key
	// SentAt is when the first request with the key was sent there; zero if that is not known.
	SentAt time.Time
	// Position is the position of the key in its prompt.
	Position int
	// Whole is set for the key of a request as a whole.
	Whole bool
	// GoingOn is set if all answers with the key went on, for longer than GuiltWindow.
	GoingOn bool
}

// merge joins what two requests tell of the same key at the same server.
func (e Exposure) merge(other Exposure) Exposure {
	if other.SentAt.Before(e.SentAt) {
		e.SentAt = other.SentAt
	}
	e.Position, e.Whole = max(e.Position, other.Position), e.Whole || other.Whole
	e.GoingOn = e.GoingOn && other.GoingOn
	return e
}

// Sound tells of the latest sound answers with a key. Zero times stand for none.
type Sound struct {
	Key Key
	// OutlivedAt is the time of the latest answer that its server outlived, GoingOnAt that of the
	// latest one that went on.
	OutlivedAt, GoingOnAt time.Time
}

// join returns the latest times of both.
func (s Sound) join(other Sound) Sound {
	if other.OutlivedAt.After(s.OutlivedAt) {
		s.OutlivedAt = other.OutlivedAt
	}
	if other.GoingOnAt.After(s.GoingOnAt) {
		s.GoingOnAt = other.GoingOnAt
	}
	return s
}

// trusted reports whether answers with the key that went on at a time were sound.
func (s Sound) trusted(at time.Time) bool {
	return !s.OutlivedAt.IsZero() && at.Sub(s.OutlivedAt) <= trustTTL
}

// acquits reports whether there was a sound answer since a crash.
func (s Sound) acquits(crashAt time.Time) bool {
	return !crashAt.After(s.OutlivedAt) || s.trusted(crashAt) && !crashAt.After(s.GoingOnAt)
}

// latest returns the time of the latest answer that went on, whether its server outlived it or not.
func (s Sound) latest() time.Time {
	if s.GoingOnAt.After(s.OutlivedAt) {
		return s.GoingOnAt
	}
	return s.OutlivedAt
}

// Evidence is what one router has seen.
type Evidence struct {
	// Digest identifies the crashes; 0 if there are none.
	Digest uint64
	// Crashes is empty if the receiver knows the crashes with this digest.
	Crashes []Crash
	// Sound covers the keys that were asked about.
	Sound []Sound
}
