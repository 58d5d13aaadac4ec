// Package ledger stores charge lines in the key-value store and bills each of them
// once. The agent or router that holds a line keeps it in a bounded Queue until the
// Collector of the line's shard has stored it.
package ledger

import (
	"encoding/hex"
	"errors"
	"fmt"

	"cactusknot.example/coord/invariant"
)

var (
	// ErrInvalidLine is returned for a line with fields that are out of range.
	ErrInvalidLine = errors.New("ledger: line is not valid")
	// ErrInvalidFormat is returned for a stored value that is malformed or has an
	// unknown format.
	ErrInvalidFormat = errors.New("ledger: unknown or damaged stored value")
	// ErrBusy is returned when MaxQueuedLines is reached. No line was accepted.
	ErrBusy = errors.New("ledger: collector is full")
)

// BilledTwice is violated when two segments store the same identity.
const BilledTwice invariant.Name = "billed_twice"

// MaxNameBytes is the maximum length of each of the names in a line.
const MaxNameBytes = 256

// Line is the charge for one billable step of a request.
type Line struct {
	RequestID [16]byte
	Step      uint32
	Attempt   uint32
	Workspace string
	Model     string
	Version   string
	TokensIn  uint64
	TokensOut uint64
	// AmountMicros is in millionths of the billing currency.
	AmountMicros  uint64
	BundleVersion uint64
	// CompletedMS is the completion time by the agent's clock, as Unix time in ms.
	CompletedMS int64
}

// ID is the identity of a line. Each identity is billed once.
type ID struct {
	RequestID [16]byte
	Step      uint32
}

// ID returns the identity of the line.
func (l Line) ID() ID { return ID{l.RequestID, l.Step} }

// String returns the identity in the form used in logs.
func (id ID) String() string {
	return fmt.Sprintf("%s/%d", hex.EncodeToString(id.RequestID[:]), id.Step)
}

// Validate returns ErrInvalidLine for a line that a collector does not accept.
func (l Line) Validate() error {
	for _, name := range []string{l.Workspace, l.Model, l.Version} {
		if len(name) > MaxNameBytes {
			return fmt.Errorf("%w: name of %d bytes", ErrInvalidLine, len(name))
		}
	}
	if l.Workspace == "" || l.CompletedMS < 0 {
		return fmt.Errorf("%w: workspace %q, completed %d", ErrInvalidLine, l.Workspace, l.CompletedMS)
	}
	return nil
}

// Merge returns the line to bill of two lines with the same identity: the one with
// the lower attempt, or a if the attempts are equal.
func Merge(a, b Line) Line {
	if b.Attempt < a.Attempt {
		return b
	}
	return a
}

// Shard returns the shard of a request: its ID modulo shards, which must be above 0.
// The number of shards must not change during the life of the ledger, because
// duplicate identities are detected only within a shard.
func Shard(request [16]byte, shards uint32) uint32 {
	remainder := uint64(0)
	for _, b := range request {
		remainder = (remainder<<8 | uint64(b)) % uint64(shards)
	}
	return uint32(remainder)
}

// Sum is the sum of a number of lines.
type Sum struct {
	Lines        uint64 `json:"lines"`
	TokensIn     uint64 `json:"tokens_in"`
	TokensOut    uint64 `json:"tokens_out"`
	AmountMicros uint64 `json:"amount_micros"`
}

// Sums maps each workspace to its sum.
type Sums map[string]Sum

func (s Sums) addLine(l Line) {
	s.add(l.Workspace, Sum{1, l.TokensIn, l.TokensOut, l.AmountMicros})
}

func (s Sums) add(workspace string, d Sum) {
	sum := s[workspace]
	sum.Lines += d.Lines
	sum.TokensIn += d.TokensIn
	sum.TokensOut += d.TokensOut
	sum.AmountMicros += d.AmountMicros
	s[workspace] = sum
}

func (s Sums) addAll(other Sums) {
	for workspace, d := range other {
		s.add(workspace, d)
	}
}
