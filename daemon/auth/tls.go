// Package auth authenticates: processes by certificates of the deployment's
// CA, callers by API keys, sessions by signed tokens.
package auth

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/config"
)

// uriScheme is the scheme of the URI SAN that names a process.
const uriScheme = "cactusknot"

// Role is the role of a process.
type Role string

// Values of Role.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// ErrNoIdentity: the certificate names no cactusknot process.
var ErrNoIdentity = errors.New("auth: certificate has no cactusknot URI")

// Identity is the authenticated name of a process.
type Identity struct {
	Role Role
	VM   string
}

// Credentials hold the certificate of this process and the CA of its peers.
type Credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// LoadCredentials reads the PEM files that the settings name.
func LoadCredentials(files config.TLS) (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, trace.BadParameter("%s: no certificate", files.CA)
	}
	return &Credentials{cert: cert, pool: pool}, nil
}

// ServerConfig returns the TLS settings of an internal listener. Clients must present
// a certificate of the deployment's CA.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		ClientCAs:    c.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{"h2"},
	}
}

// ClientConfig returns the TLS settings for calls to other processes. The server is
// verified by the CA and its URI SAN instead of by address, because VMs are
// replaced under new addresses.
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{c.cert},
		InsecureSkipVerify: true, // verifyServer checks the chain without the address.
		VerifyConnection:   c.verifyServer,
		NextProtos:         []string{"h2"},
	}
}

func (c *Credentials) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoIdentity
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return err
	}
	_, err = identify(state.PeerCertificates[0])
	return err
}

// PeerIdentity returns the identity in the certificate of the connection's
// other side, or ErrNoIdentity.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrNoIdentity
	}
	return identify(state.PeerCertificates[0])
}

func identify(cert *x509.Certificate) (Identity, error) {
	for _, uri := range cert.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		role := Role(uri.Host)
		vm := strings.TrimPrefix(uri.Path, "/")
		if vm == "" || (role != RoleRouter && role != RoleAgent) {
			return Identity{}, fmt.Errorf("%w: %s", ErrNoIdentity, uri)
		}
		return Identity{Role: role, VM: vm}, nil
	}
	return Identity{}, ErrNoIdentity
}

type identityKey struct{}

// RequireIdentity wraps next so that it sees only requests of authenticated
// processes whose role is in roles (any role when empty).
func RequireIdentity(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := PeerIdentity(r.TLS)
		if err != nil || !allowed(id.Role, roles) {
			http.Error(w, "forbidden", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

// IdentityFrom returns the caller's identity that RequireIdentity stored.
func IdentityFrom(ctx context.Context) (Identity, bool) {
	id, ok := ctx.Value(identityKey{}).(Identity)
	return id, ok
}

func allowed(role Role, roles []Role) bool {
	if len(roles) == 0 {
		return true
	}
	for _, r := range roles {
		if r == role {
			return true
		}
	}
	return false
}
