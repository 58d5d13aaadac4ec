package topology

import (
	"fmt"
	"maps"
	"slices"
	"sort"
)

// Routes returns the routes ordered by host, and for each host from the longest prefix
// to the shortest.
func (c *Config) Routes() []*Route {
	var hosts []string
	for host := range c.byHost {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	var routes []*Route
	for _, host := range hosts {
		routes = append(routes, c.byHost[host]...)
	}
	return routes
}

// Workspaces returns the number of API keys of each workspace.
func (c *Config) Workspaces() map[string]int {
	keys := make(map[string]int)
	for _, w := range c.byKey {
		keys[w.Name]++
	}
	return keys
}

// Problems describes the parts of the configuration that can't work, such as a route
// that never matches or has no service. The configuration is used nevertheless.
func (c *Config) Problems() []string {
	var problems []string
	seen := make(map[string]string)
	for _, r := range c.Routes() {
		location := r.Host + r.Prefix
		if first, duplicate := seen[location]; duplicate {
			problems = append(problems, fmt.Sprintf("route %q: never used, %q has the same host and prefix", r.Name, first))
		}
		seen[location] = r.Name
		problems = append(problems, c.shareProblems(r)...)
		if r.Timeout < 0 || r.LatencyTarget < 0 {
			problems = append(problems, fmt.Sprintf("route %q: timeout or latency target is negative", r.Name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if a := c.Services[name].Autoscaling; a != nil && !a.Valid() {
			problems = append(problems, fmt.Sprintf(
				"service %q: not scaled, min_replicas %d, max_replicas %d or the boot time %v is out of range", name, a.MinReplicas, a.MaxReplicas, a.BootTime))
		}
	}
	return problems
}

// Valid reports whether servers can be ordered within the bounds.
func (a *Autoscaling) Valid() bool {
	return a.MinReplicas >= 0 && a.MaxReplicas >= max(a.MinReplicas, 1) && a.BootTime >= 0
}

func (c *Config) shareProblems(r *Route) []string {
	var problems []string
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
		if c.Services[share.Service] == nil {
			problems = append(problems, fmt.Sprintf("route %q: service %q is not configured", r.Name, share.Service))
		}
	}
	if total <= 0 {
		problems = append(problems, fmt.Sprintf("route %q: no service with a weight above 0", r.Name))
	}
	return problems
}
