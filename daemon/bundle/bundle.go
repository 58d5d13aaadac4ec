// Package bundle defines the configuration bundle: what operators decide, as one
// versioned value that is checked, signed and put in force as a whole.
package bundle

// Bundle is the content of one configuration version. Keys in JSON are the
// field names in snake case; unknown fields are refused.
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

// Model is a model with its versions and price.
type Model struct {
	Name string `json:"name" validate:"name"`
	// Current is the version that new sessions get outside a roll-out.
	Current  string    `json:"current" validate:"required"`
	Versions []Version `json:"versions" validate:"min=1,dive"`
	// Prices in millionths of the billing currency per million tokens.
	InputPrice  uint64 `json:"input_price"`
	OutputPrice uint64 `json:"output_price"`
	// EngineShare is the share of engines that load the model, 0 to 1; 0 means
	// every engine whose settings list the model.
	EngineShare float64 `json:"engine_share" validate:"gte=0,lte=1"`
}

// VersionState tells whether a version takes new work.
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

// Service is a plain service.
type Service struct {
	Name       string      `json:"name" validate:"name"`
	Operations []Operation `json:"operations" validate:"min=1,dive"`
}

// Operation is a group of calls of a plain service. The first operation that
// matches a call decides; calls that match none are refused.
type Operation struct {
	Method string `json:"method" validate:"method"`
	// Path is a pattern of path.Match.
	Path       string `json:"path" validate:"pattern"`
	Idempotent bool   `json:"idempotent"`
	// Price in millionths of the billing currency per call.
	Price uint64 `json:"price"`
}

// RolloutState tells what a roll-out does now.
type RolloutState string

// Values of RolloutState.
const (
	RolloutRunning RolloutState = "running"
	RolloutPaused  RolloutState = "paused"
	RolloutHalted  RolloutState = "halted"
	RolloutDone    RolloutState = "done"
)

// Rollout moves new sessions of a model from one version to another in steps.
type Rollout struct {
	ID    string `json:"id" validate:"name"`
	Model string `json:"model" validate:"required"`
	From  string `json:"from" validate:"required"`
	To    string `json:"to" validate:"required,nefield=From"`
	// Steps are the shares of sessions, ascending, 0 to 1.
	Steps []float64 `json:"steps" validate:"min=1,dive,gte=0,lte=1"`
	// Step is the index of the step in force.
	Step  int          `json:"step" validate:"gte=0"`
	State RolloutState `json:"state" validate:"oneof=running paused halted done"`
	// Automatic lets the share grow from Step through the steps by the pooled
	// ratings of the candidate, without a further proposal.
	Automatic bool `json:"automatic,omitempty"`
	// Generation makes stop notices of earlier roll-outs of the version void.
	Generation uint64 `json:"generation"`
}

// DataCentreState tells whether a data centre takes new work.
type DataCentreState string

// Values of DataCentreState.
const (
	DataCentreServing      DataCentreState = "serving"
	DataCentreOutOfService DataCentreState = "out"
)

// DataCentre is a data centre.
type DataCentre struct {
	Name   string          `json:"name" validate:"name"`
	Region string          `json:"region" validate:"name"`
	State  DataCentreState `json:"state" validate:"oneof=serving out"`
}

// VM lists a VM that operators took out of service. VMs that are not listed serve.
type VM struct {
	Name         string `json:"name" validate:"name"`
	OutOfService bool   `json:"out"`
}

// WithdrawalPolicy tells what happens to sessions of a withdrawn version.
type WithdrawalPolicy string

// Values of WithdrawalPolicy; the empty value means WithdrawalRefuse.
const (
	// WithdrawalRefuse answers requests of the session with version_withdrawn.
	WithdrawalRefuse WithdrawalPolicy = "refuse"
	// WithdrawalMove moves the session to the current version and announces it.
	WithdrawalMove WithdrawalPolicy = "move"
)

// Workspace is a customer of the system.
type Workspace struct {
	Name string `json:"name" validate:"name"`
	// KeyHashes are hex SHA-256 hashes of the workspace's API keys.
	KeyHashes []string `json:"key_hashes" validate:"dive,keyhash"`
	// Allowed lists models ("diary"), versions ("diary@3") and services
	// ("service:tickets").
	Allowed []string `json:"allowed"`
	// QualityTarget is the mean rating that answers must reach, 0 to 1.
	QualityTarget float64 `json:"quality_target" validate:"gte=0,lte=1"`
	// Weight is the share in admission relative to other workspaces; 0 means 1.
	Weight float64 `json:"weight" validate:"gte=0"`
	// MaxConcurrent bounds requests in progress on one router; 0 means the limit
	// of the router alone.
	MaxConcurrent int              `json:"max_concurrent" validate:"gte=0"`
	OnWithdrawal  WithdrawalPolicy `json:"on_withdrawal" validate:"omitempty,oneof=refuse move"`
	// ExploreShare is the share of requests that may go to another model to learn
	// its quality, 0 to 1.
	ExploreShare float64 `json:"explore_share" validate:"gte=0,lte=1"`
}

// Limits are bounds that hold for every process. Zero means the default.
type Limits struct {
	// IsolatedServeSeconds is how long an isolated process goes on serving.
	IsolatedServeSeconds int `json:"isolated_serve_seconds" validate:"gte=0"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=0"`
	// ConcurrentLoads bounds loads from the weight store at one time.
	ConcurrentLoads int `json:"concurrent_loads" validate:"gte=0"`
}

// Keys are the operators' public keys.
type Keys struct {
	Operators []OperatorKey `json:"operators" validate:"min=1,dive"`
	// SignOffs is the number of different operators that must sign the next bundle.
	SignOffs int `json:"sign_offs" validate:"gte=1"`
	// Serial grows with each change of the keys. A process refuses keys with a
	// lower serial than the one it holds, so removed keys stay removed.
	Serial uint64 `json:"serial"`
	// RootSignatures are signatures of root keys over the other fields.
	RootSignatures []Signature `json:"root_signatures"`
}

// OperatorKey is one operator's Ed25519 public key.
type OperatorKey struct {
	Name string `json:"name" validate:"name"`
	// PublicKey is standard base64.
	PublicKey string `json:"public_key" validate:"publickey"`
}
