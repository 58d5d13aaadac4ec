package edge

import (
	"time"

	"cactusknot.example/daemon/quarantine"
	"cactusknot.example/daemon/rpc"
)

func encodeKeys(keys []quarantine.Key) []uint64 {
	list := make([]uint64, len(keys))
	for i, key := range keys {
		list[i] = uint64(key)
	}
	return list
}

func decodeKeys(list []uint64) []quarantine.Key {
	keys := make([]quarantine.Key, len(list))
	for i, key := range list {
		keys[i] = quarantine.Key(key)
	}
	return keys
}

// encodeEvidence adds evidence to a report, with ages in place of times, since the clocks
// of the routers differ.
func encodeEvidence(now time.Time, e quarantine.Evidence, out *rpc.LoadReport) {
	out.CrashDigest = e.Digest
	for _, c := range e.Crashes {
		crash := &rpc.ServerCrash{Server: uint64(c.Server), AgeMs: ageMS(now, c.At)}
		for _, exposure := range c.Exposures {
			crash.Parts = append(crash.Parts, uint64(exposure.Key))
			crash.SentBeforeMs = append(crash.SentBeforeMs, encodeSentBefore(c.At, exposure.SentAt))
			crash.Positions = append(crash.Positions, encodePosition(exposure))
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, s := range e.Sound {
		out.SoundParts = append(out.SoundParts, &rpc.SoundPart{Part: uint64(s.Key), OutlivedMs: encodeTime(now, s.OutlivedAt), GoingOnMs: encodeTime(now, s.GoingOnAt)})
	}
}

func decodeCrashEvidence(now time.Time, in *rpc.LoadReport) quarantine.Evidence {
	e := quarantine.Evidence{Digest: in.GetCrashDigest()}
	for _, c := range in.GetCrashes() {
		crash := quarantine.Crash{Server: quarantine.Incarnation(c.GetServer()), At: timeAgo(now, c.GetAgeMs())}
		for i, part := range c.GetParts() {
			exposure := quarantine.Exposure{Key: quarantine.Key(part)}
			if before := c.GetSentBeforeMs(); i < len(before) {
				exposure.SentAt = decodeTime(crash.At, before[i])
			}
			if positions := c.GetPositions(); i < len(positions) {
				decodePosition(positions[i], &exposure)
			}
			crash.Exposures = append(crash.Exposures, exposure)
		}
		e.Crashes = append(e.Crashes, crash)
	}
	for _, s := range in.GetSoundParts() {
		e.Sound = append(e.Sound, quarantine.Sound{
			Key: quarantine.Key(s.GetPart()), OutlivedAt: decodeTime(now, s.GetOutlivedMs()), GoingOnAt: decodeTime(now, s.GetGoingOnMs()),
		})
	}
	return e
}

// encodeSentBefore returns ServerCrash.sent_before_ms.
func encodeSentBefore(crashAt, sentAt time.Time) uint32 {
	if sentAt.After(crashAt) {
		return 0
	}
	return encodeTime(crashAt, sentAt)
}

// encodeTime returns the age of a time in milliseconds plus 1, or 0 for the zero time.
func encodeTime(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return ageMS(now, at) + 1
}

func decodeTime(now time.Time, age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return timeAgo(now, age-1)
}

// Flags in ServerCrash.positions, below the position.
const (
	wholeFlag     = 1 << 0
	goingOnFlag   = 1 << 1
	positionShift = 2
)

// encodePosition returns an element of ServerCrash.positions.
func encodePosition(e quarantine.Exposure) uint32 {
	position := uint32(e.Position) << positionShift
	if e.Whole {
		position |= wholeFlag
	}
	if e.GoingOn {
		position |= goingOnFlag
	}
	return position
}

func decodePosition(position uint32, e *quarantine.Exposure) {
	e.Position, e.Whole, e.GoingOn = int(position>>positionShift), position&wholeFlag != 0, position&goingOnFlag != 0
}

func ageMS(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

func timeAgo(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
