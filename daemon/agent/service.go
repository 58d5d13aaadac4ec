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

// maxAnswerBytes limits the size of a response of a plain service and of an engine
// response that is not streamed.
const maxAnswerBytes = 1 << 20

// plainService is the backend for a plain HTTP service.
type plainService struct {
	settings config.Backend
	client   *backendClient
}

func newService(settings config.Backend, observe responseObserver) *plainService {
	return &plainService{settings: settings, client: newBackendClient(observe)}
}

func (s *plainService) loaded() []string { return nil }

func (s *plainService) prefixes() []uint64 { return nil }

func (s *plainService) clearPrefixes() {}

// probe checks that the service accepts connections.
func (s *plainService) probe(ctx context.Context) (probeReport, error) {
	response, refusal := s.client.call(ctx, http.MethodGet, s.settings.URL+"/", "", nil)
	if refusal != nil {
		return probeReport{}, refusal
	}
	return probeReport{}, response.Body.Close()
}

func (s *plainService) send(ctx context.Context, in *rpc.ExecuteRequest, out sink) reply {
	address, err := url.JoinPath(s.settings.URL, in.GetPath())
	if err != nil {
		return reply{err: result.BadRequest.With("%v", err)}
	}
	response, refusal := s.client.call(ctx, in.GetMethod(), address, in.GetContentType(), in.GetBody())
	if refusal != nil {
		return reply{err: refusal}
	}
	defer response.Body.Close()
	return relay(ctx, response, out)
}

// relay forwards a complete response with the status of the service.
func relay(ctx context.Context, response *http.Response, out sink) reply {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return reply{err: streamError(ctx, err)}
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
