package ledger

import (
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
)

// Defaults of CollectorConfig.
const (
	DefaultRetention     = 20 * time.Minute
	DefaultIdentitySpan  = 15 * time.Minute
	DefaultFoldGrace     = 10 * time.Minute
	DefaultMaxSkew       = 5 * time.Minute
	DefaultContactGap    = 30 * time.Second
	DefaultBatchInterval = time.Second
	DefaultFoldInterval  = time.Minute
	DefaultMaxBatchBytes = 512 << 10
	DefaultMaxWaiting    = 50_000
)

// maxFoldSegments bounds the segments of one fold, so that batches do not wait
// long behind the deletions.
const maxFoldSegments = 256

// CollectorConfig configures a Collector. Zero numbers take the defaults. All
// collectors of a shard must use the same Retention, IdentitySpan and FoldGrace.
type CollectorConfig struct {
	Client  *kv.Client
	Clock   clock.Clock
	Checker *invariant.Checker
	Shard   uint32
	// FlushSlots, when set, is shared by the collectors of a process and bounds their
	// flushes at one time to its capacity. Each flush costs calls of the same
	// budget; waiting flushes gather more lines instead of failing on the budget.
	FlushSlots chan struct{}
	// Retention is the age at which a segment is folded.
	Retention time.Duration
	// IdentitySpan bounds the difference of the completion times of two lines
	// with one identity, clock differences of agents included. It must be below
	// Retention. A request id must not be used again after this time.
	IdentitySpan time.Duration
	// FoldGrace is the time for which this collector must have known a segment,
	// and have been in contact with the store without an outage, before it folds
	// the segment. Within it all holders deliver what waited for the store.
	FoldGrace time.Duration
	// ContactGap: failures of the store for longer than this are an outage.
	ContactGap time.Duration
	// MaxSkew: lines completed later than the collector's clock by more than
	// this stay with their holder, because they would raise the watermark above
	// the lines still to come.
	MaxSkew time.Duration
	// BatchInterval and FoldInterval are the pauses of Run.
	BatchInterval time.Duration
	FoldInterval  time.Duration
	// MaxBatchBytes bounds a segment; at most kv.MaxValueBytes less the envelope.
	MaxBatchBytes int
	// MaxWaiting bounds the lines that wait in Deliver.
	MaxWaiting int
}

func (c CollectorConfig) withDefaults() CollectorConfig {
	setDuration(&c.Retention, DefaultRetention)
	setDuration(&c.IdentitySpan, min(DefaultIdentitySpan, 3*c.Retention/4))
	setDuration(&c.FoldGrace, min(DefaultFoldGrace, c.Retention/2))
	setDuration(&c.ContactGap, DefaultContactGap)
	setDuration(&c.MaxSkew, DefaultMaxSkew)
	setDuration(&c.BatchInterval, DefaultBatchInterval)
	setDuration(&c.FoldInterval, DefaultFoldInterval)
	if c.MaxBatchBytes <= 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
