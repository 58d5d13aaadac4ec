package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/progress"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// maxEventBytes limits one server-sent event of an engine. The event and its
// framing must fit in the 1 MiB that routers accept for one event.
const maxEventBytes = 1<<20 - 4<<10

// maxUnusedBytes bounds what an engine may send between two events with a part of the
// answer.
const maxUnusedBytes = 2 * maxEventBytes

// errNotObject is returned for a body that is the JSON value null.
var errNotObject = errors.New("agent: body is no JSON object")

// streamEnd is the data of the last event of a streamed response.
const streamEnd = "[DONE]"

// engine is the backend for a model engine.
type engine struct {
	settings config.Backend
	client   *backendClient
	versions atomic.Pointer[[]string]
	cached   prefixCache
	// now returns the current time.
	now func() time.Time
}

func newEngine(settings config.Backend, observe responseObserver) *engine {
	return &engine{settings: settings, client: newBackendClient(observe), now: time.Now}
}

func (g *engine) loaded() []string {
	if names := g.versions.Load(); names != nil {
		return *names
	}
	return nil
}

func (g *engine) prefixes() []uint64 { return g.cached.list() }

func (g *engine) clearPrefixes() { g.cached.clear() }

// loadReport holds the fields that the agent reads from an engine's GET /load.
type loadReport struct {
	Epoch  uint64   `json:"epoch"`
	Loaded []string `json:"loaded"`
}

func (g *engine) probe(ctx context.Context) (probeReport, error) {
	response, refusal := g.client.call(ctx, http.MethodGet, g.settings.URL+"/load", "", nil)
	if refusal != nil {
		return probeReport{}, refusal
	}
	defer response.Body.Close()
	var report loadReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&report); err != nil {
		return probeReport{}, err
	}
	slices.Sort(report.Loaded)
	g.versions.Store(&report.Loaded)
	return probeReport{epoch: report.Epoch, loaded: report.Loaded}, nil
}

func (g *engine) send(ctx context.Context, in *rpc.ExecuteRequest, out sink) reply {
	body, err := engineBody(in)
	if err != nil {
		return reply{err: result.BadRequest.With("%v", err)}
	}
	response, refusal := g.client.call(ctx, http.MethodPost, g.settings.URL+"/v1/chat/completions", "application/json", body)
	if refusal != nil {
		return reply{err: refusal}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply{err: engineError(response)}
	}
	g.cached.touch(in.GetPrefixHash())
	if in.GetStream() {
		return g.relayStream(ctx, response, out)
	}
	return g.relayCompletion(ctx, response, out)
}

// engineBody returns the caller's body with the fields that the router controls.
func engineBody(in *rpc.ExecuteRequest) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(in.GetBody(), &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errNotObject
	}
	set := func(name string, value any) {
		fields[name], _ = json.Marshal(value)
	}
	set("model", target(in))
	set("priority", in.GetPriority())
	set("stream", in.GetStream())
	delete(fields, "stream_options")
	if in.GetStream() {
		set("stream_options", streamOptions{IncludeUsage: true})
	}
	return json.Marshal(fields)
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// engineError classifies a status received before any part of a response. Engines
// return 429 and 503 only before they accept a request.
func engineError(response *http.Response) *result.Error {
	const detailBytes = 512
	detail, _ := io.ReadAll(io.LimitReader(response.Body, detailBytes))
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return result.AgentFull.With("engine status %d", response.StatusCode)
	case http.StatusNotFound:
		return result.NotLoaded.With("engine status %d: %s", response.StatusCode, detail)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return result.BadRequest.With("engine status %d: %s", response.StatusCode, detail)
	default:
		return result.BackendError.With("engine status %d: %s", response.StatusCode, detail)
	}
}

// usage holds the token counts of a response.
type usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// streamEvent holds the fields that the agent reads from one event of a streamed
// response.
type streamEvent struct {
	Choices json.RawMessage `json:"choices"`
	Usage   *usage          `json:"usage"`
}

// relayStream forwards the choices of each event. A response without the final
// [DONE] event is reported as broken.
func (g *engine) relayStream(ctx context.Context, response *http.Response, out sink) reply {
	var tokens usage
	first := true
	if err := out.admitted(response.StatusCode, "text/event-stream"); err != nil {
		return reply{err: result.CallerGone.With("%v", err)}
	}
	body := progress.NewReader(response.Body, g.now)
	body.Begin(progress.Limits{Bytes: maxUnusedBytes, Time: stallTimeout})
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return reply{err: streamError(ctx, err)}
		}
		if event.Data == streamEnd {
			return reply{status: response.StatusCode, tokensIn: tokens.PromptTokens, tokensOut: tokens.CompletionTokens}
		}
		var parsed streamEvent
		if err := json.Unmarshal([]byte(event.Data), &parsed); err != nil {
			return reply{err: result.BackendError.With("engine event: %v", err)}
		}
		if parsed.Usage != nil {
			tokens = *parsed.Usage
		}
		if !hasChoices(parsed.Choices) {
			continue
		}
		if first {
			out.firstToken(reply{})
			first = false
		}
		body.Made()
		if err := out.chunk(parsed.Choices); err != nil {
			return reply{err: result.CallerGone.With("%v", err)}
		}
	}
	return reply{err: streamError(ctx, io.ErrUnexpectedEOF)}
}

func hasChoices(raw json.RawMessage) bool {
	const emptyArray = "[]"
	return len(raw) > len(emptyArray)
}

// completion holds the fields that the agent reads from a response that is not
// streamed.
type completion struct {
	Usage usage `json:"usage"`
}

func (g *engine) relayCompletion(ctx context.Context, response *http.Response, out sink) reply {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return reply{err: streamError(ctx, err)}
	}
	var parsed completion
	if len(body) > maxAnswerBytes || json.Unmarshal(body, &parsed) != nil {
		return reply{err: result.BackendError.With("engine answer is not valid")}
	}
	if err := out.admitted(response.StatusCode, "application/json"); err != nil {
		return reply{err: result.CallerGone.With("%v", err)}
	}
	if err := out.chunk(body); err != nil {
		return reply{err: result.CallerGone.With("%v", err)}
	}
	return reply{status: response.StatusCode, tokensIn: parsed.Usage.PromptTokens, tokensOut: parsed.Usage.CompletionTokens}
}

// Kinds of orders.
const (
	orderLoad   = "load"
	orderUnload = "unload"
)

// engineOrder is the body of an engine's POST /orders.
type engineOrder struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Model string `json:"model"`
}

// order implements orderSender. The engine executes an accepted order later.
func (g *engine) order(ctx context.Context, kind, version string, fence uint64) error {
	body, err := json.Marshal(engineOrder{Fence: fence, Kind: kind, Model: version})
	if err != nil {
		return err
	}
	response, refusal := g.client.call(ctx, http.MethodPost, g.settings.URL+"/orders", "application/json", body)
	if refusal != nil {
		return refusal
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return engineError(response)
	}
	return nil
}
