package loadgen

import (
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/emulate"
)

// ErrInvalidWorkload is returned for a workload with invalid settings.
var ErrInvalidWorkload = errors.New("loadgen: invalid workload")

// defaultTimeout is the request timeout of a workload that sets none.
const defaultTimeout = 60 * time.Second

// Workload describes the mix of requests.
type Workload struct {
	Workspaces []Workspace `json:"workspaces"`
	Classes    []Class     `json:"classes"`
	// TimeoutMs is the timeout of a request; 0 means 60 s.
	TimeoutMs int `json:"timeout_ms,omitempty"`
}

// Workspace is a tenant on whose behalf requests are sent.
type Workspace struct {
	Name string `json:"name"`
	// Key is the API key. If it is empty, none is sent, as suits an engine without
	// a router.
	Key string `json:"key,omitempty"`
	// Weight is the workspace's share of the requests, relative to the others.
	Weight float64 `json:"weight"`
}

// KeySource defines where the idempotency key of a request comes from.
type KeySource string

// Values of KeySource.
const (
	// KeyNone sends no key.
	KeyNone KeySource = ""
	// KeyGenerated sends a UUIDv7 that the load generator creates.
	KeyGenerated KeySource = "own"
	// KeyFromRouter requests a key from the router first.
	KeyFromRouter KeySource = "asked"
)

// Class is a kind of request with its share of the mix.
type Class struct {
	Name string `json:"name"`
	// Weight is the class's share of the requests, relative to the others.
	Weight float64 `json:"weight"`
	// Workspaces restricts the class to these workspaces; empty means all.
	Workspaces []string `json:"workspaces,omitempty"`
	// Exactly one of Chat and Service is set.
	Chat    *Chat    `json:"chat,omitempty"`
	Service *Service `json:"service,omitempty"`
	// Kind is sent as X-Request-Kind.
	Kind string `json:"kind,omitempty"`
	// DeadlineMs is sent as X-Deadline-Ms; 0 sends none.
	DeadlineMs int       `json:"deadline_ms,omitempty"`
	Key        KeySource `json:"key,omitempty"`
}

// Chat is a chat-completions request.
type Chat struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// PromptMin and PromptMax bound the prompt size in bytes.
	PromptMin int `json:"prompt_min"`
	PromptMax int `json:"prompt_max"`
	// Prefixes is the number of distinct shared prompt prefixes, each of
	// PrefixBytes; 0 means that prompts share no prefix.
	Prefixes    int `json:"prefixes,omitempty"`
	PrefixBytes int `json:"prefix_bytes,omitempty"`
	// MaxTokens is sent as max_tokens; 0 sends none.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Sessions is the number of sessions of each workspace. Requests choose one
	// at random; 0 means that requests have no session.
	Sessions int `json:"sessions,omitempty"`
	Priority int `json:"priority,omitempty"`
	// ReadPauseMs emulates a slow reader: it is the pause after each event of a
	// stream.
	ReadPauseMs int `json:"read_pause_ms,omitempty"`
	// SkipMarkerCheck disables the check of the response's marker, for backend
	// servers other than the engine emulator.
	SkipMarkerCheck bool `json:"no_marker,omitempty"`
}

// Service is a call to a plain service.
type Service struct {
	// Name is the name of the service. If it is empty, the path is called directly,
	// without a router.
	Name   string `json:"name,omitempty"`
	Method string `json:"method"`
	// Path is the path within the service, such as "bookings".
	Path string `json:"path"`
}

// ReadWorkload decodes and validates a workload; it rejects unknown fields.
func ReadWorkload(r io.Reader) (Workload, error) {
	var w Workload
	if err := emulate.DecodeStrict(r, &w); err != nil {
		return Workload{}, trace.Wrap(err)
	}
	return w, trace.Wrap(w.validate())
}

func (w Workload) timeout() time.Duration {
	if w.TimeoutMs <= 0 {
		return defaultTimeout
	}
	return time.Duration(w.TimeoutMs) * time.Millisecond
}

func (w Workload) validate() error {
	names := map[string]bool{}
	for _, ws := range w.Workspaces {
		if ws.Name == "" || names[ws.Name] || ws.Weight <= 0 {
			return trace.Wrap(ErrInvalidWorkload, "workspace %q: want a unique name and a weight above 0", ws.Name)
		}
		names[ws.Name] = true
	}
	if len(w.Workspaces) == 0 || len(w.Classes) == 0 {
		return trace.Wrap(ErrInvalidWorkload, "want at least one workspace and one class")
	}
	classes := map[string]bool{}
	for _, c := range w.Classes {
		if classes[c.Name] {
			return trace.Wrap(ErrInvalidWorkload, "class %q is listed twice", c.Name)
		}
		classes[c.Name] = true
		if err := c.validate(names); err != nil {
			return trace.Wrap(err, "class %q", c.Name)
		}
	}
	return nil
}

func (c Class) validate(workspaces map[string]bool) error {
	for _, name := range c.Workspaces {
		if !workspaces[name] {
			return trace.Wrap(ErrInvalidWorkload, "unknown workspace %q", name)
		}
	}
	if c.Name == "" || c.Weight <= 0 || (c.Chat == nil) == (c.Service == nil) {
		return trace.Wrap(ErrInvalidWorkload, "want a name, a weight above 0 and one of chat and service")
	}
	if c.Key != KeyNone && c.Key != KeyGenerated && c.Key != KeyFromRouter {
		return trace.Wrap(ErrInvalidWorkload, "unknown key mode %q", c.Key)
	}
	if c.Service != nil && (c.Service.Method == "" || c.Service.Path == "") {
		return trace.Wrap(ErrInvalidWorkload, "want method and path of the service")
	}
	if c.Chat != nil {
		return c.Chat.validate()
	}
	return nil
}

func (c Chat) validate() error {
	if c.Model == "" || c.PromptMin < 1 || c.PromptMax < c.PromptMin {
		return trace.Wrap(ErrInvalidWorkload, "want a model and 1 <= prompt_min <= prompt_max")
	}
	if c.Prefixes > 0 && (c.PrefixBytes < 1 || c.PrefixBytes > c.PromptMin) {
		return trace.Wrap(ErrInvalidWorkload, "want 1 <= prefix_bytes <= prompt_min")
	}
	return nil
}
