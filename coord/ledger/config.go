package ledger

import (
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
)

// Defaults of CollectorConfig.
const (
	DefaultRetention       = 20 * time.Minute
	DefaultDedupWindow     = 15 * time.Minute
	DefaultFoldGrace       = 10 * time.Minute
	DefaultMaxSkew         = 5 * time.Minute
	DefaultOutageThreshold = 30 * time.Second
	DefaultBatchInterval   = time.Second
	DefaultFoldInterval    = time.Minute
	DefaultMaxBatchBytes   = 512 << 10
	DefaultMaxQueuedLines  = 50_000
)

// maxFoldSegments limits the segments of one fold, so that flushes do not have to
// wait long for the deletions.
const maxFoldSegments = 256

// CollectorConfig configures a Collector. Numeric fields that are not positive take
// their defaults. All collectors of a shard must use the same Retention, DedupWindow
// and FoldGrace.
type CollectorConfig struct {
	Client  *kv.Client
	Clock   clock.Clock
	Checker *invariant.Checker
	Shard   uint32
	// FlushSlots is an optional semaphore shared by the collectors of a process. Its
	// capacity limits their concurrent flushes. All flushes use the same call
	// budget; a flush that waits for a slot collects more lines instead of failing
	// because the budget is exhausted.
	FlushSlots chan struct{}
	// HeardEra optionally returns the latest era of the store that the process has heard of
	// from other processes. The collector makes a call when it is above the era of its log,
	// since it would otherwise not notice a restore as long as it gets only lines that it
	// knows.
	HeardEra func() uint64
	// OnRestored is optional and called with the number of lines that the collector has
	// stored again in an era.
	OnRestored func(era uint64, lines int)
	// Retention is the age at which a segment may be folded.
	Retention time.Duration
	// DedupWindow is the maximum difference between the completion times of two
	// lines with the same identity, including clock skew between agents. It must be
	// less than Retention. A request ID must not be reused after this time.
	DedupWindow time.Duration
	// FoldGrace is the time for which this collector must have known a segment, and
	// the store must have been available without an outage, before the collector
	// folds the segment. It gives all holders time to deliver lines that they could
	// not deliver during an outage.
	FoldGrace time.Duration
	// OutageThreshold is the time after which consecutive failures of the store
	// count as an outage.
	OutageThreshold time.Duration
	// MaxSkew is how far the completion time of a line may be ahead of the
	// collector's clock. Later lines remain with their holder, because they would
	// raise the watermark above the completion times of lines that are yet to come.
	MaxSkew time.Duration
	// BatchInterval is the time for which Run collects lines before it flushes
	// them. FoldInterval is the minimum time between two folds by Run.
	BatchInterval time.Duration
	FoldInterval  time.Duration
	// MaxBatchBytes limits the size of a segment. It must be at most
	// kv.MaxValueBytes less the size of the envelope.
	MaxBatchBytes int
	// MaxQueuedLines limits the lines queued by Deliver.
	MaxQueuedLines int
}

func (c CollectorConfig) withDefaults() CollectorConfig {
	setDuration(&c.Retention, DefaultRetention)
	setDuration(&c.DedupWindow, min(DefaultDedupWindow, 3*c.Retention/4))
	setDuration(&c.FoldGrace, min(DefaultFoldGrace, c.Retention/2))
	setDuration(&c.OutageThreshold, DefaultOutageThreshold)
	setDuration(&c.MaxSkew, DefaultMaxSkew)
	setDuration(&c.BatchInterval, DefaultBatchInterval)
	setDuration(&c.FoldInterval, DefaultFoldInterval)
	if c.MaxBatchBytes <= 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if c.MaxQueuedLines <= 0 {
		c.MaxQueuedLines = DefaultMaxQueuedLines
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
