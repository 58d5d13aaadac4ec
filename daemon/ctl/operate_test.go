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

var dateForm = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)

// bench is a directory with keys and a bundle file, and a store.
type bench struct {
	dir   string
	store *kv.MemoryStore
}

func newBench(t *testing.T) bench {
	t.Helper()
	b := bench{dir: t.TempDir(), store: kv.NewMemoryStore(clock.System{}, rand.NewPCG(1, 1))}
	open := OpenStore
	OpenStore = func(string) (kv.Store, error) { return b.store, nil }
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
		if err := k.write(filepath.Join(b.dir, name+".json")); err != nil {
			t.Fatal(err)
		}
		file = bytes.Replace(file, []byte(`"`+strings.ToUpper(name)+`"`), []byte(`"`+k.PublicKey+`"`), 1)
	}
	if err := os.WriteFile(filepath.Join(b.dir, "base.json"), file, 0o600); err != nil {
		t.Fatal(err)
	}
	if out := b.run("sign -keys -key $DIR/root.json $DIR/base.json"); out != "exit 0\n" {
		t.Fatal(out)
	}
	return b
}

// run executes a command line and returns its output and exit code.
func (b bench) run(line string) string {
	args := strings.Fields(strings.ReplaceAll(line, "$DIR", b.dir))
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
	text = strings.ReplaceAll(text, b.dir, "$DIR")
	return dateForm.ReplaceAllString(text, "DATE") + fmt.Sprintf("exit %d\n", code)
}

// TestOperate guards the operators' commands: sign-offs, conflicts with the
// diff, a lost answer, rollback during a roll-out, and the exit codes.
func TestOperate(t *testing.T) {
	b := newBench(t)
	datadriven.RunTest(t, "testdata/operate", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "lose-answer":
			b.store.SetFaults(kv.Faults{LostResponseRate: 1})
			return ""
		case "outage":
			b.store.SetFaults(kv.Faults{Outage: true})
			return ""
		}
		out := b.run(d.Input)
		b.store.SetFaults(kv.Faults{})
		if d.Cmd == "run-brief" {
			// The changes of the first bundle hold random keys.
			first, _, _ := strings.Cut(out, "\n")
			return first + "\n" + out[strings.LastIndex(out, "exit "):]
		}
		return out
	})
}

// TestRacingOperators guards against two changes that both report success while
// one replaces the other.
func TestRacingOperators(t *testing.T) {
	b := newBench(t)
	signed := " -key $DIR/ana.json -key $DIR/luka.json "
	if out := b.run("propose -parent 0" + signed + "$DIR/base.json"); !strings.HasSuffix(out, "exit 0\n") {
		t.Fatal(out)
	}
	const operators = 8
	results := make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { results[i] = b.run(fmt.Sprintf("vm out%svm-%d", signed, i)) })
	}
	wg.Wait()
	stored, err := distribute.ReadStoredBundle(t.Context(), b.store)
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

// TestExplain guards against a client that fails on an answer that is not JSON
// and against one that reports a refusal as success.
func TestExplain(t *testing.T) {
	b := newBench(t)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/admin/explain" || r.URL.Query().Get("workspace") != "harbour" {
			w.WriteHeader(http.StatusNotFound)
		}
		fmt.Fprint(w, "plain text")
	}))
	defer router.Close()
	if out := b.run("explain -router " + router.URL + " -workspace harbour"); out != "plain text\nexit 0\n" {
		t.Error(out)
	}
	if out := b.run("explain -router " + router.URL); !strings.HasSuffix(out, "exit 1\n") {
		t.Error(out)
	}
}

// TestNodeCertificates guards against certificates that do not name the role and
// VM or do not serve both ends of a mutual TLS connection.
func TestNodeCertificates(t *testing.T) {
	b := newBench(t)
	for _, line := range []string{
		"keygen ca -out $DIR/ca",
		"keygen node -ca $DIR/ca -out $DIR/a -role router -ip 127.0.0.1 vm-1",
		"keygen node -ca $DIR/ca -out $DIR/b -role agent -ip 127.0.0.1 vm-2",
	} {
		if out := b.run(line); out != "exit 0\n" {
			t.Fatalf("%s: %s", line, out)
		}
	}
	pool := x509.NewCertPool()
	ca, err := os.ReadFile(filepath.Join(b.dir, "ca", "ca.pem"))
	if err != nil || !pool.AppendCertsFromPEM(ca) {
		t.Fatal("no CA certificate", err)
	}
	config := func(dir, vm string) *tls.Config {
		pair, err := tls.LoadX509KeyPair(filepath.Join(b.dir, dir, vm+".pem"), filepath.Join(b.dir, dir, vm+"-key.pem"))
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
