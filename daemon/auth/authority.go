package auth

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

const (
	// caLifetime and nodeLifetime are the validity periods of certificates. VMs are
	// replaced within days, so a node certificate of 90 days does not expire in use.
	caLifetime   = 10 * 365 * 24 * time.Hour
	nodeLifetime = 90 * 24 * time.Hour
	// backdate moves the start of the validity into the past, for VMs whose clocks are
	// behind.
	backdate = time.Hour
	// serialBits is the size of random serial numbers.
	serialBits = 127

	caCertFile = "ca.pem"
	caKeyFile  = "ca-key.pem"
)

// ErrInvalidKeyFile is returned for a file of the CA that is not a PEM file or whose key
// can't sign.
var ErrInvalidKeyFile = errors.New("auth: invalid key file")

// File modes. Only the owner can read private keys.
const (
	keyMode  = 0o600
	certMode = 0o644
)

// Authority is the deployment's certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// NewAuthority creates a CA and writes ca.pem and ca-key.pem to dir. It fails if one of the
// files exists.
func NewAuthority(dir, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(name, caLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return writeCertificate(template, template, key, key, filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile))
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// LoadAuthority reads the CA from dir. It returns ErrInvalidKeyFile or the error of reading
// or parsing a file.
func LoadAuthority(dir string) (Authority, error) {
	certDER, err := readPEM(filepath.Join(dir, caCertFile))
	if err != nil {
		return Authority{}, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return Authority{}, err
	}
	keyDER, err := readPEM(filepath.Join(dir, caKeyFile))
	if err != nil {
		return Authority{}, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return Authority{}, err
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return Authority{}, fmt.Errorf("%w: %s does not contain a signing key", ErrInvalidKeyFile, caKeyFile)
	}
	return Authority{cert: cert, key: signer}, nil
}

// IssueNodeCertificate writes <vm>.pem and <vm>-key.pem to dir for a process with the
// given role on the VM. It fails if one of the files exists.
func (a Authority) IssueNodeCertificate(dir string, role Role, vm string, ips []net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(vm, nodeLifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: string(role), Path: "/" + vm}}
	template.IPAddresses = ips
	return writeCertificate(template, a.cert, key, a.key, filepath.Join(dir, vm+".pem"), filepath.Join(dir, vm+"-key.pem"))
}

// writeCertificate signs the template and writes the certificate and its key.
func writeCertificate(template, parent *x509.Certificate, key, signer crypto.Signer, certPath, keyPath string) error {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := createFile(keyPath, encodePEM("PRIVATE KEY", keyDER), keyMode); err != nil {
		return err
	}
	return createFile(certPath, encodePEM("CERTIFICATE", der), certMode)
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("%w: %s is not a PEM file", ErrInvalidKeyFile, path)
	}
	return block.Bytes, nil
}

// createFile writes a new file. It fails if the file exists.
func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}
