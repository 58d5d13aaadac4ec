// Package bundle defines the configuration bundle, which holds all settings that
// operators change at run time. A bundle is one versioned value that is validated,
// signed and applied as a whole. It is distributed as a signed manifest and a set of
// parts that the manifest names by hash.
package bundle

// Bundle is the content of one configuration version. The JSON keys are the field names
// in snake case; decoding refuses unknown fields.
type Bundle struct {
	Models      []Model      `json:"models" validate:"dive"`
	Services    []Service    `json:"services" validate:"dive"`
	Rollouts    []Rollout    `json:"rollouts" validate:"dive"`
	DataCentres []DataCentre `json:"data_centres" validate:"dive"`
	VMs         []VM         `json:"vms" validate:"dive"`
	Workspaces  []Workspace  `json:"workspaces" validate:"dive"`
	Limits      Limits       `json:"limits"`
	Keys        Keys         `json:"keys"`
}

// Model is a model with its versions and prices.
type Model struct {
	Name string `json:"name" validate:"name"`
	// Current is the version of new sessions, unless a rollout assigns another one.
	Current  string    `json:"current" validate:"required"`
	Versions []Version `json:"versions" validate:"min=1,dive"`
	// InputPrice and OutputPrice are in millionths of the billing currency per million
	// tokens.
	InputPrice  uint64 `json:"input_price"`
	OutputPrice uint64 `json:"output_price"`
	// EngineShare is the share of the engines that load the model, 0 to 1; 0 means
	// every engine whose settings list the model.
	EngineShare float64 `json:"engine_share" validate:"gte=0,lte=1"`
}

// VersionState says whether a version takes new requests.
type VersionState string

// Values of VersionState.
const (
	VersionServing   VersionState = "serving"
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	Name  string       `json:"name" validate:"name"`
	State VersionState `json:"state" validate:"oneof=serving withdrawn"`
	// Weights names the object in the weight store.
	Weights string `json:"weights"`
}

// Service is a service that is not a model. Its calls are matched by HTTP method and
// path.
type Service struct {
	Name       string      `json:"name" validate:"name"`
	Operations []Operation `json:"operations" validate:"min=1,dive"`
}

// Operation is a group of calls of a Service. The first operation that matches a call
// applies; calls that match none are refused.
type Operation struct {
	Method string `json:"method" validate:"method"`
	// Path is a pattern for path.Match.
	Path       string `json:"path" validate:"pattern"`
	Idempotent bool   `json:"idempotent"`
	// Price is in millionths of the billing currency per call.
	Price uint64 `json:"price"`
}

// RolloutState is the state of a rollout.
type RolloutState string

// Values of RolloutState.
const (
	RolloutRunning RolloutState = "running"
	RolloutPaused  RolloutState = "paused"
	RolloutHalted  RolloutState = "halted"
	RolloutDone    RolloutState = "done"
)

// Rollout moves the new sessions of a model from one version to another in steps.
type Rollout struct {
	ID    string `json:"id" validate:"name"`
	Model string `json:"model" validate:"required"`
	From  string `json:"from" validate:"required"`
	To    string `json:"to" validate:"required,nefield=From"`
	// Steps are the shares of new sessions that get the version To, 0 to 1, in
	// ascending order.
	Steps []float64 `json:"steps" validate:"min=1,dive,gte=0,lte=1"`
	// Step is the index in Steps of the present step.
	Step  int          `json:"step" validate:"gte=0"`
	State RolloutState `json:"state" validate:"oneof=running paused halted done"`
	// Automatic lets the routers advance from Step through the steps according to the
	// pooled ratings of the candidate, without a further proposal.
	Automatic bool `json:"automatic,omitempty"`
	// Generation distinguishes rollouts of the same version. Stop notices of an
	// earlier generation have no effect.
	Generation uint64 `json:"generation"`
}

// DataCentreState says whether a data centre takes new requests.
type DataCentreState string

// Values of DataCentreState.
const (
	DataCentreServing      DataCentreState = "serving"
	DataCentreOutOfService DataCentreState = "out"
)

// DataCentre is a data centre with its region.
type DataCentre struct {
	Name   string          `json:"name" validate:"name"`
	Region string          `json:"region" validate:"name"`
	State  DataCentreState `json:"state" validate:"oneof=serving out"`
}

// VM is the entry of a VM that operators may take out of service. VMs without an entry
// are in service.
type VM struct {
	Name         string `json:"name" validate:"name"`
	OutOfService bool   `json:"out"`
}

// WithdrawalPolicy says what happens to the sessions of a withdrawn version.
type WithdrawalPolicy string

// Values of WithdrawalPolicy; the empty value means WithdrawalRefuse.
const (
	// WithdrawalRefuse answers the session's requests with the error version_withdrawn.
	WithdrawalRefuse WithdrawalPolicy = "refuse"
	// WithdrawalMove moves the session to the current version and tells the caller.
	WithdrawalMove WithdrawalPolicy = "move"
)

// Workspace is a customer of the system.
type Workspace struct {
	Name string `json:"name" validate:"name"`
	// KeyHashes are the SHA-256 hashes of the workspace's API keys in lower-case hex.
	KeyHashes []string `json:"key_hashes" validate:"dive,keyhash"`
	// Allowed lists models ("diary"), versions ("diary@3") and services
	// ("service:tickets").
	Allowed []string `json:"allowed"`
	// QualityTarget is the mean rating that answers must reach, 0 to 1.
	QualityTarget float64 `json:"quality_target" validate:"gte=0,lte=1"`
	// Weight is the workspace's share of the capacity relative to other workspaces; 0
	// means 1.
	Weight float64 `json:"weight" validate:"gte=0"`
	// MaxConcurrent bounds the workspace's requests in progress on one router; 0 means
	// that only the limit of the router applies.
	MaxConcurrent int              `json:"max_concurrent" validate:"gte=0"`
	OnWithdrawal  WithdrawalPolicy `json:"on_withdrawal" validate:"omitempty,oneof=refuse move"`
	// ExploreShare is the share of requests that may be sent to another model to measure
	// its quality, 0 to 1.
	ExploreShare float64 `json:"explore_share" validate:"gte=0,lte=1"`
}

// Limits holds bounds that apply to every process. Zero selects the default.
type Limits struct {
	// IsolatedServeSeconds is how long a process continues to take new requests without
	// contact to the store or to more than half of the data centres.
	IsolatedServeSeconds int `json:"isolated_serve_seconds" validate:"gte=0"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=0"`
	// ConcurrentLoads bounds the concurrent loads from the weight store.
	ConcurrentLoads int `json:"concurrent_loads" validate:"gte=0"`
}

// Keys holds the operators' public keys.
type Keys struct {
	Operators []OperatorKey `json:"operators" validate:"min=1,dive"`
	// SignOffs is the number of different operators that must sign a bundle with
	// these keys.
	SignOffs int `json:"sign_offs" validate:"gte=1"`
	// Serial increases with each change of the keys. A process refuses keys with a lower
	// serial than its present ones, so that removed keys can't return.
	Serial uint64 `json:"serial"`
	// RootSignatures are signatures by root keys over the other fields.
	RootSignatures []Signature `json:"root_signatures"`
}

// OperatorKey is one operator's Ed25519 public key.
type OperatorKey struct {
	Name string `json:"name" validate:"name"`
	// PublicKey is the key in standard base64.
	PublicKey string `json:"public_key" validate:"publickey"`
}
