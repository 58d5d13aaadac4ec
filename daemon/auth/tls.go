// Package auth authenticates the processes of a deployment by certificates of its own CA,
// callers by API keys, and sessions by signed tokens.
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

// uriScheme is the scheme of the URI SAN that identifies a process, in the form
// cactusknot://ROLE/VM.
const uriScheme = "cactusknot"

// Role is the role of a process in the deployment.
type Role string

// Values of Role.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// ErrNoIdentity is returned for a certificate that identifies no cactusknot process.
var ErrNoIdentity = errors.New("auth: certificate has no cactusknot URI")

// Identity identifies an authenticated process.
type Identity struct {
	Role Role
	VM   string
}

// Credentials holds the certificate of this process and the CA certificates that its peers
// must be signed by.
type Credentials struct {
	cert   tls.Certificate
	caPool *x509.CertPool
}

// LoadCredentials reads the PEM files named in the settings.
func LoadCredentials(files config.TLS) (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(ca) {
		return nil, trace.BadParameter("%s: contains no certificate", files.CA)
	}
	return &Credentials{cert: cert, caPool: caPool}, nil
}

// ServerConfig returns the TLS configuration of an internal listener. Clients must present a
// certificate of the deployment's CA.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		ClientCAs:    c.caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{"h2"},
	}
}

// ClientConfig returns the TLS configuration for calls to other processes. The server is
// verified by its CA and its URI SAN instead of its address, because replaced VMs get new
// addresses.
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{c.cert},
		InsecureSkipVerify: true, // verifyServer verifies the chain without the address.
		VerifyConnection:   c.verifyServer,
		NextProtos:         []string{"h2"},
	}
}

// verifyServer verifies the certificate chain of a server and that it identifies a process.
func (c *Credentials) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoIdentity
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.caPool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return err
	}
	_, err = certIdentity(state.PeerCertificates[0])
	return err
}

// PeerIdentity returns the identity in the certificate of the connection's peer, or
// ErrNoIdentity.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrNoIdentity
	}
	return certIdentity(state.PeerCertificates[0])
}

func certIdentity(cert *x509.Certificate) (Identity, error) {
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

// RequireIdentity returns a handler that passes requests of authenticated processes to next
// and answers others with 403. The role of the process must be in roles; an empty list
// allows every role.
func RequireIdentity(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := PeerIdentity(r.TLS)
		if err != nil || !roleAllowed(id.Role, roles) {
			http.Error(w, "forbidden", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

// IdentityFrom returns the identity that RequireIdentity stored in the context.
func IdentityFrom(ctx context.Context) (Identity, bool) {
	id, ok := ctx.Value(identityKey{}).(Identity)
	return id, ok
}

func roleAllowed(role Role, roles []Role) bool {
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
