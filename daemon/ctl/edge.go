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
	// maxEdges bounds the processes of one command.
	maxEdges = 1000
	// edgeTimeout bounds the question to one process.
	edgeTimeout = 3 * time.Second
)

func edgeCommands() []Command {
	return []Command{
		{Name: "state", Summary: "show what edge processes believe: configuration, servers, routers, roll-outs", Run: runState},
		verbs("decode", "check a file of the users' platform and show what it means", map[string]func(context.Context, Env, []string) int{
			"settings": runDecodeSettings,
			"config":   runDecodeConfig,
		}, "settings", "config"),
	}
}

// edgeAnswer is the state of one process, or why it is not known.
type edgeAnswer struct {
	Address string      `json:"address"`
	Error   string      `json:"error,omitempty"`
	State   *edge.State `json:"state,omitempty"`
}

func runState(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "state", "ADDRESS ...", "Asks edge processes at their readiness or metrics addresses.")
	return s.run(ctx, func(ctx context.Context) error {
		if err := s.parse(args, 1, maxEdges); err != nil {
			return err
		}
		var answers []edgeAnswer
		missing := 0
		for _, address := range s.args {
			state, err := askEdge(ctx, address)
			answer := edgeAnswer{Address: address, State: state}
			if err != nil {
				answer.Error = err.Error()
				missing++
			}
			answers = append(answers, answer)
		}
		s.print(answers, func(w io.Writer) { printStates(w, answers) })
		if missing > 0 {
			return fmt.Errorf("%w: %d of %d processes did not answer", errNegative, missing, len(answers))
		}
		return nil
	})
}

func askEdge(ctx context.Context, address string) (*edge.State, error) {
	ctx, cancel := context.WithTimeout(ctx, edgeTimeout)
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
	return state, json.NewDecoder(response.Body).Decode(state)
}

// printStates prints a line for each process, and below it what differs from
// process to process: servers that are not plainly usable, and roll-outs.
func printStates(w io.Writer, answers []edgeAnswer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "process\tready\tconfig\trevision\tstore answered\tload report\trouters\tservers")
	for _, a := range answers {
		if a.State == nil {
			fmt.Fprintf(t, "%s\tno answer: %s\n", a.Address, a.Error)
			continue
		}
		s := a.State
		fmt.Fprintf(t, "%s\t%v\t%d, %s\t%d\t%s\t%s\t%d\t%d\n", s.VM, s.Ready, s.ConfigVersion, ago(s.ConfigAgeMS), s.MirrorRevision,
			ago(s.StoreAnswerAgeMS), ago(s.LoadReportAgeMS), len(s.Routers), len(s.Servers))
	}
	t.Flush()
	for _, a := range answers {
		if a.State != nil {
			printEdge(w, a.State)
		}
	}
}

func printEdge(w io.Writer, s *edge.State) {
	fmt.Fprintf(w, "\n%s (%s)\n", s.VM, s.DataCentre)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  server\tservice\tversion\tdata centre\tstate\tchanged\tin flight\tfailures\tavoided")
	for _, b := range s.Servers {
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d ms\n", b.ID, b.Service, b.Version, b.DataCentre, b.State, ago(b.AgeMS), b.InFlight, b.Failures, b.AvoidedMS)
	}
	for _, r := range s.Rollouts {
		fmt.Fprintf(t, "  roll-out of %s\tto %s\tphase %s\tordered %s\tcondemned %v\tnew %d good, %d bad\told %d good, %d bad\n", r.Service, r.Target, r.Phase,
			ago(r.AgeMS), r.Rejected, r.Evidence.Target.Good, r.Evidence.Target.Bad, r.Evidence.Base.Good, r.Evidence.Base.Bad)
	}
	t.Flush()
}

// ago formats an age in ms.
func ago(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

// decodedSettings are the settings of an edge process, without its connections.
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
}

func runDecodeSettings(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "decode settings", "FILE", "Checks the settings of an edge process and shows what it would use.")
	return s.run(ctx, func(context.Context) error {
		if err := s.parse(args, 1, 1); err != nil {
			return err
		}
		in, err := platform.LoadSettings(s.args[0])
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		out := decodedSettings{
			VM: in.VM, DataCentre: in.DataCentre, Frontend: in.FrontendAddress, Ready: in.ReadyAddress, Peer: in.PeerAddress, SeedPeers: in.SeedPeers,
			MemoryBytes: in.MemoryLimitBytes, GraceMS: in.GracePeriod.Milliseconds(), RetryRatio: in.Retries.Ratio, RetryExtra: in.Retries.Extra,
			RetryWindowMS: in.Retries.Window.Milliseconds(), ColdFactor: in.ColdFactor, ColdExtra: in.ColdExtra, ExposureShare: in.ExposureShare,
		}
		s.json = true
		s.print(out, nil)
		return nil
	})
}

// decodedConfig is a configuration without keys of workspaces.
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
	s := newSession(env, "decode config", "FILE", "Checks a configuration of the operators and shows what it means; code 1 when a part of it is useless.")
	return s.run(ctx, func(context.Context) error {
		if err := s.parse(args, 1, 1); err != nil {
			return err
		}
		raw, err := os.ReadFile(s.args[0])
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		config, err := platform.DecodeConfig(raw)
		if err != nil {
			return fmt.Errorf("%w: %s: %w", errUsage, s.args[0], err)
		}
		out := decodedConfig{
			Version: config.Version, BodyBytes: config.Limits.MaxBodyBytes, Routes: config.Routes(), Keys: config.Workspaces(),
			Problems: config.Problems(),
		}
		for _, service := range config.Services {
			out.Services = append(out.Services, service)
		}
		slices.SortFunc(out.Services, func(a, b *topology.Service) int { return strings.Compare(a.Name, b.Name) })
		s.print(out, func(w io.Writer) { printConfig(w, &out) })
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
