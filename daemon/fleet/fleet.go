// Package fleet runs a complete deployment on the local machine with one operating
// system process for each component: emulators of the platform and of backend
// servers, agents and routers. The demo, the soak test and the end-to-end tests use
// it.
package fleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/platform"
)

// region is the region of all data centres in the deployment.
const region = "north"

// Spec describes a deployment.
type Spec struct {
	// DaemonPath and ToolPath are the paths of the cactusknot and cactusctl binaries.
	DaemonPath string
	ToolPath   string
	// Dir receives settings, keys and logs.
	Dir string
	// Bundle is the first bundle that is put in force, after New has added the
	// operator key to it.
	Bundle  bundle.Bundle
	Routers []RouterSpec
	Agents  []AgentSpec
	// DrainDelay is the routers' drain delay.
	DrainDelay time.Duration
	// FatalInvariants makes routers and agents exit when an invariant is violated.
	FatalInvariants bool
	// OnExit, if set, is called with the exit code of each process that ends. The
	// code is -1 for a process that was terminated by a signal.
	OnExit func(name string, code int)
	// Env is added to the environment of routers and agents, as NAME=value.
	Env []string
}

// RouterSpec describes a router.
type RouterSpec struct {
	VM         string
	DataCentre string
	// MaxRequests, BufferBytes and MemoryBytes are settings of the router. The defaults for 0 are
	// 2,000, 64 MiB and that of the settings file.
	MaxRequests int
	BufferBytes int64
	MemoryBytes int64
}

// AgentSpec describes an agent and its backend server. Exactly one of Engine,
// Service and BackendURL must be set.
type AgentSpec struct {
	VM         string
	DataCentre string
	// BackendURL is the URL of a model engine that runs outside the fleet.
	BackendURL string
	Engine     *emulate.EngineConfig
	Service    *emulate.ServiceConfig
	// ServiceName is the name of the plain service.
	ServiceName    string
	MaxConcurrent  int
	ColdConcurrent int
}

// Fleet is a running deployment.
type Fleet struct {
	spec      Spec
	secrets   []string
	rootKey   bundle.OperatorKey
	addresses map[string]string

	mu        sync.Mutex
	processes map[string]*Process
}

// Fleet.addresses uses the VM followed by one of these suffixes as key.
const (
	suffixCallers  = "/callers"
	suffixInternal = "/internal"
	suffixAdmin    = "/admin"
	suffixBackend  = "/backend"
)

// Names of the platform's processes, which are also their keys in Fleet.addresses.
const (
	StoreProcess   = "store"
	VMListProcess  = "vms"
	RatingProcess  = "rating"
	WeightsProcess = "weights"
)

// New creates the keys of a deployment and chooses its addresses. It starts no
// process of the deployment.
func New(ctx context.Context, spec Spec) (*Fleet, error) {
	f := &Fleet{spec: spec, addresses: make(map[string]string), processes: make(map[string]*Process)}
	if err := f.reservePorts(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := f.makeKeys(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	return f, nil
}

// addressKeys returns the keys of all addresses that the deployment needs.
func (f *Fleet) addressKeys() []string {
	names := []string{StoreProcess, VMListProcess, RatingProcess, WeightsProcess}
	for _, r := range f.spec.Routers {
		names = append(names, r.VM+suffixCallers, r.VM+suffixInternal, r.VM+suffixAdmin)
	}
	for _, a := range f.spec.Agents {
		names = append(names, a.VM+suffixInternal, a.VM+suffixAdmin, a.VM+suffixBackend)
	}
	return names
}

// reservePorts chooses a free port for each address. It keeps all listeners open
// until the end, so that no port is chosen twice.
func (f *Fleet) reservePorts() error {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for _, name := range f.addressKeys() {
		l, err := listenFree()
		if err != nil {
			return trace.Wrap(err)
		}
		open = append(open, l)
		f.addresses[name] = l.Addr().String()
	}
	return nil
}

// The ports of processes are below the range of ephemeral ports, so that no outgoing
// connection takes the port of a process that is about to be restarted.
const (
	firstPort    = 10_000
	portCount    = 22_000
	portAttempts = 100
)

// listenFree listens on a random free port.
func listenFree() (net.Listener, error) {
	var l net.Listener
	var err error
	for range portAttempts {
		port := firstPort + mathrand.IntN(portCount)
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, trace.Wrap(err)
}

// CallerURL returns the base URL at which a router serves callers.
func (f *Fleet) CallerURL(vm string) string { return "http://" + f.addresses[vm+suffixCallers] }

// AdminURL returns the base URL at which a process serves operators.
func (f *Fleet) AdminURL(vm string) string { return "http://" + f.addresses[vm+suffixAdmin] }

// InternalURL returns the base URL at which a process serves other processes.
func (f *Fleet) InternalURL(vm string) string { return "https://" + f.addresses[vm+suffixInternal] }

// BackendURL returns the base URL of an agent's backend server.
func (f *Fleet) BackendURL(vm string) string {
	for _, a := range f.spec.Agents {
		if a.VM == vm && a.BackendURL != "" {
			return a.BackendURL
		}
	}
	return "http://" + f.addresses[vm+suffixBackend]
}

// PlatformURL returns the base URL of one of the platform's processes.
func (f *Fleet) PlatformURL(name string) string { return "http://" + f.addresses[name] }

func (f *Fleet) path(name string) string { return filepath.Join(f.spec.Dir, name) }

// makeKeys generates the session secret and creates the CA, the operator and root
// keys and the node certificates with cactusctl.
func (f *Fleet) makeKeys(ctx context.Context) error {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return trace.Wrap(err)
	}
	f.secrets = []string{base64.StdEncoding.EncodeToString(secret)}
	if _, err := f.RunTool(ctx, "keygen", "ca", "-out", f.path("ca")); err != nil {
		return trace.Wrap(err)
	}
	var root, operator bundle.OperatorKey
	for name, key := range map[string]*bundle.OperatorKey{"root": &root, "operator": &operator} {
		out, err := f.RunTool(ctx, "keygen", "operator", "-json", "-name", name, "-out", f.path(name+".json"))
		if err != nil {
			return trace.Wrap(err)
		}
		if err := json.Unmarshal(out, key); err != nil {
			return trace.Wrap(err)
		}
	}
	f.rootKey = root
	f.spec.Bundle.Keys = bundle.Keys{Operators: []bundle.OperatorKey{operator}, SignOffs: 1}
	return f.makeCertificates(ctx)
}

// makeCertificates issues a node certificate to each router and agent.
func (f *Fleet) makeCertificates(ctx context.Context) error {
	issue := func(role auth.Role, vm string) error {
		_, err := f.RunTool(ctx, "keygen", "node", "-ca", f.path("ca"), "-out", f.path("certs"), "-role", string(role), "-ip", "127.0.0.1", vm)
		return trace.Wrap(err)
	}
	for _, r := range f.spec.Routers {
		if err := issue(auth.RoleRouter, r.VM); err != nil {
			return err
		}
	}
	for _, a := range f.spec.Agents {
		if err := issue(auth.RoleAgent, a.VM); err != nil {
			return err
		}
	}
	return nil
}

// ProposeBundle signs the bundle of the spec and puts it in force as the first
// version.
func (f *Fleet) ProposeBundle(ctx context.Context) error {
	file := f.path("bundle.json")
	if err := writeJSON(file, f.spec.Bundle); err != nil {
		return trace.Wrap(err)
	}
	if _, err := f.RunTool(ctx, "sign", "-keys", "-key", f.path("root.json"), file); err != nil {
		return trace.Wrap(err)
	}
	_, err := f.RunOperatorCommand(ctx, "propose", "-parent", "0", file)
	return trace.Wrap(err)
}

// RunOperatorCommand runs a command of cactusctl that changes the configuration. It
// adds the flags for the store and the operator key.
func (f *Fleet) RunOperatorCommand(ctx context.Context, args ...string) ([]byte, error) {
	args = append(args, "-store", f.PlatformURL(StoreProcess), "-key", f.path("operator.json"))
	return f.RunTool(ctx, args...)
}

// nodeSettings returns the settings that routers and agents share.
func (f *Fleet) nodeSettings(vm, dataCentre string) config.Node {
	return config.Node{
		VM:             vm,
		DataCentre:     dataCentre,
		Region:         region,
		InternalListen: f.addresses[vm+suffixInternal],
		AdminListen:    f.addresses[vm+suffixAdmin],
		TLS:            config.TLS{CA: f.path("ca/ca.pem"), Cert: f.path("certs/" + vm + ".pem"), Key: f.path("certs/" + vm + "-key.pem")},
		Platform: config.Platform{
			Store:  f.PlatformURL(StoreProcess),
			VMList: f.PlatformURL(VMListProcess),
			Rating: f.PlatformURL(RatingProcess),
		},
		RootKeys:        []config.RootKey{{Name: f.rootKey.Name, PublicKey: f.rootKey.PublicKey}},
		LogLevel:        "info",
		FatalInvariants: f.spec.FatalInvariants,
	}
}

func (f *Fleet) routerSettings(r RouterSpec) config.Router {
	const (
		maxRequests = 2000
		bufferBytes = 64 << 20
	)
	return config.Router{
		Node:           f.nodeSettings(r.VM, r.DataCentre),
		Listen:         f.addresses[r.VM+suffixCallers],
		SessionSecrets: f.secrets,
		MaxRequests:    cmp.Or(r.MaxRequests, maxRequests),
		BufferBytes:    cmp.Or(r.BufferBytes, bufferBytes),
		MemoryBytes:    r.MemoryBytes,
		DrainDelayMs:   int(f.spec.DrainDelay.Milliseconds()),
	}
}

func (f *Fleet) agentSettings(a AgentSpec) config.Agent {
	const maxQueuedTokens = 200_000
	backend := config.Backend{
		Kind:            config.BackendEngine,
		URL:             f.BackendURL(a.VM),
		Fencing:         "enforced",
		MaxConcurrent:   a.MaxConcurrent,
		MaxQueuedTokens: maxQueuedTokens,
		ColdConcurrent:  a.ColdConcurrent,
	}
	if a.Service != nil {
		backend.Kind, backend.Service = config.BackendService, a.ServiceName
	} else {
		for _, m := range f.spec.Bundle.Models {
			backend.Models = append(backend.Models, m.Name)
		}
	}
	return config.Agent{Node: f.nodeSettings(a.VM, a.DataCentre), Backend: backend}
}

// vmList returns the content of the VM list at the start of the deployment.
func (f *Fleet) vmList() emulate.VMsConfig {
	var list emulate.VMsConfig
	for _, r := range f.spec.Routers {
		list.VMs = append(list.VMs, f.vmEntry(r.VM, platform.VMRouter, r.DataCentre))
	}
	for _, a := range f.spec.Agents {
		vm := f.vmEntry(a.VM, platform.VMAgent, a.DataCentre)
		vm.Pool = a.ServiceName
		list.VMs = append(list.VMs, vm)
	}
	return list
}

func (f *Fleet) vmEntry(name string, role platform.VMRole, dataCentre string) platform.VM {
	return platform.VM{Name: name, Role: role, DataCentre: dataCentre, Region: region, Address: f.addresses[name+suffixInternal], State: platform.VMLive}
}

func writeJSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	const fileMode = 0o600
	return trace.ConvertSystemError(os.WriteFile(file, data, fileMode))
}

// VM returns the entry of a VM in the VM list.
func (f *Fleet) VM(name string) (platform.VM, error) {
	for _, vm := range f.vmList().VMs {
		if vm.Name == name {
			return vm, nil
		}
	}
	return platform.VM{}, trace.NotFound("VM %s is not in the VM list", name)
}
