package topology

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strings"
	"time"
)

// Severity tells how a finding affects requests.
type Severity string

// Severities of findings.
const (
	// SeverityError marks a part that makes requests fail or that processes read otherwise
	// than it is written.
	SeverityError Severity = "error"
	// SeverityWarning marks a part without effect, or limits that contradict each other.
	SeverityWarning Severity = "warning"
)

// Compare orders errors before warnings.
func (s Severity) Compare(o Severity) int {
	rank := func(s Severity) int { return slices.Index([]Severity{SeverityError, SeverityWarning}, s) }
	return cmp.Compare(rank(s), rank(o))
}

// Finding is a fault in a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Rule identifies the rule that found the fault.
	Rule string `json:"rule"`
	// Place is the entry in the order of the operators' file, for example routes[3], and Name
	// its name.
	Place string `json:"place"`
	Name  string `json:"name,omitempty"`
	// Field is the path of the property within Place.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`

	section section
	index   int
}

// section is a part of the configuration file. The order of the values is that of the
// findings.
type section int

const (
	inFile section = iota
	inLimits
	inRoutes
	inServices
	inWorkspaces
)

// sectionNames holds the name of a section and that of one entry.
var sectionNames = [...]struct{ key, entry string }{
	inFile:       {"", "configuration"},
	inLimits:     {"limits", "limits"},
	inRoutes:     {"routes", "route"},
	inServices:   {"services", "service"},
	inWorkspaces: {"workspaces", "workspace"},
}

// String returns the finding as one line for logs.
func (f Finding) String() string {
	entry := sectionNames[f.section].entry
	if f.section > inLimits {
		return fmt.Sprintf("%s %q: %s", entry, f.Name, f.Reason)
	}
	return fmt.Sprintf("%s: %s", entry, f.Reason)
}

// KeyedWorkspace is a workspace and its API keys as the configuration file lists them.
type KeyedWorkspace struct {
	*Workspace
	Keys []string
}

// declarations holds the entries as the file lists them, including those that an index
// drops because a later entry replaces them.
type declarations struct {
	routes     []*Route
	services   []*Service
	workspaces []KeyedWorkspace
	limits     Limits
}

// DeclareWorkspaces records the workspaces in the order of the file, for the rules on
// workspaces that the index by API key cannot decide.
func (c *Config) DeclareWorkspaces(workspaces []KeyedWorkspace) { c.declared.workspaces = workspaces }

const (
	// minAttemptTime is the shortest time per attempt that is taken for intended. A smaller
	// quotient of timeout and attempts is usually a timeout in the wrong unit.
	minAttemptTime = time.Millisecond
	// minRequestHead is the size of the shortest request line and Host header.
	minRequestHead = int64(len("GET / HTTP/1.1\r\nHost: h\r\n"))
)

// Routes returns the routes ordered by host, and for each host from the longest prefix
// to the shortest.
func (c *Config) Routes() []*Route {
	var routes []*Route
	for _, host := range slices.Sorted(maps.Keys(c.byHost)) {
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
	for _, f := range c.Findings() {
		problems = append(problems, f.String())
	}
	return problems
}

// Findings applies all rules. Errors come before warnings; findings of the same severity
// have the order of the file.
func (c *Config) Findings() []Finding {
	k := &checker{config: c}
	k.limits()
	k.routes()
	k.services()
	k.workspaces()
	k.access()
	slices.SortStableFunc(k.findings, func(a, b Finding) int {
		return cmp.Or(a.Severity.Compare(b.Severity), cmp.Compare(a.section, b.section), cmp.Compare(a.index, b.index))
	})
	return k.findings
}

// HasErrors tells whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == SeverityError })
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Config
	findings []Finding
	// section, index and name tell which entry is checked.
	section section
	index   int
	name    string
}

func (k *checker) enter(s section, index int, name string) {
	k.section, k.index, k.name = s, index, name
}

func (k *checker) add(severity Severity, rule, field, reason string, args ...any) {
	place := sectionNames[k.section].key
	if k.section > inLimits && k.index >= 0 {
		place = fmt.Sprintf("%s[%d]", place, k.index)
	}
	k.findings = append(k.findings, Finding{
		Severity: severity, Rule: rule, Place: place, Name: k.name, Field: field, Reason: fmt.Sprintf(reason, args...),
		section: k.section, index: k.index,
	})
}

// negative reports a value below 0. A time that is too large for its type is read as
// negative too.
func (k *checker) negative(field string, isNegative bool) {
	if isNegative {
		k.add(SeverityError, "negative", field, "%s is negative or too large", field)
	}
}

func (k *checker) limits() {
	k.enter(inLimits, 0, "")
	l := k.config.declared.limits
	k.negative("max_body_bytes", l.MaxBodyBytes < 0)
	k.negative("max_header_bytes", l.MaxHeaderBytes < 0)
	k.negative("header_timeout", l.HeaderTimeout < 0)
	k.negative("idle_timeout", l.IdleTimeout < 0)
	if l.MaxHeaderBytes > 0 && l.MaxHeaderBytes < minRequestHead {
		k.add(SeverityError, "header-limit", "max_header_bytes", "no request has a head of at most %d bytes", l.MaxHeaderBytes)
	}
}

func (k *checker) routes() {
	seen := make(map[routeLocation]string)
	for i, r := range k.config.declared.routes {
		k.enter(inRoutes, i, r.Name)
		location := routeLocation{strings.ToLower(r.Host), r.Prefix}
		if first, duplicate := seen[location]; duplicate {
			k.add(SeverityWarning, "route-shadowed", "prefix", "never used, %q has the same host and prefix", first)
		} else {
			seen[location] = r.Name
		}
		k.location(r)
		k.shares(r)
		k.times(r)
		k.models(r)
	}
}

// location reports a host or prefix that no request has.
func (k *checker) location(r *Route) {
	if r.Host == "" {
		k.add(SeverityWarning, "host-missing", "host", "used only by requests without a host, the host is missing")
	} else if _, _, err := net.SplitHostPort(r.Host); err == nil {
		k.add(SeverityWarning, "host-with-port", "host", "never used, hosts are compared without the port")
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		k.add(SeverityWarning, "prefix-not-absolute", "prefix", "never used, the prefix %q does not start with /", r.Prefix)
	}
}

func (k *checker) shares(r *Route) {
	total, negative := 0.0, false
	for i, share := range r.Shares {
		field := fmt.Sprintf("shares[%d].", i)
		if r.NoSplit {
			field = ""
		}
		total += share.Weight
		negative = negative || share.Weight < 0
		if k.config.Services[share.Service] == nil {
			k.add(SeverityError, "service-unknown", field+"service", "service %q is not configured", share.Service)
		}
		if share.Weight < 0 {
			k.add(SeverityError, "weight-negative", field+"weight", "the weight of service %q is negative", share.Service)
		}
	}
	switch {
	case math.IsInf(total, 0):
		k.add(SeverityError, "weight-sum", "shares", "the sum of the weights is too large")
	case total <= 0:
		if !negative {
			k.add(SeverityError, "weight-sum", "shares", "no service with a weight above 0")
		}
	default:
		for i, share := range r.Shares {
			if share.Weight == 0 {
				k.add(SeverityWarning, "weight-zero", fmt.Sprintf("shares[%d].weight", i), "service %q has weight 0 and gets no requests", share.Service)
			}
		}
	}
}

func (k *checker) times(r *Route) {
	k.negative("timeout", r.Timeout < 0)
	k.negative("latency_target", r.LatencyTarget < 0)
	k.negative("max_attempts", r.MaxAttempts < 0)
	k.negative("urgency", r.Urgency < 0)
	if r.Timeout <= 0 {
		return
	}
	if r.LatencyTarget > r.Timeout {
		k.add(SeverityWarning, "target-above-timeout", "latency_target", "the latency target %s is above the timeout %s", r.LatencyTarget, r.Timeout)
	}
	if r.Timeout/time.Duration(max(r.MaxAttempts, 1)) < minAttemptTime {
		k.add(SeverityWarning, "attempts-against-timeout", "timeout", "the timeout %s leaves less than %s for each of %d attempts",
			r.Timeout, minAttemptTime, max(r.MaxAttempts, 1))
	}
}

func (k *checker) models(r *Route) {
	for i, model := range r.Models {
		field := fmt.Sprintf("models[%d]", i)
		if model == "" {
			k.add(SeverityError, "model-empty", field, "the name of a model is empty")
		} else if slices.Contains(r.Models[:i], model) {
			k.add(SeverityWarning, "model-twice", field, "model %q is listed twice", model)
		}
	}
}

func (k *checker) services() {
	last := make(map[string]int)
	for i, s := range k.config.declared.services {
		last[s.Name] = i
	}
	for i, s := range k.config.declared.services {
		k.enter(inServices, i, s.Name)
		if s.Name == "" {
			k.add(SeverityError, "service-unnamed", "name", "the name is missing")
		}
		if last[s.Name] != i {
			k.add(SeverityWarning, "service-replaced", "name", "never used, a later service has the same name")
		}
		k.negative("cold_rate_limit", s.ColdRateLimit < 0)
		k.negative("cold_start", s.ColdStart < 0)
		k.negative("event_tokens", s.EventTokens < 0)
		if a := s.Autoscaling; a != nil && !a.Valid() {
			k.add(SeverityError, "autoscaling-invalid", "autoscaling",
				"not scaled, the bounds %d to %d or the boot time %s is out of range", a.MinReplicas, a.MaxReplicas, a.BootTime)
		}
	}
}

// workspaces checks the keys of each workspace. The reasons do not contain keys, because
// they are secret.
func (k *checker) workspaces() {
	last := make(map[string]int)
	for i, w := range k.config.declared.workspaces {
		for _, key := range w.Keys {
			last[key] = i
		}
	}
	for i, w := range k.config.declared.workspaces {
		k.enter(inWorkspaces, i, w.Name)
		if w.Name == "" {
			k.add(SeverityWarning, "workspace-unnamed", "name", "the name is missing, requests count as anonymous")
		}
		if len(w.Keys) == 0 {
			k.add(SeverityWarning, "workspace-without-key", "keys", "never used, it has no API key")
		}
		k.negative("urgency", w.HasUrgency && w.Urgency < 0)
		for n, key := range w.Keys {
			field := fmt.Sprintf("keys[%d]", n)
			switch {
			case key == "":
				k.add(SeverityError, "key-empty", field, "the API key is empty, so that requests without a key are accepted")
			case strings.TrimSpace(key) != key:
				k.add(SeverityError, "key-with-space", field, "never used, the API key starts or ends with white space")
			case last[key] != i:
				k.add(SeverityError, "key-shared", field, "the API key belongs to %q too, which gets its requests", k.config.declared.workspaces[last[key]].Name)
			}
		}
	}
}

// access reports routes that no workspace may call, and workspaces that may call no route.
func (k *checker) access() {
	c := k.config
	if !c.HasWorkspaces {
		return
	}
	var routes, workspaces regionUnion
	for _, r := range c.declared.routes {
		if !r.Anonymous {
			routes.add(r.Regions)
		}
	}
	for _, w := range c.declared.workspaces {
		workspaces.add(w.Regions)
	}
	if routes.lists == 0 {
		return
	}
	if len(c.declared.workspaces) == 0 && len(c.byKey) == 0 {
		k.enter(inWorkspaces, -1, "")
		k.add(SeverityWarning, "no-workspaces", "", "without a workspace only anonymous routes accept requests")
	}
	if workspaces.lists == 0 {
		return
	}
	for i, r := range c.declared.routes {
		if !r.Anonymous && !workspaces.meets(r.Regions) {
			k.enter(inRoutes, i, r.Name)
			k.add(SeverityWarning, "route-without-workspace", "regions", "no workspace may use one of the regions %v", r.Regions)
		}
	}
	for i, w := range c.declared.workspaces {
		if !routes.meets(w.Regions) {
			k.enter(inWorkspaces, i, w.Name)
			k.add(SeverityWarning, "workspace-without-route", "regions", "no route may use one of the regions %v", w.Regions)
		}
	}
}

// regionUnion is the union of lists of allowed regions, in which an empty list allows all.
type regionUnion struct {
	lists   int
	all     bool
	regions map[string]bool
}

func (u *regionUnion) add(list []string) {
	u.lists++
	u.all = u.all || len(list) == 0
	if u.regions == nil {
		u.regions = make(map[string]bool)
	}
	for _, region := range list {
		u.regions[region] = true
	}
}

// meets tells whether a region is allowed by both list and one of the lists of u.
func (u *regionUnion) meets(list []string) bool {
	return u.all || len(list) == 0 || slices.ContainsFunc(list, func(region string) bool { return u.regions[region] })
}
