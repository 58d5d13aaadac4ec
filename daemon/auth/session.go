package auth

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/gravitational/trace"

	"cactusknot.example/daemon/routing"
)

// ErrInvalidSession is returned for a session token that is forged, damaged or of another
// workspace.
var ErrInvalidSession = errors.New("auth: invalid session token")

// minSecretBytes is the minimum length of a session secret; HS256 needs 32 bytes.
const minSecretBytes = 32

// maxPins bounds the number of models in one session.
const maxPins = 64

// sessionClaims are the JWT claims of a routing.Session.
type sessionClaims struct {
	jwt.RegisteredClaims
	Workspace string        `json:"ws"`
	Pins      []routing.Pin `json:"pins"`
}

// SessionTokens signs and verifies session tokens with secrets that all routers share.
type SessionTokens struct {
	secrets [][]byte
}

// NewSessionTokens decodes base64 secrets. The first one signs and all of them verify, so
// that a secret can be replaced without invalidating sessions.
func NewSessionTokens(secrets []string) (*SessionTokens, error) {
	s := &SessionTokens{}
	for i, text := range secrets {
		secret, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, trace.BadParameter("session_secrets[%d]: is not valid base64", i)
		}
		if len(secret) < minSecretBytes {
			return nil, trace.BadParameter("session_secrets[%d]: is shorter than %d bytes", i, minSecretBytes)
		}
		s.secrets = append(s.secrets, secret)
	}
	if len(s.secrets) == 0 {
		return nil, trace.BadParameter("session_secrets: is required")
	}
	return s, nil
}

// Sign returns a signed token for the session.
func (s *SessionTokens) Sign(session routing.Session, now time.Time) (string, error) {
	claims := sessionClaims{
		RegisteredClaims: jwt.RegisteredClaims{ID: session.ID, IssuedAt: jwt.NewNumericDate(now)},
		Workspace:        session.Workspace,
		Pins:             session.Pins,
	}
	return jwt.NewWithClaims(jwt.SigningMethodHS256, claims).SignedString(s.secrets[0])
}

// Verify returns the session of a token, or ErrInvalidSession if the token is not valid or
// belongs to another workspace.
func (s *SessionTokens) Verify(token, workspace string) (routing.Session, error) {
	// The issue time is not checked, because a clock that was set back must not
	// invalidate sessions.
	parser := jwt.NewParser(jwt.WithValidMethods([]string{"HS256"}), jwt.WithoutClaimsValidation())
	for _, secret := range s.secrets {
		var claims sessionClaims
		_, err := parser.ParseWithClaims(token, &claims, func(*jwt.Token) (any, error) { return secret, nil })
		if err != nil {
			continue
		}
		if claims.Workspace != workspace || claims.ID == "" || len(claims.Pins) > maxPins {
			return routing.Session{}, ErrInvalidSession
		}
		return routing.Session{ID: claims.ID, Workspace: claims.Workspace, Pins: claims.Pins}, nil
	}
	return routing.Session{}, ErrInvalidSession
}

// HashAPIKey returns the SHA-256 hash of an API key in lower-case hex, the form in which
// bundles store it.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
