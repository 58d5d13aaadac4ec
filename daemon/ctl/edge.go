package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cactusknot.example/daemon/edge"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/platform"
)

const (
	// maxEdges is the maximum number of processes that one command queries.
	maxEdges = 1000
	// stateTimeout bounds the request to one process.
	stateTimeout = 3 * time.Second
	// maxStateBytes bounds the state that a process returns.
	maxStateBytes = 16 << 20
)

func edgeCommands() []Command {
	return []Command{
		{Name: "state", Summary: "show the state of edge processes: configuration, servers, routers, roll-outs", Run: runState},
		commandGroup("decode", "validate a file of the users' platform and print its decoded content", map[string]func(context.Context, Env, []string) int{
			"settings": runDecodeSettings,
			"config":   runDecodeConfig,
		}, "settings", "config"),
	}
}

// stateResult is the state of one process, or the error of the request for it.
type stateResult struct {
	Address string      `json:"address"`
	Error   string      `json:"error,omitempty"`
	State   *edge.State `json:"state,omitempty"`
}

func runState(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "state", "ADDRESS ...", "Queries edge processes at their readiness or metrics addresses.")
	return inv.run(ctx, func(ctx context.Context) error {
		if err := inv.parse(args, 1, maxEdges); err != nil {
			return err
		}
		var results []stateResult
		failed := 0
		for _, address := range inv.args {
			state, err := fetchState(ctx, address)
			result := stateResult{Address: address, State: state}
			if err != nil {
				result.Error = err.Error()
				failed++
			}
			results = append(results, result)
		}
		inv.print(results, func(w io.Writer) { printStates(w, results) })
		if failed > 0 {
			return fmt.Errorf("%w: %d of %d processes did not respond", errNegative, failed, len(results))
		}
		return nil
	})
}

// fetchState requests the state of the edge process at address.
func fetchState(ctx context.Context, address string) (*edge.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	state := &edge.State{}
	return state, json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(state)
}

// printStates prints a summary line for each process, followed by the servers and
// rollouts of each process.
func printStates(w io.Writer, results []stateResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "process\tready\tconfig\trevision\tstore response\tload report\trouters\tservers")
	for _, a := range results {
		if a.State == nil {
			fmt.Fprintf(t, "%s\tno response: %s\n", a.Address, a.Error)
			continue
		}
		s := a.State
		fmt.Fprintf(t, "%s\t%v\t%d, %s\t%d\t%s\t%s\t%d\t%d\n", s.VM, s.Ready, s.ConfigVersion, formatAge(s.ConfigAgeMS), s.MirrorRevision,
			formatAge(s.StoreAnswerAgeMS), formatAge(s.LoadReportAgeMS), len(s.Routers), len(s.Servers))
	}
	t.Flush()
	for _, a := range results {
		if a.State != nil {
			printState(w, a.State)
		}
	}
}

func printState(w io.Writer, s *edge.State) {
	source := "the store"
	if s.StoreReader != "" {
		source = s.StoreReader
	}
	fmt.Fprintf(w, "\n%s (%s), changes from %s", s.VM, s.DataCentre, source)
	if len(s.StoreReaders) > 0 {
		fmt.Fprintf(w, ", readers of the store: %s", strings.Join(s.StoreReaders, " "))
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  server\tservice\tversion\tdata centre\tstate\tchanged\tin flight\tfailures\tavoided\tviolation")
	for _, b := range s.Servers {
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d ms\t%s\n", b.ID, b.Service, b.Version, b.DataCentre, b.State, formatAge(b.AgeMS), b.InFlight, b.Failures, b.AvoidedMS, formatViolation(b))
	}
	for _, r := range s.Rollouts {
		fmt.Fprintf(t, "  roll-out of %s\tto %s\tphase %s\tordered %s\tcondemned %v\tnew %d good, %d bad\told %d good, %d bad\n", r.Service, r.Target, r.Phase,
			formatAge(r.AgeMS), r.Rejected, r.Evidence.Target.Good, r.Evidence.Target.Bad, r.Evidence.Base.Good, r.Evidence.Base.Bad)
	}
	for _, q := range s.Waiting {
		fmt.Fprintf(t, "  waiting for %s\tclass %d\t%d in time\t%d late\twork %d ms\texpected wait %d ms\n", q.Service, q.Class, q.OnTime, q.Late, q.WorkMS, q.ExpectedWaitMS)
	}
	for _, d := range s.Duties {
		fmt.Fprintf(t, "  duty %s\towner %s\town %v\ttoken %d\tlast call %s %s %s\tsettled %d\tsent %d\tunsettled %d\n", d.Name, d.Owner, d.Own, d.Token,
			d.LastCall, d.LastResult, formatAge(d.LastCallAgeMS), d.LastSettled, d.LastSent, d.UnsettledCount)
	}
	t.Flush()
}

// formatViolation names the latest violation of the protocol by a server.
func formatViolation(s edge.ServerState) string {
	if s.Violation == "" {
		return "-"
	}
	return s.Violation + " " + formatAge(s.ViolationAgeMS)
}

// formatAge formats an age in milliseconds; a negative one means that the event
// has not happened.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

// decodedSettings is the output of decode settings: the settings of an edge process
// without its connection settings.
type decodedSettings struct {
	VM            string   `json:"vm"`
	DataCentre    string   `json:"data_centre"`
	Frontend      string   `json:"frontend"`
	Ready         string   `json:"ready"`
	Peer          string   `json:"peer"`
	SeedPeers     []string `json:"seed_peers"`
	MemoryBytes   int64    `json:"memory_bytes"`
	GraceMS       int64    `json:"grace_ms"`
	RetryRatio    float64  `json:"retry_ratio"`
	RetryExtra    float64  `json:"retry_extra"`
	RetryWindowMS int64    `json:"retry_window_ms"`
	ColdFactor    float64  `json:"cold_factor"`
	ColdExtra     float64  `json:"cold_extra"`
	ExposureShare float64  `json:"exposure_share"`
	// ExposureTolerance is a number of requests.
	ExposureTolerance int     `json:"exposure_tolerance"`
	ContactMS         int64   `json:"contact_ms"`
	ConfigApplyMS     int64   `json:"config_apply_ms"`
	StoreReads        float64 `json:"store_reads_per_s"`
	HeartbeatMS       int64   `json:"server_heartbeat_ms"`
	// LateAnswerValue is the value of an answer after the latency target, as a fraction of
	// a timely one's.
	LateAnswerValue float64 `json:"late_answer_value"`
}

func runDecodeSettings(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "decode settings", "FILE", "Validates the settings of an edge process and prints the effective values.")
	return inv.run(ctx, func(context.Context) error {
		if err := inv.parse(args, 1, 1); err != nil {
			return err
		}
		in, err := platform.LoadSettings(inv.args[0])
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		out := decodedSettings{
			VM: in.VM, DataCentre: in.DataCentre, Frontend: in.FrontendAddress, Ready: in.ReadyAddress, Peer: in.PeerAddress, SeedPeers: in.SeedPeers,
			MemoryBytes: in.MemoryLimitBytes, GraceMS: in.GracePeriod.Milliseconds(), RetryRatio: in.Retries.Ratio, RetryExtra: in.Retries.Extra,
			RetryWindowMS: in.Retries.Window.Milliseconds(), ColdFactor: in.ColdFactor, ColdExtra: in.ColdExtra, ExposureShare: in.Exposure.Share, ExposureTolerance: in.Exposure.Tolerance,
			ContactMS: in.Contact.Milliseconds(), ConfigApplyMS: in.ConfigApply.Milliseconds(), StoreReads: in.StoreReadsPerS,
			HeartbeatMS: in.ServerHeartbeat.Milliseconds(), LateAnswerValue: in.LateAnswerValue,
		}
		inv.json = true
		inv.print(out, nil)
		return nil
	})
}

// decodedConfig is the output of decode config. It omits the API keys of the
// workspaces, which are secret.
type decodedConfig struct {
	Version   uint64              `json:"version"`
	BodyBytes int64               `json:"body_bytes"`
	Routes    []*topology.Route   `json:"routes"`
	Services  []*topology.Service `json:"services"`
	// Keys is the number of API keys of each workspace.
	Keys     map[string]int `json:"keys"`
	Problems []string       `json:"problems"`
}

func runDecodeConfig(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "decode config", "FILE", "Validates a configuration of the operators and prints its decoded content; the exit code is 1 if a part of it is unusable.")
	return inv.run(ctx, func(context.Context) error {
		if err := inv.parse(args, 1, 1); err != nil {
			return err
		}
		raw, err := os.ReadFile(inv.args[0])
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		config, err := platform.DecodeConfig(raw)
		if err != nil {
			return fmt.Errorf("%w: %s: %w", errUsage, inv.args[0], err)
		}
		out := decodedConfig{
			Version: config.Version, BodyBytes: config.Limits.MaxBodyBytes, Routes: config.Routes(), Keys: config.Workspaces(),
			Problems: config.Problems(),
		}
		for _, service := range config.Services {
			out.Services = append(out.Services, service)
		}
		slices.SortFunc(out.Services, func(a, b *topology.Service) int { return strings.Compare(a.Name, b.Name) })
		inv.print(out, func(w io.Writer) { printConfig(w, &out) })
		if len(out.Problems) > 0 {
			return errNegative
		}
		return nil
	})
}

func printConfig(w io.Writer, c *decodedConfig) {
	fmt.Fprintf(w, "version %d, bodies up to %d bytes, %d workspaces\n", c.Version, c.BodyBytes, len(c.Keys))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\thost and prefix\tkind\ttimeout\tlatency target\tattempts\tmodels\tservices")
	for _, r := range c.Routes {
		fmt.Fprintf(t, "%s\t%s%s\t%s\t%s\t%s\t%d\t%v\t%v\n", r.Name, r.Host, r.Prefix, r.Kind, r.Timeout, r.LatencyTarget, r.MaxAttempts, r.Models, r.Shares)
	}
	for _, service := range c.Services {
		fmt.Fprintf(t, "service %s\tcold for %s\t%.1f requests/s while cold\t%d tokens an event\n", service.Name, service.ColdStart, service.ColdRateLimit, service.EventTokens)
	}
	t.Flush()
	for _, problem := range c.Problems {
		fmt.Fprintln(w, "problem:", problem)
	}
}
