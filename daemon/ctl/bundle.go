package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
)

// bundleCommands returns the commands that work on bundle files, on the bundle
// in the store and on its history.
func bundleCommands() []Command {
	return []Command{
		keygenCommand(),
		{Name: "check", Summary: "check a bundle, or the configuration and settings of an edge deployment", Run: runCheck},
		{Name: "export", Summary: "write the bundle in force to a file", Run: runExport},
		{Name: "sign", Summary: "sign a proposal, or the operator keys of a bundle file", Run: runSign},
		{Name: "propose", Summary: "put a bundle file or signed proposal in force", Run: runPropose},
		{Name: "diff", Summary: "compare versions or bundle files", Run: runDiff},
		{Name: "history", Summary: "list the versions in the store", Run: runHistory},
		{Name: "status", Summary: "summarize the version in force", Run: runStatus},
		{Name: "rollback", Summary: "put an earlier version's content in force again", Run: runRollback},
	}
}

// validateBundle reads and validates the bundle file given as operand, or else the bundle
// in the store.
func (inv *invocation) validateBundle(ctx context.Context) (*bundle.Bundle, error) {
	if len(inv.args) == 1 {
		return readBundle(inv.args[0])
	}
	store, err := inv.openStore()
	if err != nil {
		return nil, err
	}
	base, err := readCurrent(ctx, store)
	if err != nil {
		return nil, err
	}
	return base.Bundle, base.Bundle.Validate()
}

func runExport(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "export", "FILE", "Writes the bundle in force to FILE and prints its version, to be passed to propose -parent.").withStore()
	version := inv.flags.Uint64("version", 0, "`VERSION` of the history to export instead of the one in force")
	return inv.run(ctx, func(ctx context.Context) error {
		store, err := inv.parseAndOpen(args, 1, 1)
		if err != nil {
			return err
		}
		found, err := readVersion(ctx, store, *version)
		if err != nil {
			return err
		}
		inv.print(map[string]any{"version": found.Manifest.Version}, func(w io.Writer) {
			fmt.Fprintf(w, "version %d\n", found.Manifest.Version)
		})
		return writeJSON(inv.args[0], found.Bundle)
	})
}

// readVersion reads a version from the store. Version 0 stands for the one in
// force, which is not part of the history.
func readVersion(ctx context.Context, store kv.Store, version uint64) (distribute.StoredBundle, error) {
	base, err := readCurrent(ctx, store)
	if err != nil || version == 0 || version == base.Manifest.Version {
		return base, err
	}
	return distribute.ReadHistory(ctx, store, version)
}

func runSign(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "sign", "FILE", "Adds sign-offs to a proposal file. With -keys it adds root signatures to the operator keys of a bundle file.")
	var keys stringList
	inv.flags.Var(&keys, "key", "key `FILE` to sign with; may be repeated")
	root := inv.flags.Bool("keys", false, "sign the operator keys of a bundle file with root keys")
	return inv.run(ctx, func(context.Context) error {
		if err := inv.parse(args, 1, 1); err != nil {
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
			b, err := readBundle(inv.args[0])
			if err != nil {
				return err
			}
			for _, key := range private {
				b.Keys = bundle.SignKeys(b.Keys, key)
			}
			return writeJSON(inv.args[0], b)
		}
		p, ok, err := readProposal(inv.args[0])
		if err == nil && !ok {
			err = fmt.Errorf("%w: %s is not a proposal file", errUsage, inv.args[0])
		}
		if err != nil {
			return err
		}
		for _, key := range private {
			p.Signed = bundle.Sign(p.Signed, key)
		}
		return writeJSON(inv.args[0], p)
	})
}

func runPropose(ctx context.Context, env Env, args []string) int {
	c := newConfigChange(env, "propose", "FILE", "Proposes a bundle file as the successor of -parent, or a proposal file with its sign-offs.")
	parent := c.flags.Int64("parent", -1, "`VERSION` that the bundle file was made from; 0 for the first bundle")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 1, 1); err != nil {
			return err
		}
		store, err := c.openStore()
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
			return c.reportConflict(ctx, store, proposal{Bundle: next})
		}
		return c.submit(ctx, store, base, next)
	})
}

// proposeSigned proposes a file with sign-offs. If exactly this manifest is in
// force already, an earlier attempt succeeded and its response was lost, so the
// command reports success.
func (c *configChange) proposeSigned(ctx context.Context, store *kv.Client, base distribute.StoredBundle, p proposal) error {
	m, err := p.Signed.DecodeManifest()
	if err != nil {
		return err
	}
	if base.Bundle != nil && base.Signed.Hash() == p.Signed.Hash() {
		c.printResult(changeResult{State: "in_force", Version: m.Version})
		return nil
	}
	if m.Parent != base.Manifest.Version {
		return c.reportConflict(ctx, store, p)
	}
	if err := validateSuccessor(base.Bundle, p.Bundle); err != nil {
		return err
	}
	return c.propose(ctx, store, base, p)
}

func runDiff(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "diff", "OLD [NEW]", "Compares two versions or files; NEW defaults to the version in force.").withStore()
	return inv.run(ctx, func(ctx context.Context) error {
		if err := inv.parse(args, 1, 2); err != nil {
			return err
		}
		old, err := inv.loadBundle(ctx, inv.args[0])
		if err != nil {
			return err
		}
		which := "0"
		if len(inv.args) == 2 {
			which = inv.args[1]
		}
		next, err := inv.loadBundle(ctx, which)
		if err != nil {
			return err
		}
		changes := bundle.Diff(old, next)
		inv.print(changes, func(w io.Writer) { printChanges(w, changes) })
		return nil
	})
}

// loadBundle reads a version from the store if which is a number, or else the
// bundle file at that path.
func (inv *invocation) loadBundle(ctx context.Context, which string) (*bundle.Bundle, error) {
	version, err := strconv.ParseUint(which, 10, 64)
	if err != nil {
		return readBundle(which)
	}
	store, err := inv.openStore()
	if err != nil {
		return nil, err
	}
	found, err := readVersion(ctx, store, version)
	return found.Bundle, err
}

// historyEntry describes one version of the configuration.
type historyEntry struct {
	Version uint64    `json:"version"`
	Parent  uint64    `json:"parent"`
	Created time.Time `json:"created"`
	Author  string    `json:"author"`
	Note    string    `json:"note"`
	InForce bool      `json:"in_force"`
}

func newHistoryEntry(m bundle.Manifest, inForce bool) historyEntry {
	return historyEntry{Version: m.Version, Parent: m.Parent, Created: m.Created, Author: m.Author, Note: m.Note, InForce: inForce}
}

func runHistory(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "history", "", "Lists the versions in the store, newest last.").withStore()
	return inv.run(ctx, func(ctx context.Context) error {
		store, err := inv.parseAndOpen(args, 0, 0)
		if err != nil {
			return err
		}
		lines, err := readHistory(ctx, store)
		if err != nil {
			return err
		}
		inv.print(lines, func(w io.Writer) {
			for _, l := range lines {
				fmt.Fprintf(w, "%6d  %s  %-12s %s\n", l.Version, l.Created.Format(time.RFC3339), l.Author, l.Note)
			}
		})
		return nil
	})
}

// readHistory returns the versions in the store, with the one in force last.
// Entries that cannot be decoded are skipped.
func readHistory(ctx context.Context, store kv.Store) ([]historyEntry, error) {
	base, err := readCurrent(ctx, store)
	if err != nil {
		return nil, err
	}
	entries, err := store.List(ctx, distribute.KeyHistory)
	if err != nil {
		return nil, err
	}
	var lines []historyEntry
	for _, e := range entries {
		signed, err := bundle.DecodeSignedManifest(e.Value)
		if err != nil {
			continue
		}
		m, err := signed.DecodeManifest()
		if err == nil && m.Version != base.Manifest.Version {
			lines = append(lines, newHistoryEntry(m, false))
		}
	}
	return append(lines, newHistoryEntry(base.Manifest, true)), nil
}

// statusReport is the output of the status command.
type statusReport struct {
	historyEntry
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
	inv := newInvocation(env, "status", "", "Shows the version in force and what is out of service, withdrawn, rolling out or stopped.").withStore()
	return inv.run(ctx, func(ctx context.Context) error {
		store, err := inv.parseAndOpen(args, 0, 0)
		if err != nil {
			return err
		}
		base, err := readCurrent(ctx, store)
		if err != nil {
			return err
		}
		report := newStatusReport(base)
		stops, err := store.List(ctx, distribute.KeyStops)
		if err != nil {
			return err
		}
		for _, e := range stops {
			report.Stopped = append(report.Stopped, e.Key[len(distribute.KeyStops):])
		}
		inv.print(report, report.writeText)
		return nil
	})
}

func newStatusReport(base distribute.StoredBundle) statusReport {
	b := base.Bundle
	r := statusReport{
		historyEntry: newHistoryEntry(base.Manifest, true),
		SignOffs:     b.Keys.SignOffs,
		Operators:    len(b.Keys.Operators),
		Workspaces:   len(b.Workspaces),
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

func (r statusReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "version %d of %s by %s: %s\n", r.Version, r.Created.Format(time.RFC3339), r.Author, r.Note)
	fmt.Fprintf(w, "workspaces: %d; sign-offs: %d of %d operators\n", r.Workspaces, r.SignOffs, r.Operators)
	fmt.Fprintf(w, "data centres out: %v\nVMs out: %v\nwithdrawn: %v\nstopped: %v\n", r.DataCentresOut, r.VMsOut, r.Withdrawn, r.Stopped)
	for _, x := range r.Rollouts {
		fmt.Fprintf(w, "roll-out %s: %s %s -> %s, %s, step %d (share %g)\n", x.ID, x.Model, x.From, x.To, x.State, x.Step, x.Steps[x.Step])
	}
}
