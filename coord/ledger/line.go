// Package ledger stores charge lines once. Holders keep lines in a bounded Queue
// until the Collector of the line's shard has them in the store.
package ledger

import (
	"encoding/hex"
	"errors"
	"fmt"

	"cactusknot.example/coord/invariant"
)

var (
	// ErrLine: a line's fields are out of range.
	ErrLine = errors.New("ledger: line is not valid")
	// ErrFormat: a stored value is damaged or of an unknown format.
	ErrFormat = errors.New("ledger: unknown or damaged stored value")
	// ErrBusy: the collector holds as many lines as it may. Nothing was taken.
	ErrBusy = errors.New("ledger: collector is full")
)

// BilledTwice is violated when two segments store the same identity.
const BilledTwice invariant.Name = "billed_twice"

// MaxNameBytes bounds each of the names in a line.
const MaxNameBytes = 256

// Line is one billable step of a request.
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
	// CompletedMS is the completion time at the agent in ms since 1970.
	CompletedMS int64
}

// ID is the identity of a line: each is billed once.
type ID struct {
	RequestID [16]byte
	Step      uint32
}

// ID returns the line's identity.
func (l Line) ID() ID { return ID{l.RequestID, l.Step} }

// String returns the identity for logs.
func (id ID) String() string {
	return fmt.Sprintf("%s/%d", hex.EncodeToString(id.RequestID[:]), id.Step)
}

// Validate returns ErrLine when the collector would not take the line.
func (l Line) Validate() error {
	for _, name := range []string{l.Workspace, l.Model, l.Version} {
		if len(name) > MaxNameBytes {
			return fmt.Errorf("%w: name of %d bytes", ErrLine, len(name))
		}
	}
	if l.Workspace == "" || l.CompletedMS < 0 {
		return fmt.Errorf("%w: workspace %q, completed %d", ErrLine, l.Workspace, l.CompletedMS)
	}
	return nil
}

// Merge returns the line that counts of two lines with the same identity: the
// one with the lower attempt, and a on a tie.
func Merge(a, b Line) Line {
	if b.Attempt < a.Attempt {
		return b
	}
	return a
}

// Shard returns the shard of a request: its id modulo shards, which must be
// above 0. The number of shards must stay the same for the life of the ledger,
// since each identity is checked within its own shard only.
func Shard(request [16]byte, shards uint32) uint32 {
	rest := uint64(0)
	for _, b := range request {
		rest = (rest<<8 | uint64(b)) % uint64(shards)
	}
	return uint32(rest)
}

// Sum adds up lines.
type Sum struct {
	Lines        uint64 `json:"lines"`
	TokensIn     uint64 `json:"tokens_in"`
	TokensOut    uint64 `json:"tokens_out"`
	AmountMicros uint64 `json:"amount_micros"`
}

// Sums are sums by workspace.
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
