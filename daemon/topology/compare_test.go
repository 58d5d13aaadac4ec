package topology

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/daemon/cputime"
)

// Guards against a change of routes that the comparison misses, and against one that it
// reports for requests that are answered as before.
func TestCompareAgreesWithMatch(t *testing.T) {
	hosts := []string{"a", "B"}
	prefixes := []string{"", "/", "/x", "/x/", "/x/y", "/xy", "/z", "odd"}
	paths := []string{"/", "/x", "/x/", "/x/y", "/x/yz", "/x/z", "/xy", "/xyz", "/z/x", "/w"}
	rapid.Check(t, func(t *rapid.T) {
		config := func() *Config {
			var routes []*Route
			for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
				routes = append(routes, &Route{
					Name: fmt.Sprint(i), Host: rapid.SampledFrom(hosts).Draw(t, "host"), Prefix: rapid.SampledFrom(prefixes).Draw(t, "prefix"),
					Timeout: time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second,
				})
			}
			return NewConfig(1, routes, nil, nil, Limits{})
		}
		old, next := config(), config()
		reported := make(map[string]bool)
		for _, d := range Compare(old, next) {
			host, path, _ := strings.Cut(d.Example, "/")
			if a, b := old.Match(host, "/"+path), next.Match(host, "/"+path); sameAnswer(a, b) {
				t.Fatalf("the example is answered as before: %+v", d)
			} else if routeRule(a) != d.OldRule || routeRule(b) != d.NewRule {
				t.Fatalf("%s and %s decide: %+v", routeRule(a), routeRule(b), d)
			}
			reported[host+" "+d.OldRule+" "+d.NewRule] = true
		}
		for _, host := range hosts {
			for _, path := range paths {
				a, b := old.Match(host, path), next.Match(host, path)
				if !sameAnswer(a, b) && !reported[strings.ToLower(host)+" "+routeRule(a)+" "+routeRule(b)] {
					t.Fatalf("%s%s is answered differently, which is not reported", host, path)
				}
			}
		}
	})
}

func sameAnswer(a, b *Route) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Timeout == b.Timeout
}

// Guards against rules whose time grows faster than the number of routes. An operator waits
// for the check, and a process applies the rules to each new configuration. The bound of 1 s
// is generous: it holds on a busy machine, where quadratic rules need far longer.
func TestCheckOf10000RoutesWithinASecond(t *testing.T) {
	config := func(timeout time.Duration) *Config {
		routes := make([]*Route, 0, 10_000)
		prefix := ""
		for i := range cap(routes) {
			// A chain of nested prefixes in each thousand is the worst case for the comparison.
			if prefix += "/a"; i%1000 == 0 {
				prefix = fmt.Sprintf("/%d", i)
			}
			routes = append(routes, &Route{
				Name: fmt.Sprint(i), Host: "h", Prefix: prefix, Timeout: timeout, Regions: []string{fmt.Sprint(i)}, Shares: []Share{{"s", 1}},
			})
		}
		keys := make(map[string]*Workspace)
		for i := range 1000 {
			keys[fmt.Sprint(i)] = &Workspace{Name: fmt.Sprint(i), Regions: []string{fmt.Sprint(i)}}
		}
		return NewConfig(1, routes, []*Service{{Name: "s"}}, keys, Limits{})
	}
	old, next := config(time.Second), config(2*time.Second)
	var findings []Finding
	var differences []Difference
	took, err := cputime.Of(func() { findings, differences = next.Findings(), Compare(old, next) })
	// On an idle machine the time that passes is no more, as the comparison waits for nothing.
	if err != nil || took > time.Second {
		t.Errorf("took %s, %v", took, err)
	}
	if len(findings) != 0 || len(differences) != 10_000 {
		t.Errorf("%d findings, %d differences", len(findings), len(differences))
	}
}
