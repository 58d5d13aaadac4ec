package ledger

import (
	"bytes"
	"slices"
	"time"
)

// Limits of the lines that are kept after they have been stored, in case the store is restored
// from an older copy.
const (
	// KeepFor is longer than the age of the copies, which is a minute, by the time in which
	// acknowledgements may still arrive after the store has failed.
	KeepFor = 3 * time.Minute
	// maxKeptLines limits the lines kept by a Queue. It covers KeepFor at 100 requests/s.
	maxKeptLines = 20_000
	// maxKeptBytes limits the bytes kept by a Queue or a Collector.
	maxKeptBytes = 2 << 20
)

// keptSegments are the encoded lines of the segments that a collector has written or read
// recently, oldest first.
type keptSegments struct {
	list  []keptSegment
	bytes int
}

type keptSegment struct {
	key     string
	encoded []byte
	at      time.Time
}

// add keeps a segment unless it is kept already, because a collector may read its log several
// times. It drops the oldest segments above the limit.
func (k *keptSegments) add(s keptSegment) {
	if slices.ContainsFunc(k.list, func(o keptSegment) bool { return o.key == s.key && bytes.Equal(o.encoded, s.encoded) }) {
		return
	}
	k.list = append(k.list, s)
	k.bytes += len(s.encoded)
	for k.bytes > maxKeptBytes {
		k.dropOldest()
	}
}

// prune drops what was added more than KeepFor ago. It must be called only after a response
// of the store: during an outage, a restore may still take back what was written before it.
func (k *keptSegments) prune(now time.Time) {
	for len(k.list) > 0 && now.Sub(k.list[0].at) > KeepFor {
		k.dropOldest()
	}
}

func (k *keptSegments) dropOldest() {
	k.bytes -= len(k.list[0].encoded)
	k.list[0] = keptSegment{}
	k.list = k.list[1:]
}

// lines decodes all lines.
func (k *keptSegments) lines() ([]Line, error) {
	var out []Line
	for _, s := range k.list {
		_, lines, err := decodeLines(s.encoded)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}
