package kv

import (
	"bytes"
	"errors"
)

// ErrInvalidEnvelope is returned for a value that is not an envelope of a known
// format.
var ErrInvalidEnvelope = errors.New("kv: value is not a known envelope")

// WriteID identifies one write, so that its writer can recognise it in the store
// after the response was lost.
type WriteID [16]byte

const (
	envelopeFormat      = 1
	envelopeHeaderBytes = 1 + len(WriteID{})
)

// EncodeEnvelope returns an envelope that contains id and payload.
func EncodeEnvelope(id WriteID, payload []byte) []byte {
	out := make([]byte, 0, envelopeHeaderBytes+len(payload))
	out = append(out, envelopeFormat)
	out = append(out, id[:]...)
	return append(out, payload...)
}

// DecodeEnvelope returns the write ID and payload of an envelope, or
// ErrInvalidEnvelope. The payload shares memory with value.
func DecodeEnvelope(value []byte) (WriteID, []byte, error) {
	if len(value) < envelopeHeaderBytes || value[0] != envelopeFormat {
		return WriteID{}, nil, ErrInvalidEnvelope
	}
	return WriteID(value[1:envelopeHeaderBytes]), value[envelopeHeaderBytes:], nil
}

// MatchWriteID returns a function for PutOnce that reports whether a stored value is
// an envelope with the given id.
func MatchWriteID(id WriteID) func([]byte) bool {
	return func(existing []byte) bool {
		stored, _, err := DecodeEnvelope(existing)
		return err == nil && stored == id
	}
}

// MatchValue returns a function for PutOnce that reports whether a stored value
// equals value. It is suitable for values that only one writer can have written, or
// for which it does not matter who wrote them.
func MatchValue(value []byte) func([]byte) bool {
	return func(existing []byte) bool { return bytes.Equal(existing, value) }
}
