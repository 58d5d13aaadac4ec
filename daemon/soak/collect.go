package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/platform"
)

// Messages of the router log lines that the checks use.
const (
	messageAttempt = "backend server chosen"
	messageStopped = "version stopped"
	maxLogLine     = 1 << 20
)

// collect reads the records of the emulators, the routers' logs and the
// ledger.
func (r *run) collect(ctx context.Context) error {
	starts := make(map[string]emulate.RequestLog)
	effects := make(map[string]emulate.Effects)
	for _, vm := range agentVMs {
		var s emulate.RequestLog
		if err := getJSON(ctx, r.fleet.BackendURL(vm)+"/starts", &s); err != nil {
			return trace.Wrap(err)
		}
		starts[vm] = s
	}
	for _, vm := range serviceVMs {
		var e emulate.Effects
		if err := getJSON(ctx, r.fleet.BackendURL(vm)+"/effects", &e); err != nil {
			return trace.Wrap(err)
		}
		effects[vm] = e
	}
	report, err := ledger.Audit(ctx, platform.NewStore(r.fleet.PlatformURL(fleet.StoreProcess)))
	if err != nil {
		return trace.Wrap(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &r.history
	h.Starts, h.Effects, h.Ledger, h.Ended = starts, effects, report, time.Now()
	h.Calls = r.loadGenerator.recordedCalls()
	h.Attempts, h.StoppedVersions = nil, nil
	for _, router := range h.Routers {
		if err := h.readLog(router, r.fleet.LogFile(router)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// logLine holds the fields of a router's log line that the checks use.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Request string    `json:"request"`
	Step    uint32    `json:"step"`
	VM      string    `json:"chosen_vm"`
	Target  string    `json:"target"`
	Code    int       `json:"code"`
	Result  string    `json:"result"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
}

// readLog collects attempts and stopped versions from a router's log.
func (h *History) readLog(router, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		text := lines.Text()
		if !strings.Contains(text, messageAttempt) && !strings.Contains(text, messageStopped) {
			continue
		}
		var l logLine
		// A killed process may leave an incomplete line.
		if json.Unmarshal([]byte(text), &l) != nil {
			continue
		}
		h.addLogLine(router, l)
	}
	return lines.Err()
}

func (h *History) addLogLine(router string, l logLine) {
	switch l.Message {
	case messageAttempt:
		h.Attempts = append(h.Attempts, Attempt{
			Router: router, At: l.Time, RequestID: l.Request, Step: l.Step, VM: l.VM, Target: l.Target, Code: l.Code, Result: l.Result,
		})
	case messageStopped:
		h.StoppedVersions = append(h.StoppedVersions, StoppedVersion{Model: l.Model, Version: l.Version})
	}
}

// logLines returns the log lines of all processes that contain the text, up to
// a limit.
func (r *run) logLines(text string) []string {
	const most = 12
	var found []string
	for _, vm := range allVMs {
		data, err := os.ReadFile(r.fleet.LogFile(vm))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) && len(found) < most {
				found = append(found, strings.TrimSpace(line))
			}
		}
	}
	return found
}
