package gateway

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusknot.example/daemon/admission"
)

// maxClassLabel bounds the values of the class label.
const maxClassLabel = 9

// recordWait logs and counts the end of a wait.
func (g *Gateway) recordWait(w *waiter, entry *admission.Entry, end grant, began time.Time, position int, expected time.Duration) {
	took := time.Since(began)
	class := strconv.Itoa(min(max(entry.Class, 0), maxClassLabel))
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_admission_waits_total{class=%q,end=%q}", class, end.end)).Inc()
	g.metrics.GetOrCreateHistogram(fmt.Sprintf("cactusknot_admission_wait_seconds{class=%q}", class)).Update(took.Seconds())
	reportAge := time.Duration(-1)
	if age, ok := g.Chooser.PeerWorkAge(time.Now()); ok {
		reportAge = age
	}
	g.logEvent(g.Log.Info()).Str("request", w.x.call.ID).Str("service", w.x.service.Name).Int("class", entry.Class).
		Str("workspace", entry.Workspace).Int("position", position).Dur("expected_wait_ms", expected).Dur("took_ms", took).
		Dur("work_ms", entry.Work).Dur("answer_ms", entry.Answer).Dur("target_ms", entry.Target).Dur("left_ms", time.Until(entry.Deadline)).
		Bool("late", entry.Late()).Dur("load_report_age_ms", reportAge).Bool("returned", entry.Returned()).Dur("view_age_ms", time.Since(w.x.view.At)).Str("end", end.end).Msg("waited for room")
}

// WaitingClass describes the requests of a class that wait for room at a service.
type WaitingClass struct {
	// Service is the name of the service, followed by that of the group of servers if the
	// requests may not use all.
	Service string
	admission.ClassState
}

// Waiting returns the waiting requests by service and class, sorted.
func (g *Gateway) Waiting() []WaitingClass {
	var list []WaitingClass
	for _, value := range g.admission.queues.Range {
		q := value.(*serviceQueue)
		q.mu.Lock()
		for _, class := range q.queue.State(time.Now()) {
			list = append(list, WaitingClass{q.name, class})
		}
		q.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b WaitingClass) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return list
}

// writeWaiting writes the metrics of the waiting requests.
func (g *Gateway) writeWaiting(w io.Writer) {
	for _, c := range g.Waiting() {
		fmt.Fprintf(w, "cactusknot_admission_waiting{service=%q,class=\"%d\",late=\"false\"} %d\n", c.Service, c.Class, c.OnTime)
		fmt.Fprintf(w, "cactusknot_admission_waiting{service=%q,class=\"%d\",late=\"true\"} %d\n", c.Service, c.Class, c.Late)
		fmt.Fprintf(w, "cactusknot_admission_waiting_work_seconds{service=%q,class=\"%d\"} %.3f\n", c.Service, c.Class, c.Work.Seconds())
	}
}
