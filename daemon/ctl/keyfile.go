package ctl

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"

	"cactusknot.example/daemon/bundle"
)

// keyMode keeps private keys readable by their owner only.
const keyMode = 0o600

// keyFile is the content of a file with an operator's or a root key pair.
type keyFile struct {
	Name string `json:"name"`
	// PublicKey and Seed are in standard base64. Seed is the private key.
	PublicKey string `json:"public_key"`
	Seed      string `json:"seed"`
}

func newKeyFile(name string) (keyFile, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return keyFile{}, err
	}
	return keyFile{
		Name:      name,
		PublicKey: base64.StdEncoding.EncodeToString(public),
		Seed:      base64.StdEncoding.EncodeToString(private.Seed()),
	}, nil
}

func (k keyFile) operator() bundle.OperatorKey {
	return bundle.OperatorKey{Name: k.Name, PublicKey: k.PublicKey}
}

// write creates the file at path, which must not exist.
func (k keyFile) write(path string) error {
	data, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		return err
	}
	return createFile(path, append(data, '\n'), keyMode)
}

// createFile creates a file and fails if it exists, so that no key is overwritten.
func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// readKeys reads private keys from key files; author is the name in the first one.
func readKeys(paths []string) (keys []ed25519.PrivateKey, author string, err error) {
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, "", err
		}
		var k keyFile
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		if err := d.Decode(&k); err != nil {
			return nil, "", fmt.Errorf("%w: %s: %w", errUsage, path, err)
		}
		seed, err := base64.StdEncoding.DecodeString(k.Seed)
		if err != nil || len(seed) != ed25519.SeedSize {
			return nil, "", fmt.Errorf("%w: %s: seed is not an Ed25519 seed in base64", errUsage, path)
		}
		keys = append(keys, ed25519.NewKeyFromSeed(seed))
		if author == "" {
			author = k.Name
		}
	}
	return keys, author, nil
}
