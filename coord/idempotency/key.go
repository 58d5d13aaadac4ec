// Package idempotency keeps the at-most-once records of one home: an agent incarnation
// that is the only one allowed to run the keys it is named by or bound to.
package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"cactusknot.example/coord/clock"
)

var (
	// ErrKeyFormat: the key is not a UUID of version 7 or 8 in the usual 36
	// character form.
	ErrKeyFormat = errors.New("once: key is not a UUIDv7 or UUIDv8")
	// ErrIncarnation: an incarnation is 0 or has more than 48 bits.
	ErrIncarnation = errors.New("once: incarnation must have 1 to 48 bits")
)

// Layout of a key, from the most significant bit as in RFC 9562: 48 bits Unix
// time in ms, 4 bits version, 12 bits, 2 bits variant, 62 bits. In UUIDv8 keys
// the 12 bits are the upper bits of the home incarnation; the 62 bits are its
// lower 36 bits and 26 random bits.
const (
	randomBits    = 26
	homeLowBits   = 36
	homeBits      = 48
	homeMask      = 1<<homeBits - 1
	versionCaller = 7
	versionRouter = 8
	variant       = uint64(0b10) << 62
	textLength    = 36
)

// Key is an idempotency key.
type Key [16]byte

// ParseKey reads the text form of a UUIDv7 or UUIDv8, or returns ErrKeyFormat.
func ParseKey(text string) (Key, error) {
	if len(text) != textLength {
		return Key{}, ErrKeyFormat
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fmt.Errorf("%w: %v", ErrKeyFormat, err)
	}
	k := Key(id)
	if !k.valid() {
		return Key{}, ErrKeyFormat
	}
	return k, nil
}

func (k Key) valid() bool {
	id := uuid.UUID(k)
	known := id.Version() == versionCaller || id.Version() == versionRouter
	return known && id.Variant() == uuid.RFC4122
}

// String returns the text form.
func (k Key) String() string { return uuid.UUID(k).String() }

// Millis returns the key's time in ms since 1970.
func (k Key) Millis() uint64 { return binary.BigEndian.Uint64(k[:8]) >> 16 }

// Home returns the incarnation that a router-generated key names, and false for
// other keys.
func Home(k Key) (uint64, bool) {
	if !k.valid() || uuid.UUID(k).Version() != versionRouter {
		return 0, false
	}
	high := binary.BigEndian.Uint64(k[:8]) & 0xfff
	low := binary.BigEndian.Uint64(k[8:]) << 2 >> 2 >> randomBits
	return high<<homeLowBits | low, true
}

// Generator makes router-generated keys. It is safe for concurrent use.
type Generator struct {
	clock clock.Clock

	mu     sync.Mutex
	random *rand.Rand
}

// NewGenerator returns a Generator. The random source should be seeded from the
// operating system, so that routers do not draw the same bits.
func NewGenerator(clk clock.Clock, random rand.Source) *Generator {
	return &Generator{clock: clk, random: rand.New(random)}
}

// New returns a new key of the home incarnation, or ErrIncarnation.
func (g *Generator) New(home uint64) (Key, error) {
	if home == 0 || home > homeMask {
		return Key{}, ErrIncarnation
	}
	g.mu.Lock()
	random := g.random.Uint64()
	g.mu.Unlock()
	return assemble(g.clock.Now(), home, random), nil
}

func assemble(now time.Time, home, random uint64) Key {
	high := uint64(now.UnixMilli())<<16 | versionRouter<<12 | home>>homeLowBits
	low := variant | home<<(64-homeLowBits)>>2 | random>>(64-randomBits)
	var k Key
	binary.BigEndian.PutUint64(k[:8], high)
	binary.BigEndian.PutUint64(k[8:], low)
	return k
}
