package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// edge is an edge process.
type edge struct {
	name, frontend, ready, settings, log string
	program                              string
	command                              *exec.Cmd
	ended                                chan struct{}
}

// freePorts returns ports that were free a moment ago.
func freePorts(n int) []int {
	var ports []int
	var listeners []net.Listener
	for range n {
		l := listen()
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range listeners {
		l.Close()
	}
	return ports
}

// machine describes a machine that runs an edge process.
type machine struct {
	zone  string
	cores float64
}

// newEdges starts an edge process on each machine. Each has a loopback address of its own; the ports
// are the same on all.
func (r *rig) newEdges(store *store, bounds string, machines []machine) {
	ports, net := freePorts(4), fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	zones, seeds, perZone := "", []string{}, make(map[string]int)
	for i, m := range machines {
		if perZone[m.zone]++; perZone[m.zone] == 1 {
			zones += fmt.Sprintf("%s = \"r1\"\n", m.zone)
			if len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", net, i+1, ports[3])))
			}
		}
	}
	clear(perZone)
	for i, m := range machines {
		perZone[m.zone]++
		ip, name := fmt.Sprintf("%s.%d", net, i+1), fmt.Sprintf("edge-%s-%d", m.zone, perZone[m.zone])
		e := &edge{
			name: name, frontend: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
			settings: filepath.Join(r.dir, name+".toml"), log: filepath.Join(r.dir, name+".log"), program: r.program,
		}
		text := fmt.Sprintf(`node_name = %q
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip_address = %q
zone = %q
region = "r1"
internal_port_range = [%d,%d]
seed_nodes = [%s]
is_bootstrap = true
is_counted = false
discovery_source = "platform"
entry_type = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","pressure","platform","rollout"]
[zones]
%s[listen_addresses]
frontend = %q
ready = %q
[limits]
cpu_fraction = %g
cpu_cores = 1
memory_mb = 284
max_file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
%s
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`, name, ip, m.zone, ports[2], ports[2], strings.Join(seeds, ","), zones, e.frontend, e.ready, m.cores, bounds, store.address())
		check(os.WriteFile(e.settings, []byte(text), 0o600))
		r.edges = append(r.edges, e)
		e.start()
	}
}

// start starts the process with the command of the deploy file.
func (e *edge) start() {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	e.command = exec.Command(e.program, "edge", "-metrics-port", "9464")
	e.command.Env = append(os.Environ(), "CACTUSKNOT_CONFIG="+e.settings)
	e.command.Stdout, e.command.Stderr = out, out
	check(e.command.Start())
	ended, command := make(chan struct{}), e.command
	e.ended = ended
	go func() {
		command.Wait()
		out.Close()
		close(ended)
	}()
}

func (e *edge) signal(s syscall.Signal) { e.command.Process.Signal(s) }

// kill ends the process.
func (e *edge) kill() {
	if e.command != nil && e.command.Process != nil {
		e.command.Process.Kill()
		<-e.ended
	}
}

// isReady asks as the platform does.
func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// keepLogs copies the last lines of the processes' logs that hold one of the words to the record.
func (r *rig) keepLogs(words ...string) {
	for _, e := range r.edges {
		raw, _ := os.ReadFile(e.log)
		for _, line := range strings.Split(string(raw), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					r.record.add("log of %s: %s", e.name, line)
					break
				}
			}
		}
	}
}

func eventually(within time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	fail("not within %s: %s", within, what)
}
