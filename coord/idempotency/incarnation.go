package idempotency

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// An incarnation consists of a 16-bit hash of the host name, by which the host is
// found without a table of incarnations, and 32 random bits that distinguish
// successive processes on that host.
const (
	hostHashBits = 16
	runIDBits    = 48 - hostHashBits
)

// NewIncarnation returns a new 48-bit incarnation for a process on the named host.
// It is never 0.
func NewIncarnation(host string, random *rand.Rand) uint64 {
	return hostHash(host)<<runIDBits | 1 + random.Uint64N(1<<runIDBits-1)
}

// MatchesHost reports whether the incarnation may belong to the named host. One in
// 65,536 other host names matches by chance, so the host itself must confirm it.
func MatchesHost(incarnation uint64, host string) bool {
	return incarnation>>runIDBits == hostHash(host)
}

func hostHash(host string) uint64 { return xxhash.Sum64String(host) >> (64 - hostHashBits) }
