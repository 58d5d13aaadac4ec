package topology

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Difference describes a set of requests that two configurations answer differently.
type Difference struct {
	// Requests describes the set, and Example is one request of it.
	Requests string `json:"requests"`
	Example  string `json:"example"`
	// OldRule and NewRule name the entries that decide about these requests.
	OldRule string        `json:"old_rule"`
	NewRule string        `json:"new_rule"`
	Changes []FieldChange `json:"changes"`
}

// FieldChange is one property of the answer that differs.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// noRule stands for the entry that decides about a request when there is none.
const noRule = "none"

// Compare returns the sets of requests that next answers differently from old, in the order
// routes by host and prefix, services, workspaces, limits. Changes of names or of the order
// of entries are not reported unless they change an answer. API keys are not part of the
// result.
func Compare(old, next *Config) []Difference {
	c := &comparison{old: old, next: next, listed: make(map[string]bool)}
	c.findClasses()
	c.routes()
	c.services()
	c.workspaces()
	c.limits()
	return c.differences
}

// comparison holds two configurations and the differences found so far.
type comparison struct {
	old, next   *Config
	classes     []requestClass
	differences []Difference
	// listed contains the descriptions of the differences of workspaces.
	listed map[string]bool
}

// requestClass is a set of requests that match the same route in each configuration: those
// of the host whose path has the prefix and no longer prefix of either configuration.
type requestClass struct {
	host, prefix string
	// narrowed is set if another class has a longer prefix that starts with this one.
	narrowed  bool
	old, next *Route
}

// example returns the URL of a request of the class, without scheme.
func (c *requestClass) example() string {
	if c.prefix == "" {
		return c.host + "/"
	}
	return c.host + c.prefix
}

func (c *requestClass) requests() string {
	if c.narrowed {
		return "to " + c.host + c.prefix + "* that no longer prefix matches"
	}
	return "to " + c.host + c.prefix + "*"
}

// findClasses divides the requests to the routes of both configurations into classes.
func (c *comparison) findClasses() {
	for _, host := range sortedKeys(c.old.byHost, c.next.byHost) {
		c.findClassesOf(host, firstByPrefix(c.old.byHost[host]), firstByPrefix(c.next.byHost[host]))
	}
}

// findClassesOf divides the requests to a host into classes. It visits the prefixes in ascending
// order, in which a prefix is followed by those that start with it, and keeps the enclosing
// prefixes on a stack.
func (c *comparison) findClassesOf(host string, oldRoutes, newRoutes map[string]*Route) {
	first := len(c.classes)
	var enclosing []int
	for _, prefix := range sortedKeys(oldRoutes, newRoutes) {
		if prefix != "" && prefix[0] != '/' {
			continue // No path has this prefix.
		}
		class := requestClass{host: host, prefix: prefix, old: oldRoutes[prefix], next: newRoutes[prefix]}
		for len(enclosing) > 0 && !strings.HasPrefix(prefix, c.classes[enclosing[len(enclosing)-1]].prefix) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		if len(enclosing) > 0 {
			class.inherit(&c.classes[enclosing[len(enclosing)-1]])
		}
		if prefix == "/" && len(c.classes) > first {
			// The prefix / includes all paths, so that no request is left for the empty one, the
			// only one before it.
			c.classes[first], enclosing = class, nil
		} else {
			c.classes = append(c.classes, class)
		}
		enclosing = append(enclosing, len(c.classes)-1)
	}
}

// inherit takes over the routes of the enclosing class where this one's prefix has none.
func (c *requestClass) inherit(outer *requestClass) {
	outer.narrowed = true
	if c.old == nil {
		c.old = outer.old
	}
	if c.next == nil {
		c.next = outer.next
	}
}

// firstByPrefix returns the route of each prefix; the first of several is the one in use.
func firstByPrefix(routes []*Route) map[string]*Route {
	first := make(map[string]*Route, len(routes))
	for _, r := range routes {
		if first[r.Prefix] == nil {
			first[r.Prefix] = r
		}
	}
	return first
}

// sortedKeys returns the keys of all maps, each once.
func sortedKeys[V any](all ...map[string]V) []string {
	union := make(map[string]bool)
	for _, m := range all {
		for key := range m {
			union[key] = true
		}
	}
	return slices.Sorted(maps.Keys(union))
}

func (c *comparison) add(d Difference) {
	if len(d.Changes) > 0 {
		c.differences = append(c.differences, d)
	}
}

func routeRule(r *Route) string {
	if r == nil {
		return noRule
	}
	return fmt.Sprintf("route %q", r.Name)
}

func (c *comparison) routes() {
	keyed := c.old.HasWorkspaces && c.next.HasWorkspaces
	for i := range c.classes {
		class := &c.classes[i]
		c.add(Difference{
			Requests: class.requests(), Example: class.example(), OldRule: routeRule(class.old), NewRule: routeRule(class.next),
			Changes: routeChanges(class.old, class.next, keyed),
		})
	}
}

// changeList collects the fields that differ.
type changeList []FieldChange

func (l *changeList) compare(field string, old, next any) {
	text := func(v any) string {
		if number, ok := v.(float64); ok {
			return strconv.FormatFloat(number, 'f', -1, 64)
		}
		return fmt.Sprint(v)
	}
	if a, b := text(old), text(next); a != b {
		*l = append(*l, FieldChange{Field: field, Old: a, New: b})
	}
}

// routeChanges returns the differences between two routes that affect answers. keyed is set
// if both configurations ask for API keys.
func routeChanges(old, next *Route, keyed bool) []FieldChange {
	var l changeList
	if old == nil || next == nil {
		answer := func(r *Route) string {
			if r == nil {
				return "refused as not found"
			}
			return "served by " + describeShares(r.Shares)
		}
		l.compare("answer", answer(old), answer(next))
		return l
	}
	l.compare("services", describeShares(old.Shares), describeShares(next.Shares))
	l.compare("kind", old.Kind, next.Kind)
	l.compare("timeout", describeTime(old.Timeout), describeTime(next.Timeout))
	l.compare("latency_target", describeTime(old.LatencyTarget), describeTime(next.LatencyTarget))
	l.compare("max_attempts", max(old.MaxAttempts, 1), max(next.MaxAttempts, 1))
	l.compare("urgency", old.Urgency, next.Urgency)
	l.compare("models", fmt.Sprintf("%q", old.Models), fmt.Sprintf("%q", next.Models))
	l.compare("resumable", old.Resumable, next.Resumable)
	l.compare("regions", describeRegions(old.Regions), describeRegions(next.Regions))
	if keyed {
		l.compare("anonymous", old.Anonymous, next.Anonymous)
	}
	return l
}

// describeTime writes a time; "default" stands for one that is not set.
func describeTime(d time.Duration) string {
	if d <= 0 {
		return "default"
	}
	return d.String()
}

// describeShares writes the services that get requests, with their parts of all requests.
func describeShares(shares []Share) string {
	total := 0.0
	parts := make(map[string]float64)
	for _, s := range shares {
		if s.Weight > 0 {
			total += s.Weight
			parts[s.Service] += s.Weight
		}
	}
	if total == 0 || math.IsInf(total, 0) {
		return "no service"
	}
	var words []string
	for _, name := range sortedKeys(parts) {
		words = append(words, fmt.Sprintf("%s %.4g%%", name, 100*parts[name]/total))
	}
	return strings.Join(words, ", ")
}

func describeRegions(regions []string) string {
	if len(regions) == 0 {
		return "any"
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), " ")
}

// services reports services whose definition changed, each with the first class of requests
// that uses it in both configurations.
func (c *comparison) services() {
	users := make(map[string]*requestClass)
	for i := range c.classes {
		class := &c.classes[i]
		if class.old == nil || class.next == nil {
			continue
		}
		for _, s := range class.next.Shares {
			if users[s.Service] == nil && s.Weight > 0 && usesService(class.old, s.Service) {
				users[s.Service] = class
			}
		}
	}
	for _, name := range sortedKeys(users) {
		var l changeList
		old, next := c.old.Services[name], c.next.Services[name]
		switch {
		case old != nil && next != nil:
			l.compare("cold_rate_limit", old.ColdRateLimit, next.ColdRateLimit)
			l.compare("cold_start", old.ColdStart, next.ColdStart)
			l.compare("event_tokens", old.EventTokens, next.EventTokens)
		default:
			l.compare("configured", old != nil, next != nil)
		}
		rule := fmt.Sprintf("service %q", name)
		c.add(Difference{Requests: "to routes of service " + name, Example: users[name].example(), OldRule: rule, NewRule: rule, Changes: l})
	}
}

func usesService(r *Route, name string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == name && s.Weight > 0 })
}

// firstClass returns the first class that the test accepts, or nil.
func (c *comparison) firstClass(accept func(class *requestClass) bool) *requestClass {
	for i := range c.classes {
		if accept(&c.classes[i]) {
			return &c.classes[i]
		}
	}
	return nil
}

// workspaces reports requests that are refused or accepted, or that get other properties,
// because of their API key.
func (c *comparison) workspaces() {
	oldKeyed := func(class *requestClass) bool {
		return c.old.HasWorkspaces && class.old != nil && !class.old.Anonymous && class.next != nil
	}
	newKeyed := func(class *requestClass) bool {
		return c.next.HasWorkspaces && class.next != nil && !class.next.Anonymous && class.old != nil
	}
	if c.old.HasWorkspaces != c.next.HasWorkspaces {
		class := c.firstClass(func(class *requestClass) bool { return oldKeyed(class) || newKeyed(class) })
		if class != nil {
			c.addAccess("without an API key, to routes that are not anonymous", class.example()+" without a key", noRule, noRule,
				accepted(!c.old.HasWorkspaces), accepted(!c.next.HasWorkspaces))
		}
		return
	}
	// Where only one of the routes asks for a key, the difference of the routes says so.
	both := c.firstClass(func(class *requestClass) bool { return oldKeyed(class) && newKeyed(class) })
	if both == nil {
		return
	}
	regions := c.regionClasses(func(class *requestClass) bool { return oldKeyed(class) && newKeyed(class) })
	first := len(c.differences)
	for _, key := range sortedKeys(c.old.byKey, c.next.byKey) {
		old, next := c.old.byKey[key], c.next.byKey[key]
		switch {
		case old == nil:
			rule := workspaceRule(next)
			c.addAccess("with a new key of "+rule, both.example()+" with that key", noRule, rule, accepted(false), accepted(true))
		case next == nil:
			rule := workspaceRule(old)
			c.addAccess("with a removed key of "+rule, both.example()+" with that key", rule, noRule, accepted(true), accepted(false))
		default:
			c.compareWorkspace(old, next, both, regions)
		}
	}
	slices.SortStableFunc(c.differences[first:], func(a, b Difference) int { return strings.Compare(a.Requests, b.Requests) })
}

// regionClasses returns the first class of each list of allowed regions among the accepted
// classes.
func (c *comparison) regionClasses(accept func(class *requestClass) bool) []*requestClass {
	var classes []*requestClass
	seen := make(map[string]bool)
	for i := range c.classes {
		class := &c.classes[i]
		if !accept(class) {
			continue
		}
		if regions := describeRegions(class.next.Regions); !seen[regions] {
			seen[regions] = true
			classes = append(classes, class)
		}
	}
	return classes
}

// commonRegions describes the regions that both lists allow.
func commonRegions(a, b []string) string {
	if len(a) == 0 || len(b) == 0 {
		return describeRegions(append(slices.Clone(a), b...))
	}
	var common []string
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	if len(common) == 0 {
		return "none"
	}
	return describeRegions(common)
}

func accepted(ok bool) string {
	if ok {
		return "accepted"
	}
	return "refused as unauthenticated"
}

func workspaceRule(w *Workspace) string { return fmt.Sprintf("workspace %q", w.Name) }

func (c *comparison) addAccess(requests, example, oldRule, newRule, old, next string) {
	c.addOnce(Difference{
		Requests: requests, Example: example, OldRule: oldRule, NewRule: newRule, Changes: []FieldChange{{Field: "answer", Old: old, New: next}},
	})
}

// addOnce adds the difference unless another key of the same workspace has it too.
func (c *comparison) addOnce(d Difference) {
	if id := fmt.Sprint(d); !c.listed[id] {
		c.listed[id] = true
		c.add(d)
	}
}

func (c *comparison) compareWorkspace(old, next *Workspace, class *requestClass, regions []*requestClass) {
	urgency := func(w *Workspace) string {
		if w.HasUrgency {
			return fmt.Sprint(w.Urgency)
		}
		return "that of the route"
	}
	var l changeList
	l.compare("name", old.Name, next.Name)
	l.compare("urgency", urgency(old), urgency(next))
	if describeRegions(old.Regions) != describeRegions(next.Regions) {
		for _, r := range regions {
			// The regions matter only for routes that allow some of those that differ.
			if a, b := commonRegions(r.next.Regions, old.Regions), commonRegions(r.next.Regions, next.Regions); a != b {
				class = r
				l.compare("regions", a, b)
				break
			}
		}
	}
	c.addOnce(Difference{
		Requests: "with a key of " + workspaceRule(old), Example: class.example() + " with such a key",
		OldRule: workspaceRule(old), NewRule: workspaceRule(next), Changes: l,
	})
}

// limits reports requests that are refused by only one of the configurations because of
// their size or slowness.
func (c *comparison) limits() {
	class := c.firstClass(func(class *requestClass) bool { return class.old != nil && class.next != nil })
	if class == nil {
		return
	}
	old, next := c.old.Limits, c.next.Limits
	add := func(field, requests, example string, a, b any) {
		var l changeList
		l.compare(field, a, b)
		c.add(Difference{Requests: requests, Example: class.example() + " " + example, OldRule: "limits", NewRule: "limits", Changes: l})
	}
	add("max_body_bytes", "with a body between the limits",
		fmt.Sprintf("with a body of 1 byte more than %d", min(old.MaxBodyBytes, next.MaxBodyBytes)), old.MaxBodyBytes, next.MaxBodyBytes)
	add("max_header_bytes", "with a head between the limits",
		fmt.Sprintf("with a head of 1 byte more than %d", min(old.MaxHeaderBytes, next.MaxHeaderBytes)), old.MaxHeaderBytes, next.MaxHeaderBytes)
	add("header_timeout", "whose head takes a time between the limits",
		fmt.Sprintf("with a head that takes 1 ms more than %s", min(old.HeaderTimeout, next.HeaderTimeout)), old.HeaderTimeout, next.HeaderTimeout)
	add("idle_timeout", "on connections idle for a time between the limits",
		fmt.Sprintf("on a connection that was idle for 1 ms more than %s", min(old.IdleTimeout, next.IdleTimeout)), old.IdleTimeout, next.IdleTimeout)
}
