package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/tidwall/sjson"
)

func baseFile(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/base.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func base(t testing.TB) *Bundle {
	t.Helper()
	b, err := Decode(bytes.NewReader(baseFile(t)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestValidate checks that invalid fields and references are refused with a message that
// names the field, that parts without effect have a warning and that sane bundles have none.
// The cases are in testdata/validate.
func TestValidate(t *testing.T) {
	datadriven.RunTest(t, "testdata/validate", func(t *testing.T, d *datadriven.TestData) string {
		file := baseFile(t)
		for line := range strings.Lines(d.Input) {
			path, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			var err error
			if file, err = sjson.SetRawBytes(file, path, []byte(value)); err != nil {
				t.Fatal(err)
			}
		}
		b, err := Decode(bytes.NewReader(file))
		if err == nil {
			err = b.Validate()
		}
		if err != nil {
			return err.Error() + "\n"
		}
		if d.Cmd == "warnings" {
			var out strings.Builder
			for _, w := range b.Warnings() {
				out.WriteString(w.Path + ": " + w.Reason + "\n")
			}
			return out.String()
		}
		return "ok\n"
	})
}

// TestDecodeRefusesTrailingData checks that a file of two bundles is refused; a lenient
// decoder would ignore the second one.
func TestDecodeRefusesTrailingData(t *testing.T) {
	_, err := Decode(strings.NewReader("{} {}"))
	if !errors.Is(err, ErrTrailingData) {
		t.Fatalf("got %v", err)
	}
}

func testKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
}

func operator(name string, seed byte) OperatorKey {
	public := testKey(seed).Public().(ed25519.PublicKey)
	return OperatorKey{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

var testAnchor = TrustAnchor{Roots: []OperatorKey{operator("root", 100)}, SignOffs: 1}

// signedBase returns the base bundle as a manifest without signatures, with its parts.
// The operators ana (key 1) and luka (key 2) must both sign it.
func signedBase(t testing.TB, version uint64) (SignedManifest, map[Hash][]byte) {
	t.Helper()
	b := base(t)
	b.Keys = SignKeys(Keys{Operators: []OperatorKey{operator("ana", 1), operator("luka", 2)}, SignOffs: 2, Serial: 1}, testKey(100))
	parts, names, err := Split(b)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewSignedManifest(Manifest{Version: version, Parent: version - 1, Parts: names, Created: time.Unix(0, 0).UTC(), Author: "ana"})
	if err != nil {
		t.Fatal(err)
	}
	return s, parts
}

// TestSplitJoin checks that splitting and joining a bundle loses and reorders nothing.
func TestSplitJoin(t *testing.T) {
	s, parts := signedBase(t, 1)
	s = Sign(Sign(s, testKey(1)), testKey(2))
	b, m, err := Open(s, parts, testAnchor)
	if err != nil {
		t.Fatal(err)
	}
	_, names, err := Split(b)
	if err != nil {
		t.Fatal(err)
	}
	for name, hash := range m.Parts {
		if names[name] != hash {
			t.Errorf("part %s changed", name)
		}
	}
	if len(names) != len(m.Parts) || len(b.Workspaces) != 2 {
		t.Errorf("%d parts, %d workspaces", len(names), len(b.Workspaces))
	}
}

// TestVerify checks that Open refuses manifests with too few valid signatures, untrusted
// keys, and wrong, missing or unknown parts.
func TestVerify(t *testing.T) {
	s, parts := signedBase(t, 1)
	both := Sign(Sign(s, testKey(1)), testKey(2))
	doubled := Sign(s, testKey(1))
	doubled.Signatures = append(doubled.Signatures, doubled.Signatures[0])
	altered := both
	altered.Manifest = json.RawMessage(strings.Replace(string(both.Manifest), `"version":1,"parent":0`, `"version":9,"parent":0`, 1))
	indented := both
	indented.Manifest = json.RawMessage(strings.Replace(string(both.Manifest), `{"version"`, "{ \n\"version\"", 1))
	ownRoot := testAnchor
	ownRoot.Roots = []OperatorKey{operator("root", 101)}
	badPart := map[Hash][]byte{}
	m, _ := s.DecodeManifest()
	for hash, data := range parts {
		badPart[hash] = data
	}
	badPart[m.Parts[PartLimits]] = []byte("{}")
	unknown := m
	unknown.RequiredParts = []string{"policies"}
	future, _ := NewSignedManifest(unknown)
	cases := []struct {
		name   string
		signed SignedManifest
		parts  map[Hash][]byte
		anchor TrustAnchor
		want   error
	}{
		{"both operators", both, parts, testAnchor, nil},
		{"white space changed", indented, parts, testAnchor, nil},
		{"one of two", Sign(s, testKey(1)), parts, testAnchor, ErrNotEnoughSignOffs},
		{"one twice", doubled, parts, testAnchor, ErrNotEnoughSignOffs},
		{"unknown operator", Sign(Sign(s, testKey(1)), testKey(3)), parts, testAnchor, ErrNotEnoughSignOffs},
		{"altered", altered, parts, testAnchor, ErrNotEnoughSignOffs},
		{"keys of another root", both, parts, ownRoot, ErrUntrustedKeys},
		{"part altered", both, badPart, testAnchor, ErrPartHash},
		{"part missing", both, map[Hash][]byte{m.Parts[PartKeys]: parts[m.Parts[PartKeys]]}, testAnchor, ErrMissingPart},
		{"unknown part required", Sign(Sign(future, testKey(1)), testKey(2)), parts, testAnchor, ErrUnknownPart},
	}
	for _, c := range cases {
		if _, _, err := Open(c.signed, c.parts, c.anchor); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// TestDiff checks that every change is reported; operators resolve conflicting proposals
// by this report.
func TestDiff(t *testing.T) {
	a, b := base(t), base(t)
	b.Workspaces[1].QualityTarget = 0.9
	b.VMs = nil
	b.Models[0].Versions = append(b.Models[0].Versions, Version{Name: "5", State: VersionServing, Weights: "w"})
	b.Rollouts[0].Steps = []float64{1}
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	want := `+ models[diary].versions[5]: {"name":"5","state":"serving","weights":"w"}
~ rollouts[diary-4].steps: [0.01,0.1,1] -> [1]
- vms[vm-9]: {"name":"vm-9","out":true}
~ workspaces[lagoon].quality_target: 0.7 -> 0.9`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if len(Diff(a, base(t))) != 0 {
		t.Error("equal bundles differ")
	}
}

// FuzzDecode checks that operators' files cause no panic, and that valid bundles do not
// change when they are split and joined.
func FuzzDecode(f *testing.F) {
	f.Add(baseFile(f))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"rollouts":[{"steps":[]}],"keys":{"sign_offs":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(bytes.NewReader(data))
		if err != nil || b.Validate() != nil {
			return
		}
		parts, names, err := Split(b)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := Join(Manifest{Version: 1, Parts: names}, parts)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(b, joined); len(changes) != 0 {
			t.Fatalf("changed: %v", changes)
		}
	})
}

// FuzzVerify checks that manifests from the network cause no panic, and that a manifest
// verifies only if its content was signed.
func FuzzVerify(f *testing.F) {
	s, parts := signedBase(f, 1)
	s = Sign(Sign(s, testKey(1)), testKey(2))
	good, err := s.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"manifest":{"version":1},"signatures":[{"key":"x","value":"AA=="}]}`))
	f.Add([]byte(`{"manifest":null,"signatures":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := DecodeSignedManifest(data)
		if err != nil {
			return
		}
		if _, _, err := Open(got, parts, testAnchor); err == nil && got.Hash() != s.Hash() {
			t.Fatalf("unsigned content verified: %s", data)
		}
	})
}
