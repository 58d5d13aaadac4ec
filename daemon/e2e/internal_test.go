package e2e

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"path/filepath"
	"testing"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/rpc"
)

// clientWithCertificate returns a client with the certificate of a VM from the
// directory.
func clientWithCertificate(t *testing.T, dir, vm string) *http.Client {
	t.Helper()
	credentials, err := auth.LoadCredentials(config.TLS{
		CA:   filepath.Join(spec.Dir, "ca", "ca.pem"),
		Cert: filepath.Join(dir, vm+".pem"),
		Key:  filepath.Join(dir, vm+"-key.pem"),
	})
	must(t, err)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: credentials.ClientConfig(), ForceAttemptHTTP2: true}}
}

// untrustedClients returns a client without a certificate and one with a certificate
// of another CA.
func untrustedClients(t *testing.T) map[string]*http.Client {
	t.Helper()
	dir := t.TempDir()
	_, err := deployment.RunTool(t.Context(), "keygen", "ca", "-out", filepath.Join(dir, "ca"))
	must(t, err)
	_, err = deployment.RunTool(t.Context(), "keygen", "node", "-ca", filepath.Join(dir, "ca"), "-out", dir, "-role", "router", "-ip", "127.0.0.1", "router-a")
	must(t, err)
	return map[string]*http.Client{
		"no certificate": {Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}},
		"another CA":     clientWithCertificate(t, dir, "router-a"),
	}
}

// TestInternalListeners guards against accepting RPCs from processes that have no
// certificate of the deployment, have the wrong role or name another VM as sender.
func TestInternalListeners(t *testing.T) {
	certs := filepath.Join(spec.Dir, "certs")
	router, agent := clientWithCertificate(t, certs, "router-b"), clientWithCertificate(t, certs, "engine-b1")
	for name, stranger := range untrustedClients(t) {
		for _, vm := range []string{"router-a", "engine-a1", "tickets-a"} {
			if status, err := execute(t.Context(), stranger, vm); err == nil {
				t.Errorf("%s with %s: status %d", vm, name, status)
			}
			if _, err := peerOf(stranger, vm).Sync(t.Context(), &rpc.SyncRequest{Node: "router-a"}); err == nil {
				t.Errorf("%s syncs with %s", vm, name)
			}
		}
	}
	if status, err := execute(t.Context(), agent, "tickets-a"); err != nil || status != http.StatusForbidden {
		t.Errorf("agent executes: status %d, %v", status, err)
	}
	_, err := rpc.NewAgentProtobufClient(deployment.InternalURL("engine-a1"), agent).Exchange(t.Context(), &rpc.ExchangeRequest{Router: "router-a", BundleVersion: 1 << 40})
	if err == nil {
		t.Error("an agent exchanges as a router")
	}
	for _, vm := range []string{"router-a", "engine-a1"} {
		_, err := peerOf(agent, vm).Sync(t.Context(), &rpc.SyncRequest{Node: "router-b"})
		if problem, ok := err.(twirp.Error); !ok || problem.Code() != twirp.PermissionDenied {
			t.Errorf("%s accepts a message that names another VM as sender: %v", vm, err)
		}
		if _, err := peerOf(agent, vm).Sync(t.Context(), &rpc.SyncRequest{Node: "engine-b1"}); err != nil {
			t.Errorf("%s refuses a message of its peer: %v", vm, err)
		}
	}
	for _, body := range [][]byte{nil, {0xff, 0xff}, bytes.Repeat([]byte{0}, 1000)} {
		if status := executeBody(t, router, "tickets-a", body); status != http.StatusBadRequest {
			t.Errorf("malformed request of %d bytes: status %d", len(body), status)
		}
	}
	if n := effects(t, "forged"); n != 0 {
		t.Errorf("%d forged bookings", n)
	}
}

func peerOf(c *http.Client, vm string) rpc.Peer {
	return rpc.NewPeerProtobufClient(deployment.InternalURL(vm), c)
}

// execute sends a booking directly to an agent.
func execute(ctx context.Context, c *http.Client, vm string) (int, error) {
	body, err := proto.Marshal(&rpc.ExecuteRequest{
		RequestId: make([]byte, 16), Workspace: refusingWorkspace, Service: "tickets",
		Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"ref":"forged"}`),
	})
	if err != nil {
		return 0, err
	}
	return post(ctx, c, vm, body)
}

func executeBody(t *testing.T, c *http.Client, vm string, body []byte) int {
	t.Helper()
	status, err := post(t.Context(), c, vm, body)
	must(t, err)
	return status
}

func post(ctx context.Context, c *http.Client, vm string, body []byte) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, deployment.InternalURL(vm)+"/internal/execute", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}
