package fleet

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Process is a process of the deployment.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	// done is closed when the process has ended and err is set.
	done chan struct{}
	err  error
}

// RunTool runs cactusctl and returns its standard output. The error includes the
// output of the command.
func (f *Fleet) RunTool(ctx context.Context, args ...string) ([]byte, error) {
	var out, errs bytes.Buffer
	cmd := exec.CommandContext(ctx, f.spec.ToolPath, args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return out.Bytes(), fmt.Errorf("cactusctl %s: %w: %s%s", args[0], err, errs.String(), out.String())
	}
	return out.Bytes(), nil
}

// StartPlatform starts the emulators of the platform and of all backend servers.
func (f *Fleet) StartPlatform() error {
	if err := f.StartStore(); err != nil {
		return err
	}
	if err := f.startEmulator(VMListProcess, "vms", f.addresses[VMListProcess], f.vmList()); err != nil {
		return err
	}
	if err := f.startEmulator(RatingProcess, "rating", f.addresses[RatingProcess], nil); err != nil {
		return err
	}
	if err := f.startEmulator(WeightsProcess, "weights", f.addresses[WeightsProcess], nil); err != nil {
		return err
	}
	for _, a := range f.spec.Agents {
		if err := f.StartBackend(a); err != nil {
			return err
		}
	}
	return nil
}

// StartStore starts the store emulator, which is empty at first.
func (f *Fleet) StartStore() error {
	return f.startEmulator(StoreProcess, "store", f.addresses[StoreProcess], nil)
}

// StartBackend starts the emulated backend server of an agent. It does nothing if
// the agent has a BackendURL.
func (f *Fleet) StartBackend(a AgentSpec) error {
	name := a.VM + suffixBackend
	if a.BackendURL != "" {
		return nil
	}
	if a.Service != nil {
		return f.startEmulator(name, "service", f.addresses[name], a.Service)
	}
	settings := *a.Engine
	settings.WeightsURL = f.PlatformURL(WeightsProcess)
	return f.startEmulator(name, "engine", f.addresses[name], settings)
}

// startEmulator starts an emulator; nil settings select its defaults.
func (f *Fleet) startEmulator(name, kind, address string, settings any) error {
	args := []string{"emulate", kind, "-listen", address}
	if settings != nil {
		file := f.path(fileName(name) + "-emulator.json")
		if err := writeJSON(file, settings); err != nil {
			return trace.Wrap(err)
		}
		args = append(args, "-config", file)
	}
	return f.start(name, f.spec.ToolPath, args...)
}

// StartRouter starts a router.
func (f *Fleet) StartRouter(r RouterSpec) error {
	file := f.path(r.VM + ".json")
	if err := writeJSON(file, f.routerSettings(r)); err != nil {
		return trace.Wrap(err)
	}
	return f.start(r.VM, f.spec.DaemonPath, "router", "-config", file)
}

// StartAgent starts an agent.
func (f *Fleet) StartAgent(a AgentSpec) error {
	file := f.path(a.VM + ".json")
	if err := writeJSON(file, f.agentSettings(a)); err != nil {
		return trace.Wrap(err)
	}
	return f.start(a.VM, f.spec.DaemonPath, "agent", "-config", file)
}

// StartDaemons starts all agents and routers.
func (f *Fleet) StartDaemons() error {
	for _, a := range f.spec.Agents {
		if err := f.StartAgent(a); err != nil {
			return err
		}
	}
	for _, r := range f.spec.Routers {
		if err := f.StartRouter(r); err != nil {
			return err
		}
	}
	return nil
}

// Start starts all processes, puts the bundle in force and waits until all daemons
// are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	if err := f.waitListening(ctx, StoreProcess, VMListProcess); err != nil {
		return err
	}
	if err := f.ProposeBundle(ctx); err != nil {
		return err
	}
	if err := f.StartDaemons(); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

// waitListening blocks until the named processes accept connections.
func (f *Fleet) waitListening(ctx context.Context, names ...string) error {
	for _, name := range names {
		err := f.poll(ctx, name+" listens", func() bool {
			conn, err := net.Dial("tcp", f.addresses[name])
			if err != nil {
				return false
			}
			_ = conn.Close()
			return true
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// start starts a program as the process name and appends its output to the log
// file. An earlier process of this name must have ended.
func (f *Fleet) start(name, program string, args ...string) error {
	log, err := os.OpenFile(f.LogFile(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	cmd := exec.Command(program, args...)
	if program == f.spec.DaemonPath {
		cmd.Env = append(os.Environ(), f.spec.Env...)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return trace.Wrap(err)
	}
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	f.mu.Lock()
	f.processes[name] = p
	f.mu.Unlock()
	go f.awaitExit(p)
	return nil
}

// awaitExit waits for a process to end and records its result.
func (f *Fleet) awaitExit(p *Process) {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	if f.spec.OnExit != nil {
		f.spec.OnExit(p.Name, p.cmd.ProcessState.ExitCode())
	}
	close(p.done)
}

func (f *Fleet) process(name string) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		return nil, trace.NotFound("process %s does not exist", name)
	}
	return p, nil
}

// LogFile returns the path of a process's log.
func (f *Fleet) LogFile(name string) string { return f.path(fileName(name) + ".log") }

// fileName converts the name of a process to a file name.
func fileName(name string) string {
	return string(bytes.ReplaceAll([]byte(name), []byte("/"), []byte("-")))
}

// Signal sends a signal to one process.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(p.cmd.Process.Signal(signal))
}

// Wait blocks until a process has ended and returns its exit error, or until ctx is
// done and returns the error of ctx.
func (f *Fleet) Wait(ctx context.Context, name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
		f.removeEnded(p)
		return p.err
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Kill sends SIGKILL to a process and waits until it has ended.
func (f *Fleet) Kill(ctx context.Context, name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	_ = f.Wait(ctx, name)
	return nil
}

// BackendName returns the process name of an agent's backend server.
func BackendName(vm string) string { return vm + suffixBackend }

// WaitReady blocks until the readiness checks of all daemons succeed.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, a := range f.spec.Agents {
		if err := f.WaitReadyVM(ctx, a.VM); err != nil {
			return err
		}
	}
	for _, r := range f.spec.Routers {
		if err := f.WaitReadyVM(ctx, r.VM); err != nil {
			return err
		}
	}
	return nil
}

// WaitReadyVM blocks until the daemon of a VM is ready.
func (f *Fleet) WaitReadyVM(ctx context.Context, vm string) error {
	return f.poll(ctx, vm+" is ready", func() bool { return statusOK(ctx, f.AdminURL(vm)+"/readyz") })
}

// poll calls check until it returns true or ctx is done. The error names what was
// awaited.
func (f *Fleet) poll(ctx context.Context, what string, check func() bool) error {
	const interval = 20 * time.Millisecond
	for !check() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", what, ctx.Err())
		case <-time.After(interval):
		}
	}
	return nil
}

func statusOK(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// removeEnded removes an ended process from the processes, unless a new process has
// taken its name.
func (f *Fleet) removeEnded(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.processes[p.Name] == p {
		delete(f.processes, p.Name)
	}
}

// Close kills all processes that are still running and waits until they have ended.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := slices.Collect(maps.Values(f.processes))
	f.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range all {
		<-p.done
		f.removeEnded(p)
	}
}
