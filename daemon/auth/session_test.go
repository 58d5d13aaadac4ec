package auth

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"cactusknot.example/daemon/routing"
)

const testWorkspace = "aquarium"

func testSessions(t testing.TB, fill ...string) *SessionTokens {
	t.Helper()
	var secrets []string
	for _, f := range fill {
		secrets = append(secrets, base64.StdEncoding.EncodeToString([]byte(strings.Repeat(f, minSecretBytes))))
	}
	s, err := NewSessionTokens(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func sign(t testing.TB, s *SessionTokens, session routing.Session) string {
	t.Helper()
	token, err := s.Sign(session, time.Unix(1_000_000, 0))
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// TestSessionSecrets checks that sessions survive the replacement of a secret, and that
// tokens signed with a removed secret are refused.
func TestSessionSecrets(t *testing.T) {
	session := routing.Session{ID: "s", Workspace: testWorkspace, Pins: []routing.Pin{{Model: "small", Version: "1"}}}
	token := sign(t, testSessions(t, "a"), session)
	got, err := testSessions(t, "b", "a").Verify(token, testWorkspace)
	if err != nil || got.ID != "s" || len(got.Pins) != 1 {
		t.Errorf("token signed with the older secret: %+v, %v", got, err)
	}
	if _, err := testSessions(t, "b").Verify(token, testWorkspace); !errors.Is(err, ErrInvalidSession) {
		t.Errorf("token signed with a removed secret: %v", err)
	}
}

// FuzzVerify checks that callers' tokens cause no panic and that forged ones are refused.
func FuzzVerify(f *testing.F) {
	s := testSessions(f, "a")
	valid := sign(f, s, routing.Session{ID: "s", Workspace: testWorkspace})
	claims := jwt.MapClaims{"jti": "s", "ws": testWorkspace, "pins": []any{map[string]any{"model": 7}}}
	odd, err := jwt.NewWithClaims(jwt.SigningMethodHS256, claims).SignedString(s.secrets[0])
	if err != nil {
		f.Fatal(err)
	}
	unsigned, err := jwt.NewWithClaims(jwt.SigningMethodNone, claims).SignedString(jwt.UnsafeAllowNoneSignatureType)
	if err != nil {
		f.Fatal(err)
	}
	longer, err := jwt.NewWithClaims(jwt.SigningMethodHS512, claims).SignedString(s.secrets[0])
	if err != nil {
		f.Fatal(err)
	}
	parts := strings.Split(valid, ".")
	for _, token := range []string{
		valid, odd, unsigned, longer, "", ".", "..", "a.b.c", valid + ".", valid[:len(valid)-2], parts[0] + "." + parts[1] + ".",
		sign(f, s, routing.Session{ID: "s", Workspace: "families"}), sign(f, testSessions(f, "b"), routing.Session{ID: "s", Workspace: testWorkspace}),
		sign(f, s, routing.Session{ID: "s", Workspace: testWorkspace, Pins: make([]routing.Pin, maxPins+1)}),
	} {
		f.Add(token)
	}
	f.Fuzz(func(t *testing.T, token string) {
		session, err := s.Verify(token, testWorkspace)
		if err != nil {
			if !errors.Is(err, ErrInvalidSession) {
				t.Errorf("error is not ErrInvalidSession: %v", err)
			}
			return
		}
		// The corpus does not contain the secret, so only the valid token may be
		// accepted. Decoders ignore unused bits in the last base64 character.
		if !strings.HasPrefix(token, valid[:len(valid)-1]) || session.ID != "s" || session.Workspace != testWorkspace {
			t.Errorf("forged token accepted: %q: %+v", token, session)
		}
	})
}
