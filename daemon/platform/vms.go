package platform

import (
	"context"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// maxVMListBytes bounds the VM list. It allows 20,000 VMs of about 200 bytes each.
const maxVMListBytes = 4 << 20

// VMRole is the role of the daemon on a VM.
type VMRole string

// Values of VMRole.
const (
	VMRouter VMRole = "router"
	VMAgent  VMRole = "agent"
)

// VMState is the lifecycle state of a VM.
type VMState string

// Values of VMState.
const (
	VMLive VMState = "live"
	// VMLeaving means that the platform is about to remove the VM.
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string `json:"vm"`
	Role       VMRole `json:"role"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
	// Pool is an optional label set by whoever starts the VM: the name of the plain
	// service or of the kind of engine behind an agent.
	Pool  string  `json:"pool,omitempty"`
	State VMState `json:"state"`
}

// VMList is the VM list at one revision. It lags behind the actual state of the VMs.
type VMList struct {
	// Revision increases with each change.
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// VMListClient is a client of the VM list. It is safe for concurrent use.
type VMListClient struct {
	client httpClient

	mu   sync.Mutex
	etag string
	last VMList
}

// NewVMListClient returns a client of the VM list at the base URL.
func NewVMListClient(base string) *VMListClient { return &VMListClient{client: newHTTPClient(base)} }

// Close closes the idle connections.
func (v *VMListClient) Close() { v.client.close() }

// List returns the current list and whether it differs from the one that the client
// returned before. Callers must not modify the list. The request is conditional, so
// that the response for an unchanged list has no body. Errors are ErrUnavailable,
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
	status, responseHeader, err := v.client.call(ctx, http.MethodGet, "/vms", nil, &list, header, maxVMListBytes)
	if err != nil {
		return VMList{}, false, trace.Wrap(err)
	}
	if status == http.StatusNotModified {
		return last, false, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.etag, v.last = responseHeader.Get("Etag"), list
	return list, true, nil
}
