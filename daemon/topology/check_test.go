package topology

import (
	"slices"
	"strings"
	"testing"
)

// Every route that can't serve requests must be reported, and no other.
func TestProblems(t *testing.T) {
	good := func(name, prefix string) *Route {
		return &Route{Name: name, Host: "H", Prefix: prefix, Shares: []Share{{Service: "s", Weight: 1}}}
	}
	services := []*Service{{Name: "s"}}
	if p := NewConfig(1, []*Route{good("a", "/"), good("b", "/x")}, services, nil, Limits{}).Problems(); len(p) != 0 {
		t.Errorf("problems of a good configuration: %v", p)
	}
	weightless, unknown, negative := good("weightless", "/w"), good("unknown", "/u"), good("negative", "/n")
	weightless.Shares[0].Weight = 0
	unknown.Shares[0].Service = "absent"
	negative.Timeout = -1
	for _, r := range []*Route{weightless, unknown, negative, good("twice", "/")} {
		problems := NewConfig(1, []*Route{good("a", "/"), r}, services, nil, Limits{}).Problems()
		if !slices.ContainsFunc(problems, func(p string) bool { return strings.Contains(p, `"`+r.Name+`"`) }) {
			t.Errorf("%s: %v", r.Name, problems)
		}
	}
}
