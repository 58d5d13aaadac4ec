package duty

import "cactusknot.example/coord/kv"

// revisionBits is the number of bits of a token that hold the revision. The era is above
// them, so that tokens rise across restores of the store, which give out revisions again.
const revisionBits = 40

// Token is a fencing token: the position of the record that the owner wrote. 0 is no token.
type Token uint64

// TokenOf encodes a position, or returns 0 if no token can hold it.
func TokenOf(at kv.Position) Token {
	if at.Revision == 0 || uint64(at.Revision) >= 1<<revisionBits || at.Era >= 1<<(63-revisionBits) {
		return 0
	}
	return Token(at.Era<<revisionBits | uint64(at.Revision))
}

// Position returns the position that the token encodes.
func (t Token) Position() kv.Position {
	return kv.Position{Era: uint64(t) >> revisionBits, Revision: kv.Revision(uint64(t) & (1<<revisionBits - 1))}
}
