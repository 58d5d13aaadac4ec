package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// edge is an edge process, with the command of the deploy file.
type edge struct {
	name, host, zone string
	// frontend and ready are its addresses.
	frontend, ready string
	root, settings  string
	log             *os.File
	cmd             *exec.Cmd
	exited          chan struct{}
}

// The ports of all edge processes; each process has a loopback address of its own.
const (
	frontendPort, readyPort, controlPort = 8227, 8220, 8229
	firstInternal, lastInternal          = 7340, 7355
)

// settingsText are the settings of a small deployment, with the bounds of petitspas-diary.
const settingsText = `node_name = %q
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip_address = %q
zone = %q
region = "r1"
internal_port_range = [%d,%d]
seed_nodes = []
is_bootstrap = %t
is_counted = false
discovery_source = "platform"
entry_type = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","pressure","platform","rollout"]
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listen_addresses]
frontend = %q
ready = %q
[limits]
cpu_fraction = 0.304
cpu_cores = 1
memory_mb = %d
max_file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_extension_ms = 5000
revoke_everywhere = false
revoke_timeout_ms = 5000
retry_budget_ratio = 0.9
retry_window_s = 10
retry_min_extra = 56
exposure_fraction = 0.15
exposure_tolerance = 30
rollback_timeout_ms = 5000
cold_overshoot = 1.5
cold_tolerance = 5
evacuation_ms = 5000
recovery_s = 12
delivery_slack_ms = 120
reuse_window_s = 9
session_ttl_s = 5
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`

// memoryMB is memory_mb of the settings.
const memoryMB = 134

// deployCommand returns the command of the role in the deploy file.
func deployCommand(root string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == "run" {
			words, err := strconv.Unquote(strings.TrimSpace(value))
			return strings.Fields(words), err
		}
	}
	return nil, errors.New("no run line in the deploy file")
}

func (h *harness) newEdge(name, zone string) *edge {
	host := h.host()
	e := &edge{
		name: name, host: host, zone: zone, root: h.root,
		frontend: fmt.Sprintf("%s:%d", host, frontendPort), ready: fmt.Sprintf("%s:%d", host, readyPort),
		settings: filepath.Join(h.temp, name+".toml"),
	}
	text := fmt.Sprintf(settingsText, name, host, zone, firstInternal, lastInternal, true, e.frontend, e.ready, memoryMB, h.store.address)
	h.must(os.WriteFile(e.settings, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(h.temp, name+".log"))
	h.must(err)
	e.log = log
	h.edges = append(h.edges, e)
	return e
}

func (h *harness) start(e *edge) {
	words, err := deployCommand(h.root)
	h.must(err)
	cmd := exec.Command(filepath.Join(h.root, words[0]), words[1:]...)
	cmd.Dir = h.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CACTUSKNOT_CONFIG=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.must(cmd.Start())
	exited := make(chan struct{})
	e.cmd, e.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (e *edge) running() bool {
	if e.cmd == nil {
		return false
	}
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

func (e *edge) kill() {
	if e.running() {
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
}

// isReady asks as the platform does.
func (e *edge) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the anonymous memory of the process in bytes: its heap and stacks, without the
// pages of its program file.
func (e *edge) memory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
