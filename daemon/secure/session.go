package secure

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/gravitational/trace"
)

// ErrBadSession: the session token is forged, damaged or of another workspace.
var ErrBadSession = errors.New("secure: bad session token")

// minSecretBytes is the shortest session secret; HS256 needs 32 bytes.
const minSecretBytes = 32

// Session is what a session token carries.
type Session struct {
	ID        string
	Workspace string
	Model     string
	Version   string
}

// sessionClaims are the JWT claims of a Session.
type sessionClaims struct {
	jwt.RegisteredClaims
	Workspace string `json:"ws"`
	Model     string `json:"mdl"`
	Version   string `json:"ver"`
}

// Sessions signs and verifies session tokens with secrets that all routers share.
type Sessions struct {
	secrets [][]byte
}

// NewSessions takes base64 secrets; the first signs, all verify, so that a
// secret can be replaced without ending sessions.
func NewSessions(secrets []string) (*Sessions, error) {
	s := &Sessions{}
	for i, text := range secrets {
		secret, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, trace.BadParameter("session_secrets[%d]: not base64", i)
		}
		if len(secret) < minSecretBytes {
			return nil, trace.BadParameter("session_secrets[%d]: shorter than %d bytes", i, minSecretBytes)
		}
		s.secrets = append(s.secrets, secret)
	}
	if len(s.secrets) == 0 {
		return nil, trace.BadParameter("session_secrets: is required")
	}
	return s, nil
}

// Sign returns the token of a session.
func (s *Sessions) Sign(session Session, now time.Time) (string, error) {
	claims := sessionClaims{
		RegisteredClaims: jwt.RegisteredClaims{ID: session.ID, IssuedAt: jwt.NewNumericDate(now)},
		Workspace:        session.Workspace,
		Model:            session.Model,
		Version:          session.Version,
	}
	return jwt.NewWithClaims(jwt.SigningMethodHS256, claims).SignedString(s.secrets[0])
}

// Verify returns the session of a token, or ErrBadSession when the token is not
// valid or belongs to another workspace.
func (s *Sessions) Verify(token, workspace string) (Session, error) {
	// Issue times are not checked: a stepped clock must not end sessions.
	parser := jwt.NewParser(jwt.WithValidMethods([]string{"HS256"}), jwt.WithoutClaimsValidation())
	for _, secret := range s.secrets {
		var claims sessionClaims
		_, err := parser.ParseWithClaims(token, &claims, func(*jwt.Token) (any, error) { return secret, nil })
		if err != nil {
			continue
		}
		if claims.Workspace != workspace || claims.ID == "" || claims.Model == "" || claims.Version == "" {
			return Session{}, ErrBadSession
		}
		return Session{ID: claims.ID, Workspace: claims.Workspace, Model: claims.Model, Version: claims.Version}, nil
	}
	return Session{}, ErrBadSession
}

// KeyHash returns the hex SHA-256 of an API key, as bundles hold it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
