// Package config reads and validates the settings files of the router and the agent.
// The settings describe one process and the addresses that it uses; what operators
// decide for the whole system is in the bundle.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"cactusknot.example/daemon/strictjson"
)

// Node holds the settings common to both roles.
type Node struct {
	// VM is the VM's name in the platform's VM list.
	VM         string `json:"vm" validate:"required,max=64"`
	DataCentre string `json:"data_centre" validate:"required,max=64"`
	Region     string `json:"region" validate:"required,max=64"`
	// InternalListen is the IP:port address for other cactusknot processes.
	InternalListen string `json:"internal_listen" validate:"required,hostname_port"`
	// AdminListen is the address for health checks, metrics and the explain endpoint.
	AdminListen string   `json:"admin_listen" validate:"required,hostname_port"`
	TLS         TLS      `json:"tls"`
	Platform    Platform `json:"platform"`
	// RootKeys are the Ed25519 public keys that sign the operators' keys.
	RootKeys []RootKey `json:"root_keys" validate:"required,min=1,dive"`
	// RootSignOffs is the number of root keys that must sign. 0 means 1.
	RootSignOffs int `json:"root_sign_offs" validate:"min=0"`
	// Peers are the internal addresses of processes to ask for the configuration at
	// start.
	Peers    []string `json:"peers" validate:"dive,hostname_port"`
	LogLevel string   `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// FatalInvariants ends the process if an invariant is violated.
	FatalInvariants bool `json:"fatal_invariants"`
}

// RootKey is a root key with its holder's name.
type RootKey struct {
	Name string `json:"name" validate:"required"`
	// PublicKey is the key in standard base64.
	PublicKey string `json:"public_key" validate:"required,base64"`
}

// TLS holds the paths of this process's PEM files.
type TLS struct {
	CA   string `json:"ca" validate:"required"`
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store  string `json:"store" validate:"required,url"`
	VMList string `json:"vm_list" validate:"required,url"`
	// Rating is optional; without it, answers are not rated.
	Rating string `json:"rating" validate:"omitempty,url"`
}

// Router holds the settings of the router role.
type Router struct {
	Node
	// Listen is the address for callers.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// SessionSecrets are the base64 secrets for session tokens. The first one signs;
	// all of them verify.
	SessionSecrets []string `json:"session_secrets" validate:"required,min=1,dive,base64,min=44"`
	// MaxRequests bounds the requests in progress.
	MaxRequests int `json:"max_requests" validate:"required,min=1,max=100000"`
	// BufferBytes bounds the response bytes buffered for all callers, and the memory of all requests
	// that arrive or are handled.
	BufferBytes int64 `json:"buffer_bytes" validate:"required,min=65536"`
	// MemoryBytes is the memory that the process may take, at least MinMemory(BufferBytes). The garbage
	// collector works more as the heap comes near it; no request is refused for it. 0 means the least
	// value, and 512 MiB at least.
	MemoryBytes int64 `json:"memory_bytes" validate:"min=0"`
	// DrainDelayMs is how long a stopping router still accepts requests after its
	// readiness check has begun to fail. 0 means 5000.
	DrainDelayMs int `json:"drain_delay_ms" validate:"min=0,max=600000"`
	// DefaultDeadlineMs applies to requests without X-Deadline-Ms. 0 means 600000.
	DefaultDeadlineMs int `json:"default_deadline_ms" validate:"min=0,max=3600000"`
	// LedgerLines bounds the queue of charges. 0 means 200000.
	LedgerLines int `json:"ledger_lines" validate:"min=0"`
}

// BackendKind is the kind of an agent's backend server.
type BackendKind string

// Values of BackendKind.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// Backend describes the agent's backend server.
type Backend struct {
	Kind BackendKind `json:"kind" validate:"required,oneof=engine service"`
	URL  string      `json:"url" validate:"required,url"`
	// Service is the plain service's name; required for kind "service".
	Service string `json:"service" validate:"required_if=Kind service"`
	// Models lists the models that the engine may load; required for kind "engine".
	Models []string `json:"models" validate:"required_if=Kind engine"`
	// Fencing is "enforced" if the backend server rejects old fencing tokens.
	Fencing string `json:"fencing" validate:"omitempty,oneof=enforced ignored"`
	// MaxConcurrent is the number of concurrent requests that a warm backend server can
	// handle.
	MaxConcurrent int `json:"max_concurrent" validate:"required,min=1,max=10000"`
	// MaxQueuedTokens bounds the prompt and answer tokens of admitted requests.
	MaxQueuedTokens int `json:"max_queued_tokens" validate:"required,min=1"`
	// ColdConcurrent is the number of concurrent requests that the backend server can
	// handle right after its start.
	ColdConcurrent int `json:"cold_concurrent" validate:"required,min=1,ltefield=MaxConcurrent"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	Node
	Backend Backend `json:"backend"`
	// Records and RecordBytes bound the at-most-once records. 0 means 100000 and
	// 32 MiB.
	Records     int   `json:"records" validate:"min=0"`
	RecordBytes int64 `json:"record_bytes" validate:"min=0"`
	// LedgerLines bounds the queue of charges. 0 means 200000.
	LedgerLines int `json:"ledger_lines" validate:"min=0"`
}

// Defaults of optional settings.
const (
	defaultDrainDelayMs = 5000
	defaultDeadlineMs   = 600_000
	defaultLedgerLines  = 200_000
	defaultRecords      = 100_000
	defaultRecordBytes  = 32 << 20
	defaultMemoryBytes  = 512 << 20
)

// MinMemory returns the memory in bytes that a router with the given BufferBytes needs: requests and
// answers up to BufferBytes each, as much that is not collected yet, and what it needs without them.
func MinMemory(bufferBytes int64) int64 { return 4*bufferBytes + 64<<20 }

// LoadRouter reads and validates a router's settings file. Its error is one line with
// the file, the field's path and the reason.
func LoadRouter(file string) (*Router, error) {
	r := &Router{}
	if err := load(file, r); err != nil {
		return nil, err
	}
	least := MinMemory(r.BufferBytes)
	if r.MemoryBytes > 0 && r.MemoryBytes < least {
		problem := &strictjson.FieldError{Path: "memory_bytes", Reason: fmt.Sprintf("must be at least %d for buffer_bytes %d", least, r.BufferBytes)}
		return nil, fmt.Errorf("%s: %w", file, problem)
	}
	r.MemoryBytes = cmp.Or(r.MemoryBytes, max(least, defaultMemoryBytes))
	r.DrainDelayMs = cmp.Or(r.DrainDelayMs, defaultDrainDelayMs)
	r.DefaultDeadlineMs = cmp.Or(r.DefaultDeadlineMs, defaultDeadlineMs)
	r.LedgerLines = cmp.Or(r.LedgerLines, defaultLedgerLines)
	return r, nil
}

// LoadAgent reads and validates an agent's settings file. Its error is one line with
// the file, the field's path and the reason.
func LoadAgent(file string) (*Agent, error) {
	a := &Agent{}
	if err := load(file, a); err != nil {
		return nil, err
	}
	a.Records = cmp.Or(a.Records, defaultRecords)
	a.RecordBytes = cmp.Or(a.RecordBytes, defaultRecordBytes)
	a.LedgerLines = cmp.Or(a.LedgerLines, defaultLedgerLines)
	return a, nil
}

// load reads the file into v and validates it.
func load(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := strictjson.Decode(data, v); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if err := validate(v); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// validate returns the first violation of v's validate tags.
func validate(v any) error {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(jsonName)
	err := check.Struct(v)
	var problems validator.ValidationErrors
	if !errors.As(err, &problems) {
		return err
	}
	return fieldError(problems[0])
}

// jsonName returns the name of a field in the settings file.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// fieldError converts a violation to an error with the field's path in the file.
func fieldError(problem validator.FieldError) error {
	_, path, _ := strings.Cut(problem.Namespace(), ".")
	path = strings.TrimPrefix(path, "Node.")
	reason, known := reasons[problem.Tag()]
	if !known {
		reason = "must be " + problem.Tag()
	}
	if param := problem.Param(); param != "" && problem.Tag() != "required_if" {
		reason += " " + param
	}
	return &strictjson.FieldError{Path: path, Reason: reason}
}

// reasons maps the validator's tags to messages; the tag's parameter, if any, follows
// the message.
var reasons = map[string]string{
	"required":      "is required",
	"required_if":   "is required",
	"min":           "must have a value or length of at least",
	"max":           "must have a value or length of at most",
	"oneof":         "must be one of",
	"ltefield":      "must be at most the value of",
	"url":           "must be a URL",
	"hostname_port": "must be host:port",
}
