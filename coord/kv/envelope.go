package kv

import (
	"bytes"
	"errors"
)

// ErrEnvelope: the value is not an envelope of a known format.
var ErrEnvelope = errors.New("kv: value is not a known envelope")

// WriteID identifies one write, so that its author recognises it after a lost
// answer.
type WriteID [16]byte

const (
	envelopeFormat = 1
	envelopeHeader = 1 + len(WriteID{})
)

// Seal returns payload in an envelope that carries id.
func Seal(id WriteID, payload []byte) []byte {
	out := make([]byte, 0, envelopeHeader+len(payload))
	out = append(out, envelopeFormat)
	out = append(out, id[:]...)
	return append(out, payload...)
}

// Open returns the content of an envelope, or ErrEnvelope. The payload shares
// memory with value.
func Open(value []byte) (WriteID, []byte, error) {
	if len(value) < envelopeHeader || value[0] != envelopeFormat {
		return WriteID{}, nil, ErrEnvelope
	}
	return WriteID(value[1:envelopeHeader]), value[envelopeHeader:], nil
}

// SameWrite returns a test for PutOnce: whether a stored envelope carries id.
func SameWrite(id WriteID) func([]byte) bool {
	return func(existing []byte) bool {
		found, _, err := Open(existing)
		return err == nil && found == id
	}
}

// MatchValue returns a test for PutOnce: whether the stored value equals value.
// It fits values that only their author can have written, or whose author does
// not matter.
func MatchValue(value []byte) func([]byte) bool {
	return func(existing []byte) bool { return bytes.Equal(existing, value) }
}
