package e2e

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/uuid"

	"cactusknot.example/daemon/result"
)

// TestKeyWithAnotherBody guards against a reused key that gets the answer of
// another booking.
func TestKeyWithAnotherBody(t *testing.T) {
	k := newKey(t, "router-a")
	if a := book(t.Context(), "router-a", "first body", k); a.status != http.StatusCreated {
		t.Fatal(a)
	}
	book(t.Context(), "router-b", "other body", k).want(t, result.KeyReused)
	if n := effects(t, "first body") + effects(t, "other body"); n != 1 {
		t.Errorf("%d effects", n)
	}
}

// TestCallerMadeKey guards against a caller's key that runs twice through two
// routers, or that runs unbound while the store is down.
func TestCallerMadeKey(t *testing.T) {
	own := uuid.Must(uuid.NewV7()).String()
	for _, router := range []string{"router-a", "router-b", "router-c"} {
		if a := book(t.Context(), router, "own key", own); a.status != http.StatusCreated {
			t.Errorf("%s: %s", router, a)
		}
	}
	up := storeDown(t)
	a := book(t.Context(), "router-a", "own key in outage", uuid.Must(uuid.NewV7()).String())
	a.want(t, result.KeyNeedsStore)
	suggested := a.header.Get("X-Suggested-Idempotency-Key")
	for range 2 {
		if b := book(t.Context(), "router-a", "own key in outage", suggested); b.status != http.StatusCreated {
			t.Errorf("suggested key %q: %s", suggested, b)
		}
	}
	up()
	if n := effects(t, "own key"); n != 1 {
		t.Errorf("%d effects of a caller's key", n)
	}
	if n := effects(t, "own key in outage"); n != 1 {
		t.Errorf("%d effects of a suggested key", n)
	}
}

// TestRetryAtLeavingHome guards against a "not run" for a booking that was made,
// when its caller repeats it while the home takes no new work.
func TestRetryAtLeavingHome(t *testing.T) {
	k := newKey(t, "router-a")
	first := book(t.Context(), "router-a", "leaving home", k)
	if first.status != http.StatusCreated {
		t.Fatal(first)
	}
	for _, vm := range []string{"tickets-a", "tickets-b"} {
		operate(t, "vm", "out", vm)
	}
	t.Cleanup(func() {
		for _, vm := range []string{"tickets-a", "tickets-b"} {
			operate(t, "vm", "in", vm)
		}
		eventually(t, "bookings are possible again", func() bool {
			a := book(context.Background(), "router-a", "after leaving", "")
			return a.status == http.StatusCreated
		})
	})
	eventually(t, "new bookings are refused", func() bool {
		return refusalOf(book(t.Context(), "router-a", "while leaving", "").body).Error.Run == string(result.NotRun)
	})
	if a := book(t.Context(), "router-a", "leaving home", k); a.status != http.StatusCreated || string(a.body) != string(first.body) {
		t.Errorf("repeated booking: %s", a)
	}
	if n := effects(t, "leaving home"); n != 1 {
		t.Errorf("%d effects", n)
	}
}
