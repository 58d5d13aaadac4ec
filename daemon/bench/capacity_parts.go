package bench

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/kv"
	"cactusknot.example/coord/ledger"
	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

func postJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	return exchangeJSON(ctx, http.MethodPost, url, body, nil)
}

func getJSON(ctx context.Context, url string, out any) error {
	return exchangeJSON(ctx, http.MethodGet, url, nil, out)
}

func exchangeJSON(ctx context.Context, method, url string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return trace.Errorf("bench: %s %s: status %d", method, url, response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(out))
}

func capacityRow(measure, variant string, values ...Value) Row {
	return Row{Measure: measure, Variant: variant, Values: values}
}

// viewRows measures a router's balancer snapshot by the number of agents.
func viewRows(r *Report) error {
	for _, count := range []int{16, 32, 64, 128} {
		agents := sizedAgents(count)
		before := heapInUse()
		snapshot := balance.NewSnapshot(balance.Config{}, agents, balance.Exclusion{})
		held := heapInUse() - before
		took := timed(func() { balance.NewSnapshot(balance.Config{}, agents, balance.Exclusion{}) })
		r.Rows = append(r.Rows, capacityRow("view of agents", fmt.Sprintf("%d agents", count),
			Value{"rebuild", "us", microseconds(took)}, Value{"heap", "KB", held / 1000}))
		runtime.KeepAlive(snapshot)
	}
	return nil
}

// subsetRows measures the selection of a router's agents after a change of the
// VM list.
func subsetRows(r *Report) error {
	for _, size := range []int{100, 500, targetProcesses} {
		var routers, agents []string
		for _, vm := range sizedVMs(size) {
			if vm.Role == platform.VMRouter {
				routers = append(routers, vm.Name)
			} else {
				agents = append(agents, vm.Name)
			}
		}
		const subset = 64
		var chosen []int
		took := timed(func() { chosen = balance.Subset(routers[0], routers, agents, subset) })
		r.Rows = append(r.Rows, capacityRow("subset of agents", fmt.Sprintf("%d processes", size),
			Value{"choice", "us", microseconds(took)}, Value{"agents", "", float64(len(chosen))}))
	}
	return nil
}

// syntheticRatings returns counters for two versions per workspace, as in a
// deployment with one kind of request and a running rollout.
func syntheticRatings(workspaces int) map[routing.CounterKey]stats.Counter {
	out := make(map[routing.CounterKey]stats.Counter)
	for i := range workspaces {
		for _, v := range []string{"model-00@1", "model-01@1"} {
			for bin := range 4 {
				tags := routing.Tags{Kind: "chat", Bin: 5 + bin}
				key := routing.CounterKey{Workspace: workspaceName(i), Model: v[:len(v)-2], Version: v[len(v)-1:], Kind: tags.Encode()}
				mean := 0.55 + float64(bin)/10
				out[key] = stats.Counter{Count: 100, Sum: 100 * mean, SumSquares: 100 * (mean*mean + 0.01)}
			}
		}
	}
	return out
}

// workspaceRows measures a router's routing snapshot by the number of
// workspaces, without and with ratings.
func workspaceRows(r *Report) error {
	for _, count := range []int{100, 1000, 4000} {
		b := sizedBundle(count)
		before := heapInUse()
		snapshot := routing.NewSnapshot(b, 1, nil, routing.Quality{})
		held := heapInUse() - before
		plain := timed(func() { routing.NewSnapshot(b, 1, nil, routing.Quality{}) })
		quality := routing.Quality{Ratings: syntheticRatings(count), RatingAvailable: true}
		rated := timed(func() { routing.NewSnapshot(b, 1, nil, quality) })
		withRatings := routing.NewSnapshot(b, 1, nil, quality)
		verdicts := timed(func() { withRatings.Verdicts(routing.DefaultStopTest()) })
		r.Rows = append(r.Rows, capacityRow("view of workspaces", fmt.Sprintf("%d workspaces", count),
			Value{"rebuild", "ms", microseconds(plain) / 1000}, Value{"rebuild with ratings", "ms", microseconds(rated) / 1000},
			Value{"stop tests", "ms", microseconds(verdicts) / 1000}, Value{"heap", "KB", held / 1000}))
		runtime.KeepAlive(snapshot)
	}
	return nil
}

// changeRows measures the change of one workspace by the size of the bundle.
func changeRows(r *Report) error {
	for _, count := range []int{100, 1000, 4000} {
		b := sizedBundle(count)
		first, parts, err := signedBundle(b, 1)
		if err != nil {
			return trace.Wrap(err)
		}
		whole := 0
		for _, data := range parts {
			whole += len(data)
		}
		b.Workspaces[0].Weight = 2
		second, changed, err := signedBundle(b, 2)
		if err != nil {
			return trace.Wrap(err)
		}
		sent := 0
		for hash, data := range changed {
			if _, held := parts[hash]; !held {
				sent += len(data)
			}
		}
		manifest, err := second.Encode()
		if err != nil {
			return trace.Wrap(err)
		}
		before := heapInUse()
		held, _, err := bundle.Open(first, parts, benchTrustAnchor())
		if err != nil {
			return trace.Wrap(err)
		}
		heap := heapInUse() - before
		verify := timed(func() { _, _, err = bundle.Open(second, changed, benchTrustAnchor()) })
		if err != nil {
			return trace.Wrap(err)
		}
		r.Rows = append(r.Rows, capacityRow("configuration change", fmt.Sprintf("%d workspaces", count),
			Value{"whole bundle", "KB", float64(whole) / 1000}, Value{"manifest", "B", float64(len(manifest))},
			Value{"changed parts", "B", float64(sent)}, Value{"verify", "ms", microseconds(verify) / 1000},
			Value{"bundle in memory", "KB", heap / 1000}, Value{"parts in memory", "KB", float64(whole) / 1000}))
		runtime.KeepAlive(held)
	}
	return nil
}

// listRows measures a read of the VM list by the number of processes.
func listRows(r *Report) error {
	for _, size := range []int{100, 500, targetProcesses} {
		vms := sizedVMs(size)
		list, err := emulate.StartVMs("127.0.0.1:0", emulate.VMsConfig{VMs: vms}, zerolog.Nop())
		if err != nil {
			return trace.Wrap(err)
		}
		body, err := json.Marshal(platform.VMList{Revision: 1, VMs: vms})
		if err != nil {
			return trace.Wrap(err)
		}
		client := platform.NewVMListClient(list.URL())
		whole := timed(func() { _, _, _ = platform.NewVMListClient(list.URL()).List(context.Background()) })
		_, _, err = client.List(context.Background())
		same := timed(func() { _, _, _ = client.List(context.Background()) })
		decode := timed(func() { _ = json.Unmarshal(body, new(platform.VMList)) })
		client.Close()
		list.Close()
		if err != nil {
			return trace.Wrap(err)
		}
		r.Rows = append(r.Rows, capacityRow("VM list", fmt.Sprintf("%d processes", size),
			Value{"body", "KB", float64(len(body)) / 1000}, Value{"compressed body", "KB", compressed(body) / 1000}, Value{"decode", "us", microseconds(decode)},
			Value{"changed, call", "us", microseconds(whole)}, Value{"unchanged, call", "us", microseconds(same)}))
	}
	return nil
}

// compressed returns the gzip-compressed size of the body; the client accepts
// gzip.
func compressed(body []byte) float64 {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(body)
	_ = w.Close()
	return float64(out.Len())
}

// memoryNetwork connects every member to the same peer, in memory.
type memoryNetwork struct {
	members []distribute.Member
	peer    distribute.PeerClient
}

func (n *memoryNetwork) Members() []distribute.Member { return n.members }

func (n *memoryNetwork) Client(string) distribute.PeerClient { return n.peer }

func newSyncer(network distribute.Network, self distribute.Member, now clock.Clock) *distribute.Syncer {
	return distribute.New(distribute.Config{
		Self: self, Anchor: benchTrustAnchor(), Store: kv.NewMemoryStore(now, rand.NewPCG(1, 1)), Network: network,
		Clock: now, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
	})
}

// gossipRows measures a router's gossip rounds by the number of members, idle
// and while every router counts ratings.
func gossipRows(r *Report) error {
	for _, size := range []int{100, 500, targetProcesses} {
		for _, ratings := range []int{0, 200} {
			if err := gossipRow(r, size, ratings); err != nil {
				return err
			}
		}
	}
	return nil
}

// gossipRow measures rounds of one router whose single peer stands for all
// others. Each of the two counts the given number of ratings per second.
func gossipRow(r *Report, size, ratings int) error {
	const rounds = 200
	now := clock.NewManual(time.Now())
	network := &memoryNetwork{}
	for _, vm := range sizedVMs(size) {
		network.members = append(network.members, distribute.Member{
			Node: vm.Name, DataCentre: vm.DataCentre, Region: vm.Region, Router: vm.Role == platform.VMRouter, Live: true,
		})
	}
	peer := newSyncer(network, network.members[6], now)
	network.peer = peer
	syncer := newSyncer(network, network.members[0], now)
	s, parts, err := signedBundle(sizedBundle(1), 1)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, each := range []*distribute.Syncer{syncer, peer} {
		if err := each.Accept(s, parts); err != nil {
			return trace.Wrap(err)
		}
	}
	elapsed := time.Duration(0)
	for round := range rounds {
		for i := range ratings {
			for _, node := range []string{"vm-00000", "vm-00006"} {
				counter := &rpc.QualityCounter{Node: node, NodeIncarnation: 1, Workspace: workspaceName(i), Model: "model-00", Version: "1", Kind: "chat;b=5", Count: uint64(round + 1)}
				if node == "vm-00000" {
					syncer.RecordCounter(counter)
				} else {
					peer.RecordCounter(counter)
				}
			}
		}
		now.Advance(time.Second)
		started := time.Now()
		syncer.Gossip(context.Background())
		elapsed += time.Since(started)
	}
	kind := "idle"
	if ratings > 0 {
		kind = fmt.Sprintf("%d counters/s", ratings)
	}
	r.Rows = append(r.Rows, capacityRow("gossip of a router", fmt.Sprintf("%d processes, %s", size, kind),
		Value{"round", "us", microseconds(elapsed) / rounds}, Value{"own calls", "B/s", float64(syncer.ControlBytes("sync")) / rounds}))
	return nil
}

// ledgerRows measures a ledger collector by lines per second.
func ledgerRows(r *Report) error {
	for _, lines := range []int{22, 60, 244} {
		if err := ledgerRow(r, lines); err != nil {
			return err
		}
	}
	return nil
}

func chargeLine(random *rand.Rand, now time.Time) ledger.Line {
	l := ledger.Line{
		Workspace: workspaceName(random.IntN(1000)), Model: "model-03", Version: "1", TokensIn: 800, TokensOut: 300,
		AmountMicros: 12_345, BundleVersion: 4200, CompletedMS: now.UnixMilli(),
	}
	for i := range l.RequestID {
		l.RequestID[i] = byte(random.Uint32())
	}
	return l
}

func ledgerRow(r *Report, linesPerSecond int) error {
	const seconds = 120
	now := clock.NewManual(time.Now())
	store := kv.NewMemoryStore(now, rand.NewPCG(1, 1))
	client := kv.NewClient(store, kv.ClientConfig{Clock: now, Random: rand.NewPCG(1, 2), CallsPerSecond: 1000, Burst: 1000})
	collector := ledger.NewCollector(ledger.CollectorConfig{Client: client, Clock: now})
	random := rand.New(rand.NewPCG(1, 3))
	if err := flushLines(collector, nil); err != nil {
		return err
	}
	storedBefore := store.Usage()[kv.KindPut].Bytes
	before := heapInUse()
	busy := time.Duration(0)
	for range seconds {
		now.Advance(time.Second)
		batch := make([]ledger.Line, linesPerSecond)
		for i := range batch {
			batch[i] = chargeLine(random, now.Now())
		}
		started := time.Now()
		if err := flushLines(collector, batch); err != nil {
			return err
		}
		busy += time.Since(started)
	}
	usage := store.Usage()
	written := float64(usage[kv.KindPut].Bytes - storedBefore)
	// The in-memory store holds a copy of the segments in this process, which
	// is not the collector's memory.
	held := heapInUse() - before - written
	total := float64(seconds * linesPerSecond)
	r.Rows = append(r.Rows, capacityRow("collector", fmt.Sprintf("%d lines/s", linesPerSecond),
		Value{"puts", "calls/s", float64(usage[kv.KindPut].Calls) / seconds}, Value{"gets", "calls/s", float64(usage[kv.KindGet].Calls) / seconds},
		Value{"stored", "B/line", written / total}, Value{"memory", "B/line", held / total},
		Value{"CPU", "us/line", microseconds(busy) / total}))
	runtime.KeepAlive(collector)
	return nil
}

func flushLines(c *ledger.Collector, lines []ledger.Line) error {
	const poll = 20 * time.Microsecond
	done := make(chan error, 1)
	go func() {
		_, err := c.Deliver(context.Background(), lines)
		done <- err
	}()
	for {
		if err := c.Flush(context.Background()); err != nil {
			return trace.Wrap(err)
		}
		select {
		case err := <-done:
			return trace.Wrap(err)
		case <-time.After(poll):
		}
	}
}

// heldRows measures the memory of at-most-once records and of queued charge
// lines.
func heldRows(r *Report) error {
	for _, count := range []int{1000, 10_000, 100_000} {
		random := rand.New(rand.NewPCG(1, 4))
		before := heapInUse()
		queue := ledger.NewQueue(clock.System{}, count)
		for range count {
			queue.Reserve()
			queue.Commit(chargeLine(random, time.Now()))
		}
		line := (heapInUse() - before) / float64(count)
		runtime.KeepAlive(queue)
		record, err := recordBytes(count)
		if err != nil {
			return err
		}
		r.Rows = append(r.Rows, capacityRow("held in memory", fmt.Sprintf("%d entries", count),
			Value{"charge line", "B", line}, Value{"at-most-once record, answer of 200 B", "B", record}))
	}
	return nil
}

func recordBytes(count int) (float64, error) {
	const (
		home        = 77
		answerBytes = 200
	)
	before := heapInUse()
	// One key per millisecond: keys have 26 random bits, so with thousands of
	// keys in the same millisecond some would collide.
	now := clock.NewManual(time.Now())
	records := idempotency.New(idempotency.Config{Home: home, Clock: now, MaxEntries: count + 1, MaxBytes: count * 1024})
	keys := idempotency.NewGenerator(now, rand.NewPCG(1, 5))
	for range count {
		now.Advance(time.Millisecond)
		key, err := keys.New(home)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		decision, ticket := records.Begin(key, idempotency.RequestHash{1})
		if decision != idempotency.Run {
			return 0, trace.Errorf("bench: record refused: %s", decision)
		}
		ticket.Finish(idempotency.Outcome{Kind: idempotency.OutcomeDone, Status: http.StatusOK, ContentType: "application/json", Body: make([]byte, answerBytes)})
	}
	size := (heapInUse() - before) / float64(count)
	runtime.KeepAlive(records)
	return size, nil
}

// messageRows measures the sizes of the messages between routers and agents.
func messageRows(r *Report) error {
	state := &rpc.AgentState{
		Vm: vmName(1999), DataCentre: "dc-00", Incarnation: 1 << 47, Sequence: 1_000_000, BundleVersion: 1_500_000,
		Phase: rpc.Phase_PHASE_WARM, FreePermits: 10, PermitLimit: 32, QueuedTokens: 20_000, FirstTokenMs: 300,
	}
	for _, versions := range []int{1, 5, 19} {
		state.Loaded = nil
		for i := range versions {
			state.Loaded = append(state.Loaded, fmt.Sprintf("model-%02d@%d", i, 1))
		}
		request := proto.Size(&rpc.ExchangeRequest{Router: vmName(0), BundleVersion: 1_500_000})
		response := proto.Size(&rpc.ExchangeResponse{State: state})
		r.Rows = append(r.Rows, capacityRow("exchange", fmt.Sprintf("%d versions loaded", versions),
			Value{"request", "B", float64(request)}, Value{"response", "B", float64(response)}))
	}
	return nil
}
