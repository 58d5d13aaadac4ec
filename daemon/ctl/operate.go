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

// errRefused means that the change is not possible in the current state of the
// configuration.
var errRefused = errors.New("refused")

// operateCommands returns the commands that change a single entry of the bundle.
func operateCommands() []Command {
	type runFuncs = map[string]func(context.Context, Env, []string) int
	return []Command{
		commandGroup("rollout", "start, advance, pause, resume or halt a roll-out", runFuncs{
			"start":  runRolloutStart,
			"step":   rolloutCommand("step", "Advances to the next step; after the last one the version becomes current.", advanceRollout),
			"pause":  rolloutCommand("pause", "Holds the share at the current step.", setRolloutState(bundle.RolloutPaused, bundle.RolloutRunning)),
			"resume": rolloutCommand("resume", "Continues a paused roll-out.", setRolloutState(bundle.RolloutRunning, bundle.RolloutPaused)),
			"halt":   rolloutCommand("halt", "Ends the roll-out; new sessions get the current version.", setRolloutState(bundle.RolloutHalted, bundle.RolloutRunning, bundle.RolloutPaused)),
		}, "start", "step", "pause", "resume", "halt"),
		{Name: "withdraw", Summary: "withdraw a version of a model", Run: runWithdraw},
		commandGroup("dc", "take a data centre out of service or bring it back", runFuncs{
			"out": entryCommand("dc out", "DATA-CENTRE", setDataCentre(bundle.DataCentreOutOfService)),
			"in":  entryCommand("dc in", "DATA-CENTRE", setDataCentre(bundle.DataCentreServing)),
		}, "out", "in"),
		commandGroup("vm", "take a VM out of service or bring it back", runFuncs{
			"out": entryCommand("vm out", "VM", setVM(true)),
			"in":  entryCommand("vm in", "VM", setVM(false)),
		}, "out", "in"),
	}
}

// entryCommand returns a command that applies change to the entry named by its
// operand.
func entryCommand(name, operand string, change func(b *bundle.Bundle, entry string) error) func(context.Context, Env, []string) int {
	return func(ctx context.Context, env Env, args []string) int {
		c := newConfigChange(env, name, operand, "")
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

// setVM lists a VM as out of service, or removes it from the list.
func setVM(out bool) func(*bundle.Bundle, string) error {
	return func(b *bundle.Bundle, name string) error {
		b.VMs = slices.DeleteFunc(b.VMs, func(v bundle.VM) bool { return v.Name == name })
		if out {
			b.VMs = append(b.VMs, bundle.VM{Name: name, OutOfService: true})
		}
		return nil
	}
}

// rolloutCommand returns a command that applies change to the rollout named by
// its operand.
func rolloutCommand(action, summary string, change func(b *bundle.Bundle, r *bundle.Rollout) error) func(context.Context, Env, []string) int {
	return func(ctx context.Context, env Env, args []string) int {
		c := newConfigChange(env, "rollout "+action, "ID", summary)
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

// setRolloutState changes the state of a rollout that is in one of the states
// from. It does nothing if the rollout has the state already.
func setRolloutState(to bundle.RolloutState, from ...bundle.RolloutState) func(*bundle.Bundle, *bundle.Rollout) error {
	return func(_ *bundle.Bundle, r *bundle.Rollout) error {
		if r.State != to && !slices.Contains(from, r.State) {
			return fmt.Errorf("%w: roll-out %s is %s", errRefused, r.ID, r.State)
		}
		r.State = to
		return nil
	}
}

// advanceRollout moves a running rollout to its next step. After the last step
// it makes the new version the current one.
func advanceRollout(b *bundle.Bundle, r *bundle.Rollout) error {
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
	c := newConfigChange(env, "rollout start", "MODEL@VERSION", "Starts moving new sessions from the current version of MODEL to VERSION.")
	steps := c.flags.String("steps", "0.01,0.05,0.2,0.5,1", "ascending `SHARES` of sessions")
	id := c.flags.String("id", "", "`ID` of the roll-out; default is MODEL-VERSION")
	automatic := c.flags.Bool("automatic", false, "advance through the steps automatically, based on the ratings of the candidate")
	weights := c.flags.String("weights", "", "`OBJECT` in the weight store; adds the version if it does not exist")
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
		return c.change(ctx, func(b *bundle.Bundle, next uint64) error { return startRollout(b, r, *weights, next) })
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

// startRollout adds r and removes the ended rollouts of the model. The generation
// is the number of the configuration version that starts the rollout, which makes
// it higher than every earlier generation.
func startRollout(b *bundle.Bundle, r bundle.Rollout, weights string, next uint64) error {
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
	c := newConfigChange(env, "withdraw", "MODEL@VERSION", "Stops assigning new work to the version and halts roll-outs from or to it.")
	replace := c.flags.String("replace", "", "`VERSION` that becomes current; required if the current one is withdrawn")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 1, 1); err != nil {
			return err
		}
		model, version, ok := strings.Cut(c.args[0], "@")
		if !ok {
			return fmt.Errorf("%w: %q is not MODEL@VERSION", errUsage, c.args[0])
		}
		return c.change(ctx, func(b *bundle.Bundle, _ uint64) error { return withdrawVersion(b, model, version, *replace) })
	})
}

func withdrawVersion(b *bundle.Bundle, model, version, replace string) error {
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
	c := newConfigChange(env, "rollback", "[VERSION]", "Puts the content of VERSION (default: the parent) in force as a new version. Operator keys, data centres, VMs and withdrawn versions stay as they are now; a roll-out that is active now and was then is paused, one that has ended is halted.")
	return c.run(ctx, func(ctx context.Context) error {
		if err := c.parse(args, 0, 1); err != nil {
			return err
		}
		store, err := c.openStore()
		if err != nil {
			return err
		}
		base, err := readCurrent(ctx, store)
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
		return c.submit(ctx, store, base, rollbackBundle(base.Bundle, old.Bundle))
	})
}

// rollbackBundle returns the content of old combined with the parts of now that a
// rollback must not undo: no session loses its version, nothing that is out of
// service or withdrawn returns to service, and no rollout that has ended gets new
// sessions.
func rollbackBundle(now, old *bundle.Bundle) *bundle.Bundle {
	next := *old
	next.Keys = now.Keys
	next.DataCentres = now.DataCentres
	next.VMs = now.VMs
	next.Models = slices.Clone(old.Models)
	for i := range next.Models {
		mergeVersions(&next.Models[i], now.Model(next.Models[i].Name))
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

// mergeVersions adds to m the versions of now, which sessions may be bound to, and
// keeps versions withdrawn that are withdrawn now.
func mergeVersions(m, now *bundle.Model) {
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
