package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/coord/duty"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/autoscale"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/topology"
)

const (
	// scalePrefix is followed by a service, a slash and a data centre.
	scalePrefix = keyPrefix + "scale/"
	// scaleInterval is the time between two samples of the demand.
	scaleInterval = time.Second
	// scaleCommitRetry is the time between two writes of the same record.
	scaleCommitRetry = 500 * time.Millisecond
	// dataCentreMemory is how long a data centre without servers still counts as one that the
	// platform fills again. After that it does not keep other data centres from shrinking.
	dataCentreMemory = 10 * time.Minute
	// maxDecisionAge is the age at which orders are given up that could not be made before. The
	// next sample decides anew.
	maxDecisionAge = 2 * time.Second
)

// scaleSubject is what a scaling order is about.
type scaleSubject struct{ service, dataCentre string }

func (s scaleSubject) String() string { return s.service + "/" + s.dataCentre }

// scaleRecord is the latest order for a subject as the store holds it.
type scaleRecord struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Count      int    `json:"count"`
	// AtMS is when the order was made, as Unix time in milliseconds.
	AtMS  int64      `json:"at_ms"`
	Token duty.Token `json:"token"`
	// Unanswered is set if the call had no answer. Count is then the higher one of the numbers
	// that may apply, and is ordered again.
	Unanswered bool `json:"unanswered,omitempty"`
}

// after tells whether r is a later order than o.
func (r scaleRecord) after(o scaleRecord) bool {
	return r.Token > o.Token || r.Token == o.Token && r.AtMS > o.AtMS
}

// fleetState is the state of all backend servers for the autoscaling.
type fleetState struct {
	servers   []*topology.Server
	evacuated map[string]bool
	// rollouts holds the services with a rollout that is not final.
	rollouts map[string]bool
}

// fleetState returns the present state of the backend servers.
func (c *controller) fleetState() *fleetState {
	f := &fleetState{evacuated: maps.Clone(c.evacuations), rollouts: make(map[string]bool)}
	for _, s := range c.servers {
		server := *s.Server
		server.Draining = c.leaving(s)
		f.servers = append(f.servers, &server)
	}
	for service, s := range c.rollouts.byService {
		if s.order != nil && !(s.current() && s.state.Final()) {
			f.rollouts[service] = true
		}
	}
	return f
}

// autoscaleWork samples the demand of the services with autoscaling at each router and, at the
// owner of the duty, orders servers. It implements dutyWork.
type autoscaleWork struct {
	edge      *Edge
	startedAt time.Time
	// fleet is set by the control loop.
	fleet atomic.Pointer[fleetState]
	// calling is set while a call of the API is being made. The sampling does not wait for it.
	calling atomic.Bool

	// sampledAt, commitAfter, slots and seenAt are used by act only. slots holds the latest known
	// mean number of slots of a server by service, seenAt when a server was last seen.
	sampledAt, commitAfter time.Time
	slots                  map[string]float64
	seenAt                 map[scaleSubject]time.Time

	mu sync.Mutex
	// history holds the samples by service.
	history map[string][]autoscale.Sample
	// last holds the latest order for each subject, unstored those that the store may lack.
	last     map[scaleSubject]scaleRecord
	unstored map[scaleSubject]bool
	// uncertainUntil is until when a call without an answer may still be executed.
	uncertainUntil map[scaleSubject]time.Time
	// dueSince is when the order that is due was first found.
	dueSince map[scaleSubject]time.Time
	// dutyAt is the latest position of the duty's record that was observed.
	dutyAt kv.Position
}

func newAutoscaleWork(e *Edge) *autoscaleWork {
	return &autoscaleWork{
		edge: e, startedAt: time.Now(), slots: make(map[string]float64), seenAt: make(map[scaleSubject]time.Time),
		history: make(map[string][]autoscale.Sample), last: make(map[scaleSubject]scaleRecord), unstored: make(map[scaleSubject]bool),
		uncertainUntil: make(map[scaleSubject]time.Time), dueSince: make(map[scaleSubject]time.Time),
	}
}

// observe implements dutyWork.
func (w *autoscaleWork) observe(change mirror.Change) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if change.Key == dutyPrefix+AutoscaleDuty {
		w.dutyAt = change.Position()
		return false
	}
	if !strings.HasPrefix(change.Key, scalePrefix) {
		return false
	}
	if change.Deleted {
		for subject := range w.last {
			// A restored store may lack the record.
			w.unstored[subject] = w.unstored[subject] || scaleKey(subject) == change.Key
		}
		return true
	}
	var record scaleRecord
	if err := json.Unmarshal(change.Value, &record); err != nil {
		w.edge.log.Error().Err(err).Str("key", change.Key).Msg("failed to decode scaling record; skipping it")
		return true
	}
	subject := scaleSubject{record.Service, record.DataCentre}
	if known, ok := w.last[subject]; !ok || !known.after(record) {
		w.last[subject] = record
		delete(w.unstored, subject)
	} else {
		w.unstored[subject] = true
	}
	return true
}

// act implements dutyWork.
func (w *autoscaleWork) act(ctx context.Context, now time.Time, role *dutyRole) {
	view, fleet, token := w.edge.view.Load(), w.fleet.Load(), role.owner.Token()
	if view == nil || view.Config == nil || fleet == nil {
		return
	}
	if token != 0 {
		w.store(ctx, now, role, token)
	}
	if now.Sub(w.sampledAt) < scaleInterval {
		return
	}
	w.sampledAt = now
	// An order that ends after the inputs were taken would be repeated.
	idle := !w.calling.Load()
	inputs := w.inputs(now, view.Config, fleet)
	w.mu.Lock()
	caughtUp := !token.Position().After(w.dutyAt)
	w.mu.Unlock()
	// The records of earlier owners are known once the own record of the duty is.
	if token == 0 || !caughtUp || !idle {
		return
	}
	w.calling.Store(true)
	go func() {
		defer w.calling.Store(false)
		for _, service := range slices.Sorted(maps.Keys(inputs)) {
			w.order(ctx, role, token, service, inputs[service])
		}
	}()
}

// inputs samples the demand and returns what the orders for each service depend on.
func (w *autoscaleWork) inputs(now time.Time, config *topology.Config, fleet *fleetState) map[string]autoscale.Input {
	inputs := make(map[string]autoscale.Input)
	for name, service := range config.Services {
		if a := service.Autoscaling; a.Valid() {
			inputs[name] = autoscale.Input{
				Now: now, Bounds: autoscale.Bounds{Min: a.MinReplicas, Max: a.MaxReplicas, BootTime: a.BootTime},
				DataCentres: make(map[string]autoscale.DataCentre), Last: make(map[string]autoscale.Order),
				RolloutInProgress: fleet.rollouts[name],
			}
		}
	}
	samples := w.countServers(now, config, fleet, inputs)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateHistory(now, samples, inputs)
	for subject, record := range w.last {
		seen := latest(w.seenAt[subject], w.startedAt)
		if in, ok := inputs[subject.service]; ok && now.Sub(seen) < dataCentreMemory {
			in.Last[subject.dataCentre] = autoscale.Order{Count: record.Count, At: time.UnixMilli(record.AtMS)}
		}
	}
	return inputs
}

// countServers sets the servers of each input by data centre and the slots of a server. It returns
// a sample for each service with servers, or none while the work in progress is not known.
func (w *autoscaleWork) countServers(now time.Time, config *topology.Config, fleet *fleetState, inputs map[string]autoscale.Input) map[string]autoscale.Sample {
	work, known := w.edge.gateway.Chooser.InFlight(now)
	samples := make(map[string]autoscale.Sample)
	slots, servers := make(map[string]int), make(map[string]int)
	for _, s := range fleet.servers {
		in, ok := inputs[s.Service]
		if !ok {
			continue
		}
		d := in.DataCentres[s.DataCentre]
		d.Evacuated = fleet.evacuated[s.DataCentre]
		switch left := s.ColdUntil.Sub(now); {
		case s.Draining:
			d.Draining++
		case left > 0:
			d.Cold++
			d.ColdCapacity += 1 - min(float64(left)/float64(config.Services[s.Service].ColdStart+coldMargin), 1)
		default:
			d.Usable++
		}
		in.DataCentres[s.DataCentre] = d
		w.seenAt[scaleSubject{s.Service, s.DataCentre}] = now
		if samples[s.Service].Work == nil {
			samples[s.Service] = autoscale.Sample{At: now, Work: make(map[string]float64), Running: make(map[string]int)}
		}
		samples[s.Service].Work[s.DataCentre] += float64(work[s.ID])
		samples[s.Service].Running[s.DataCentre] = d.Usable + d.Cold
		if s.Slots > 0 {
			slots[s.Service] += s.Slots
			servers[s.Service]++
		}
	}
	for service, n := range servers {
		w.slots[service] = float64(slots[service]) / float64(n)
	}
	for service, in := range inputs {
		in.Slots = w.slots[service]
		inputs[service] = in
	}
	if !known {
		return nil
	}
	return samples
}

// updateHistory adds the samples to the history of each service, drops those that are too old and
// sets the history of each input. w.mu is held.
func (w *autoscaleWork) updateHistory(now time.Time, samples map[string]autoscale.Sample, inputs map[string]autoscale.Input) {
	maps.DeleteFunc(w.history, func(service string, _ []autoscale.Sample) bool { _, ok := inputs[service]; return !ok })
	for service, in := range inputs {
		oldest := now.Add(-in.Bounds.HistoryTime())
		// The orders in progress read the earlier slice.
		history := slices.DeleteFunc(slices.Clone(w.history[service]), func(s autoscale.Sample) bool { return s.At.Before(oldest) })
		if sample, ok := samples[service]; ok {
			history = append(history, sample)
		}
		w.history[service], in.History = history, history
		inputs[service] = in
	}
}

// order makes the orders for a service that are due.
func (w *autoscaleWork) order(ctx context.Context, role *dutyRole, token duty.Token, service string, in autoscale.Input) {
	decisions := autoscale.Decide(in)
	w.mu.Lock()
	decisions = w.withUnanswered(service, decisions)
	maps.DeleteFunc(w.dueSince, func(subject scaleSubject, _ time.Time) bool {
		return subject.service == service && !slices.ContainsFunc(decisions, func(d autoscale.Decision) bool { return d.DataCentre == subject.dataCentre })
	})
	w.mu.Unlock()
	for _, d := range decisions {
		subject := scaleSubject{service, d.DataCentre}
		w.mu.Lock()
		uncertain := time.Now().Before(w.uncertainUntil[subject])
		since, ok := w.dueSince[subject]
		if !ok {
			since = in.Now
			w.dueSince[subject] = since
		}
		w.mu.Unlock()
		// A call that is executed late would undo a newer one.
		if uncertain || time.Since(in.Now) > maxDecisionAge || !waitReady(ctx, role) || role.owner.Token() != token {
			continue
		}
		err := role.call(ctx, subject.String(), time.Since(since), func(ctx context.Context, by DutyCaller) error {
			return w.edge.settings.CloudAPI.SetDesiredCount(ctx, by, service, d.DataCentre, d.Count)
		})
		w.finish(subject, d, token, err)
		w.logOrder(role, in, subject, d, token, err)
	}
}

// withUnanswered adds the orders without an answer that no decision replaces. w.mu is held.
func (w *autoscaleWork) withUnanswered(service string, decisions []autoscale.Decision) []autoscale.Decision {
	for subject, record := range w.last {
		replaced := slices.ContainsFunc(decisions, func(d autoscale.Decision) bool { return d.DataCentre == subject.dataCentre })
		if subject.service == service && record.Unanswered && !replaced {
			decisions = append(decisions, autoscale.Decision{DataCentre: subject.dataCentre, Count: record.Count, Before: record.Count})
		}
	}
	return decisions
}

// waitReady waits until the rate allows for a call, and reports whether it does within
// scaleInterval. Later the order would be outdated.
func waitReady(ctx context.Context, role *dutyRole) bool {
	for until := time.Now().Add(scaleInterval); !role.ready(time.Now()); sleep(ctx, 10*time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(until) {
			return false
		}
	}
	return true
}

// finish records the result of an order.
func (w *autoscaleWork) finish(subject scaleSubject, d autoscale.Decision, token duty.Token, err error) {
	unanswered := answerOf(err) == duty.Unanswered
	if err != nil && !unanswered {
		return
	}
	now := time.Now()
	record := scaleRecord{
		Service: subject.service, DataCentre: subject.dataCentre, Count: d.Count, AtMS: now.UnixMilli(), Token: token, Unanswered: unanswered,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if unanswered {
		record.Count = max(d.Count, d.Before)
		w.uncertainUntil[subject] = now.Add(apiLateTime)
	} else {
		delete(w.dueSince, subject)
	}
	w.last[subject], w.unstored[subject] = record, true
}

func (w *autoscaleWork) logOrder(role *dutyRole, in autoscale.Input, subject scaleSubject, d autoscale.Decision, token duty.Token, err error) {
	direction := "up"
	switch {
	case d.Count < d.Before:
		direction = "down"
	case d.Count == d.Before:
		direction = "again"
	}
	w.edge.storeMetrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_scale_orders_total{service=%q,data_centre=%q,direction=%q,result=%q}",
		subject.service, subject.dataCentre, direction, apiResult(err))).Inc()
	event, dc := role.log.Info(), in.DataCentres[subject.dataCentre]
	if err != nil {
		event = role.log.Warn()
	}
	event.Err(err).Str("service", subject.service).Str("data_centre", subject.dataCentre).Int("count", d.Count).Int("count_before", d.Before).
		Float64("demand", d.Demand).Float64("forecast", d.Forecast).Float64("peak", d.Peak).Float64("slots", in.Slots).
		Int("usable", dc.Usable).Int("cold", dc.Cold).Int("draining", dc.Draining).Bool("rollout", in.RolloutInProgress).
		Int("min", in.Bounds.Min).Int("max", in.Bounds.Max).Dur("boot_ms", in.Bounds.BootTime).Uint64("token", uint64(token)).
		Msg("scaling order finished")
}

// store writes a record that the store may lack, on the condition that this router still owns
// the duty.
func (w *autoscaleWork) store(ctx context.Context, now time.Time, role *dutyRole, token duty.Token) {
	if now.Before(w.commitAfter) || w.edge.controller.storeOutage() != 0 {
		return
	}
	w.mu.Lock()
	var record scaleRecord
	found := false
	for subject, lacking := range w.unstored {
		if lacking {
			record, found = w.last[subject], true
			break
		}
	}
	w.mu.Unlock()
	if !found {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		role.log.Error().Err(err).Msg("failed to encode scaling record")
		return
	}
	at, subject := token.Position(), scaleSubject{record.Service, record.DataCentre}
	_, err = w.edge.settings.Store.Commit(ctx, Txn{
		Era: at.Era, Conditions: []Condition{{Key: dutyPrefix + role.name, Revision: at.Revision}},
		Writes: []Write{{Key: scaleKey(subject), Value: value}},
	})
	if err != nil {
		w.commitAfter = time.Now().Add(scaleCommitRetry)
		role.log.Warn().Err(err).Stringer("subject", subject).Msg("scaling record not stored; trying again")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last[subject] == record {
		delete(w.unstored, subject)
	}
}

func scaleKey(s scaleSubject) string { return scalePrefix + s.String() }

// writeMetrics writes the demand and the orders in the Prometheus text format.
func (w *autoscaleWork) writeMetrics(out io.Writer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for service, history := range w.history {
		if len(history) == 0 {
			continue
		}
		sum := 0.0
		for _, work := range history[len(history)-1].Work {
			sum += work
		}
		fmt.Fprintf(out, "cactusknot_scale_demand{service=%q} %g\n", service, sum)
	}
	for subject, record := range w.last {
		fmt.Fprintf(out, "cactusknot_scale_desired{service=%q,data_centre=%q} %d\n", subject.service, subject.dataCentre, record.Count)
	}
}

// wanted implements dutyWork: without a service to be scaled, nobody needs to own the duty.
func (w *autoscaleWork) wanted() bool {
	view := w.edge.view.Load()
	if view == nil || view.Config == nil {
		return false
	}
	for _, service := range view.Config.Services {
		if service.Autoscaling.Valid() {
			return true
		}
	}
	return false
}
