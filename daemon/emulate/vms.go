package emulate

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"cactusknot.example/daemon/platform"
)

// VMsConfig holds the settings of the VM list emulator.
type VMsConfig struct {
	VMs []platform.VM `json:"vms"`
	// LagMs is the delay before a change becomes visible in the list.
	LagMs int `json:"lag_ms"`
}

// VMsFaults is the body of POST /faults of the VM list.
type VMsFaults struct {
	CommonFaults
	// LagMs replaces VMsConfig.LagMs for later changes.
	LagMs *int `json:"lag_ms,omitempty"`
}

// VMsChange is the body of POST /vms.
type VMsChange struct {
	// Set adds or replaces entries by name.
	Set []platform.VM `json:"set,omitempty"`
	// Remove lists names of entries to remove.
	Remove []string `json:"remove,omitempty"`
}

// VMs is an emulated VM list.
type VMs struct {
	commonEmulator

	mu      sync.Mutex
	lag     time.Duration
	visible platform.VMList
	pending []pendingChange
}

type pendingChange struct {
	due    time.Time
	change VMsChange
}

// StartVMs serves a VM list on listen.
func StartVMs(listen string, cfg VMsConfig, log zerolog.Logger) (*VMs, error) {
	v := &VMs{lag: milliseconds(cfg.LagMs)}
	v.log = log
	initial := VMsChange{Set: cfg.VMs}
	if err := initial.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	v.visible = initial.applyTo(platform.VMList{VMs: []platform.VM{}})
	r := newEcho(log)
	r.Use(v.injectFaults)
	r.GET("/vms", v.serveList)
	r.POST("/vms", v.serveChange)
	addFaultsRoute(r, v.SetFaults)
	v.server = NewFaultServer(r, log)
	return v, trace.Wrap(v.server.Start(listen))
}

// SetFaults sets the faults whose fields in f are present.
func (v *VMs) SetFaults(f VMsFaults) error {
	v.mu.Lock()
	if f.LagMs != nil {
		v.lag = milliseconds(*f.LagMs)
	}
	v.mu.Unlock()
	return v.setCommonFaults(f.CommonFaults)
}

// Change changes the list. The change becomes visible after the lag.
func (v *VMs) Change(c VMsChange) error {
	if err := c.validate(); err != nil {
		return trace.Wrap(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending = append(v.pending, pendingChange{due: time.Now().Add(v.lag), change: c})
	return nil
}

func (c VMsChange) validate() error {
	for _, vm := range c.Set {
		if vm.Name == "" || vm.DataCentre == "" {
			return trace.BadParameter("a VM lacks its name or data centre")
		}
		if vm.Role != platform.VMRouter && vm.Role != platform.VMAgent {
			return trace.BadParameter("role of VM %s is %q, want router or agent", vm.Name, vm.Role)
		}
		if vm.State != platform.VMLive && vm.State != platform.VMLeaving {
			return trace.BadParameter("state of VM %s is %q, want live or leaving", vm.Name, vm.State)
		}
	}
	return nil
}

// applyTo returns a copy of list with the change applied and the next revision.
func (c VMsChange) applyTo(list platform.VMList) platform.VMList {
	vms := slices.DeleteFunc(slices.Clone(list.VMs), func(vm platform.VM) bool {
		replaced := slices.ContainsFunc(c.Set, func(s platform.VM) bool { return s.Name == vm.Name })
		return replaced || slices.Contains(c.Remove, vm.Name)
	})
	vms = append(vms, c.Set...)
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return platform.VMList{Revision: list.Revision + 1, VMs: vms}
}

// list applies the changes that are due and returns the visible list.
func (v *VMs) list(now time.Time) platform.VMList {
	v.mu.Lock()
	defer v.mu.Unlock()
	for len(v.pending) > 0 && !v.pending[0].due.After(now) {
		v.visible = v.pending[0].change.applyTo(v.visible)
		v.pending = v.pending[1:]
	}
	return v.visible
}

func (v *VMs) serveList(c echo.Context) error {
	list := v.list(time.Now())
	etag := fmt.Sprintf("%q", fmt.Sprint(list.Revision))
	c.Response().Header().Set("Etag", etag)
	if c.Request().Header.Get("If-None-Match") == etag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, list)
}

func (v *VMs) serveChange(c echo.Context) error {
	var change VMsChange
	if err := decodeBody(c, &change); err != nil {
		return err
	}
	if err := v.Change(change); err != nil {
		return err
	}
	return c.NoContent(http.StatusAccepted)
}
