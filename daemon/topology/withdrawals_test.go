package topology

import "testing"

// Withdrawn keys and routes must be told from those that never existed, also several
// versions later, and no longer count as withdrawn once they are configured again.
func TestWithdrawn(t *testing.T) {
	config := func(version uint64, old *Config, keys string, prefixes ...string) *Config {
		byKey := make(map[string]*Workspace)
		for _, key := range keys {
			byKey[string(key)] = &Workspace{}
		}
		var routes []*Route
		for _, prefix := range prefixes {
			routes = append(routes, &Route{Host: "H", Prefix: prefix})
		}
		c := NewConfig(version, routes, nil, byKey, Limits{})
		c.InheritWithdrawals(old)
		return c
	}
	c := config(1, nil, "ab", "/", "/x/", "/x/y/")
	c = config(2, c, "a", "/")
	c = config(3, c, "", "/")
	for key, want := range map[string]uint64{"a": 3, "b": 2, "c": 0} {
		if got, _ := c.KeyWithdrawn(key); got != want {
			t.Errorf("key %s: withdrawn by %d, want %d", key, got, want)
		}
	}
	if got, ok := c.RouteWithdrawn("h", "/x/y/z"); !ok || got != 2 {
		t.Errorf("route: withdrawn by %d, %v", got, ok)
	}
	if _, ok := c.RouteWithdrawn("h", "/other"); ok {
		t.Error("a route that never existed is reported as withdrawn")
	}
	c = config(4, c, "a", "/", "/x/", "/x/y/")
	if _, ok := c.KeyWithdrawn("a"); ok {
		t.Error("a key that is configured again is reported as withdrawn")
	}
	if _, ok := c.RouteWithdrawn("h", "/x/y/z"); ok {
		t.Error("a route that is configured again is reported as withdrawn")
	}
}
