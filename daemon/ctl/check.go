package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/platform"
)

// fileFinding is a finding with the file that it is about.
type fileFinding struct {
	File string `json:"file"`
	topology.Finding
}

// checkReport is the output of the check command.
type checkReport struct {
	// Valid is true if there is no error.
	Valid bool `json:"valid"`
	// Problems lists the problems of a bundle, which are also findings.
	Problems []bundle.Problem `json:"problems"`
	Findings []fileFinding    `json:"findings"`
	// Differences is absent unless two configurations were compared.
	Differences []topology.Difference `json:"differences,omitzero"`
}

// add appends findings about a file.
func (r *checkReport) add(file string, findings ...topology.Finding) {
	for _, f := range findings {
		r.Findings = append(r.Findings, fileFinding{File: file, Finding: f})
	}
}

// finish puts errors before warnings. Findings of the same severity keep their order.
func (r *checkReport) finish() {
	slices.SortStableFunc(r.Findings, func(a, b fileFinding) int { return a.Severity.Compare(b.Severity) })
	r.Valid = len(r.Findings) == 0 || r.Findings[0].Severity != topology.SeverityError
}

// result returns the error that leads to the exit code: 2 for errors, 1 for warnings if
// strict is set.
func (r *checkReport) result(strict bool) error {
	switch {
	case !r.Valid:
		return fmt.Errorf("%w: %w", errNegative, errUsage)
	case strict && len(r.Findings) > 0:
		return errNegative
	}
	return nil
}

func (r *checkReport) writeText(w io.Writer) {
	for _, f := range r.Findings {
		var at []string
		for _, part := range []string{f.Place, f.Field} {
			if part != "" {
				at = append(at, part)
			}
		}
		if f.Name != "" {
			at = append(at, fmt.Sprintf("(%s)", f.Name))
		}
		where := ""
		if len(at) > 0 {
			where = strings.Join(at, " ") + ": "
		}
		fmt.Fprintf(w, "%s: %s: %s%s [%s]\n", f.File, f.Severity, where, f.Reason, f.Rule)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(w, "difference: requests %s, for example %s: %s -> %s\n", d.Requests, d.Example, d.OldRule, d.NewRule)
		for _, c := range d.Changes {
			fmt.Fprintf(w, "  %s: %s -> %s\n", c.Field, c.Old, c.New)
		}
	}
	if r.Valid {
		fmt.Fprintln(w, "valid")
	}
}

// checkCommand is one run of the check command.
type checkCommand struct {
	*invocation
	config, settings, against string
	inForce, strict           bool
	report                    checkReport
}

func runCheck(ctx context.Context, env Env, args []string) int {
	c := &checkCommand{report: checkReport{Problems: []bundle.Problem{}, Findings: []fileFinding{}}}
	c.invocation = newInvocation(env, "check", "[FILE]", `Checks the bundle FILE, or the files of an edge deployment given by -config and -settings.
Without any file it checks the bundle in the store. Only that and -in-force use the network.
Exit code: 0 clean, 1 warnings with -strict, 2 errors.`).withStore()
	c.flags.StringVar(&c.config, "config", "", "`FILE` with the operators' configuration of an edge deployment")
	c.flags.StringVar(&c.settings, "settings", "", "`FILE` with the settings of an edge process")
	c.flags.StringVar(&c.against, "against", "", "`FILE` with the configuration to compare -config with")
	c.flags.BoolVar(&c.inForce, "in-force", false, "compare -config with the configuration in the store")
	c.flags.BoolVar(&c.strict, "strict", false, "exit with code 1 if there are warnings")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 0, 1); err != nil {
			return err
		}
		edgeFiles := c.config != "" || c.settings != ""
		switch {
		case edgeFiles && len(c.args) > 0:
			return fmt.Errorf("%w: a bundle file cannot be checked together with -config or -settings", errUsage)
		case c.config == "" && (c.against != "" || c.inForce):
			return fmt.Errorf("%w: -against and -in-force need -config", errUsage)
		case c.against != "" && c.inForce:
			return fmt.Errorf("%w: -against and -in-force exclude each other", errUsage)
		}
		check := c.checkBundle
		if edgeFiles {
			check = c.checkEdge
		}
		if err := check(ctx); err != nil {
			return err
		}
		c.report.finish()
		c.print(&c.report, c.report.writeText)
		return c.report.result(c.strict)
	})
}

func (c *checkCommand) checkBundle(ctx context.Context) error {
	file := "bundle in the store"
	if len(c.args) == 1 {
		file = c.args[0]
	}
	b, err := c.validateBundle(ctx)
	var invalid *bundle.ValidationError
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	if invalid == nil {
		for _, w := range b.Warnings() {
			c.report.add(file, topology.Finding{Severity: topology.SeverityWarning, Rule: "bundle-unused", Place: w.Path, Reason: w.Reason})
		}
		return nil
	}
	c.report.Problems = invalid.Problems
	for _, p := range invalid.Problems {
		c.report.add(file, topology.Finding{Severity: topology.SeverityError, Rule: "bundle-invalid", Place: p.Path, Reason: p.Reason})
	}
	return nil
}

// checkEdge checks the files of an edge deployment.
func (c *checkCommand) checkEdge(ctx context.Context) error {
	var config *topology.Config
	if c.config != "" {
		raw, err := os.ReadFile(c.config)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		if config, err = platform.DecodeConfig(raw); err != nil {
			c.report.add(c.config, decodeFinding(raw, err))
		} else {
			c.report.add(c.config, platform.Findings(config)...)
			if err := c.compare(ctx, config); err != nil {
				return err
			}
		}
	}
	if c.settings == "" {
		return nil
	}
	raw, err := os.ReadFile(c.settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	settings, err := platform.DecodeSettings(c.settings, raw)
	if err != nil {
		c.report.add(c.settings, platform.SettingsFinding(c.settings, err))
		return nil
	}
	c.report.add(c.settings, platform.CheckSettings(settings, config)...)
	return nil
}

// decodeFinding returns the error of a file that is not a configuration as a finding.
func decodeFinding(raw []byte, err error) topology.Finding {
	f := topology.Finding{Severity: topology.SeverityError, Rule: "format", Reason: err.Error()}
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		f.Place, f.Field = linePlace(raw, wrongType.Offset), wrongType.Field
		f.Reason = fmt.Sprintf("%s where %s is expected", wrongType.Value, wrongType.Type)
	case errors.As(err, &syntax):
		f.Place = linePlace(raw, syntax.Offset)
	}
	return f
}

// linePlace names the line of the byte at offset.
func linePlace(raw []byte, offset int64) string {
	before := raw[:max(0, min(offset, int64(len(raw))))]
	return fmt.Sprintf("line %d", 1+strings.Count(string(before), "\n"))
}

// compare adds the differences from the configuration given by -against or -in-force.
func (c *checkCommand) compare(ctx context.Context, config *topology.Config) error {
	var old *topology.Config
	var err error
	switch {
	case c.inForce:
		if c.store == "" {
			return fmt.Errorf("%w: -store is not set", errUsage)
		}
		address := strings.TrimSuffix(strings.TrimPrefix(c.store, "http://"), "/")
		if old, err = platform.ReadConfig(ctx, platform.NewStore(address)); err != nil {
			return err
		}
	case c.against != "":
		raw, err := os.ReadFile(c.against)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		if old, err = platform.DecodeConfig(raw); err != nil {
			return fmt.Errorf("%w: %s: %w", errUsage, c.against, err)
		}
	default:
		return nil
	}
	c.report.Differences = append([]topology.Difference{}, topology.Compare(old, config)...)
	if config.Version < old.Version || (config.Version == old.Version && len(c.report.Differences) > 0) {
		c.report.add(c.config, topology.Finding{
			Severity: topology.SeverityError, Rule: "version-not-above", Place: "version",
			Reason: fmt.Sprintf("%d is not above %d, the version compared with, so that processes may ignore it", config.Version, old.Version),
		})
	}
	return nil
}
