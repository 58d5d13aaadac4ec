package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Bounds of a signed manifest. They limit the memory and time that an unverified manifest
// can use before its signatures are checked.
const (
	// MaxManifestBytes bounds the JSON form including signatures; the usual size is 6 KB.
	MaxManifestBytes = 256 << 10
	// MaxParts bounds the parts of one manifest.
	MaxParts = 1024
	// maxSignatures bounds the signatures that are verified for one message.
	maxSignatures = 64
)

// Domain prefixes of the signed messages. They prevent a signature for one kind of
// message from being valid for another.
const (
	manifestDomain = "cactusknot bundle manifest v1\x00"
	keysDomain     = "cactusknot operator keys v1\x00"
)

// Errors of verification, for errors.Is.
var (
	// ErrMalformed: the manifest is not valid JSON, or a field or size is out of bounds.
	ErrMalformed = errors.New("bundle: malformed manifest")
	// ErrNotEnoughSignOffs: fewer different operators signed than Keys.SignOffs demands.
	ErrNotEnoughSignOffs = errors.New("bundle: not enough valid sign-offs")
	// ErrUntrustedKeys: too few root keys signed the operator keys.
	ErrUntrustedKeys = errors.New("bundle: operator keys are not signed by the root keys")
)

// Manifest describes one configuration version.
type Manifest struct {
	// Version starts at 1 and increases with each change.
	Version uint64 `json:"version"`
	// Parent is the version that this one was derived from; 0 for the first.
	Parent uint64 `json:"parent"`
	// Parts maps the name of each part to its hash.
	Parts map[string]Hash `json:"parts"`
	// RequiredParts names the parts that a program must know in order to apply the
	// version. A program that does not know one of them refuses the version.
	RequiredParts []string `json:"needs,omitempty"`
	// Created is the time by the operator's clock. It is informational only.
	Created time.Time `json:"created"`
	Author  string    `json:"author"`
	Note    string    `json:"note"`
}

// Signature is an Ed25519 signature with the key that made it.
type Signature struct {
	// Key is the fingerprint of the public key.
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// SignedManifest is a manifest with the signatures of operators. The signatures cover the
// compacted JSON as it was received, so they stay valid if a newer program version has
// added fields.
type SignedManifest struct {
	Manifest   json.RawMessage `json:"manifest"`
	Signatures []Signature     `json:"signatures"`
}

// TrustAnchor is what a process trusts according to its own settings: the root keys, and
// how many of them must sign the operators' keys.
type TrustAnchor struct {
	Roots    []OperatorKey `json:"roots"`
	SignOffs int           `json:"sign_offs"`
}

// DecodeSignedManifest decodes a signed manifest and checks its format. It does not
// verify the signatures.
func DecodeSignedManifest(data []byte) (SignedManifest, error) {
	var s SignedManifest
	if len(data) > MaxManifestBytes {
		return s, fmt.Errorf("%w: %d bytes", ErrMalformed, len(data))
	}
	if err := decodeExact(data, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	_, err := s.DecodeManifest()
	return s, err
}

// Encode returns the manifest and its signatures as JSON.
func (s SignedManifest) Encode() ([]byte, error) { return json.Marshal(s) }

// Hash returns the hash of the manifest without its signatures.
func (s SignedManifest) Hash() Hash { return HashOf(s.signedBytes()) }

// signedBytes returns the bytes that operators sign, without the domain prefix.
func (s SignedManifest) signedBytes() []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, s.Manifest); err != nil {
		return nil
	}
	return out.Bytes()
}

// DecodeManifest decodes the manifest and checks its format. It does not verify the
// signatures.
func (s SignedManifest) DecodeManifest() (Manifest, error) {
	var m Manifest
	if len(s.Signatures) > maxSignatures {
		return m, fmt.Errorf("%w: %d signatures", ErrMalformed, len(s.Signatures))
	}
	if err := json.Unmarshal(s.Manifest, &m); err != nil {
		return m, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, m.validate()
}

func (m Manifest) validate() error {
	if m.Version == 0 || m.Version <= m.Parent {
		return fmt.Errorf("%w: version %d with parent %d", ErrMalformed, m.Version, m.Parent)
	}
	if len(m.Parts) > MaxParts {
		return fmt.Errorf("%w: %d parts", ErrMalformed, len(m.Parts))
	}
	for name, hash := range m.Parts {
		if !validKeyHash(string(hash)) {
			return fmt.Errorf("%w: part %q has no valid hash", ErrMalformed, name)
		}
	}
	return nil
}

func (m Manifest) checkRequiredParts() error {
	for _, name := range m.RequiredParts {
		if !knownPart(name) {
			return fmt.Errorf("%w: %s", ErrUnknownPart, name)
		}
	}
	return nil
}

// NewSignedManifest encodes m, without signatures.
func NewSignedManifest(m Manifest) (SignedManifest, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return SignedManifest{}, fmt.Errorf("bundle: encode manifest: %w", err)
	}
	return SignedManifest{Manifest: data}, nil
}

// Sign returns s with the signature of key added. It replaces an existing signature of
// the same key.
func Sign(s SignedManifest, key ed25519.PrivateKey) SignedManifest {
	s.Signatures = addSignature(s.Signatures, key, manifestDomain, s.signedBytes())
	return s
}

// Verify checks that enough different operators of keys signed s and returns the
// manifest. The caller must have established that keys can be trusted.
func Verify(s SignedManifest, keys Keys) (Manifest, error) {
	m, err := s.DecodeManifest()
	if err != nil {
		return m, err
	}
	signed := signers(s.Signatures, keys.Operators, manifestDomain, s.signedBytes())
	if len(signed) < max(keys.SignOffs, 1) {
		return m, fmt.Errorf("%w: %d of %d", ErrNotEnoughSignOffs, len(signed), keys.SignOffs)
	}
	return m, nil
}

// SignKeys returns k with the signature of a root key added.
func SignKeys(k Keys, root ed25519.PrivateKey) Keys {
	k.RootSignatures = addSignature(k.RootSignatures, root, keysDomain, k.signedBytes())
	return k
}

// VerifyKeys checks that enough of the root keys of a signed k.
func VerifyKeys(k Keys, a TrustAnchor) error {
	if len(k.RootSignatures) > maxSignatures {
		return fmt.Errorf("%w: %d signatures", ErrUntrustedKeys, len(k.RootSignatures))
	}
	signed := signers(k.RootSignatures, a.Roots, keysDomain, k.signedBytes())
	if len(signed) < max(a.SignOffs, 1) {
		return fmt.Errorf("%w: %d of %d", ErrUntrustedKeys, len(signed), a.SignOffs)
	}
	return nil
}

// signedBytes returns the bytes that root keys sign, without the domain prefix.
func (k Keys) signedBytes() []byte {
	k.RootSignatures = nil
	data, err := json.Marshal(k)
	if err != nil {
		return nil
	}
	return data
}

// VerifyWithKeysPart verifies s with the operator keys in its own keys part, which must be
// signed by the root keys of a. It needs no other part, so a process can refuse a forged
// manifest before it fetches the other parts.
func VerifyWithKeysPart(s SignedManifest, keysPart []byte, a TrustAnchor) (Manifest, Keys, error) {
	var keys Keys
	m, err := s.DecodeManifest()
	if err != nil {
		return m, keys, err
	}
	parts := map[Hash][]byte{m.Parts[PartKeys]: keysPart}
	if err := decodePart(m, parts, PartKeys, &keys); err != nil {
		return m, keys, err
	}
	if err := VerifyKeys(keys, a); err != nil {
		return m, keys, err
	}
	_, err = Verify(s, keys)
	return m, keys, err
}

// Open verifies s with the trust anchor a, joins its parts and validates the bundle.
func Open(s SignedManifest, parts map[Hash][]byte, a TrustAnchor) (*Bundle, Manifest, error) {
	m, err := s.DecodeManifest()
	if err != nil {
		return nil, m, err
	}
	if _, _, err := VerifyWithKeysPart(s, parts[m.Parts[PartKeys]], a); err != nil {
		return nil, m, err
	}
	b, err := Join(m, parts)
	if err != nil {
		return nil, m, err
	}
	if err := b.Validate(); err != nil {
		return nil, m, err
	}
	return b, m, nil
}

// Fingerprint returns the identifier of a public key in Signature.Key: the first 32 hex
// digits of its SHA-256 hash.
func Fingerprint(public ed25519.PublicKey) string { return string(HashOf(public)[:32]) }

func addSignature(list []Signature, key ed25519.PrivateKey, domain string, message []byte) []Signature {
	fingerprint := Fingerprint(key.Public().(ed25519.PublicKey))
	out := slices.DeleteFunc(slices.Clone(list), func(s Signature) bool { return s.Key == fingerprint })
	value := ed25519.Sign(key, append([]byte(domain), message...))
	return append(out, Signature{Key: fingerprint, Value: value})
}

// signers returns the names of the operators that have a valid signature in list.
func signers(list []Signature, operators []OperatorKey, domain string, message []byte) map[string]bool {
	if len(message) == 0 {
		return nil
	}
	keys := make(map[string]OperatorKey, len(operators))
	public := make(map[string]ed25519.PublicKey, len(operators))
	for _, o := range operators {
		raw, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			continue
		}
		fingerprint := Fingerprint(raw)
		keys[fingerprint] = o
		public[fingerprint] = raw
	}
	full := append([]byte(domain), message...)
	valid := make(map[string]bool)
	used := make(map[string]bool)
	for _, s := range list {
		o, known := keys[s.Key]
		if !known || used[s.Key] || !ed25519.Verify(public[s.Key], full, s.Value) {
			continue
		}
		used[s.Key] = true
		valid[o.Name] = true
	}
	return valid
}

// SameContent reports whether k and other have the same operators, sign-offs and
// serial. It ignores the root signatures.
func (k Keys) SameContent(other Keys) bool { return bytes.Equal(k.signedBytes(), other.signedBytes()) }
