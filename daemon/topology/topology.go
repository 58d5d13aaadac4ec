// Package topology holds what the operators and the backend servers have
// declared, as typed values: routes, services, workspaces, backend servers and
// orders. A View is immutable; the request path reads it without a lock.
package topology

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what of a route's requests may be repeated and how answers arrive.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non_idempotent"
}

// Share is a part of a route's traffic that goes to a service.
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
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// LatencyTarget is the time until the first byte for full value.
	LatencyTarget time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Urgency ranks requests; 0 is the most urgent.
	Urgency int
	// Models lists the models of the route, smallest first; empty when the
	// caller names the model.
	Models []string
	Shares []Share
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Regions are those in which requests may run; empty means any.
	Regions []string
}

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service describes the backend servers of one name.
type Service struct {
	Name string
	// ColdRateLimit is the request rate that a cold backend server tolerates; 0
	// means no bound.
	ColdRateLimit float64
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// EventTokens is the number of tokens in an event of a stream; 0 when unknown.
	EventTokens int
}

// Workspace is a customer with API keys.
type Workspace struct {
	Name string
	// Urgency replaces the route's when HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// Regions are those in which requests may run; empty means any.
	Regions []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the request line and the headers.
	MaxHeaderBytes int64
	// HeaderTimeout bounds the time until all headers have arrived, IdleTime that
	// between two requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits returns the limits while no configuration states others.
func DefaultLimits() Limits {
	return Limits{MaxBodyBytes: 64 << 20, MaxHeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
}

// withDefaults replaces limits that are not stated.
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
	// HasWorkspaces is true when requests need a key.
	HasWorkspaces bool

	byHost map[string][]*Route
	byKey  map[string]*Workspace
	former formerly
}

// NewConfig indexes the routes by host and the workspaces by API key.
func NewConfig(version uint64, routes []*Route, services []*Service, keys map[string]*Workspace, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits.withDefaults(), byKey: keys, HasWorkspaces: keys != nil,
		Services: make(map[string]*Service, len(services)), byHost: make(map[string][]*Route),
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

// Match returns the route with the longest prefix of path on host, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds the key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.byKey[key] }

// Server is a backend server as it describes itself in the store.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Region     string
	Version    string
	// Slots is the number of requests that it runs at once.
	Slots    int
	Draining bool
	// ColdFor is how long it was still cold when the entry was written.
	ColdFor time.Duration
	// StartedMS is the Unix time of its start in milliseconds; 0 when unknown.
	StartedMS int64
	// ColdUntil is until when it may be cold, by this process's clock.
	ColdUntil time.Time
}

// RolloutOrder asks for a roll-out of a version of a service.
type RolloutOrder struct {
	Service  string
	Target   string
	Duration time.Duration
	// Revision is the store's revision of the order.
	Revision uint64
}

// View is what the request path sees.
type View struct {
	// At is when the view was made.
	At     time.Time
	Config *Config
	// Servers lists the usable backend servers of each service: not draining, not
	// gone, not in an evacuated data centre.
	Servers map[string][]*Server
	// Splits tells how the versions of a service share its requests.
	Splits map[string]TrafficSplit
	// Routers names the routers that share the fleet's bounds, this one included.
	Routers []string
}

// TrafficSplit is the state of a service's roll-out on the request path.
type TrafficSplit struct {
	// Target is the version that is rolled out; empty without a roll-out.
	Target string
	// Share is the part of sessions that the target gets, from 0 to 1.
	Share float64
	// Final is set when the old versions must not be used any more.
	Final bool
}
