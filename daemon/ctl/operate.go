package ctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/distribute"
)

// errRefused: the change does not fit the state of what it changes.
var errRefused = errors.New("refused")

// operateCommands returns the commands that change one thing in the bundle.
func operateCommands() []Command {
	type runs = map[string]func(context.Context, Env, []string) int
	return []Command{
		verbs("rollout", "start, advance, pause, resume or halt a roll-out", runs{
			"start":  runRolloutStart,
			"step":   rolloutVerb("step", "Advances to the next step; after the last one the version becomes current.", advance),
			"pause":  rolloutVerb("pause", "Keeps the share as it is.", setState(bundle.RolloutPaused, bundle.RolloutRunning)),
			"resume": rolloutVerb("resume", "Lets a paused roll-out go on.", setState(bundle.RolloutRunning, bundle.RolloutPaused)),
			"halt":   rolloutVerb("halt", "Ends the roll-out; new sessions get the current version.", setState(bundle.RolloutHalted, bundle.RolloutRunning, bundle.RolloutPaused)),
		}, "start", "step", "pause", "resume", "halt"),
		{Name: "withdraw", Summary: "withdraw a version of a model", Run: runWithdraw},
		verbs("dc", "take a data centre out of service or bring it back", runs{
			"out": entryVerb("dc out", "DATA-CENTRE", setDataCentre(bundle.DataCentreOutOfService)),
			"in":  entryVerb("dc in", "DATA-CENTRE", setDataCentre(bundle.DataCentreServing)),
		}, "out", "in"),
		verbs("vm", "take a VM out of service or bring it back", runs{
			"out": entryVerb("vm out", "VM", setVM(true)),
			"in":  entryVerb("vm in", "VM", setVM(false)),
		}, "out", "in"),
	}
}

// entryVerb returns a command that changes the entry named by its operand.
func entryVerb(name, operand string, change func(b *bundle.Bundle, entry string) error) func(context.Context, Env, []string) int {
	return func(ctx context.Context, env Env, args []string) int {
		c := newChanger(env, name, operand, "")
		return c.run(ctx, func(ctx context.Context) error {
			if err := c.parse(args, 1, 1); err != nil {
				return err
			}
			return c.change(ctx, func(b *bundle.Bundle, _ uint64) error { return change(b, c.args[0]) })
		})
	}
}

func setDataCentre(state bundle.DataCentreState) func(*bundle.Bundle, string) error {
	return func(b *bundle.Bundle, name string) error {
		for i := range b.DataCentres {
			if b.DataCentres[i].Name == name {
				b.DataCentres[i].State = state
				return nil
			}
		}
		return fmt.Errorf("%w: data centre %q does not exist", errRefused, name)
	}
}

// setVM lists a VM as out, or removes it from the list.
func setVM(out bool) func(*bundle.Bundle, string) error {
	return func(b *bundle.Bundle, name string) error {
		b.VMs = slices.DeleteFunc(b.VMs, func(v bundle.VM) bool { return v.Name == name })
		if out {
			b.VMs = append(b.VMs, bundle.VM{Name: name, OutOfService: true})
		}
		return nil
	}
}

func rolloutVerb(verb, summary string, change func(b *bundle.Bundle, r *bundle.Rollout) error) func(context.Context, Env, []string) int {
	return func(ctx context.Context, env Env, args []string) int {
		c := newChanger(env, "rollout "+verb, "ID", summary)
		return c.run(ctx, func(ctx context.Context) error {
			if err := c.parse(args, 1, 1); err != nil {
				return err
			}
			return c.change(ctx, func(b *bundle.Bundle, _ uint64) error {
				r := b.Rollout(c.args[0])
				if r == nil {
					return fmt.Errorf("%w: roll-out %q does not exist", errRefused, c.args[0])
				}
				return change(b, r)
			})
		})
	}
}

// setState moves a roll-out to a state from one of the states in from.
func setState(to bundle.RolloutState, from ...bundle.RolloutState) func(*bundle.Bundle, *bundle.Rollout) error {
	return func(_ *bundle.Bundle, r *bundle.Rollout) error {
		if r.State != to && !slices.Contains(from, r.State) {
			return fmt.Errorf("%w: roll-out %s is %s", errRefused, r.ID, r.State)
		}
		r.State = to
		return nil
	}
}

// advance moves a running roll-out to its next step, or makes the new version
// the current one after the last step.
func advance(b *bundle.Bundle, r *bundle.Rollout) error {
	if r.State != bundle.RolloutRunning {
		return fmt.Errorf("%w: roll-out %s is %s", errRefused, r.ID, r.State)
	}
	if r.Step+1 < len(r.Steps) {
		r.Step++
		return nil
	}
	m := b.Model(r.Model)
	if m == nil {
		return fmt.Errorf("%w: model %q does not exist", errRefused, r.Model)
	}
	m.Current = r.To
	r.State = bundle.RolloutDone
	return nil
}

func runRolloutStart(ctx context.Context, env Env, args []string) int {
	c := newChanger(env, "rollout start", "MODEL@VERSION", "Starts to move new sessions from the current version of MODEL to VERSION.")
	steps := c.flags.String("steps", "0.01,0.05,0.2,0.5,1", "ascending `SHARES` of sessions")
	id := c.flags.String("id", "", "`ID` of the roll-out; default is MODEL-VERSION")
	automatic := c.flags.Bool("automatic", false, "let the share grow through the steps by the ratings of the candidate")
	weights := c.flags.String("weights", "", "`OBJECT` in the weight store; adds the version when it does not exist")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 1, 1); err != nil {
			return err
		}
		model, version, ok := strings.Cut(c.args[0], "@")
		if !ok {
			return fmt.Errorf("%w: %q is not MODEL@VERSION", errUsage, c.args[0])
		}
		shares, err := parseShares(*steps)
		if err != nil {
			return err
		}
		if *id == "" {
			*id = model + "-" + version
		}
		r := bundle.Rollout{ID: *id, Model: model, To: version, Steps: shares, State: bundle.RolloutRunning, Automatic: *automatic}
		return c.change(ctx, func(b *bundle.Bundle, next uint64) error { return start(b, r, *weights, next) })
	})
}

func parseShares(text string) ([]float64, error) {
	var out []float64
	for field := range strings.SplitSeq(text, ",") {
		share, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil {
			return nil, fmt.Errorf("%w: -steps: %w", errUsage, err)
		}
		out = append(out, share)
	}
	return out, nil
}

// start adds r and removes ended roll-outs of the model. The generation is the
// number of the version that starts it, so it is above every earlier one.
func start(b *bundle.Bundle, r bundle.Rollout, weights string, next uint64) error {
	m := b.Model(r.Model)
	if m == nil {
		return fmt.Errorf("%w: model %q does not exist", errRefused, r.Model)
	}
	if m.Version(r.To) == nil && weights != "" {
		m.Versions = append(m.Versions, bundle.Version{Name: r.To, State: bundle.VersionServing, Weights: weights})
	}
	b.Rollouts = slices.DeleteFunc(b.Rollouts, func(old bundle.Rollout) bool {
		return old.Model == r.Model && !old.Active()
	})
	r.From = m.Current
	r.Generation = next
	b.Rollouts = append(b.Rollouts, r)
	return nil
}

func runWithdraw(ctx context.Context, env Env, args []string) int {
	c := newChanger(env, "withdraw", "MODEL@VERSION", "Gives the version no new work and halts a roll-out to it.")
	replace := c.flags.String("replace", "", "`VERSION` that becomes current; needed when the current one is withdrawn")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 1, 1); err != nil {
			return err
		}
		model, version, ok := strings.Cut(c.args[0], "@")
		if !ok {
			return fmt.Errorf("%w: %q is not MODEL@VERSION", errUsage, c.args[0])
		}
		return c.change(ctx, func(b *bundle.Bundle, _ uint64) error { return withdraw(b, model, version, *replace) })
	})
}

func withdraw(b *bundle.Bundle, model, version, replace string) error {
	m := b.Model(model)
	if m == nil || m.Version(version) == nil {
		return fmt.Errorf("%w: version %s@%s does not exist", errRefused, model, version)
	}
	m.Version(version).State = bundle.VersionWithdrawn
	if m.Current == version {
		if replace == "" {
			return fmt.Errorf("%w: %s@%s is the current version; name another one with -replace", errRefused, model, version)
		}
		m.Current = replace
	}
	for i := range b.Rollouts {
		r := &b.Rollouts[i]
		if r.Model == model && r.Active() && (r.To == version || r.From == version) {
			r.State = bundle.RolloutHalted
		}
	}
	return nil
}

func runRollback(ctx context.Context, env Env, args []string) int {
	c := newChanger(env, "rollback", "[VERSION]", "Puts the content of VERSION (default: the parent) in force as a new version. Operator keys, data centres, VMs and withdrawn versions stay as they are now; a roll-out that is active now and was then is paused, one that has ended is halted.")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 0, 1); err != nil {
			return err
		}
		store, err := c.open()
		if err != nil {
			return err
		}
		base, err := inForce(ctx, store)
		if err != nil {
			return err
		}
		to := base.Manifest.Parent
		if len(c.args) == 1 {
			if to, err = strconv.ParseUint(c.args[0], 10, 64); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
		}
		old, err := distribute.ReadHistory(ctx, store, to)
		if err != nil {
			return err
		}
		if c.note == "" {
			c.note = fmt.Sprintf("rollback to version %d", to)
		}
		return c.submit(ctx, store, base, restored(base.Bundle, old.Bundle))
	})
}

// restored returns the content of old with what a rollback must not undo. No
// session loses its version, no stop or withdrawal is lifted, and no roll-out
// that has ended gets sessions again.
func restored(now, old *bundle.Bundle) *bundle.Bundle {
	next := *old
	next.Keys = now.Keys
	next.DataCentres = now.DataCentres
	next.VMs = now.VMs
	next.Models = slices.Clone(old.Models)
	for i := range next.Models {
		keepVersions(&next.Models[i], now.Model(next.Models[i].Name))
	}
	next.Rollouts = slices.Clone(old.Rollouts)
	for i := range next.Rollouts {
		r := &next.Rollouts[i]
		same := now.Rollout(r.ID)
		if same != nil {
			r.Generation = max(r.Generation, same.Generation)
		}
		switch {
		case !r.Active():
		case same != nil && same.Active():
			r.State = bundle.RolloutPaused
		default:
			r.State = bundle.RolloutHalted
		}
	}
	return &next
}

// keepVersions adds the versions that sessions may hold now and keeps
// withdrawals.
func keepVersions(m, now *bundle.Model) {
	if now == nil {
		return
	}
	m.Versions = slices.Clone(m.Versions)
	for _, v := range now.Versions {
		old := m.Version(v.Name)
		if old == nil {
			m.Versions = append(m.Versions, v)
			continue
		}
		if v.State == bundle.VersionWithdrawn {
			old.State = v.State
		}
	}
}
