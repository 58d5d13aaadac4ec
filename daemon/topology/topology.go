// Package topology holds the types for what operators and backend servers declare:
// routes, services, workspaces, backend servers and rollout orders. A View is immutable,
// so the request path reads it without locking.
package topology

import (
	"sort"
	"strings"
	"time"
)

// Kind tells whether a route's requests may be repeated and how they are answered.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events.
	Stream
)

// String returns the name that logs and metrics use.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non_idempotent"
}

// Share sends a part of a route's requests to a service. The part is the weight divided
// by the sum of the route's weights.
type Share struct {
	Service string
	Weight  float64
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the end of the answer.
	Timeout time.Duration
	// LatencyTarget is the time to the first byte up to which an answer has its full
	// value.
	LatencyTarget time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Urgency is the priority class of the requests; 0 is the most urgent.
	Urgency int
	// Models lists the models of the route, smallest first. It is empty when the caller
	// names the model.
	Models []string
	Shares []Share
	// NoSplit is set if the configuration file names the only service of the route instead
	// of a split.
	NoSplit bool `json:"-"`
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams may be continued by another backend server.
	Resumable bool
	// Regions lists the regions in which requests may run; empty means any.
	Regions []string
}

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service describes a group of backend servers with the same name.
type Service struct {
	Name string
	// ColdRateLimit is the number of requests per second that a cold backend server can
	// serve; 0 means no limit. Programs read it as ColdPerSecond from the output of
	// cactusctl decode config -json.
	ColdRateLimit float64 `json:"ColdPerSecond"`
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// HealthPath is the path of the servers' health check; empty if there is none.
	HealthPath string `json:",omitempty"`
	// EventTokens is the number of tokens in an event of a stream; 0 when unknown.
	EventTokens int
	// Autoscaling is nil for a service whose number of servers is not changed.
	Autoscaling *Autoscaling `json:",omitempty"`
}

// Autoscaling bounds the number of a service's servers in each data centre.
type Autoscaling struct {
	MinReplicas, MaxReplicas int
	// BootTime is the time after which a new server serves.
	BootTime time.Duration
}

// Valid reports whether servers can be ordered within the bounds. It is false for nil.
func (a *Autoscaling) Valid() bool {
	return a != nil && a.MinReplicas >= 0 && a.MaxReplicas >= max(a.MinReplicas, 1) && a.BootTime >= 0
}

// Workspace is a customer with API keys.
type Workspace struct {
	Name string
	// Urgency overrides that of the route if HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// Regions lists the regions in which requests may run; empty means any.
	Regions []string
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the request line and the headers together.
	MaxHeaderBytes int64
	// HeaderTimeout bounds the time until all headers have arrived, IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits returns the limits that apply unless the configuration sets others.
func DefaultLimits() Limits {
	return Limits{MaxBodyBytes: 64 << 20, MaxHeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
}

// withDefaults returns the limits with defaults for those that are not set.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = d.MaxBodyBytes
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = d.MaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = d.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = d.IdleTimeout
	}
	return l
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// HasWorkspaces is true when workspaces are configured, so that requests need an API
	// key.
	HasWorkspaces bool

	byHost    map[string][]*Route
	byKey     map[string]*Workspace
	withdrawn withdrawals
	declared  declarations
}

// NewConfig indexes the routes by host and the workspaces by API key.
func NewConfig(version uint64, routes []*Route, services []*Service, keys map[string]*Workspace, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits.withDefaults(), byKey: keys, HasWorkspaces: keys != nil,
		Services: make(map[string]*Service, len(services)), byHost: make(map[string][]*Route),
		declared: declarations{routes: routes, services: services, limits: limits},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the route of the host with the longest prefix that matches the path, or
// nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of an API key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.byKey[key] }

// Server is a backend server as described by its entry in the store.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Region     string
	Version    string
	// Slots is the number of requests that the server runs concurrently.
	Slots    int
	Draining bool
	// ColdFor is the remaining time for which the server was cold when the entry was
	// written.
	ColdFor time.Duration
	// StartedMS is when the server started, as Unix time in milliseconds; 0 when
	// unknown.
	StartedMS int64
	// ColdUntil is when the server is no longer cold, by the clock of this process.
	ColdUntil time.Time
}

// RolloutOrder is an operator's order to roll out a version of a service.
type RolloutOrder struct {
	Service string
	Target  string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision is the store's revision of the order.
	Revision uint64
}

// Same tells whether two orders ask for the same.
func (o *RolloutOrder) Same(other *RolloutOrder) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// View is the configuration and the state of the fleet as the request path uses it.
type View struct {
	// At is when the view was built.
	At     time.Time
	Config *Config
	// Servers lists the usable backend servers of each service: those that have not
	// left, are not draining and are not in an evacuated data centre.
	Servers map[string][]*Server
	// Splits holds the traffic split between the versions of each service.
	Splits map[string]TrafficSplit
	// ConfigBehind is set while this router knows of a newer configuration that it does not hold
	// yet.
	ConfigBehind bool
	// Routers names the routers that share the fleet-wide limits, including this one.
	Routers []string
}

// TrafficSplit divides the sessions of a service between the target of a rollout and the
// old versions.
type TrafficSplit struct {
	// Target is the version that is rolled out; empty without a rollout.
	Target string
	// Share is the fraction of the sessions that use the target, from 0 to 1.
	Share float64
	// Final is set when the old versions must no longer be used.
	Final bool
	// Rejected lists versions that earlier rollouts reverted. They get no requests.
	Rejected []string
}
