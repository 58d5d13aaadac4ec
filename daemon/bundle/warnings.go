package bundle

import (
	"fmt"
	"path"
	"strings"
)

// Warnings returns the parts of a valid bundle that have no effect. The path of a warning is
// that of the field. Processes accept a bundle with warnings.
func (b *Bundle) Warnings() []Problem {
	c := &checker{bundle: b}
	c.unusedOperations()
	c.emptyRollouts()
	c.noDataCentre()
	c.unusableWorkspaces()
	return c.problems
}

// unusedOperations reports operations whose calls an earlier operation takes. A path with
// wildcards counts as covered only by the same path, because path.Match cannot compare two
// patterns.
func (c *checker) unusedOperations() {
	for i, s := range c.bundle.Services {
		for j, op := range s.Operations {
			for k, earlier := range s.Operations[:j] {
				if earlier.Method == op.Method && covers(earlier.Path, op.Path) {
					c.add(fmt.Sprintf("never used, operations[%d] matches the same calls", k), "services[%d].operations[%d].path", i, j)
					break
				}
			}
		}
	}
}

// covers tells whether pattern is known to match all paths that other matches.
func covers(pattern, other string) bool {
	if pattern == other {
		return true
	}
	matched, err := path.Match(pattern, other)
	return err == nil && matched && !strings.ContainsAny(other, `*?[\`)
}

func (c *checker) emptyRollouts() {
	for i := range c.bundle.Rollouts {
		r := &c.bundle.Rollouts[i]
		if n := len(r.Steps); r.Active() && n > 0 && r.Steps[n-1] == 0 {
			c.add("no step moves a session to the new version", "rollouts[%d].steps", i)
		}
	}
}

func (c *checker) noDataCentre() {
	for _, d := range c.bundle.DataCentres {
		if d.State == DataCentreServing {
			return
		}
	}
	if len(c.bundle.DataCentres) > 0 {
		c.add("no data centre is serving", "data_centres")
	}
}

func (c *checker) unusableWorkspaces() {
	for i := range c.bundle.Workspaces {
		w := &c.bundle.Workspaces[i]
		if len(w.KeyHashes) == 0 {
			c.add("never used, the workspace has no API key", "workspaces[%d].key_hashes", i)
		}
		switch {
		case len(w.Allowed) == 0:
			c.add("the workspace may use no model and no service", "workspaces[%d].allowed", i)
		case w.OnWithdrawal != WithdrawalMove && c.allWithdrawn(w.Allowed):
			c.add("the workspace may use only withdrawn versions", "workspaces[%d].allowed", i)
		}
	}
}

// allWithdrawn tells whether each entry of Workspace.Allowed is a withdrawn version.
func (c *checker) allWithdrawn(allowed []string) bool {
	for _, entry := range allowed {
		name, version, _ := strings.Cut(entry, "@")
		m := c.bundle.Model(name)
		if m == nil || version == "" {
			return false
		}
		if v := m.Version(version); v == nil || v.State != VersionWithdrawn {
			return false
		}
	}
	return true
}
