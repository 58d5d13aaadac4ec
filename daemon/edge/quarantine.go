package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/quarantine"
	"cactusknot.example/daemon/rpc"
)

// quarantines is this router's part in the quarantine of requests and prompt parts. Evidence and
// verdicts go through the exchange, so that they spread while the store is unavailable.
// Quarantines are also stored, so that a router that starts or that can't reach the
// aggregator knows them.
type quarantines struct {
	edge *Edge
	// pool sums the evidence of all routers if this one is the aggregator, and holds its
	// own evidence while no aggregator answers.
	pool quarantine.Pool
	// clocks tell when the reports were made, and began when this process was.
	clocks reportClocks
	began  time.Time

	mu sync.Mutex
	// suspects are the parts that the aggregator asks about, and known is the digest of this
	// router's crashes that it knows.
	suspects []quarantine.Key
	known    uint64
	// judging is set once this router has found parts guilty itself. It then writes records.
	judging bool
	// committing holds the parts whose records are being written.
	committing map[quarantine.Key]bool
}

func newQuarantines(e *Edge) *quarantines {
	return &quarantines{edge: e, began: time.Now(), committing: make(map[quarantine.Key]bool)}
}

func (q *quarantines) report(now time.Time, out *rpc.LoadReport) {
	q.mu.Lock()
	suspects, known := q.suspects, q.known
	q.mu.Unlock()
	encodeEvidence(now, q.edge.gateway.Crashes.Report(now, suspects, known), out)
	out.HeldParts = encodeKeys(q.edge.gateway.Quarantine.Notices(now))
	out.ElapsedMs = uint64(now.Sub(q.began).Milliseconds())
}

func (q *quarantines) aggregate(now time.Time, in *rpc.LoadReport, out *rpc.LoadReply) {
	made := q.clocks.madeAt(in.GetRouter(), now, time.Duration(in.GetElapsedMs())*time.Millisecond)
	out.CrashDigest = q.pool.Merge(now, in.GetRouter(), decodeCrashEvidence(made, in))
	guilty, suspects := q.pool.Verdict(now)
	out.GuiltyParts, out.SuspectParts = encodeKeys(guilty), encodeKeys(suspects)
	q.notice(now, in.GetHeldParts(), true)
	out.HeldParts = encodeKeys(q.edge.gateway.Quarantine.Notices(now))
	q.judge(now, guilty, true)
}

func (q *quarantines) apply(now time.Time, in *rpc.LoadReply) {
	q.mu.Lock()
	q.suspects, q.known = decodeKeys(in.GetSuspectParts()), in.GetCrashDigest()
	q.mu.Unlock()
	q.judge(now, decodeKeys(in.GetGuiltyParts()), false)
	q.notice(now, in.GetHeldParts(), false)
}

// notice holds parts of which another router has told, so that routers that do not hear the store
// know them.
func (q *quarantines) notice(now time.Time, parts []uint64, forward bool) {
	for _, key := range q.edge.gateway.Quarantine.Notice(now, decodeKeys(parts), forward) {
		q.edge.log.Info().Stringer("part", key).Msg("quarantine heard of from another router")
	}
}

// evaluateAlone judges by this router's own evidence. The report for the other routers may leave
// out crashes that only they know.
func (q *quarantines) evaluateAlone(now time.Time, _ *rpc.LoadReport) {
	name := q.edge.settings.VM
	_, suspects := q.pool.Verdict(now)
	q.pool.Merge(now, name, q.edge.gateway.Crashes.Report(now, suspects, q.pool.Known(name)))
	guilty, _ := q.pool.Verdict(now)
	q.judge(now, guilty, true)
}

// judge holds the guilty parts. own is set if this router has found them guilty and so
// writes their records.
func (q *quarantines) judge(now time.Time, guilty []quarantine.Key, own bool) {
	if len(guilty) == 0 {
		return
	}
	if own {
		q.mu.Lock()
		q.judging = true
		q.mu.Unlock()
	}
	for _, key := range q.edge.gateway.Quarantine.Add(now, guilty) {
		q.edge.log.Warn().Stringer("part", key).Bool("own_verdict", own).Msg("quarantined: such requests crash backend servers")
	}
}

// merge applies a change of a stored quarantine. restored is set if the change is of a restored
// store, which may hold older records. It reports whether the change was one.
func (q *quarantines) merge(change mirror.Change, restored bool) bool {
	name, ok := strings.CutPrefix(change.Key, quarantinePrefix)
	if !ok {
		return false
	}
	number, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		q.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode quarantine; skipping it")
		return true
	}
	key := quarantine.Key(number)
	if change.Deleted {
		q.edge.gateway.Quarantine.Forget(time.Now(), key)
		q.edge.log.Info().Str("part", name).Uint64("revision", uint64(change.Revision)).Msg("quarantine record ended")
		return true
	}
	var record quarantine.Record
	if err := json.Unmarshal(change.Value, &record); err != nil {
		q.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode quarantine; skipping it")
		return true
	}
	apply := q.edge.gateway.Quarantine.Apply
	if restored {
		apply = q.edge.gateway.Quarantine.ApplyRestored
	}
	apply(time.Now(), key, record, uint64(change.Revision))
	q.edge.log.Info().Str("part", name).Int("trials", record.Trials).Bool("released", record.Released).Dur("hold_ms", record.Hold()).
		Uint64("revision", uint64(change.Revision)).Msg("quarantine changed")
	return true
}

// tick writes the records that are due.
func (q *quarantines) tick(ctx context.Context, now time.Time) {
	if q.edge.gateway.Quarantine.Size() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changes, ended := q.edge.gateway.Quarantine.Due(now, q.judging)
	for _, key := range ended {
		q.edge.log.Info().Stringer("part", key).Msg("quarantine ended at this router")
	}
	for _, change := range changes {
		if !q.committing[change.Key] {
			q.committing[change.Key] = true
			go q.commit(ctx, change, q.edge.controller.mergedEra)
		}
	}
}

// commit writes a record under a lease that ends with it. era is that of the record's
// revision. A trial may be made only if the store has acknowledged its record: then no other
// router has the trial.
func (q *quarantines) commit(ctx context.Context, change quarantine.Change, era uint64) {
	err := q.write(ctx, change, era)
	q.mu.Lock()
	delete(q.committing, change.Key)
	q.mu.Unlock()
	if err == nil && change.Trial {
		q.edge.gateway.Quarantine.Took(time.Now(), change.Key)
	}
	event := q.edge.log.Info()
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		event = q.edge.log.Warn()
	}
	event.Err(err).Stringer("part", change.Key).Int("trials", change.Record.Trials).Bool("released", change.Record.Released).
		Msg("quarantine commit finished")
}

func (q *quarantines) write(ctx context.Context, change quarantine.Change, era uint64) error {
	value, err := json.Marshal(change.Record)
	if err != nil {
		return err
	}
	lease, err := q.edge.settings.Store.Grant(ctx, quarantine.RecordLifetime)
	if err != nil {
		return err
	}
	key := quarantinePrefix + change.Key.String()
	_, err = q.edge.settings.Store.Commit(ctx, Txn{
		Era:        era,
		Conditions: []Condition{{Key: key, Revision: kv.Revision(change.Revision)}},
		Writes:     []Write{{Key: key, Value: value, Lease: lease.ID}},
	})
	return err
}

// names returns the quarantined parts in alphabetical order.
func (q *quarantines) names() []string {
	var names []string
	for _, key := range q.edge.gateway.Quarantine.Keys() {
		names = append(names, key.String())
	}
	slices.Sort(names)
	return names
}

// writeMetrics writes the size of the quarantine in the Prometheus text format.
func (q *quarantines) writeMetrics(w io.Writer) {
	fmt.Fprintf(w, "cactusknot_quarantined_parts %d\n", q.edge.gateway.Quarantine.Size())
	fmt.Fprintf(w, "cactusknot_crash_evidence_dropped_total %d\n", q.edge.gateway.Crashes.Dropped())
}
