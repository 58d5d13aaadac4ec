package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/platform"
)

// clockTick is the unit of CPU times in /proc, which is 10 ms on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of the fields in /proc/<pid>/stat, counted after the program name; see
// proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the user and system time since the process started.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Usage returns the resource usage of a process.
func (f *Fleet) Usage(name string) (Usage, error) {
	p, ok := f.processes[name]
	if !ok {
		return Usage{}, trace.NotFound("process %s does not exist", name)
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	return parseUsage(string(data))
}

// parseUsage parses the content of /proc/<pid>/stat. The program name, which is in
// parentheses, may contain spaces.
func parseUsage(stat string) (Usage, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statResident {
		return Usage{}, trace.BadParameter("process stat has only %d fields", len(fields))
	}
	var numbers [3]int64
	for i, at := range []int{statUserTime, statSystemTime, statResident} {
		n, err := strconv.ParseInt(fields[at], 10, 64)
		if err != nil {
			return Usage{}, trace.Wrap(err)
		}
		numbers[i] = n
	}
	return Usage{
		CPU:      time.Duration(numbers[0]+numbers[1]) * clockTick,
		Resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}

// Metrics returns the metrics of a router or agent. The keys are the metric names
// with their labels.
func (f *Fleet) Metrics(ctx context.Context, vm string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.AdminURL(vm)+"/metrics", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	out := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		at := strings.LastIndexByte(lines.Text(), ' ')
		if at < 0 {
			continue
		}
		if value, err := strconv.ParseFloat(lines.Text()[at+1:], 64); err == nil {
			out[lines.Text()[:at]] = value
		}
	}
	return out, trace.Wrap(lines.Err())
}

// InitialVMs returns the entries of the VM list at the start of the deployment.
func (f *Fleet) InitialVMs() []platform.VM { return f.vmList().VMs }
