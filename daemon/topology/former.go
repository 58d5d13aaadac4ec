package topology

import "strings"

const (
	// maxFormerKeys bounds the withdrawn keys that a configuration remembers.
	maxFormerKeys = 10_000
	// maxFormerRoutes is the same for routes; a refused request looks at each.
	maxFormerRoutes = 1000
)

// formerly remembers what earlier configurations held, so that a refusal can be
// explained: the caller's key or route may have been withdrawn.
type formerly struct {
	// keys holds the version that withdrew each API key.
	keys map[string]uint64
	// routes holds the version that withdrew the prefix of a host.
	routes map[place]uint64
}

// place is where a route applies.
type place struct{ host, prefix string }

// InheritWithdrawals records that c replaces old, which may be nil.
func (c *Config) InheritWithdrawals(old *Config) {
	c.former = formerly{keys: make(map[string]uint64), routes: make(map[place]uint64)}
	if old == nil {
		return
	}
	for key, version := range old.former.keys {
		c.withdrawKey(key, version)
	}
	for key := range old.byKey {
		c.withdrawKey(key, c.Version)
	}
	present := c.places()
	withdraw := func(p place, version uint64) {
		if !present[p] && len(c.former.routes) < maxFormerRoutes {
			c.former.routes[p] = version
		}
	}
	for p, version := range old.former.routes {
		withdraw(p, version)
	}
	for p := range old.places() {
		withdraw(p, c.Version)
	}
}

func (c *Config) withdrawKey(key string, version uint64) {
	if c.byKey[key] == nil && len(c.former.keys) < maxFormerKeys {
		c.former.keys[key] = version
	}
}

// places returns where the routes apply.
func (c *Config) places() map[place]bool {
	places := make(map[place]bool)
	for host, routes := range c.byHost {
		for _, r := range routes {
			places[place{host, r.Prefix}] = true
		}
	}
	return places
}

// KeyWithdrawn returns the version that withdrew an API key; ok is false for a key
// that this process has never known.
func (c *Config) KeyWithdrawn(key string) (version uint64, ok bool) {
	version, ok = c.former.keys[key]
	return version, ok
}

// RouteWithdrawn returns the version that withdrew the route of a path with the
// longest prefix; ok is false where this process has never known one.
func (c *Config) RouteWithdrawn(host, path string) (version uint64, ok bool) {
	longest := -1
	for p, v := range c.former.routes {
		if p.host == strings.ToLower(host) && strings.HasPrefix(path, p.prefix) && len(p.prefix) > longest {
			longest, version, ok = len(p.prefix), v, true
		}
	}
	return version, ok
}
