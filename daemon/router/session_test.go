package router

import (
	"encoding/base64"
	"strings"
	"testing"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

func (h *harness) token(workspace, version string) map[string]string {
	h.t.Helper()
	session := routing.Session{ID: "s", Workspace: workspace, Pins: []routing.Pin{{Model: "diary", Version: version}}}
	token, err := h.sessions.Sign(session, h.Clock.Now())
	if err != nil {
		h.t.Fatal(err)
	}
	return map[string]string{headerSessionToken: token}
}

// withdraw activates version 2 of the bundle, in which version 1 of the model is
// withdrawn.
func (h *harness) withdraw() {
	h.bundle.Models[0].Current = "2"
	h.bundle.Models[0].Versions[0].State = bundle.VersionWithdrawn
	h.activate(2)
}

// stop publishes a view with a stop notice for version 1 of the model.
func (h *harness) stop() {
	h.stops = []routing.StopNotice{{Model: "diary", Version: "1"}}
	h.publish()
}

// TestSessionTokens guards against accepting the token of another workspace's
// session or a token that no router signed.
func TestSessionTokens(t *testing.T) {
	h := newHarness(t, succeed)
	otherSigner, err := auth.NewSessionTokens([]string{base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", 32)))})
	if err != nil {
		t.Fatal(err)
	}
	forged, err := otherSigner.Sign(routing.Session{ID: "s", Workspace: "aqua"}, h.Clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	own := h.token("aqua", "1")[headerSessionToken]
	for name, token := range map[string]string{
		"other workspace":   h.token("other", "1")[headerSessionToken],
		"other secret":      forged,
		"no token":          "x",
		"signature cut":     own[:len(own)-4],
		"signature removed": own[:strings.LastIndex(own, ".")+1],
	} {
		got := h.chat(map[string]string{headerSessionToken: token})
		if got.number != result.BadSession.Number || h.calls() != 0 {
			t.Errorf("%s: code %d, %d calls", name, got.number, h.calls())
		}
	}
	if got := h.chat(h.token("aqua", "2")); got.status != 200 || h.agents[0].versions() != "2" {
		t.Errorf("own session: code %d, versions %q", got.number, h.agents[0].versions())
	}
	h.wantCharges(1)
}

// TestWithdrawnWhilePinned guards against a session that continues with a withdrawn
// or stopped version, and against a move to another version that is not announced.
func TestWithdrawnWhilePinned(t *testing.T) {
	for name, withdrawVersion := range map[string]func(*harness){"withdrawn": (*harness).withdraw, "stopped": (*harness).stop} {
		for _, policy := range []bundle.WithdrawalPolicy{bundle.WithdrawalRefuse, bundle.WithdrawalMove} {
			t.Run(name+"/"+string(policy), func(t *testing.T) {
				h := newHarness(t, succeed)
				h.bundle.Workspaces[0].OnWithdrawal = policy
				h.bundle.Models[0].Current = "2"
				h.activate(2)
				if name == "withdrawn" {
					h.bundle.Models[0].Versions[0].State = bundle.VersionWithdrawn
					h.activate(3)
				} else {
					withdrawVersion(h)
				}
				got := h.chat(h.token("aqua", "1"))
				seen, moved := h.agents[0].versions(), got.header.Get(headerSessionMoved)
				if policy == bundle.WithdrawalMove && (got.status != 200 || seen != "2" || moved != "diary@1 -> diary@2") {
					t.Errorf("code %d, versions %q, announced %q", got.number, seen, moved)
				}
				if policy == bundle.WithdrawalRefuse && (got.number != result.VersionWithdrawn.Number || seen != "") {
					t.Errorf("code %d, versions %q", got.number, seen)
				}
				if counts := h.Checker.Counts(); len(counts) != 0 {
					t.Errorf("violations %v", counts)
				}
			})
		}
	}
}

// TestConfigurationBetweenPlacementAndDispatch guards against repeated attempts and
// a wrong code when the agent refuses a request because its configuration is newer
// than the router's.
func TestConfigurationBetweenPlacementAndDispatch(t *testing.T) {
	for _, code := range []result.Code{result.VersionWithdrawn, result.NotAllowed, result.UnknownModel, result.BadIdempotency} {
		h := newHarness(t, refuseWith(code), refuseWith(code))
		got := h.chat(nil)
		if got.number != code.Number || got.run != string(result.NotRun) || h.calls() != 1 {
			t.Errorf("%s: code %d, run %q after %d calls", code.Name, got.number, got.run, h.calls())
		}
		h.wantCharges(0)
	}
}

// TestNoRetryOfWithdrawnVersion guards against a retry with a version that was
// withdrawn or stopped after it was chosen.
func TestNoRetryOfWithdrawnVersion(t *testing.T) {
	failures := map[string]struct {
		fail behaviour
		want result.Code
	}{
		"after a broken stream": {runAndCut, result.StreamBroken},
		"after a refusal":       {refuseWith(result.AgentFull), result.VersionWithdrawn},
	}
	for name, failure := range failures {
		for how, withdrawVersion := range map[string]func(*harness){"withdrawn": (*harness).withdraw, "stopped": (*harness).stop} {
			t.Run(how+" "+name, func(t *testing.T) {
				var h *harness
				a := firstThen(func(s *stream, in *rpc.ExecuteRequest) {
					withdrawVersion(h)
					failure.fail(s, in)
				}, succeed)
				h = newHarness(t, a, a)
				got := h.chat(nil)
				if got.number != failure.want.Number || h.calls() != 1 {
					t.Errorf("code %d, want %d; %d calls", got.number, failure.want.Number, h.calls())
				}
				h.wantCharges(0)
			})
		}
	}
}

// TestExcludedAgents guards against a retry at an agent that was taken out of the
// view between two attempts.
func TestExcludedAgents(t *testing.T) {
	var h *harness
	h = newHarness(t, firstThen(func(s *stream, in *rpc.ExecuteRequest) {
		h.agents = h.agents[:0]
		h.publish()
		runAndCut(s, in)
	}, succeed))
	agent := h.agents[0]
	got := h.chat(map[string]string{headerDeadline: "100"})
	if got.number != result.StreamBroken.Number || agent.calls.Load() != 1 {
		t.Errorf("code %d, %d calls", got.number, agent.calls.Load())
	}
	h.wantCharges(0)
}
