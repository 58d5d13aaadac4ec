package platform

import (
	"errors"
	"net/http"

	"cactusknot.example/coord/kv"
)

// Paths of the store's protocol. Each call is a POST with a StoreRequest as body. The
// response is a StoreResponse with status 200 or the status of its error code.
const (
	StorePathGet       = "/v1/kv/get"
	StorePathList      = "/v1/kv/list"
	StorePathPut       = "/v1/kv/put"
	StorePathDelete    = "/v1/kv/delete"
	StorePathWatch     = "/v1/kv/watch"
	StorePathGrant     = "/v1/kv/grant"
	StorePathKeepAlive = "/v1/kv/keep_alive"
	StorePathRevoke    = "/v1/kv/revoke"
)

// StoreRequest is the request body of every store call. Each call uses some of the
// fields.
type StoreRequest struct {
	// Key is the key, or the prefix of the keys to list.
	Key   string `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	// Revision is the expected revision for a put or delete. A watch returns once
	// the revision of the key is higher.
	Revision kv.Revision `json:"revision,omitempty"`
	Lease    kv.LeaseID  `json:"lease,omitempty"`
	// Era is the store's era in which Revision and Lease were given out. In another era a
	// watch returns the current entry, a write is a conflict and a lease is not found.
	Era   uint64 `json:"era,omitempty"`
	TTLMs int64  `json:"ttl_ms,omitempty"`
	// WaitMs is how long a watch waits for a change before it returns the unchanged
	// entry.
	WaitMs int64 `json:"wait_ms,omitempty"`
}

// StoreResponse is the response body of every store call.
type StoreResponse struct {
	Entry    *kv.Entry   `json:"entry,omitempty"`
	Entries  []kv.Entry  `json:"entries,omitempty"`
	Revision kv.Revision `json:"revision,omitempty"`
	Lease    kv.LeaseID  `json:"lease,omitempty"`
	// Era is the store's era. It grows with each restore from an older copy, after which
	// revisions and leases are given out again. Responses with an error carry it too.
	Era uint64 `json:"era,omitempty"`
	// Error is one of the codes in storeErrors, or empty on success.
	Error string `json:"error,omitempty"`
}

// storeErrors maps error codes to statuses and errors. More specific errors come
// first, because an error gets the code of the first entry that it matches.
var storeErrors = []struct {
	code   string
	status int
	err    error
}{
	{"not_found", http.StatusNotFound, kv.ErrNotFound},
	{"conflict", http.StatusConflict, kv.ErrConflict},
	{"too_large", http.StatusRequestEntityTooLarge, kv.ErrTooLarge},
	{"rate_limited", http.StatusTooManyRequests, kv.ErrRateLimited},
	{"unavailable", http.StatusServiceUnavailable, kv.ErrUnavailable},
}

// StoreErrorStatus returns the HTTP status and the code for an error of the store,
// and false if the error has no code.
func StoreErrorStatus(err error) (int, string, bool) {
	for _, e := range storeErrors {
		if errors.Is(err, e.err) {
			return e.status, e.code, true
		}
	}
	return 0, "", false
}

// storeErrorByCode returns the error for a code, or nil if the code is unknown.
func storeErrorByCode(code string) error {
	for _, e := range storeErrors {
		if e.code == code {
			return e.err
		}
	}
	return nil
}
