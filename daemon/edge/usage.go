package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/duty"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/relay"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/usage"
)

const (
	// usagePrefix is followed by the number of a window.
	usagePrefix = keyPrefix + "usage/"
	// usageInterval is the time between two reports of what a router has counted. At the end
	// of a window it reports at once.
	usageInterval = 600 * time.Millisecond
	// usageBytesPerSecond bounds the mean size of the reports of a router. Reports that are
	// long, because windows can't be settled, come less often.
	usageBytesPerSecond = 1800
	// usageCommitRetry is the time between two writes of the same settlement.
	usageCommitRetry = 500 * time.Millisecond
	// usageTableMaxAge is how long the table keeps reports whose windows are all settled.
	usageTableMaxAge = time.Minute
)

// usageWork counts the requests of this router, exchanges the counts with the other routers
// and, at the owner of the duty, settles windows and reports them. It implements exchanged and
// dutyWork.
type usageWork struct {
	edge    *Edge
	enabled bool
	// incarnation identifies this process.
	incarnation uint64
	windows     usage.Windows
	counter     *usage.Counter
	table       usage.Table
	ledger      *usage.Ledger

	mu sync.Mutex
	// reportedAt is the time of the latest report, reportedBytes its size.
	reportedAt    time.Time
	reportedBytes int
	// sending is set while a report is being sent. The settling of windows does not wait for it.
	sending atomic.Bool
	// commitAfter is the earliest time of the next write to the store. Only act uses it.
	commitAfter time.Time
}

func newUsageWork(e *Edge) *usageWork {
	s := e.settings
	started := time.Now()
	w := &usageWork{edge: e, enabled: s.has(UsageDuty) && s.Duties.ReportWindow > 0, incarnation: usage.NewIncarnation(started, rand.Uint64())}
	if !w.enabled {
		return w
	}
	w.windows = usage.Windows(s.Duties.ReportWindow)
	w.counter = usage.NewCounter(w.windows)
	w.ledger = usage.NewLedger(usage.Settings{Window: w.windows, Delay: s.Duties.ReportDelay, Started: started})
	return w
}

// count counts requests that began to run.
func (w *usageWork) count(workspace string, at time.Time, n int32) {
	if w.enabled {
		w.counter.Add(workspace, at, n)
	}
}

// due reports whether a report is due and, if so, records it.
func (w *usageWork) due(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	stretched := time.Duration(float64(time.Second) * float64(w.reportedBytes) / usageBytesPerSecond)
	newWindow := w.windows.At(now) != w.windows.At(w.reportedAt) && stretched <= usageInterval
	if now.Sub(w.reportedAt) < max(usageInterval, stretched) && !newWindow {
		return false
	}
	w.reportedAt = now
	return true
}

// report implements exchanged.
func (w *usageWork) report(now time.Time, out *rpc.LoadReport) {
	if !w.enabled || !w.due(now) {
		return
	}
	out.Usage = w.ownReport(now)
	out.CollectsUsage = w.edge.duties.owns(UsageDuty)
	w.mu.Lock()
	w.reportedBytes = proto.Size(out.Usage)
	w.mu.Unlock()
	w.backUp(out.Usage)
}

// ownReport returns the counts of this process in all windows that it does not know as settled.
func (w *usageWork) ownReport(now time.Time) *rpc.UsageReport {
	return encodeUsage(usage.Report{
		Router: w.edge.settings.VM, Incarnation: w.incarnation, AsOf: now, Windows: w.ledger.OpenCounts(now, w.counter),
	})
}

// backUp sends the report of the first aggregator to the second one too, so that its own counts
// outlive it. The other routers report again to whoever aggregates. As the owner, it also asks
// for the reports of routers that reach the second aggregator only.
func (w *usageWork) backUp(report *rpc.UsageReport) {
	first, second := w.edge.duties.aggregators()
	if first.Name == w.edge.settings.VM && second.Name != "" {
		go w.sendReport(context.Background(), second, report)
	}
}

// lastReport sends the counts of this process before it ends to the router that aggregates after
// it.
func (w *usageWork) lastReport(ctx context.Context) {
	if !w.enabled {
		return
	}
	first, second := w.edge.duties.aggregators()
	if first.Name == w.edge.settings.VM {
		first = second
	}
	if first.Name != "" {
		w.sendReport(ctx, first, w.ownReport(time.Now()))
	}
}

// sendReport sends a report without other facts.
func (w *usageWork) sendReport(ctx context.Context, to relay.Member, report *rpc.UsageReport) {
	ctx, cancel := context.WithTimeout(ctx, loadExchangeTimeout)
	defer cancel()
	reply, err := w.edge.peerClient(to.Address).ExchangeLoad(ctx, &rpc.LoadReport{Usage: report, CollectsUsage: w.edge.duties.owns(UsageDuty)})
	if err != nil {
		w.edge.log.Debug().Err(err).Str("peer", to.Name).Msg("usage report not delivered")
		return
	}
	w.apply(time.Now(), reply)
}

// aggregate implements exchanged.
func (w *usageWork) aggregate(now time.Time, in *rpc.LoadReport, out *rpc.LoadReply) {
	if !w.enabled {
		return
	}
	if in.GetUsage() != nil {
		w.table.Merge(now, decodeUsage(in.GetUsage()), false)
	}
	if in.GetCollectsUsage() && in.GetUsage().GetIncarnation() != w.incarnation {
		for _, r := range w.table.Reports() {
			out.Usage = append(out.Usage, encodeUsage(r))
		}
	}
}

// apply implements exchanged.
func (w *usageWork) apply(now time.Time, in *rpc.LoadReply) {
	if !w.enabled {
		return
	}
	for _, r := range in.GetUsage() {
		w.table.Merge(now, decodeUsage(r), true)
	}
}

// observe implements dutyWork.
func (w *usageWork) observe(change mirror.Change) bool {
	name, ok := strings.CutPrefix(change.Key, usagePrefix)
	if !ok {
		return false
	}
	window, err := strconv.ParseInt(name, 10, 64)
	var record *usage.Record
	if err == nil && !change.Deleted {
		record = new(usage.Record)
		err = json.Unmarshal(change.Value, record)
	}
	if err != nil {
		w.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode usage record; skipping it")
		return true
	}
	w.ledger.Observe(time.Now(), window, record, change.Era)
	return true
}

// wanted implements dutyWork.
func (w *usageWork) wanted() bool { return w.enabled }

// act implements dutyWork.
func (w *usageWork) act(ctx context.Context, now time.Time, role *dutyRole) {
	if era := w.edge.controller.era.Load(); w.edge.controller.firstViewPublished() {
		w.ledger.EnterEra(now, max(era, w.edge.mirror.Position().Era))
	}
	token := role.owner.Token()
	w.ledger.Own(now, token)
	w.table.Prune(now, usageTableMaxAge, func(window int64) bool { return w.ledger.Open(now, window) })
	if w.edge.controller.storeOutage() == 0 && !now.Before(w.commitAfter) {
		w.writeAgain(ctx, now, role)
		w.settle(ctx, now, token, role)
	}
	if token != 0 && role.ready(now) && w.sending.CompareAndSwap(false, true) {
		go func() {
			defer w.sending.Store(false)
			w.send(ctx, now, role)
		}()
	}
}

// settle writes the oldest window that can be settled to the store, on the condition that no
// other record of the window exists and that this router still owns the duty.
func (w *usageWork) settle(ctx context.Context, now time.Time, token duty.Token, role *dutyRole) {
	if token == 0 {
		return
	}
	members := w.edge.duties.members()
	s, ok := w.ledger.Settle(now, &w.table, members.registered(), members.recent(now, usage.OpenTime(w.windows)))
	if !ok {
		return
	}
	value, err := json.Marshal(s.Record)
	if err != nil {
		role.log.Error().Err(err).Msg("failed to encode usage record")
		return
	}
	at := token.Position()
	key := usageKey(s.Window)
	t := Txn{
		Era:        at.Era,
		Conditions: []Condition{{Key: key}, {Key: dutyPrefix + role.name, Revision: at.Revision}},
		Writes:     []Write{{Key: key, Value: value}},
	}
	for _, window := range s.Remove {
		t.Removes = append(t.Removes, usageKey(window))
	}
	_, err = w.edge.settings.Store.Commit(ctx, t)
	event, message := role.log.Info(), "usage window settled"
	if err != nil {
		w.commitAfter = time.Now().Add(usageCommitRetry)
		event, message = role.log.Warn(), "usage window not settled; trying again"
	} else if role.owner.Token() == token {
		// Otherwise the ownership has ended meanwhile, perhaps long ago for a suspended process,
		// and the record counts once the mirror has it.
		w.ledger.Settled(token, s)
	}
	event.Err(err).Int64("window", s.Window).Uint64("requests", total(s.Record.Counts)).Int("workspaces", len(s.Record.Counts)).
		Strs("missing", s.Missing).Uint64("token", uint64(token)).Dur("age_ms", now.Sub(w.windows.End(s.Window))).Msg(message)
}

// writeAgain writes a known record that the restored store lacks.
func (w *usageWork) writeAgain(ctx context.Context, now time.Time, role *dutyRole) {
	window, record, ok := w.ledger.Lost(now)
	if !ok {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		role.log.Error().Err(err).Msg("failed to encode usage record")
		return
	}
	era := w.edge.mirror.Position().Era
	_, err = w.edge.settings.Store.Commit(ctx, Txn{
		Era: era, Conditions: []Condition{{Key: usageKey(window)}}, Writes: []Write{{Key: usageKey(window), Value: value}},
	})
	message := "usage record written again to the restored store"
	if err == nil || errors.Is(err, kv.ErrConflict) && w.stored(window) {
		w.ledger.Restored(window, era)
	} else {
		w.commitAfter = time.Now().Add(usageCommitRetry)
		message = "usage record not written again to the restored store; trying again"
	}
	role.log.Warn().Err(err).Int64("window", window).Uint64("era", era).Uint64("settled_in_era", record.Era).Msg(message)
}

// stored reports whether the mirror holds the record of a window.
func (w *usageWork) stored(window int64) bool {
	_, ok := w.edge.mirror.Get(usageKey(window))
	return ok
}

// send reports the oldest settled window that was not reported.
func (w *usageWork) send(ctx context.Context, now time.Time, role *dutyRole) {
	window, record, ok := w.ledger.Unsent(now)
	if !ok {
		return
	}
	age := now.Sub(w.windows.End(window))
	err := role.call(ctx, "window "+strconv.FormatInt(window, 10), age, func(ctx context.Context, by DutyCaller) error {
		return w.edge.settings.CloudAPI.ReportUsage(ctx, by, window, record.Counts)
	})
	if err == nil {
		w.ledger.Sent(window)
	}
}

func usageKey(window int64) string { return usagePrefix + strconv.FormatInt(window, 10) }

func total(counts map[string]uint64) (sum uint64) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

func encodeUsage(r usage.Report) *rpc.UsageReport {
	out := &rpc.UsageReport{Router: r.Router, Incarnation: r.Incarnation, AsOfMs: r.AsOf.UnixMilli()}
	for window, counts := range r.Windows {
		out.Windows = append(out.Windows, &rpc.UsageWindow{Window: window, Counts: counts})
	}
	return out
}

func decodeUsage(in *rpc.UsageReport) usage.Report {
	r := usage.Report{
		Router: in.GetRouter(), Incarnation: in.GetIncarnation(), AsOf: time.UnixMilli(in.GetAsOfMs()),
		Windows: make(map[int64]usage.Counts, len(in.GetWindows())),
	}
	for _, window := range in.GetWindows() {
		r.Windows[window.GetWindow()] = window.GetCounts()
	}
	return r
}
