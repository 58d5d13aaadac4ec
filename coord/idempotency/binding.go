package idempotency

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"cactusknot.example/coord/kv"
)

// ErrInvalidBinding is returned when the stored binding of a key can't be decoded.
// Its text reaches clients in the detail of an error response.
var ErrInvalidBinding = errors.New("once: stored binding is not valid")

// BindingKey returns the store key under which the binding of an idempotency key
// is kept. Service and workspace are path-escaped, so that two different pairs
// can't produce the same store key.
func BindingKey(service, workspace string, key Key) string {
	return fmt.Sprintf("once/%s/%s/%s", url.PathEscape(service), url.PathEscape(workspace), key)
}

// Bind binds a key chosen by the caller to the home incarnation, unless the key is
// already bound, and returns the incarnation it is bound to. After any error the
// request must be rejected as not run; the binding may have been written, in which
// case a later call returns it. Bindings are immutable: before one is deleted, all
// keys as old as its key must be rejected.
func Bind(ctx context.Context, client *kv.Client, service, workspace string, key Key, home uint64) (uint64, error) {
	if home == 0 || home > homeMask {
		return 0, ErrInvalidIncarnation
	}
	value := []byte(fmt.Sprintf("%012x", home))
	storeKey := BindingKey(service, workspace, key)
	e, err := client.PutOnce(ctx, storeKey, value, 0, 0, kv.MatchValue(value))
	if errors.Is(err, kv.ErrConflict) {
		return parseBinding(e.Value)
	}
	if err != nil {
		return 0, fmt.Errorf("once: bind: %w", err)
	}
	return home, nil
}

func parseBinding(value []byte) (uint64, error) {
	home, err := strconv.ParseUint(string(value), 16, homeBits)
	if err != nil || home == 0 {
		return 0, fmt.Errorf("%w: %q", ErrInvalidBinding, value)
	}
	return home, nil
}
