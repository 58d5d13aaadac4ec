package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/distribute"

	"github.com/cockroachdb/datadriven"
)

var datePattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)

// testEnv is a directory with key files and a bundle file, together with an
// in-memory store.
type testEnv struct {
	dir   string
	store *kv.MemoryStore
}

func newTestEnv(t *testing.T) testEnv {
	t.Helper()
	env := testEnv{dir: t.TempDir(), store: kv.NewMemoryStore(clock.System{}, rand.NewPCG(1, 1))}
	open := OpenStore
	OpenStore = func(string) (kv.Store, error) { return env.store, nil }
	t.Cleanup(func() { OpenStore = open })
	file, err := os.ReadFile("testdata/base.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"ana", "luka", "root"} {
		k, err := newKeyFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := k.write(filepath.Join(env.dir, name+".json")); err != nil {
			t.Fatal(err)
		}
		file = bytes.Replace(file, []byte(`"`+strings.ToUpper(name)+`"`), []byte(`"`+k.PublicKey+`"`), 1)
	}
	if err := os.WriteFile(filepath.Join(env.dir, "base.json"), file, 0o600); err != nil {
		t.Fatal(err)
	}
	if out := env.run("sign -keys -key $DIR/root.json $DIR/base.json"); out != "exit 0\n" {
		t.Fatal(out)
	}
	return env
}

// run executes a command line and returns its output and exit code.
func (env testEnv) run(line string) string {
	args := strings.Fields(strings.ReplaceAll(line, "$DIR", env.dir))
	var out, errs bytes.Buffer
	code := ExitUsage
	for _, c := range Commands() {
		if c.Name == args[0] {
			args = append(args[1:], "-store", "memory")
			if c.Name == "sign" || c.Name == "keygen" || c.Name == "explain" {
				args = args[:len(args)-2]
			}
			code = c.Run(context.Background(), Env{Stdout: &out, Stderr: &errs}, args)
			break
		}
	}
	text := out.String()
	for line := range strings.Lines(errs.String()) {
		text += "stderr: " + line
	}
	text = strings.ReplaceAll(text, env.dir, "$DIR")
	return datePattern.ReplaceAllString(text, "DATE") + fmt.Sprintf("exit %d\n", code)
}

// TestOperate covers the operators' commands: sign-offs, conflicts and the diff
// they print, a lost response of the store, a rollback during a rollout, and the
// exit codes.
func TestOperate(t *testing.T) {
	env := newTestEnv(t)
	datadriven.RunTest(t, "testdata/operate", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "lose-answer":
			env.store.SetFaults(kv.Faults{LostResponseRate: 1})
			return ""
		case "outage":
			env.store.SetFaults(kv.Faults{Outage: true})
			return ""
		}
		out := env.run(d.Input)
		env.store.SetFaults(kv.Faults{})
		if d.Cmd == "run-brief" {
			// The diff of the first bundle contains random keys.
			first, _, _ := strings.Cut(out, "\n")
			return first + "\n" + out[strings.LastIndex(out, "exit "):]
		}
		return out
	})
}

// TestConcurrentChanges guards against lost updates: two concurrent changes that
// both report success although one overwrites the other.
func TestConcurrentChanges(t *testing.T) {
	env := newTestEnv(t)
	signed := " -key $DIR/ana.json -key $DIR/luka.json "
	if out := env.run("propose -parent 0" + signed + "$DIR/base.json"); !strings.HasSuffix(out, "exit 0\n") {
		t.Fatal(out)
	}
	const operators = 8
	results := make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { results[i] = env.run(fmt.Sprintf("vm out%svm-%d", signed, i)) })
	}
	wg.Wait()
	stored, err := distribute.ReadStoredBundle(t.Context(), env.store)
	if err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for i, out := range results {
		switch {
		case strings.HasSuffix(out, "exit 0\n"):
			accepted++
			if !strings.Contains(fmt.Sprint(stored.Bundle.VMs), fmt.Sprintf("vm-%d ", i)) {
				t.Errorf("accepted change of vm-%d is lost", i)
			}
		case !strings.HasSuffix(out, "exit 3\n") || !strings.Contains(out, "+ vms"):
			t.Errorf("operator %d: %s", i, out)
		}
	}
	if accepted == 0 || stored.Manifest.Version != uint64(1+accepted) || len(stored.Bundle.VMs) != accepted {
		t.Errorf("%d accepted, version %d, VMs %v", accepted, stored.Manifest.Version, stored.Bundle.VMs)
	}
}

// TestExplain guards against a client that fails on a response that is not JSON,
// and against one that reports an error status as success.
func TestExplain(t *testing.T) {
	env := newTestEnv(t)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/admin/explain" || r.URL.Query().Get("workspace") != "harbour" {
			w.WriteHeader(http.StatusNotFound)
		}
		fmt.Fprint(w, "plain text")
	}))
	defer router.Close()
	if out := env.run("explain -router " + router.URL + " -workspace harbour"); out != "plain text\nexit 0\n" {
		t.Error(out)
	}
	if out := env.run("explain -router " + router.URL); !strings.HasSuffix(out, "exit 1\n") {
		t.Error(out)
	}
}

// TestNodeCertificates guards against certificates that do not contain the role
// and VM or are not valid for both sides of a mutual TLS connection.
func TestNodeCertificates(t *testing.T) {
	env := newTestEnv(t)
	for _, line := range []string{
		"keygen ca -out $DIR/ca",
		"keygen node -ca $DIR/ca -out $DIR/a -role router -ip 127.0.0.1 vm-1",
		"keygen node -ca $DIR/ca -out $DIR/b -role agent -ip 127.0.0.1 vm-2",
	} {
		if out := env.run(line); out != "exit 0\n" {
			t.Fatalf("%s: %s", line, out)
		}
	}
	pool := x509.NewCertPool()
	ca, err := os.ReadFile(filepath.Join(env.dir, "ca", "ca.pem"))
	if err != nil || !pool.AppendCertsFromPEM(ca) {
		t.Fatal("no CA certificate", err)
	}
	config := func(dir, vm string) *tls.Config {
		pair, err := tls.LoadX509KeyPair(filepath.Join(env.dir, dir, vm+".pem"), filepath.Join(env.dir, dir, vm+"-key.pem"))
		if err != nil {
			t.Fatal(err)
		}
		return &tls.Config{
			Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "127.0.0.1",
		}
	}
	left, right := net.Pipe()
	server := tls.Server(left, config("b", "vm-2"))
	client := tls.Client(right, config("a", "vm-1"))
	done := make(chan error, 1)
	go func() { done <- server.Handshake() }()
	if err := client.Handshake(); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, client) }()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	got := server.ConnectionState().PeerCertificates[0].URIs[0].String()
	if got != "cactusknot://router/vm-1" {
		t.Errorf("client is %s", got)
	}
}
