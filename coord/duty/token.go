package duty

import (
	"errors"

	"cactusknot.example/coord/kv"
)

// revisionBits is the number of bits of a token that hold the revision. The era is above
// them, so that tokens rise across restores of the store, which give out revisions again.
const revisionBits = 40

// Token is a fencing token: the position of the record that the owner wrote. 0 is no token.
type Token uint64

// errPosition is returned for a position that no token can hold.
var errPosition = errors.New("duty: position of the record does not fit a token")

// tokenOf encodes a position.
func tokenOf(at kv.Position) (Token, error) {
	if at.Revision == 0 || uint64(at.Revision) >= 1<<revisionBits || at.Era >= 1<<(63-revisionBits) {
		return 0, errPosition
	}
	return Token(at.Era<<revisionBits | uint64(at.Revision)), nil
}

// Position returns the position that the token encodes.
func (t Token) Position() kv.Position {
	return kv.Position{Era: uint64(t) >> revisionBits, Revision: kv.Revision(uint64(t) & (1<<revisionBits - 1))}
}
