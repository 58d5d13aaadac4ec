package topology

import (
	"fmt"
	"sort"
)

// Routes returns the routes in order of host, the longest prefix first.
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

// Problems lists what makes a part of the configuration useless: a route that never
// matches or leads to no service. The configuration is used all the same.
func (c *Config) Problems() []string {
	var problems []string
	seen := make(map[string]string)
	for _, r := range c.Routes() {
		place := r.Host + r.Prefix
		if first, twice := seen[place]; twice {
			problems = append(problems, fmt.Sprintf("route %q: never used, %q has the same host and prefix", r.Name, first))
		}
		seen[place] = r.Name
		problems = append(problems, c.shareProblems(r)...)
		if r.Timeout < 0 || r.LatencyTarget < 0 {
			problems = append(problems, fmt.Sprintf("route %q: negative time", r.Name))
		}
	}
	return problems
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
