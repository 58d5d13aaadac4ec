package platform

import (
	"context"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// maxVMListBytes bounds the VM list: some 200 bytes for each of 20,000 VMs.
const maxVMListBytes = 4 << 20

// VMRole is what runs on a VM.
type VMRole string

// Values of VMRole.
const (
	VMRouter VMRole = "router"
	VMAgent  VMRole = "agent"
)

// VMState tells whether a VM is about to be taken away.
type VMState string

// Values of VMState.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string `json:"vm"`
	Role       VMRole `json:"role"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
	// Pool is a label given by whoever starts the VM: the name of the plain service
	// or of the kind of engine behind an agent. Optional.
	Pool  string  `json:"pool,omitempty"`
	State VMState `json:"state"`
}

// VMList is the list at one revision. The list lags behind the VMs.
type VMList struct {
	// Revision grows with each change.
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// VMListClient is a client of the VM list. It is safe for concurrent use.
type VMListClient struct {
	caller caller

	mu   sync.Mutex
	etag string
	last VMList
}

// NewVMListClient returns a client of the VM list at the base URL.
func NewVMListClient(base string) *VMListClient { return &VMListClient{caller: newCaller(base)} }

// Close drops the idle connections.
func (v *VMListClient) Close() { v.caller.close() }

// List returns the present list and whether it differs from the one that the
// client returned before. Callers must not change the list. An unchanged list
// costs the service a response without body. Errors are ErrUnavailable,
// ErrRateLimited, ErrResponseTooLarge and ErrBadResponse.
func (v *VMListClient) List(ctx context.Context) (VMList, bool, error) {
	v.mu.Lock()
	etag, last := v.etag, v.last
	v.mu.Unlock()
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	var list VMList
	status, answer, err := v.caller.call(ctx, http.MethodGet, "/vms", nil, &list, header, maxVMListBytes)
	if err != nil {
		return VMList{}, false, trace.Wrap(err)
	}
	if status == http.StatusNotModified {
		return last, false, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.etag, v.last = answer.Get("Etag"), list
	return list, true, nil
}
