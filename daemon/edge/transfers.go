package edge

import (
	"fmt"
	"io"
	"sync"
	"time"

	"cactusknot.example/daemon/transfer"
)

// Values of the label source of the transfer metrics.
const (
	transferFromStore = "store"
	transferFromPeer  = "peer"
)

// transferObserver is a Store that reports how the responses of the platform's store arrive.
type transferObserver interface {
	// ObserveTransfers sets what counts the responses, and the function that is called for each
	// one that is given up. It must be called before the first call of the store.
	ObserveTransfers(stats *transfer.Stats, report func(transfer.Report))
}

// transfers observes what this router receives from the store and from its peers.
type transfers struct {
	store, peers transfer.Stats
	// storeAnswers are the answers with the content of the store that have not ended.
	storeAnswers arrivals
}

// arrivals are answers that have not ended, with their progress. An answer that has ended does not
// count, also if it was a refusal. It is safe for concurrent use.
type arrivals struct {
	mu   sync.Mutex
	live map[*transfer.Progress]bool
}

// begin adds an answer.
func (a *arrivals) begin() *transfer.Progress {
	progress := &transfer.Progress{}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.live == nil {
		a.live = make(map[*transfer.Progress]bool)
	}
	a.live[progress] = true
	return progress
}

func (a *arrivals) end(progress *transfer.Progress) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.live, progress)
}

// latest returns when a part of one of the answers last arrived; zero if none has begun to.
func (a *arrivals) latest() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var arrived time.Time
	for progress := range a.live {
		arrived = latest(arrived, progress.Latest())
	}
	return arrived
}

// receiving reports whether an answer with the content of the store is arriving.
func (t *transfers) receiving(now time.Time) bool {
	return now.Sub(t.storeAnswers.latest()) < followMargin
}

// write writes the metrics of the transfers.
func (t *transfers) write(w io.Writer) {
	for _, s := range []struct {
		source string
		stats  *transfer.Stats
	}{{transferFromStore, &t.store}, {transferFromPeer, &t.peers}} {
		fmt.Fprintf(w, "cactusknot_transfers_total{source=%q} %d\n", s.source, s.stats.Begun.Load())
		fmt.Fprintf(w, "cactusknot_transfers_given_up_total{source=%q} %d\n", s.source, s.stats.GivenUp.Load())
		fmt.Fprintf(w, "cactusknot_transfer_bytes_total{source=%q} %d\n", s.source, s.stats.Bytes.Load())
		fmt.Fprintf(w, "cactusknot_transfer_given_up_bytes_total{source=%q} %d\n", s.source, s.stats.BytesGivenUp.Load())
	}
}

// reportTransfer logs a response that was given up after a part of it had arrived.
func (e *Edge) reportTransfer(r transfer.Report) {
	e.log.Warn().Err(r.Err).Str("host", r.Host).Str("path", r.Path).Int64("bytes", r.Bytes).Int64("length", r.Length).
		Dur("took_ms", r.Took).Int("beside", r.Beside).Msg("transfer given up")
}
