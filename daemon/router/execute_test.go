package router

import (
	"context"
	"errors"
	"net"
	"net/url"
	"testing"

	"cactusknot.example/daemon/result"
)

// TestClassify guards against reporting "unknown" for a call that no agent has
// received because the transport failed to dial again, and "not run" after a broken
// connection.
func TestClassify(t *testing.T) {
	refused := &url.Error{Op: "Post", Err: &net.OpError{Op: "dial", Err: errors.New("connection refused")}}
	reset := &url.Error{Op: "Post", Err: &net.OpError{Op: "read", Err: errors.New("connection reset")}}
	for name, c := range map[string]struct {
		err       error
		connected bool
		want      result.Code
	}{
		"never connected":       {refused, false, result.BackendDown},
		"dialled again":         {refused, true, result.BackendDown},
		"connection was broken": {reset, true, result.StreamBroken},
	} {
		if got := classify(context.Background(), c.err, c.connected); got.Code != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// TestHomeLost guards against concluding from a home that was not reached, or that
// was replaced, that an earlier call under the same key has not run.
func TestHomeLost(t *testing.T) {
	for _, c := range []struct {
		code    result.Code
		refused bool
		want    bool
	}{
		{result.BackendDown, false, true},
		{result.BackendDown, true, false},
		{result.AgentFull, true, false},
		{result.WrongHome, true, true},
		{result.StreamBroken, false, false},
	} {
		if got := homeLost(attemptResult{err: c.code.With(""), refused: c.refused}); got != c.want {
			t.Errorf("%s, refused %v: %v", c.code.Name, c.refused, got)
		}
	}
}
