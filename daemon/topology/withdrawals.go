package topology

import "strings"

const (
	// maxWithdrawnKeys bounds the withdrawn API keys that a configuration remembers.
	maxWithdrawnKeys = 10_000
	// maxWithdrawnRoutes is the same for routes. It is lower because each refused request
	// searches all of them.
	maxWithdrawnRoutes = 1000
)

// withdrawals holds the API keys and routes that were removed since earlier
// configurations, so that a refusal can state that the key or route was withdrawn.
type withdrawals struct {
	// keys holds the configuration version that withdrew each API key.
	keys map[string]uint64
	// routes holds the configuration version that withdrew each route.
	routes map[routeLocation]uint64
}

// routeLocation is the host and path prefix to which a route applies.
type routeLocation struct{ host, prefix string }

// InheritWithdrawals records which keys and routes of old, and of the configurations
// before it, c does not have. old is the configuration that c replaces, or nil.
func (c *Config) InheritWithdrawals(old *Config) {
	c.withdrawn = withdrawals{keys: make(map[string]uint64), routes: make(map[routeLocation]uint64)}
	if old == nil {
		return
	}
	for key, version := range old.withdrawn.keys {
		c.withdrawKey(key, version)
	}
	for key := range old.byKey {
		c.withdrawKey(key, c.Version)
	}
	present := c.routeLocations()
	withdraw := func(l routeLocation, version uint64) {
		if !present[l] && len(c.withdrawn.routes) < maxWithdrawnRoutes {
			c.withdrawn.routes[l] = version
		}
	}
	for l, version := range old.withdrawn.routes {
		withdraw(l, version)
	}
	for l := range old.routeLocations() {
		withdraw(l, c.Version)
	}
}

// withdrawKey records that the version withdrew the key, unless c has the key.
func (c *Config) withdrawKey(key string, version uint64) {
	if c.byKey[key] == nil && len(c.withdrawn.keys) < maxWithdrawnKeys {
		c.withdrawn.keys[key] = version
	}
}

// routeLocations returns the locations of all routes.
func (c *Config) routeLocations() map[routeLocation]bool {
	locations := make(map[routeLocation]bool)
	for host, routes := range c.byHost {
		for _, r := range routes {
			locations[routeLocation{host, r.Prefix}] = true
		}
	}
	return locations
}

// KeyWithdrawn returns the configuration version that withdrew the API key. ok is false
// for a key that is not known to have existed.
func (c *Config) KeyWithdrawn(key string) (version uint64, ok bool) {
	version, ok = c.withdrawn.keys[key]
	return version, ok
}

// RouteWithdrawn returns the configuration version that withdrew the route for the path;
// of several routes, the one with the longest prefix counts. ok is false if none is known
// to have existed.
func (c *Config) RouteWithdrawn(host, path string) (version uint64, ok bool) {
	longest := -1
	for p, v := range c.withdrawn.routes {
		if p.host == strings.ToLower(host) && strings.HasPrefix(path, p.prefix) && len(p.prefix) > longest {
			longest, version, ok = len(p.prefix), v, true
		}
	}
	return version, ok
}
