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
	// caLifetime and nodeLifetime are the validity of certificates. VMs are
	// replaced within days, so a node certificate of 90 days never ends in use.
	caLifetime   = 10 * 365 * 24 * time.Hour
	nodeLifetime = 90 * 24 * time.Hour
	// backdate tolerates VMs whose clocks are behind.
	backdate = time.Hour
	// serialBits is the size of random serial numbers.
	serialBits = 127

	caCertFile = "ca.pem"
	caKeyFile  = "ca-key.pem"
)

// ErrInvalidKeyFile: a file of the CA does not hold what its name says.
var ErrInvalidKeyFile = errors.New("auth: bad key file")

// File modes: private keys are readable by their owner only.
const (
	keyMode  = 0o600
	certMode = 0o644
)

// Authority is the deployment's certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// NewAuthority creates a CA and writes ca.pem and ca-key.pem into dir.
func NewAuthority(dir, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := certificate(name, caLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return issue(template, template, key, key, filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile))
}

func certificate(name string, lifetime time.Duration) (*x509.Certificate, error) {
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

// LoadAuthority reads the CA from dir. Errors are those of the files and ErrKeyFile.
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
		return Authority{}, fmt.Errorf("%w: %s can't sign", ErrInvalidKeyFile, caKeyFile)
	}
	return Authority{cert: cert, key: signer}, nil
}

// IssueNodeCertificate writes <vm>.pem and <vm>-key.pem for a process of the role.
func (a Authority) IssueNodeCertificate(dir string, role Role, vm string, ips []net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := certificate(vm, nodeLifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: string(role), Path: "/" + vm}}
	template.IPAddresses = ips
	return issue(template, a.cert, key, a.key, filepath.Join(dir, vm+".pem"), filepath.Join(dir, vm+"-key.pem"))
}

func issue(template, parent *x509.Certificate, key, signer crypto.Signer, certPath, keyPath string) error {
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

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
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

// createFile writes a file that must not exist.
func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}
