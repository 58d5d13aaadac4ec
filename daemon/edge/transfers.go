package edge

import (
	"fmt"
	"io"
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
	// storeAnswers records when a part of an answer with the content of the store last arrived.
	storeAnswers transfer.Progress
}

// receiving reports whether an answer with the content of the store is arriving.
func (t *transfers) receiving(now time.Time) bool {
	return now.Sub(t.storeAnswers.Latest()) < followMargin
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
