package ledger

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"cactusknot.example/coord/kv"
)

// keyPrefix is the prefix of all store keys of the ledger.
const keyPrefix = "ledger/"

// Format versions of stored values. Values with any other version are rejected. Totals with a
// list of eras have a format of their own, because a program that ignores the list would write
// segments that are never counted.
const (
	segmentFormat    = 1
	totalsFormat     = 1
	totalsErasFormat = 2
)

// maxFixedLineBytes is the maximum encoded size of a line without the text of its
// names.
const maxFixedLineBytes = 16 + 2*binary.MaxVarintLen32 + 5*binary.MaxVarintLen64 + 6*binary.MaxVarintLen32

// segmentKey returns the key of a segment that was numbered in an era of the store. Keys of era 0
// do not contain the era.
func segmentKey(shard uint32, era, n uint64) string {
	return segmentPrefix(shard, era) + fmt.Sprintf("%020d", n)
}

func segmentPrefix(shard uint32, era uint64) string {
	if era == 0 {
		return fmt.Sprintf("%s%d/seg/", keyPrefix, shard)
	}
	return fmt.Sprintf("%s%d/seg/%d/", keyPrefix, shard, era)
}

func totalsKey(shard uint32) string { return fmt.Sprintf("%s%d/totals", keyPrefix, shard) }

func disputedKey(shard uint32, name string) string {
	return fmt.Sprintf("%s%d/disputed/%s", keyPrefix, shard, name)
}

// maxEncodedSize returns an upper bound for the encoded size of l.
func maxEncodedSize(l Line) int {
	return maxFixedLineBytes + len(l.Workspace) + len(l.Model) + len(l.Version)
}

// encodeLines encodes lines and the time of writing as Unix time in ms. The layout is
// a format byte, the time and the number of lines as uvarints, and the lines. A name
// is encoded as its index among the distinct names so far. An index equal to their
// number introduces a new name, whose length and text follow.
func encodeLines(writtenMS int64, lines []Line) []byte {
	out := []byte{segmentFormat}
	out = binary.AppendUvarint(out, uint64(writtenMS))
	out = binary.AppendUvarint(out, uint64(len(lines)))
	seen := make(map[string]uint64)
	for _, l := range lines {
		out = append(out, l.RequestID[:]...)
		out = binary.AppendUvarint(out, uint64(l.Step))
		out = binary.AppendUvarint(out, uint64(l.Attempt))
		for _, name := range []string{l.Workspace, l.Model, l.Version} {
			out = appendName(out, seen, name)
		}
		for _, v := range []uint64{l.TokensIn, l.TokensOut, l.AmountMicros, l.BundleVersion, uint64(l.CompletedMS)} {
			out = binary.AppendUvarint(out, v)
		}
	}
	return out
}

func appendName(out []byte, seen map[string]uint64, name string) []byte {
	ref, ok := seen[name]
	if ok {
		return binary.AppendUvarint(out, ref)
	}
	ref = uint64(len(seen))
	seen[name] = ref
	out = binary.AppendUvarint(out, ref)
	out = binary.AppendUvarint(out, uint64(len(name)))
	return append(out, name...)
}

// decodeLines decodes the result of encodeLines, or returns ErrInvalidFormat.
func decodeLines(data []byte) (writtenMS int64, lines []Line, err error) {
	d := decoder{rest: data}
	if format := d.bytes(1); d.invalid || format[0] != segmentFormat {
		return 0, nil, ErrInvalidFormat
	}
	writtenMS = int64(d.uvarint())
	count := d.uvarint()
	for range count {
		l := d.line()
		if d.invalid {
			return 0, nil, ErrInvalidFormat
		}
		lines = append(lines, l)
	}
	if d.invalid || len(d.rest) > 0 {
		return 0, nil, ErrInvalidFormat
	}
	return writtenMS, lines, nil
}

// decoder reads fields. After the first malformed field, invalid is set and all
// reads return zero values.
type decoder struct {
	rest    []byte
	names   []string
	invalid bool
}

func (d *decoder) line() Line {
	var l Line
	copy(l.RequestID[:], d.bytes(len(l.RequestID)))
	l.Step = uint32(d.uvarint())
	l.Attempt = uint32(d.uvarint())
	l.Workspace = d.name()
	l.Model = d.name()
	l.Version = d.name()
	l.TokensIn = d.uvarint()
	l.TokensOut = d.uvarint()
	l.AmountMicros = d.uvarint()
	l.BundleVersion = d.uvarint()
	l.CompletedMS = int64(d.uvarint())
	return l
}

func (d *decoder) bytes(n int) []byte {
	if d.invalid || n > len(d.rest) {
		d.invalid = true
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.invalid || n <= 0 {
		d.invalid = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) name() string {
	ref := d.uvarint()
	if ref < uint64(len(d.names)) {
		return d.names[ref]
	}
	size := d.uvarint()
	if d.invalid || ref != uint64(len(d.names)) || size > MaxNameBytes {
		d.invalid = true
		return ""
	}
	name := string(d.bytes(int(size)))
	d.names = append(d.names, name)
	return name
}

// totals is the stored state of the folded segments of a shard.
type totals struct {
	Format int `json:"format"`
	// Folded is the number of the last folded segment. Segment keys up to this
	// number are ignored even when they exist.
	Folded uint64 `json:"folded"`
	// Cleaned is the number up to which all folded segments have been deleted.
	Cleaned uint64 `json:"cleaned"`
	// WatermarkMS is the highest completion time of the folded lines.
	WatermarkMS int64 `json:"watermark_ms"`
	Sums        Sums  `json:"sums"`
	// Eras lists, in ascending order, the eras of the store in which the segments that
	// are not cleaned were numbered. Segments below the first entry are of era 0.
	Eras []eraStart `json:"eras,omitempty"`
}

// eraStart is the number of the first segment of an era.
type eraStart struct {
	Era  uint64 `json:"era"`
	From uint64 `json:"from"`
}

// eraOf returns the era in which segment n is numbered.
func (t totals) eraOf(n uint64) uint64 {
	era := uint64(0)
	for _, e := range t.Eras {
		if e.From <= n {
			era = e.Era
		}
	}
	return era
}

// lastEra returns the era in which the next segment is numbered.
func (t totals) lastEra() uint64 {
	if len(t.Eras) == 0 {
		return 0
	}
	return t.Eras[len(t.Eras)-1].Era
}

// pruneEras removes the eras whose segments have all been deleted.
func (t *totals) pruneEras() {
	first := 0
	for first+1 < len(t.Eras) && t.Eras[first+1].From <= t.Cleaned+1 {
		first++
	}
	t.Eras = t.Eras[first:]
}

func encodeTotals(id kv.WriteID, t totals) ([]byte, error) {
	t.Format = totalsFormat
	if len(t.Eras) > 0 {
		t.Format = totalsErasFormat
	}
	payload, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	return kv.EncodeEnvelope(id, payload), nil
}

func decodeTotals(value []byte) (totals, error) {
	_, payload, err := kv.DecodeEnvelope(value)
	if err != nil {
		return totals{}, fmt.Errorf("%w: totals: %v", ErrInvalidFormat, err)
	}
	var t totals
	if err := json.Unmarshal(payload, &t); err != nil || t.Format != totalsFormat && t.Format != totalsErasFormat {
		return totals{}, fmt.Errorf("%w: totals of format %d: %v", ErrInvalidFormat, t.Format, err)
	}
	return t, nil
}

// segment is a decoded segment.
type segment struct {
	segmentRef
	writtenMS   int64
	completedMS int64 // highest completion time of its lines
	lines       []Line
	encoded     []byte // the lines as stored
}

func decodeSegment(n uint64, e kv.Entry) (segment, error) {
	_, payload, err := kv.DecodeEnvelope(e.Value)
	if err != nil {
		return segment{}, fmt.Errorf("%w: %s: %v", ErrInvalidFormat, e.Key, err)
	}
	written, lines, err := decodeLines(payload)
	if err != nil {
		return segment{}, fmt.Errorf("%s: %w", e.Key, err)
	}
	s := segment{segmentRef: segmentRef{e.Key, n, e.Revision}, writtenMS: written, lines: lines, encoded: payload}
	for _, l := range lines {
		s.completedMS = max(s.completedMS, l.CompletedMS)
	}
	return s, nil
}

// parseKey splits a store key of the ledger into the shard, the kind ("seg", "totals"
// or "disputed") and the name, which is empty for totals.
func parseKey(key string) (shard uint32, kind, name string, err error) {
	parts := strings.SplitN(strings.TrimPrefix(key, keyPrefix), "/", 3)
	n, err := strconv.ParseUint(parts[0], 10, 32)
	if err != nil || len(parts) < 2 {
		return 0, "", "", fmt.Errorf("%w: key %q", ErrInvalidFormat, key)
	}
	if len(parts) == 3 {
		name = parts[2]
	}
	return uint32(n), parts[1], name, nil
}
