package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/gateway"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/daemon/upstream"
)

// engineCodec is a gateway.HeaderCodec with the headers that the engine tests need.
type engineCodec struct{}

func (engineCodec) Decode(r *http.Request) *gateway.Call {
	parts := strings.Split(r.Header.Get("Parts"), ",")
	return &gateway.Call{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: "svc", Header: r.Header,
		PromptTokens: 100, PartIDs: parts, PartTokens: make([]int, len(parts)), ResumeAfter: -1,
	}
}

func (engineCodec) Encode(call *gateway.Call, o gateway.AttemptOptions) http.Header {
	return http.Header{"Id": {call.ID}, "Parts": call.Header["Parts"], "After": {strconv.FormatInt(o.ResumeAfter, 10)}}
}

func (engineCodec) Owner(call *gateway.Call, h http.Header) upstream.Owner {
	if h.Get("Id") == call.ID {
		return upstream.Own
	}
	return upstream.Foreign
}

func (engineCodec) ParseResponse(_ int, h http.Header) gateway.ResponseInfo {
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	return gateway.ResponseInfo{Sealed: true, Confidence: -1, EventStream: h.Get("Content-Type") == "text/event-stream", RateLimit: limit}
}

func (engineCodec) Stays(_ string, status int, h http.Header) bool {
	return status == http.StatusOK && h.Get("Leaving") == ""
}

func (engineCodec) ResponseHeader(_ *gateway.Call, h http.Header) http.Header { return h.Clone() }

func (engineCodec) ErrorHeader(_ *gateway.Call, retryAfter time.Duration) http.Header {
	return http.Header{"Retry-After": {strconv.FormatFloat(retryAfter.Seconds(), 'f', 1, 64)}}
}

// engineDecoder is a testDecoder with a route to the engines and their addresses.
type engineDecoder struct{ testDecoder }

func (engineDecoder) Config(e kv.Entry) (*topology.Config, bool, error) {
	if e.Key != "config" {
		return nil, false, nil
	}
	route := func(prefix string, kind topology.Kind) *topology.Route {
		return &topology.Route{
			Name: prefix, Host: "svc", Prefix: prefix, Kind: kind, Resumable: kind == topology.Stream, MaxAttempts: 3,
			Timeout: 5 * time.Second, LatencyTarget: 2 * time.Second, Shares: []topology.Share{{Service: "svc", Weight: 1}},
		}
	}
	routes := []*topology.Route{route("/", topology.Stream), route("/book/", topology.NonIdempotent), route("/check/", topology.Idempotent)}
	return topology.NewConfig(1, routes, []*topology.Service{{Name: "svc", HealthPath: "/healthz"}}, nil, topology.Limits{}), true, nil
}

func (engineDecoder) Server(e kv.Entry) (*topology.Server, bool, error) {
	id, ok := testDecoder{}.ServerID(e.Key)
	if !ok {
		return nil, false, nil
	}
	var address string
	if err := json.Unmarshal(e.Value, &address); err != nil {
		return nil, true, err
	}
	return &topology.Server{ID: id, Service: "svc", Version: "v1", Address: address, Slots: 64}, true, nil
}

// engines is a set of model engines on loopback that register themselves in the store.
type engines struct {
	t       *testing.T
	store   *memoryStore
	handler func(id string, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	started int
}

// start starts an engine, which handles its requests with e.handler.
func (e *engines) start() {
	e.mu.Lock()
	e.started++
	id := fmt.Sprintf("e%d", e.started)
	e.mu.Unlock()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		e.handler(id, w, r)
	}))
	e.t.Cleanup(server.Close)
	e.store.put("servers/"+id, server.Listener.Addr().String())
}

// streamEvents answers with a stream of events at an interval.
func streamEvents(w http.ResponseWriter, events int, interval time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		w.(http.Flusher).Flush()
		time.Sleep(interval)
	}
}

// startEngineEdge starts an Edge whose gateway serves requests to engines.
func startEngineEdge(t *testing.T, store *memoryStore, name string) *testEdge {
	t.Helper()
	e := startEdgeWith(t, store, &Settings{VM: name, Cores: 1, Decoder: engineDecoder{}, HeaderCodec: engineCodec{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.exchangeFacts(ctx)
	return e
}

// send sends a request with the prompt parts through an Edge and returns the status; 0 for
// an answer that was cut off.
func send(e *testEdge, id string, parts ...string) (status int, header http.Header) {
	return sendTo(e, "/", "", id, parts...)
}

// sendTo does the same with a path and a body.
func sendTo(e *testEdge, path, body, id string, parts ...string) (status int, header http.Header) {
	front := httptest.NewServer(e.gateway)
	defer front.Close()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, front.URL+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Id", id)
	r.Header.Set("Parts", strings.Join(parts, ","))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, response.Header
	}
	return response.StatusCode, response.Header
}
