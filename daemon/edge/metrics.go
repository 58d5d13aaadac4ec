package edge

import (
	"fmt"
	"io"
	"time"
)

// writeClientMetrics writes what clients make this process hold.
func (e *Edge) writeClientMetrics(w io.Writer) {
	intake := e.gateway.Intake.Stats()
	fmt.Fprintf(w, "cactusknot_request_bytes_held %d\n", intake.Used)
	fmt.Fprintf(w, "cactusknot_requests_given_up_total %d\n", intake.Evicted)
	fmt.Fprintf(w, "cactusknot_requests_without_room_total %d\n", intake.Refused)
	if e.frontend == nil {
		return
	}
	clients := e.frontend.Stats()
	fmt.Fprintf(w, "cactusknot_client_connections %d\n", clients.Open)
	fmt.Fprintf(w, "cactusknot_client_connections_evicted_total %d\n", clients.Evicted)
	fmt.Fprintf(w, "cactusknot_client_connections_refused_total %d\n", clients.Refused)
}

// writeMetrics writes the metrics of this process in the Prometheus text format.
func (e *Edge) writeMetrics(w io.Writer) {
	e.gateway.WriteMetrics(w)
	e.controller.rollouts.writeMetrics(w)
	e.controller.quarantines.writeMetrics(w)
	e.duties.writeMetrics(w)
	e.storeMetrics.WritePrometheus(w)
	e.transfers.write(w)
	now := time.Now()
	fmt.Fprintf(w, "cactusknot_store_answer_age_seconds %.3f\n", e.controller.storeResponseAge(now).Seconds())
	if age, ok := e.gateway.Chooser.PeerWorkAge(now); ok {
		fmt.Fprintf(w, "cactusknot_load_report_age_seconds %.3f\n", age.Seconds())
	}
	fmt.Fprintf(w, "cactusknot_store_away_seconds %.3f\n", e.controller.storeOutage().Seconds())
	if fetch := e.fetcher.current.Load(); fetch != nil {
		fmt.Fprintf(w, "cactusknot_content_awaited_seconds %.3f\n", now.Sub(fetch.since).Seconds())
	}
	at := e.mirror.Position()
	fmt.Fprintf(w, "cactusknot_mirror_revision %d\n", at.Revision)
	fmt.Fprintf(w, "cactusknot_store_era %d\n", at.Era)
	if v := e.view.Load(); v != nil {
		fmt.Fprintf(w, "cactusknot_view_age_seconds %.3f\n", now.Sub(v.At).Seconds())
		fmt.Fprintf(w, "cactusknot_routers %d\n", len(v.Routers))
		for service, list := range v.Servers {
			fmt.Fprintf(w, "cactusknot_usable_servers{service=%q} %d\n", service, len(list))
		}
		if v.Config != nil {
			fmt.Fprintf(w, "cactusknot_config_version %d\n", v.Config.Version)
		}
	}
	e.writeClientMetrics(w)
	fmt.Fprintf(w, "cactusknot_time_seconds %d\n", now.Unix())
}
