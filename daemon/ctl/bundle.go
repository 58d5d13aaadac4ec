package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
)

// bundleCommands returns the commands for bundle files and their history.
func bundleCommands() []Command {
	return []Command{
		keygenCommand(),
		{Name: "check", Summary: "validate a bundle file", Run: runCheck},
		{Name: "export", Summary: "write the bundle in force to a file", Run: runExport},
		{Name: "sign", Summary: "sign a proposal, or the operator keys of a bundle file", Run: runSign},
		{Name: "propose", Summary: "put a bundle file or signed proposal in force", Run: runPropose},
		{Name: "diff", Summary: "compare versions or bundle files", Run: runDiff},
		{Name: "history", Summary: "list the versions that the store keeps", Run: runHistory},
		{Name: "status", Summary: "show what is in force", Run: runStatus},
		{Name: "rollback", Summary: "put an earlier version's content in force again", Run: runRollback},
	}
}

func runCheck(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "check", "[FILE]", "Validates FILE, or the bundle in the store when FILE is absent.").withStore()
	return s.run(ctx, func(ctx context.Context) error {
		if err := s.parse(args, 0, 1); err != nil {
			return err
		}
		err := s.check(ctx)
		var invalid *bundle.ValidationError
		if err != nil && !errors.As(err, &invalid) {
			return err
		}
		problems := []bundle.Problem{}
		if invalid != nil {
			problems = invalid.Problems
		}
		s.print(map[string]any{"valid": invalid == nil, "problems": problems}, func(w io.Writer) {
			if invalid == nil {
				fmt.Fprintln(w, "valid")
				return
			}
			fmt.Fprintln(w, invalid)
		})
		if invalid != nil {
			return fmt.Errorf("%w: invalid", errNegative)
		}
		return nil
	})
}

func (s *session) check(ctx context.Context) error {
	if len(s.args) == 1 {
		_, err := readBundle(s.args[0])
		return err
	}
	store, err := s.open()
	if err != nil {
		return err
	}
	base, err := inForce(ctx, store)
	if err != nil {
		return err
	}
	return base.Bundle.Validate()
}

func runExport(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "export", "FILE", "Writes the bundle in force to FILE and prints its version for propose -parent.").withStore()
	version := s.flags.Uint64("version", 0, "`VERSION` of the history instead")
	return s.run(ctx, func(ctx context.Context) error {
		store, err := s.parseAndOpen(args, 1, 1)
		if err != nil {
			return err
		}
		found, err := atVersion(ctx, store, *version)
		if err != nil {
			return err
		}
		s.print(map[string]any{"version": found.Manifest.Version}, func(w io.Writer) {
			fmt.Fprintf(w, "version %d\n", found.Manifest.Version)
		})
		return writeJSON(s.args[0], found.Bundle)
	})
}

// atVersion reads a version of the history; 0 and the present one mean the one
// in force.
func atVersion(ctx context.Context, store kv.Store, version uint64) (distribute.StoredBundle, error) {
	base, err := inForce(ctx, store)
	if err != nil || version == 0 || version == base.Manifest.Version {
		return base, err
	}
	return distribute.ReadHistory(ctx, store, version)
}

func runSign(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "sign", "FILE", "Adds sign-offs to a proposal file. With -keys it adds root signatures to the operator keys of a bundle file.")
	var keys stringList
	s.flags.Var(&keys, "key", "key `FILE` to sign with; may be repeated")
	root := s.flags.Bool("keys", false, "sign the operator keys of a bundle file with root keys")
	return s.run(ctx, func(context.Context) error {
		if err := s.parse(args, 1, 1); err != nil {
			return err
		}
		private, _, err := readKeys(keys)
		if err != nil {
			return err
		}
		if len(private) == 0 {
			return fmt.Errorf("%w: -key is not set", errUsage)
		}
		if *root {
			b, err := readBundle(s.args[0])
			if err != nil {
				return err
			}
			for _, key := range private {
				b.Keys = bundle.SignKeys(b.Keys, key)
			}
			return writeJSON(s.args[0], b)
		}
		p, ok, err := readProposal(s.args[0])
		if err == nil && !ok {
			err = fmt.Errorf("%w: %s is no proposal", errUsage, s.args[0])
		}
		if err != nil {
			return err
		}
		for _, key := range private {
			p.Signed = bundle.Sign(p.Signed, key)
		}
		return writeJSON(s.args[0], p)
	})
}

func runPropose(ctx context.Context, env Env, args []string) int {
	c := newChanger(env, "propose", "FILE", "Proposes a bundle file as the successor of -parent, or a proposal file with its sign-offs.")
	parent := c.flags.Int64("parent", -1, "`VERSION` that the bundle file was made from; 0 for the first bundle")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 1, 1); err != nil {
			return err
		}
		store, err := c.open()
		if err != nil {
			return err
		}
		base, err := distribute.ReadStoredBundle(ctx, store)
		if err != nil {
			return err
		}
		p, ok, err := readProposal(c.args[0])
		if err != nil {
			return err
		}
		if ok {
			return c.proposeSigned(ctx, store, base, p)
		}
		next, err := readBundle(c.args[0])
		if err != nil {
			return err
		}
		if *parent < 0 {
			return fmt.Errorf("%w: -parent is not set", errUsage)
		}
		if uint64(*parent) != base.Manifest.Version {
			return c.conflict(ctx, store, proposal{Bundle: next})
		}
		return c.submit(ctx, store, base, next)
	})
}

// proposeSigned proposes a file with sign-offs. One that is in force already was
// accepted earlier and its answer was lost.
func (c *changer) proposeSigned(ctx context.Context, store *kv.Client, base distribute.StoredBundle, p proposal) error {
	m, err := p.Signed.DecodeManifest()
	if err != nil {
		return err
	}
	if base.Bundle != nil && base.Signed.Hash() == p.Signed.Hash() {
		c.report(outcome{State: "in_force", Version: m.Version})
		return nil
	}
	if m.Parent != base.Manifest.Version {
		return c.conflict(ctx, store, p)
	}
	if err := checkNext(base.Bundle, p.Bundle); err != nil {
		return err
	}
	return c.propose(ctx, store, base, p)
}

func runDiff(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "diff", "OLD [NEW]", "Compares two versions or files; NEW defaults to the version in force.").withStore()
	return s.run(ctx, func(ctx context.Context) error {
		if err := s.parse(args, 1, 2); err != nil {
			return err
		}
		old, err := s.load(ctx, s.args[0])
		if err != nil {
			return err
		}
		which := "0"
		if len(s.args) == 2 {
			which = s.args[1]
		}
		next, err := s.load(ctx, which)
		if err != nil {
			return err
		}
		changes := bundle.Diff(old, next)
		s.print(changes, func(w io.Writer) { printChanges(w, changes) })
		return nil
	})
}

// load reads a version number from the store, or else a file.
func (s *session) load(ctx context.Context, which string) (*bundle.Bundle, error) {
	version, err := strconv.ParseUint(which, 10, 64)
	if err != nil {
		return readBundle(which)
	}
	store, err := s.open()
	if err != nil {
		return nil, err
	}
	found, err := atVersion(ctx, store, version)
	return found.Bundle, err
}

// historyLine is one version of the history.
type historyLine struct {
	Version uint64    `json:"version"`
	Parent  uint64    `json:"parent"`
	Created time.Time `json:"created"`
	Author  string    `json:"author"`
	Note    string    `json:"note"`
	InForce bool      `json:"in_force"`
}

func lineOf(m bundle.Manifest, inForce bool) historyLine {
	return historyLine{Version: m.Version, Parent: m.Parent, Created: m.Created, Author: m.Author, Note: m.Note, InForce: inForce}
}

func runHistory(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "history", "", "Lists the versions kept, the newest last.").withStore()
	return s.run(ctx, func(ctx context.Context) error {
		store, err := s.parseAndOpen(args, 0, 0)
		if err != nil {
			return err
		}
		lines, err := readHistory(ctx, store)
		if err != nil {
			return err
		}
		s.print(lines, func(w io.Writer) {
			for _, l := range lines {
				fmt.Fprintf(w, "%6d  %s  %-12s %s\n", l.Version, l.Created.Format(time.RFC3339), l.Author, l.Note)
			}
		})
		return nil
	})
}

func readHistory(ctx context.Context, store kv.Store) ([]historyLine, error) {
	base, err := inForce(ctx, store)
	if err != nil {
		return nil, err
	}
	entries, err := store.List(ctx, distribute.KeyHistory)
	if err != nil {
		return nil, err
	}
	var lines []historyLine
	for _, e := range entries {
		signed, err := bundle.DecodeSignedManifest(e.Value)
		if err != nil {
			continue
		}
		m, err := signed.DecodeManifest()
		if err == nil && m.Version != base.Manifest.Version {
			lines = append(lines, lineOf(m, false))
		}
	}
	return append(lines, lineOf(base.Manifest, true)), nil
}

// statusReport is what status prints.
type statusReport struct {
	historyLine
	SignOffs       int              `json:"sign_offs"`
	Operators      int              `json:"operators"`
	Workspaces     int              `json:"workspaces"`
	DataCentresOut []string         `json:"data_centres_out"`
	VMsOut         []string         `json:"vms_out"`
	Withdrawn      []string         `json:"withdrawn"`
	Rollouts       []bundle.Rollout `json:"rollouts"`
	Stopped        []string         `json:"stopped"`
}

func runStatus(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "status", "", "Shows the version in the store and what is out, withdrawn, rolling out or stopped.").withStore()
	return s.run(ctx, func(ctx context.Context) error {
		store, err := s.parseAndOpen(args, 0, 0)
		if err != nil {
			return err
		}
		base, err := inForce(ctx, store)
		if err != nil {
			return err
		}
		report := statusOf(base)
		stops, err := store.List(ctx, distribute.KeyStops)
		if err != nil {
			return err
		}
		for _, e := range stops {
			report.Stopped = append(report.Stopped, e.Key[len(distribute.KeyStops):])
		}
		s.print(report, report.text)
		return nil
	})
}

func statusOf(base distribute.StoredBundle) statusReport {
	b := base.Bundle
	r := statusReport{
		historyLine: lineOf(base.Manifest, true),
		SignOffs:    b.Keys.SignOffs,
		Operators:   len(b.Keys.Operators),
		Workspaces:  len(b.Workspaces),
	}
	for _, d := range b.DataCentres {
		if d.State == bundle.DataCentreOutOfService {
			r.DataCentresOut = append(r.DataCentresOut, d.Name)
		}
	}
	for _, v := range b.VMs {
		if v.OutOfService {
			r.VMsOut = append(r.VMsOut, v.Name)
		}
	}
	for _, m := range b.Models {
		for _, v := range m.Versions {
			if v.State == bundle.VersionWithdrawn {
				r.Withdrawn = append(r.Withdrawn, m.Name+"@"+v.Name)
			}
		}
	}
	for _, rollout := range b.Rollouts {
		if rollout.Active() {
			r.Rollouts = append(r.Rollouts, rollout)
		}
	}
	return r
}

func (r statusReport) text(w io.Writer) {
	fmt.Fprintf(w, "version %d of %s by %s: %s\n", r.Version, r.Created.Format(time.RFC3339), r.Author, r.Note)
	fmt.Fprintf(w, "workspaces: %d; sign-offs: %d of %d operators\n", r.Workspaces, r.SignOffs, r.Operators)
	fmt.Fprintf(w, "data centres out: %v\nVMs out: %v\nwithdrawn: %v\nstopped: %v\n", r.DataCentresOut, r.VMsOut, r.Withdrawn, r.Stopped)
	for _, x := range r.Rollouts {
		fmt.Fprintf(w, "roll-out %s: %s %s -> %s, %s, step %d (share %g)\n", x.ID, x.Model, x.From, x.To, x.State, x.Step, x.Steps[x.Step])
	}
}
