// Package fleet runs a whole deployment on this machine, each process on its own:
// emulators of the platform and of backend servers, agents and routers. The demo
// and the end-to-end tests use it.
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

// region is the region of all data centres of a fleet.
const region = "north"

// Spec describes a deployment.
type Spec struct {
	// DaemonPath and Tool are the paths of the two binaries.
	DaemonPath string
	ToolPath   string
	// Dir gets settings, keys and logs.
	Dir string
	// Bundle is put in force first; the operators' key is added to it.
	Bundle  bundle.Bundle
	Routers []RouterSpec
	Agents  []AgentSpec
	// DrainDelay is the routers' drain delay.
	DrainDelay time.Duration
	// FatalInvariants ends a process on a violated invariant.
	FatalInvariants bool
	// OnExit, when set, is called with the exit code of each process that ends; a
	// process ended by a signal has code -1.
	OnExit func(name string, code int)
	// Env is added to the environment of routers and agents, as NAME=value.
	Env []string
}

// RouterSpec is a router with its data centre.
type RouterSpec struct {
	VM         string
	DataCentre string
	// MaxRequests and BufferBytes are settings of the router; 0 means 2,000 and
	// 64 MiB.
	MaxRequests int
	BufferBytes int64
}

// AgentSpec is an agent with its backend server. Engine, Service or BackendURL
// is set.
type AgentSpec struct {
	VM         string
	DataCentre string
	// BackendURL is a model engine that the caller runs.
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

// Addresses of a process are kept under its VM and one of these suffixes.
const (
	suffixCallers  = "/callers"
	suffixInternal = "/internal"
	suffixAdmin    = "/admin"
	suffixBackend  = "/backend"
)

// Names of the platform's processes.
const (
	StoreProcess   = "store"
	VMListProcess  = "vms"
	RatingProcess  = "rating"
	WeightsProcess = "weights"
)

// New prepares keys, settings and addresses of a deployment.
func New(ctx context.Context, spec Spec) (*Fleet, error) {
	f := &Fleet{spec: spec, addresses: make(map[string]string), processes: make(map[string]*Process)}
	if err := f.reserve(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := f.makeKeys(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	return f, nil
}

// names lists the address keys that the deployment needs.
func (f *Fleet) names() []string {
	names := []string{StoreProcess, VMListProcess, RatingProcess, WeightsProcess}
	for _, r := range f.spec.Routers {
		names = append(names, r.VM+suffixCallers, r.VM+suffixInternal, r.VM+suffixAdmin)
	}
	for _, a := range f.spec.Agents {
		names = append(names, a.VM+suffixInternal, a.VM+suffixAdmin, a.VM+suffixBackend)
	}
	return names
}

// reserve picks free ports. All listeners are open at the same time, so that no
// port is given twice.
func (f *Fleet) reserve() error {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for _, name := range f.names() {
		l, err := listenFree()
		if err != nil {
			return trace.Wrap(err)
		}
		open = append(open, l)
		f.addresses[name] = l.Addr().String()
	}
	return nil
}

// Ports of processes are below the range from which systems take the ports of
// outgoing connections, so that a process that is down finds its port free again.
const (
	firstPort = 10_000
	portCount = 22_000
	portTries = 100
)

// listenFree listens on a random free port.
func listenFree() (net.Listener, error) {
	var l net.Listener
	var err error
	for range portTries {
		port := firstPort + mathrand.IntN(portCount)
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, trace.Wrap(err)
}

// CallerURL returns the base URL of a router for callers.
func (f *Fleet) CallerURL(vm string) string { return "http://" + f.addresses[vm+suffixCallers] }

// AdminURL returns the base URL of a process for operators.
func (f *Fleet) AdminURL(vm string) string { return "http://" + f.addresses[vm+suffixAdmin] }

// InternalURL returns the base URL of a process for other processes.
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

// makeKeys creates the CA, the operator and root keys, node certificates and the
// session secret with cactusctl.
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

// ProposeBundle puts the bundle of the spec in force.
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

// RunOperatorCommand runs an operators' command that changes the configuration.
func (f *Fleet) RunOperatorCommand(ctx context.Context, args ...string) ([]byte, error) {
	args = append(args, "-store", f.PlatformURL(StoreProcess), "-key", f.path("operator.json"))
	return f.RunTool(ctx, args...)
}

func (f *Fleet) node(vm, dataCentre string) config.Node {
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
		Node:           f.node(r.VM, r.DataCentre),
		Listen:         f.addresses[r.VM+suffixCallers],
		SessionSecrets: f.secrets,
		MaxRequests:    cmp.Or(r.MaxRequests, maxRequests),
		BufferBytes:    cmp.Or(r.BufferBytes, bufferBytes),
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
	return config.Agent{Node: f.node(a.VM, a.DataCentre), Backend: backend}
}

func (f *Fleet) vmList() emulate.VMsConfig {
	var list emulate.VMsConfig
	for _, r := range f.spec.Routers {
		list.VMs = append(list.VMs, f.vm(r.VM, platform.VMRouter, r.DataCentre))
	}
	for _, a := range f.spec.Agents {
		vm := f.vm(a.VM, platform.VMAgent, a.DataCentre)
		vm.Pool = a.ServiceName
		list.VMs = append(list.VMs, vm)
	}
	return list
}

func (f *Fleet) vm(name string, role platform.VMRole, dataCentre string) platform.VM {
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
	return platform.VM{}, trace.NotFound("VM %s", name)
}
