package platform

import (
	"errors"
	"net/http"

	"cactusknot.example/coord/kv"
)

// Paths of the store's protocol. Each call is a POST with a StoreRequest; the
// answer is a StoreAnswer with status 200 or the status of its error code.
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

// StoreRequest is the body of every store call; each call uses some fields.
type StoreRequest struct {
	// Key is a key, or the prefix for a list.
	Key   string `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	// Revision is the expected revision of a put or delete, and the revision
	// after which a watch returns.
	Revision kv.Revision `json:"revision,omitempty"`
	Lease    kv.LeaseID  `json:"lease,omitempty"`
	TTLMs    int64       `json:"ttl_ms,omitempty"`
	// WaitMs is how long a watch waits before it returns the unchanged entry.
	WaitMs int64 `json:"wait_ms,omitempty"`
}

// StoreResponse is the answer to every store call.
type StoreResponse struct {
	Entry    *kv.Entry   `json:"entry,omitempty"`
	Entries  []kv.Entry  `json:"entries,omitempty"`
	Revision kv.Revision `json:"revision,omitempty"`
	Lease    kv.LeaseID  `json:"lease,omitempty"`
	// Error is a code of storeErrors; empty on success.
	Error string `json:"error,omitempty"`
}

// storeErrors lists the errors that the store reports, the narrower ones first.
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

// StoreErrorStatus returns the status and code of an error of a store, and false
// for an error that has none.
func StoreErrorStatus(err error) (int, string, bool) {
	for _, e := range storeErrors {
		if errors.Is(err, e.err) {
			return e.status, e.code, true
		}
	}
	return 0, "", false
}

// storeError returns the error of a code, or nil for an unknown code.
func storeError(code string) error {
	for _, e := range storeErrors {
		if e.code == code {
			return e.err
		}
	}
	return nil
}
