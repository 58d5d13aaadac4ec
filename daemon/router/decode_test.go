package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/result"
)

// FuzzDecodeChat guards against a panic on arbitrary bodies and headers, and against
// a decoded request that can't be marshalled or exceeds the limits.
func FuzzDecodeChat(f *testing.F) {
	for _, body := range []string{
		`{"model":"small","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"small@1","stream":true,"stream_options":{"include_usage":true},"messages":[{"content":[{"type":"text","text":"x"}]}]}`,
		`{"MODEL":"auto","model":null,"messages":[null,{}],"max_tokens":1073741824}`,
		`{"model":"@","messages":[{}]}`, `{"model":"auto@1","messages":[{}]}`, `{"model":"a@b@c","messages":[{}]}`,
		`{"messages":[{}],"max_tokens":-1}`, `{"messages":[{}],"max_completion_tokens":4294967296}`, `{"messages":[{}],"max_tokens":1e99}`,
		``, `null`, `[]`, `{}`, `{"messages":{}}`, `{"model":"\ud800","messages":[{}]}`, strings.Repeat(`[`, 20_000), "\x00\xff",
	} {
		f.Add(body, "kind", "key")
	}
	f.Add(`{"messages":[{}]}`, "kind \xff that is longer than the bound \xe2\x82", strings.Repeat("k", maxKeyChars+1))
	r := &Router{}
	f.Fuzz(func(t *testing.T, body, kind, key string) {
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
		request.Header[headerKind] = []string{kind}
		request.Header[headerIdempotencyKey] = []string{key}
		c := &call{request: request, body: []byte(body), workspace: &bundle.Workspace{Name: "aquarium"}}
		if err := r.decodeChat(t.Context(), c); err != nil {
			if err.Code.Run != result.NotRun || err.Code.Status >= http.StatusInternalServerError {
				t.Errorf("refused with %s", err)
			}
			return
		}
		if c.id == (requestID{}) || c.route.Model == "" || len(c.chat.Messages) == 0 {
			t.Errorf("decoded to %+v", c.route)
		}
		if tokens := c.chat.answerTokens(); tokens <= 0 || tokens > maxAnswerTokens {
			t.Errorf("%d answer tokens", tokens)
		}
		if !utf8.ValidString(c.route.Model + c.route.Version + c.route.Kind) {
			t.Errorf("strings that protobuf rejects: %q %q %q", c.route.Model, c.route.Version, c.route.Kind)
		}
		c.prefixHash()
	})
}
