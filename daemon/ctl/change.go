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

// proposal is the content of a proposal file: a change that still needs
// sign-offs.
type proposal struct {
	Signed bundle.SignedManifest `json:"signed"`
	Bundle *bundle.Bundle        `json:"bundle"`
}

// changeResult is the output of a command that changes the configuration.
type changeResult struct {
	// State is in_force, unchanged, written (to a file), dry_run or conflict.
	State   string          `json:"state"`
	Version uint64          `json:"version"`
	Changes []bundle.Change `json:"changes"`
}

// configChange is the invocation of a command that changes the configuration.
type configChange struct {
	*invocation
	keys   stringList
	note   string
	out    string
	dryRun bool
}

func newConfigChange(env Env, name, operands, summary string) *configChange {
	c := &configChange{invocation: newInvocation(env, name, operands, summary).withStore()}
	c.flags.Var(&c.keys, "key", "operator key `FILE` to sign with; may be repeated")
	c.flags.StringVar(&c.note, "note", "", "`TEXT` that gives the reason for the change, stored in the history")
	c.flags.StringVar(&c.out, "out", "", "write the change to `FILE` for further sign-offs instead of proposing it")
	c.flags.BoolVar(&c.dryRun, "dry-run", false, "print the change without making it")
	return c
}

// modifyFunc applies a change to b; next is the version number of the result.
type modifyFunc func(b *bundle.Bundle, next uint64) error

// change reads the configuration in force, modifies, signs and proposes it.
func (c *configChange) change(ctx context.Context, m modifyFunc) error {
	store, err := c.openStore()
	if err != nil {
		return err
	}
	base, err := readCurrent(ctx, store)
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
func (c *configChange) submit(ctx context.Context, store *kv.Client, base distribute.StoredBundle, next *bundle.Bundle) error {
	if err := validateSuccessor(base.Bundle, next); err != nil {
		return err
	}
	changes := bundle.Diff(base.Bundle, next)
	if len(changes) == 0 {
		c.printResult(changeResult{State: "unchanged", Version: base.Manifest.Version})
		return nil
	}
	p, err := c.signChange(base, next)
	if err != nil {
		return err
	}
	version := base.Manifest.Version + 1
	switch {
	case c.dryRun:
		c.printResult(changeResult{State: "dry_run", Version: version, Changes: changes})
		return nil
	case c.out != "":
		c.printResult(changeResult{State: "written", Version: version, Changes: changes})
		return writeJSON(c.out, p)
	}
	return c.propose(ctx, store, base, p)
}

// signChange signs next with the keys given on the command line. Parts of base
// that this program does not know, because a newer version added them, are kept.
func (c *configChange) signChange(base distribute.StoredBundle, next *bundle.Bundle) (proposal, error) {
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

// validateSuccessor rejects, before they are proposed, the changes that every
// process would reject.
func validateSuccessor(old, next *bundle.Bundle) error {
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

// propose writes p, which was made from base, to the store.
func (c *configChange) propose(ctx context.Context, store *kv.Client, base distribute.StoredBundle, p proposal) error {
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
		return c.reportConflict(ctx, store, p)
	}
	if err != nil {
		return err
	}
	c.printResult(changeResult{State: "in_force", Version: m.Version, Changes: changes})
	if err := distribute.Prune(ctx, store); err != nil {
		fmt.Fprintf(c.env.Stderr, "pruning the history failed: %v\n", err)
	}
	return nil
}

// proposalParts returns the encoded parts of p. Each must have the hash in the
// signed manifest or be an unchanged part of base.
func proposalParts(m bundle.Manifest, p proposal, base distribute.StoredBundle) (map[bundle.Hash][]byte, error) {
	parts, names, err := bundle.Split(p.Bundle)
	if err != nil {
		return nil, err
	}
	for name, hash := range m.Parts {
		if names[name] == hash {
			continue
		}
		data, found := base.Parts[hash]
		if !found {
			return nil, fmt.Errorf("%w: part %s of the proposal differs from the signed one", bundle.ErrPartHash, name)
		}
		parts[hash] = data
	}
	return parts, nil
}

// reportConflict prints how the proposal differs from the version that is in
// force now and returns errConflict.
func (c *configChange) reportConflict(ctx context.Context, store *kv.Client, p proposal) error {
	now, err := readCurrent(ctx, store)
	if err != nil {
		return fmt.Errorf("%w: %w", errConflict, err)
	}
	changes := bundle.Diff(now.Bundle, p.Bundle)
	c.printResult(changeResult{State: "conflict", Version: now.Manifest.Version, Changes: changes})
	if c.json {
		return fmt.Errorf("%w: %w", errNegative, errConflict)
	}
	return fmt.Errorf("%w: version %d by %s is in force", errConflict, now.Manifest.Version, now.Manifest.Author)
}

func (c *configChange) printResult(o changeResult) {
	c.print(o, func(w io.Writer) {
		switch o.State {
		case "in_force":
			fmt.Fprintf(w, "version %d is accepted\n", o.Version)
		case "conflict":
			fmt.Fprintf(w, "version %d is in force; the proposal would change it as follows:\n", o.Version)
		case "unchanged":
			fmt.Fprintf(w, "version %d has this content already\n", o.Version)
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

// readProposal decodes and validates a proposal file; ok is false if the file
// is not a proposal.
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
