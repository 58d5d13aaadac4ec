package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/topology"
)

func (e *testEdge) state(t *testing.T) *State {
	t.Helper()
	recorder := httptest.NewRecorder()
	e.readyHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/state", nil))
	if recorder.Code != http.StatusOK {
		t.Fatalf("status %d", recorder.Code)
	}
	state := &State{}
	if err := json.NewDecoder(recorder.Body).Decode(state); err != nil {
		t.Fatal(err)
	}
	return state
}

func (s *State) server(id string) ServerState {
	for _, server := range s.Servers {
		if server.ID == id {
			return server
		}
	}
	return ServerState{}
}

// Guards against a reported state that differs from the one used for requests: the
// state of each server, the configuration and the rollouts.
func TestState(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{7})
	store.put("servers/a", serverOfVersion("v1"))
	store.put("servers/b", testServer{Service: "svc", Version: "v1", DataCentre: "dc2"})
	draining := serverOfVersion("v1")
	draining.Draining = true
	store.put("servers/c", draining)
	store.put("servers/d", testServer{Service: "svc", Version: "v1", DataCentre: "dc1", ColdMS: 60_000})
	store.put("evacuate/dc2", struct{}{})
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "a and d are used", func() bool { return e.usableServers() == "a d" })
	store.put("order/svc", topology.RolloutOrder{Target: "v2", Duration: time.Hour})
	eventually(t, waitTimeout, "the rollout has a phase", func() bool { return e.phase("svc") != "" })
	var s *State
	eventually(t, waitTimeout, "the phase is reported", func() bool {
		s = e.state(t)
		return len(s.Rollouts) == 1 && s.Rollouts[0].Phase == rollout.Hold
	})
	for id, want := range map[string]string{"a": ServerUsable, "b": ServerEvacuated, "c": ServerDraining, "d": ServerCold} {
		if got := s.server(id).State; got != want {
			t.Errorf("server %s: %q, want %q", id, got, want)
		}
	}
	if s.VM != "r1" || !s.Ready || s.ConfigVersion != 7 || s.ConfigRevision == 0 || s.MirrorRevision == 0 {
		t.Errorf("got %+v", s)
	}
	if s.Rollouts[0].Target != "v2" || s.Rollouts[0].Service != "svc" {
		t.Errorf("got %+v", s.Rollouts)
	}
	if s.StoreOutageMS != 0 || s.StoreAnswerAgeMS > 5000 || s.LoadReportAgeMS != -1 {
		t.Errorf("ages: %+v", s)
	}
	e.client.unavailable.Store(true)
	eventually(t, 5*waitTimeout, "the store outage is reported", func() bool { return e.state(t).StoreOutageMS > 0 })
}

// Guards against missing metrics of dependencies, ages and limits.
func TestMetrics(t *testing.T) {
	store := newMemoryStore()
	store.put("config", testConfig{7})
	store.put("servers/a", serverOfVersion("v1"))
	e := startEdge(t, store, "r1")
	eventually(t, waitTimeout, "a is used", func() bool { return e.usableServers() == "a" })
	e.gateway.Chooser.SetPeerWork(time.Now(), nil)
	recorder := httptest.NewRecorder()
	e.readyHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := recorder.Body.String()
	for _, want := range []string{
		`cactusknot_store_calls_total{call="range",result="ok"} 1`, "cactusknot_store_answer_age_seconds ",
		"cactusknot_load_report_age_seconds ", "cactusknot_view_age_seconds ", "cactusknot_store_away_seconds 0.000",
		"cactusknot_requests_in_flight 0", "cactusknot_unread_prompts_seconds 0.000", "cactusknot_log_lines_left_out_total 0",
		"cactusknot_config_version 7", `cactusknot_usable_servers{service="svc"} 1`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	e.client.unavailable.Store(true)
	eventually(t, 5*waitTimeout, "failed calls are counted", func() bool {
		recorder := httptest.NewRecorder()
		e.readyHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return strings.Contains(recorder.Body.String(), `result="failed"`)
	})
}
