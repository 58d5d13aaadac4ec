package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/result"
)

// FuzzRelayStream guards against a panic on an engine's events, against a chunk
// that is not JSON, and against treating a response without the [DONE] event as
// complete.
func FuzzRelayStream(f *testing.F) {
	chunk := `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	last := `data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}` + "\n\n"
	for _, body := range []string{
		chunk + last + "data: [DONE]\n\n", chunk + chunk, "", "data: [DONE]", "data: [DONE]\n\n", "data:[DONE]\r\n\r\n", "data: [DO\ndata: NE]\n\n",
		"event: ping\n\n" + chunk, ": comment\n\n" + chunk, "data\n\n", "data: \n\n", "data: null\n\ndata: 7\n\n", "data: {\"choices\":{}}\n\n",
		"data: {\"choices\":\ndata: [1]}\n\ndata: [DONE]\n\n", "data: {\"usage\":{\"prompt_tokens\":-1}}\n\n", "\xff\xfe\x00", "id: 1\nretry: x\n\n" + chunk,
		"data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n",
	} {
		f.Add(body)
	}
	g := newEngine(config.Backend{}, nil)
	f.Fuzz(func(t *testing.T, body string) {
		chunks, firsts := 0, 0
		r := g.relayStream(t.Context(), &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, sink{
			admitted: func(int, string) error { return nil },
			chunk: func(data []byte) error {
				chunks++
				if !json.Valid(data) {
					t.Errorf("chunk is not JSON: %q", data)
				}
				return nil
			},
			firstToken: func(reply) { firsts++ },
		})
		if r.err == nil && !strings.Contains(body, "[DO") {
			t.Errorf("complete without an end mark: %q", body)
		}
		if r.err != nil && r.err.Code.Run != result.Unknown {
			t.Errorf("an answer that began ended with %s", r.err)
		}
		if firsts != min(chunks, 1) {
			t.Errorf("%d first tokens for %d chunks", firsts, chunks)
		}
	})
}
