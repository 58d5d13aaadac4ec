package idempotency

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// nameBits are the high bits of an incarnation that follow from the name of its
// host, so that its host can be found without a table of incarnations. The 32
// random bits below tell the runs of one host apart.
const (
	nameBits   = 16
	randomPart = 48 - nameBits
)

// NewIncarnation returns a new incarnation of 48 bits for a process on the named
// host. It is never 0.
func NewIncarnation(name string, random *rand.Rand) uint64 {
	return namePart(name)<<randomPart | 1 + random.Uint64N(1<<randomPart-1)
}

// MatchesHost tells whether the incarnation may belong to the named host. Of 65,536
// other names one fits by chance, so the host itself must confirm it.
func MatchesHost(incarnation uint64, name string) bool {
	return incarnation>>randomPart == namePart(name)
}

func namePart(name string) uint64 { return xxhash.Sum64String(name) >> (64 - nameBits) }
