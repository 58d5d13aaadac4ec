package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
)

// proposal is a change that waits for further sign-offs, as a file.
type proposal struct {
	Signed bundle.SignedManifest `json:"signed"`
	Bundle *bundle.Bundle        `json:"bundle"`
}

// outcome is what a changing command reports.
type outcome struct {
	// State is in_force, unchanged, written (to a file), dry_run or conflict.
	State   string          `json:"state"`
	Version uint64          `json:"version"`
	Changes []bundle.Change `json:"changes"`
}

// changer holds the flags of commands that change the configuration.
type changer struct {
	*session
	keys stringList
	note string
	out  string
	dry  bool
}

func newChanger(env Env, name, operands, summary string) *changer {
	c := &changer{session: newSession(env, name, operands, summary).withStore()}
	c.flags.Var(&c.keys, "key", "operator key `FILE` to sign with; may be repeated")
	c.flags.StringVar(&c.note, "note", "", "`TEXT` that says why, kept in the history")
	c.flags.StringVar(&c.out, "out", "", "write the change to `FILE` for further sign-offs instead of proposing it")
	c.flags.BoolVar(&c.dry, "dry-run", false, "print the change only")
	return c
}

// modify changes b; next is the version that the change will have.
type modify func(b *bundle.Bundle, next uint64) error

// change reads the configuration in force, modifies, signs and proposes it.
func (c *changer) change(ctx context.Context, m modify) error {
	store, err := c.open()
	if err != nil {
		return err
	}
	base, err := inForce(ctx, store)
	if err != nil {
		return err
	}
	next, err := bundle.Join(base.Manifest, base.Parts)
	if err != nil {
		return err
	}
	if err := m(next, base.Manifest.Version+1); err != nil {
		return err
	}
	return c.submit(ctx, store, base, next)
}

// submit signs next as the successor of base and proposes it.
func (c *changer) submit(ctx context.Context, store *kv.Client, base distribute.StoredBundle, next *bundle.Bundle) error {
	if err := checkNext(base.Bundle, next); err != nil {
		return err
	}
	changes := bundle.Diff(base.Bundle, next)
	if len(changes) == 0 {
		c.report(outcome{State: "unchanged", Version: base.Manifest.Version})
		return nil
	}
	p, err := c.seal(base, next)
	if err != nil {
		return err
	}
	version := base.Manifest.Version + 1
	switch {
	case c.dry:
		c.report(outcome{State: "dry_run", Version: version, Changes: changes})
		return nil
	case c.out != "":
		c.report(outcome{State: "written", Version: version, Changes: changes})
		return writeJSON(c.out, p)
	}
	return c.propose(ctx, store, base, p)
}

// seal signs next with the keys of the command line. Foreign parts of base, of
// newer program versions, are kept.
func (c *changer) seal(base distribute.StoredBundle, next *bundle.Bundle) (proposal, error) {
	keys, author, err := readKeys(c.keys)
	if err != nil {
		return proposal{}, err
	}
	_, names, err := bundle.Split(next)
	if err != nil {
		return proposal{}, err
	}
	for name, hash := range base.Manifest.UnknownParts() {
		names[name] = hash
	}
	m := bundle.Manifest{
		Version:       base.Manifest.Version + 1,
		Parent:        base.Manifest.Version,
		Parts:         names,
		RequiredParts: base.Manifest.RequiredParts,
		Created:       time.Now().UTC().Truncate(time.Millisecond),
		Author:        author,
		Note:          c.note,
	}
	signed, err := bundle.NewSignedManifest(m)
	if err != nil {
		return proposal{}, err
	}
	for _, key := range keys {
		signed = bundle.Sign(signed, key)
	}
	return proposal{Signed: signed, Bundle: next}, nil
}

// checkNext refuses changes that every process would refuse.
func checkNext(old, next *bundle.Bundle) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if old == nil {
		return nil
	}
	var problems []bundle.Problem
	if next.Keys.Serial < old.Keys.Serial || next.Keys.Serial == old.Keys.Serial && !next.Keys.SameContent(old.Keys) {
		problems = append(problems, bundle.Problem{Path: "keys.serial", Reason: fmt.Sprintf("must be above %d when keys change", old.Keys.Serial)})
	}
	for i, r := range next.Rollouts {
		before := old.Rollout(r.ID)
		if before != nil && r.Generation < before.Generation {
			problems = append(problems, bundle.Problem{Path: fmt.Sprintf("rollouts[%d].generation", i), Reason: fmt.Sprintf("must be at least %d", before.Generation)})
		}
	}
	if len(problems) > 0 {
		return &bundle.ValidationError{Problems: problems}
	}
	return nil
}

// propose submits p, made from base.
func (c *changer) propose(ctx context.Context, store *kv.Client, base distribute.StoredBundle, p proposal) error {
	m, err := bundle.Verify(p.Signed, p.Bundle.Keys)
	if err != nil {
		return fmt.Errorf("%w; collect sign-offs with -out and cactusctl sign", err)
	}
	parts, err := proposalParts(m, p, base)
	if err != nil {
		return err
	}
	changes := bundle.Diff(base.Bundle, p.Bundle)
	err = distribute.Propose(ctx, store, base, p.Signed, parts)
	if errors.Is(err, kv.ErrConflict) || errors.Is(err, distribute.ErrParentMismatch) {
		return c.conflict(ctx, store, p)
	}
	if err != nil {
		return err
	}
	c.report(outcome{State: "in_force", Version: m.Version, Changes: changes})
	if err := distribute.Prune(ctx, store); err != nil {
		fmt.Fprintf(c.env.Stderr, "old history was not pruned: %v\n", err)
	}
	return nil
}

// proposalParts returns the parts of p, which must be those that were signed.
func proposalParts(m bundle.Manifest, p proposal, base distribute.StoredBundle) (map[bundle.Hash][]byte, error) {
	parts, names, err := bundle.Split(p.Bundle)
	if err != nil {
		return nil, err
	}
	for name, hash := range m.Parts {
		if names[name] == hash {
			continue
		}
		data, held := base.Parts[hash]
		if !held {
			return nil, fmt.Errorf("%w: part %s of the proposal is not the one signed", bundle.ErrPartHash, name)
		}
		parts[hash] = data
	}
	return parts, nil
}

// conflict reports what the proposal changes against what is in force now.
func (c *changer) conflict(ctx context.Context, store *kv.Client, p proposal) error {
	now, err := inForce(ctx, store)
	if err != nil {
		return fmt.Errorf("%w: %w", errConflict, err)
	}
	changes := bundle.Diff(now.Bundle, p.Bundle)
	c.report(outcome{State: "conflict", Version: now.Manifest.Version, Changes: changes})
	if c.json {
		return fmt.Errorf("%w: %w", errNegative, errConflict)
	}
	return fmt.Errorf("%w: version %d by %s is in force", errConflict, now.Manifest.Version, now.Manifest.Author)
}

func (c *changer) report(o outcome) {
	c.print(o, func(w io.Writer) {
		switch o.State {
		case "in_force":
			fmt.Fprintf(w, "version %d is accepted\n", o.Version)
		case "conflict":
			fmt.Fprintf(w, "version %d is in force; against it the proposal changes:\n", o.Version)
		case "unchanged":
			fmt.Fprintf(w, "nothing to change in version %d\n", o.Version)
		case "written":
			fmt.Fprintf(w, "version %d is written to %s\n", o.Version, c.out)
		default:
			fmt.Fprintf(w, "version %d would change:\n", o.Version)
		}
		printChanges(w, o.Changes)
	})
}

func printChanges(w io.Writer, changes []bundle.Change) {
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// readBundle decodes and validates a bundle file.
func readBundle(path string) (*bundle.Bundle, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := bundle.Decode(f)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	return b, b.Validate()
}

// readProposal decodes a proposal file; ok is false when the file is none.
func readProposal(path string) (p proposal, ok bool, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return p, false, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil || p.Bundle == nil {
		return p, false, nil
	}
	return p, true, p.Bundle.Validate()
}
