package gateway

import (
	"fmt"
	"strconv"
	"time"

	"cactusknot.example/daemon/admission"
)

// maxClassLabel bounds the values of the class label.
const maxClassLabel = 9

// recordWait logs and counts the end of a wait.
func (g *Gateway) recordWait(w *waiter, entry *admission.Entry, end grant, began time.Time, position int, expected time.Duration) {
	took := time.Since(began)
	class := strconv.Itoa(min(max(entry.Class, 0), maxClassLabel))
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_admission_waits_total{class=%q,end=%q}", class, end.how)).Inc()
	g.metrics.GetOrCreateHistogram(fmt.Sprintf("cactusknot_admission_wait_seconds{class=%q}", class)).Update(took.Seconds())
	g.logEvent(g.Log.Info()).Str("request", w.x.call.ID).Str("service", w.x.service.Name).Int("class", entry.Class).
		Str("workspace", entry.Workspace).Int("position", position).Dur("expected_wait_ms", expected).Dur("took_ms", took).
		Dur("work_ms", entry.Work).Dur("answer_ms", entry.Answer).Dur("target_ms", entry.Target).Dur("left_ms", time.Until(entry.Deadline)).
		Bool("returned", entry.Returned()).Dur("view_age_ms", time.Since(w.x.view.At)).Str("end", end.how).Msg("waited for room")
}
