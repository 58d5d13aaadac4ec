// Package content names large values by their digest and splits them into parts, so that a process
// that holds an earlier version of a value fetches only the parts that differ, and goes on with
// another source where one has stopped. The boundaries of parts depend on the bytes around them
// alone: a change moves the boundaries next to it and leaves the others.
//
// The package has no network; it must not be used to decide which version of a value is in force.
package content

import (
	"bytes"
	"crypto/sha256"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// MinBytes is the length from which a value is large. The list of the parts of a shorter one, and
// the calls that fetch them, cost more than they save.
const MinBytes = 16 << 10

// Bounds of the length of a part in bytes. Behind minPart, a part ends after meanPart on average.
const (
	minPart  = 2 << 10
	meanPart = 8 << 10
	maxPart  = 32 << 10
)

// Errors of assembling a value. Callers test them with errors.Is.
var (
	// ErrBadParts means that a list of parts can't be that of the value.
	ErrBadParts = errors.New("content: list of parts does not fit the value")
	// ErrMismatch means that bytes are not those that their digest names.
	ErrMismatch = errors.New("content: bytes do not match the digest")
)

// Ref names the content of a large value. The zero Ref names none.
type Ref struct {
	Digest [sha256.Size]byte
	// Size is the length of the value in bytes.
	Size int
}

// RefOf returns the Ref of a value, or the zero Ref if it is not large.
func RefOf(value []byte) Ref {
	if len(value) < MinBytes {
		return Ref{}
	}
	return Ref{Digest: sha256.Sum256(value), Size: len(value)}
}

// Part is a part of a value. Its ID is a hash of its bytes. Only the digest of the whole value
// tells for certain that a part is the right one.
type Part struct {
	ID uint64
	// Size is the length in bytes.
	Size int
}

func partOf(data []byte) Part { return Part{ID: xxhash.Sum64(data), Size: len(data)} }

// gear holds a random number for each byte. A sum over the latest 64 bytes, each shifted by its
// distance, is the rolling hash by which values are split.
var gear = func() (table [256]uint64) {
	for i := range table {
		table[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return table
}()

// split returns the parts of a value, which share its memory.
func split(value []byte) [][]byte {
	var parts [][]byte
	for len(value) > 0 {
		n := boundary(value)
		parts = append(parts, value[:n:n])
		value = value[n:]
	}
	return parts
}

// boundary returns the length of the first part.
func boundary(value []byte) int {
	const limit = ^uint64(0) / meanPart
	var hash uint64
	for i, b := range value[:min(len(value), maxPart)] {
		hash = hash<<1 + gear[b]
		if i+1 >= minPart && hash <= limit {
			return i + 1
		}
	}
	return min(len(value), maxPart)
}

// Assembly collects the parts of one value. It must not be used concurrently.
type Assembly struct {
	ref   Ref
	parts []Part
	held  map[uint64][]byte
	// distrusted is set after the parts did not match the digest together. Parts of other values
	// are then not used, because one of them may have the hash of another part.
	distrusted bool
	reused     int
}

// NewAssembly returns an Assembly of the value, which keeps the parts that an earlier one has
// received; nil for none.
func NewAssembly(ref Ref, earlier *Assembly) *Assembly {
	a := &Assembly{ref: ref, held: make(map[uint64][]byte)}
	if earlier != nil && !earlier.distrusted {
		a.held = earlier.held
	}
	return a
}

// Ref names the value.
func (a *Assembly) Ref() Ref { return a.ref }

// Listed reports whether the parts of the value are known.
func (a *Assembly) Listed() bool { return a.parts != nil }

// SetParts sets the parts of the value. Those that lookup returns need not be fetched; other parts
// that have been received are dropped.
func (a *Assembly) SetParts(parts []Part, lookup func(id uint64) []byte) error {
	size := 0
	if len(parts) > a.ref.Size/minPart+1 {
		return ErrBadParts
	}
	for _, p := range parts {
		if p.Size <= 0 || p.Size > maxPart {
			return ErrBadParts
		}
		size += p.Size
	}
	if size != a.ref.Size {
		return ErrBadParts
	}
	received := a.held
	a.parts, a.held = parts, make(map[uint64][]byte)
	for _, p := range parts {
		data := received[p.ID]
		if data == nil && !a.distrusted {
			data = lookup(p.ID)
		}
		if len(data) == p.Size {
			a.held[p.ID] = data
		}
	}
	a.reused = size - a.Remaining()
	return nil
}

// Remaining returns the number of bytes that have not arrived.
func (a *Assembly) Remaining() int {
	if !a.Listed() {
		return a.ref.Size
	}
	n := 0
	for _, p := range a.Missing(a.ref.Size) {
		n += p.Size
	}
	return n
}

// Missing returns the first parts that have not arrived, at least one and up to a sum of bytes;
// none if all have.
func (a *Assembly) Missing(most int) []Part {
	var missing []Part
	listed := make(map[uint64]bool)
	for _, p := range a.parts {
		if len(a.held[p.ID]) == p.Size || listed[p.ID] {
			continue
		}
		if most -= p.Size; most < 0 && len(missing) > 0 {
			break
		}
		listed[p.ID] = true
		missing = append(missing, p)
	}
	return missing
}

// Add takes the bytes of some parts of the value, one after the other.
func (a *Assembly) Add(parts []Part, data []byte) error {
	for _, p := range parts {
		if len(data) < p.Size || partOf(data[:p.Size]) != p {
			return ErrMismatch
		}
		a.held[p.ID] = bytes.Clone(data[:p.Size])
		data = data[p.Size:]
	}
	return nil
}

// Reused returns the number of bytes that were not fetched for this value.
func (a *Assembly) Reused() int { return a.reused }

// Value returns the value once all its parts have arrived. If they do not match its digest, all
// of them are dropped, and the error is ErrMismatch.
func (a *Assembly) Value() ([]byte, error) {
	value := make([]byte, 0, a.ref.Size)
	for _, p := range a.parts {
		value = append(value, a.held[p.ID]...)
	}
	if RefOf(value) != a.ref {
		a.parts, a.held, a.distrusted = nil, make(map[uint64][]byte), true
		return nil, ErrMismatch
	}
	return value, nil
}
