package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// maxAnswerBytes bounds the answer of a plain service and of an engine that does
// not stream.
const maxAnswerBytes = 1 << 20

// service is a plain service behind an agent.
type service struct {
	settings config.Backend
	// idempotent keeps connections; once opens one per call, so that the HTTP
	// transport can't repeat a call on its own.
	idempotent *http.Client
	once       *http.Client
}

func newService(settings config.Backend) *service {
	return &service{settings: settings, idempotent: newBackendClient(true), once: newBackendClient(false)}
}

func (s *service) loaded() []string { return nil }

func (s *service) prefixes() []uint64 { return nil }

func (s *service) forget() {}

// probe checks that the service accepts connections.
func (s *service) probe(ctx context.Context) (probeReport, error) {
	response, refusal := call(ctx, s.idempotent, http.MethodGet, s.settings.URL+"/", "", nil)
	if refusal != nil {
		return probeReport{}, refusal
	}
	return probeReport{}, response.Body.Close()
}

func (s *service) send(ctx context.Context, in *rpc.ExecuteRequest, out sink) reply {
	client := s.once
	if in.GetIdempotent() {
		client = s.idempotent
	}
	address, err := url.JoinPath(s.settings.URL, in.GetPath())
	if err != nil {
		return reply{err: result.BadRequest.With("%v", err)}
	}
	response, refusal := call(ctx, client, in.GetMethod(), address, in.GetContentType(), in.GetBody())
	if refusal != nil {
		return reply{err: refusal}
	}
	defer response.Body.Close()
	return relay(ctx, response, out)
}

// relay passes a whole answer on. The status is the service's own.
func relay(ctx context.Context, response *http.Response, out sink) reply {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return reply{err: broken(ctx, err)}
	}
	if len(body) > maxAnswerBytes {
		return reply{err: result.BackendError.With("answer is larger than %d bytes", maxAnswerBytes)}
	}
	err = errors.Join(out.admitted(response.StatusCode, response.Header.Get("Content-Type")), out.chunk(body))
	if err != nil {
		return reply{err: result.CallerGone.With("%v", err)}
	}
	return reply{status: response.StatusCode}
}
