package idempotency

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"cactusknot.example/coord/kv"
)

// ErrBinding: the stored binding of a key is not readable.
var ErrBinding = errors.New("once: stored binding is not valid")

// BindingKey returns the store key of a binding. Service and workspace are
// escaped, so that no two pairs share a key.
func BindingKey(service, workspace string, key Key) string {
	return fmt.Sprintf("once/%s/%s/%s", url.PathEscape(service), url.PathEscape(workspace), key)
}

// Bind binds a caller's key to home unless it is bound already, and returns the
// home it is bound to. After any error the request must be refused as not run;
// the binding may exist, and a later call finds it. Bindings are never changed:
// whoever deletes them must first refuse all keys of their age.
func Bind(ctx context.Context, client *kv.Client, service, workspace string, key Key, home uint64) (uint64, error) {
	if home == 0 || home > homeMask {
		return 0, ErrIncarnation
	}
	value := []byte(fmt.Sprintf("%012x", home))
	name := BindingKey(service, workspace, key)
	e, err := client.PutOnce(ctx, name, value, 0, 0, kv.MatchValue(value))
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
		return 0, fmt.Errorf("%w: %q", ErrBinding, value)
	}
	return home, nil
}
